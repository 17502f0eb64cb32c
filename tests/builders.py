"""Builders of test data, and small fakes at pearrun's interfaces."""

import socket

from pearrun import exceptions
from pearrun import settings as settings_module
from pearrun.ids import Offset
from pearrun.logservice import Record
from pearrun.states import BackendKind
from pearrun.structures import Endpoint

TEAM_TREE_YAML = """
teams:
  sinal-nordeste:
    customers: [sinal-recife]
    services:
      pearrun-oficina: {max_tokens: 24}
      alarme-svc: {kind: service, idempotent: false}
  hamutenya:
    customers: [hamutenya-counter]
    services:
      permit-assistant: {max_tokens: 24}
      licence-records: {kind: service, idempotent: false}
"""

ENGINE_SERVICES = ['pearrun-oficina', 'permit-assistant']
PLAIN_SERVICES = ['alarme-svc', 'licence-records']


def free_port():
    """Return a TCP port on 127.0.0.1 that is free right now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def team_tree(version=0):
    """Return the test team tree at a version."""
    tree = settings_module.parse_yaml(TEAM_TREE_YAML, settings_module.TeamTree)
    return tree.model_copy(update={'version': version})


def endpoint(number, zone='boa-viagem', kind=BackendKind.ENGINE):
    """Return a runtime :class:`Endpoint`."""
    services = (
        ENGINE_SERVICES if kind == BackendKind.ENGINE else PLAIN_SERVICES
    )
    return Endpoint(
        id=f'{kind.value}-{zone}-{number}',
        zone=zone,
        url=f'http://127.0.0.1:{9000 + number}',
        kind=kind,
        services=frozenset(services),
    )


def daemon_settings_yaml(name, zone, port, log_url, endpoints, peers=()):
    """Return a daemon's settings file as YAML text.

    :param endpoints: ``(id, zone, url, kind)`` tuples.
    """
    lines = [
        'host:',
        f'  name: {name}',
        f'  zone: {zone}',
        f'  listen: {{host: 127.0.0.1, port: {port}}}',
        f'  peers: [{", ".join(peers)}]',
        '  config_poll_ms: 50',
        'platform:',
        f'  log_url: "{log_url}"',
        '  timeout_ms: 1000',
        'endpoints:' if endpoints else 'endpoints: []',
    ]
    for endpoint_id, endpoint_zone, url, kind in endpoints:
        services = ENGINE_SERVICES if kind == 'engine' else PLAIN_SERVICES
        lines.append(
            f'  - {{id: {endpoint_id}, zone: {endpoint_zone}, '
            f'url: "{url}", kind: {kind}, services: [{", ".join(services)}]}}'
        )
    return '\n'.join(lines) + '\n'


class FakeLog:
    """An in-memory log service with the :class:`LogClient` interface.

    ``down`` makes every call fail as an outage would;
    ``lose_answers`` applies that many appends but answers as if the
    answer were lost.
    """

    def __init__(self):
        self.streams = {}
        self.down = False
        self.lose_answers = 0

    async def append(self, stream, value, expected_offset=None):
        """Append, comparing the offset when one is expected."""
        if self.down:
            raise exceptions.JournalUnavailableError('down', retry_after_s=1)
        records = self.streams.setdefault(stream, [])
        if expected_offset is not None and expected_offset != len(records):
            raise exceptions.ConfigConflictError('offset moved')
        records.append(value)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise exceptions.AmbiguousAppendError('lost', retry_after_s=1)
        return Offset(len(records) - 1)

    async def read(self, stream, start, limit=100):
        """Read from an offset."""
        if self.down:
            raise exceptions.JournalUnavailableError('down', retry_after_s=1)
        records = self.streams.get(stream, [])
        chosen = records[start : start + limit]
        found = [
            Record(Offset(start + i), 0, value)
            for i, value in enumerate(chosen)
        ]
        return found, Offset(start + len(found))
