"""Builders of test data, and fakes of pearrun's interfaces."""

import asyncio
import dataclasses
import functools
import os
import socket

from pearrun import exceptions
from pearrun.api import entries
from pearrun.api import settings as settings_module
from pearrun.api.logservice import LogClient
from pearrun.api.logservice import Record
from pearrun.api.structures import Endpoint
from pearrun.clock import Clock
from pearrun.ids import Offset
from pearrun.states import BackendKind

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
SERVICES_OF = {'engine': ENGINE_SERVICES, 'service': PLAIN_SERVICES}

# Limit of the CPU time of one example of a property, which takes 0.001 to
# 0.009 s.  Wall-clock time would include the work of other processes: 0.46 s
# and 0.55 s beside 20 of them.
MAX_CPU_S = 0.2


# Below the range of the kernel's ephemeral ports.
FIRST_PORT, LAST_PORT = 20_000, 32_000
# Concurrent test runs use separate blocks of ports, because a port that is
# free when it is chosen may be in use when it is bound.
BLOCK_PORTS = 400
RESERVED_BLOCKS = []
SUBNETS = 250


def choose_ports():
    """Yield ports from blocks that this test run has reserved, each once.

    A block is reserved by listening on its first port until the run ends.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    first = os.getpid() % len(blocks)
    for block in [*blocks[first:], *blocks[:first]]:
        listener = socket.socket()
        try:
            listener.bind(('127.0.0.1', block))
            listener.listen()
        except OSError:
            listener.close()
            continue
        RESERVED_BLOCKS.append(listener)
        yield from range(block + 1, block + BLOCK_PORTS)


PORTS = choose_ports()


def find_free_port():
    """Return a free TCP port on 127.0.0.1, each port only once.

    The kernel is not asked for a free port, because it returns the same
    one again until it is bound, and sanic lets two processes share it.
    """
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise RuntimeError('no free port is left')


@functools.cache
def reserve_subnet():
    """Reserve a loopback subnet for this test run.

    Hosts listen on fixed ports too, so concurrent runs need other addresses.

    :returns: a number N; no other run uses 127.N.0.0/16 until this one ends.
    """
    for offset in range(SUBNETS):
        number = 1 + (os.getpid() + offset) % SUBNETS
        listener = socket.socket()
        try:
            listener.bind((f'127.{number}.0.1', FIRST_PORT))
            listener.listen()
        except OSError:
            listener.close()
            continue
        RESERVED_BLOCKS.append(listener)
        return number
    raise RuntimeError('no loopback subnet is free')


def build_team_tree(version=0):
    """Return the team tree of the tests with a version."""
    tree = settings_module.parse_yaml(TEAM_TREE_YAML, settings_module.TeamTree)
    return tree.model_copy(update={'version': version})


def make_endpoint(number, zone='boa-viagem', kind=BackendKind.ENGINE):
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


def build_daemon_settings_yaml(name, zone, port, log_url, endpoints, peers=()):
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


def build_settings(name='bv-1', zone='boa-viagem', **platform):
    """Return a daemon's :class:`Settings`, with an unreachable log service."""
    tree = {
        'host': {'name': name, 'zone': zone, 'listen': {'port': 8101}},
        'platform': {'log_url': 'http://127.0.0.1:1', **platform},
    }
    return settings_module.Settings.model_validate(tree)


def build_acceptance(request_id, service='pearrun-oficina', key=None):
    """Return the journal entry of an acceptance."""
    return entries.Accepted(
        id=request_id,
        customer='sinal-recife',
        service=service,
        prompt=f'prompt of {request_id}',
        max_tokens=8,
        idempotency_key=key,
    )


@dataclasses.dataclass
class FakeStream:
    """One stream of the fake log; ``first`` increases on expiry."""

    first: int = 0
    records: list = dataclasses.field(default_factory=list)

    @property
    def head(self):
        return self.first + len(self.records)


class FakeLog:
    """An in-memory log service with the :class:`LogClient` interface.

    ``down`` makes every call fail, as in an outage.  Three attributes are
    numbers of coming appends: ``lose_appends`` are lost before they are
    applied; ``lose_answers`` are applied, but their answers are lost;
    ``delay_appends`` are reported as lost, and :meth:`deliver` applies
    them.  After each lost answer, ``lose_after`` is added to
    ``lose_appends``, and ``down_after_loss`` starts an outage.
    """

    def __init__(self):
        self.streams = {}
        self.down = False
        self.lose_answers = 0
        self.lose_after = 0
        self.down_after_loss = False
        self.lose_appends = 0
        self.delay_appends = 0
        self.delayed = []

    def stream(self, name):
        return self.streams.setdefault(name, FakeStream())

    def values(self, name):
        """Return the values a stream holds."""
        return list(self.stream(name).records)

    def expire(self, name, count):
        """Remove a stream's oldest records, as at the end of retention."""
        stream = self.stream(name)
        count = min(count, len(stream.records))
        del stream.records[:count]
        stream.first += count

    def apply(self, name, value, expected_offset):
        stream = self.stream(name)
        if expected_offset is not None and expected_offset != stream.head:
            raise exceptions.ConfigConflictError('offset moved')
        stream.records.append(value)
        return Offset(stream.head - 1)

    def deliver(self):
        """Apply the delayed appends."""
        arriving, self.delayed = self.delayed, []
        for append in arriving:
            try:
                self.apply(*append)
            except exceptions.ConfigConflictError:
                continue

    async def append(self, name, value, expected_offset=None):
        await asyncio.sleep(0)
        if self.down:
            raise exceptions.JournalUnavailableError('down', retry_after_s=1)
        if self.lose_appends > 0:
            self.lose_appends -= 1
            raise exceptions.AmbiguousAppendError('lost', retry_after_s=1)
        if self.delay_appends > 0:
            self.delay_appends -= 1
            self.delayed.append((name, value, expected_offset))
            raise exceptions.AmbiguousAppendError('late', retry_after_s=1)
        offset = self.apply(name, value, expected_offset)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.lose_appends += self.lose_after
            self.down = self.down or self.down_after_loss
            raise exceptions.AmbiguousAppendError('lost', retry_after_s=1)
        return offset

    async def read_bounds(self, name):
        if self.down:
            raise exceptions.JournalUnavailableError('down', retry_after_s=1)
        stream = self.stream(name)
        return Offset(stream.first), Offset(stream.head)

    async def read(self, name, start, limit=100):
        await asyncio.sleep(0)
        if self.down:
            raise exceptions.JournalUnavailableError('down', retry_after_s=1)
        stream = self.stream(name)
        if start < stream.first:
            raise exceptions.ExpiredOffsetError(
                'expired', first_offset=stream.first
            )
        index = start - stream.first
        found = [
            Record(Offset(start + i), 0, value)
            for i, value in enumerate(stream.records[index : index + limit])
        ]
        return found, Offset(start + len(found))

    read_all = LogClient.read_all


class ManualClock(Clock):
    """A clock that advances only when told to."""

    def __init__(self):
        self.__dict__['time_ms'] = 1000

    def now(self):
        """See :class:`Clock`."""
        return self.time_ms

    def advance(self, ms):
        """Advance the time."""
        self.__dict__['time_ms'] += ms
