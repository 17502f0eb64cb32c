"""A small deployment of the platform: store, API and endpoints.

``python3 -m pearrun.standins.platformsite --directory=DIR`` runs one on
loopback addresses and writes the settings files of its entry hosts to
DIR.  ``scripts/up-platform`` starts ``deploy/run_host.py`` with each of
them.
"""

import asyncio
import pathlib

from absl import app as absl_app
from absl import flags

from pearrun.clock import to_seconds
from pearrun.standins.platformapi import PlatformApi
from pearrun.standins.platformrunner import PlatformRunner
from pearrun.standins.platformstore import PlatformStore

FLAGS = flags.FLAGS

STREAM_HOST = 'desk.example'
KEY = 'key-of-anna'
ENGINE = {'slots': 8, 'kv_capacity': 100_000}
ZONES = ('zone-a', 'zone-b')
FIRST_PORT = 8600
HOST_COUNT = 3
# Interval between heartbeats of an endpoint.
HEARTBEAT_INTERVAL_MS = 200


def make_route(name, prefix, service, kind='non_idempotent', **fields):
    """Return a route of a configuration, in its stored form.

    :param fields: fields that replace the defaults or add to them.
    """
    route = {
        'name': name,
        'host': STREAM_HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 3000,
        'latency_target_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
    }
    return {**route, **fields}


def make_config(version=1, **fields):
    """Return a configuration in its stored form.

    :param fields: top-level fields that replace the defaults.
    """
    config = {
        'version': version,
        'routes': [
            make_route('once', '/once/', 'plain'),
            make_route(
                'safe', '/safe/', 'plain', 'idempotent', max_attempts=2
            ),
            make_route(
                'long',
                '/long/',
                'model',
                'stream',
                max_attempts=2,
                resumable=True,
            ),
            make_route('short', '/short/', 'model', 'stream'),
            make_route('open', '/open/', 'plain', public=True),
        ],
        'services': [
            {'name': 'plain', 'health_path': '/healthz', 'max_conns': 100},
            {
                'name': 'model',
                'health_path': '/healthz',
                'max_conns': 100,
                'engine': ENGINE,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'anna',
                'api_keys': [KEY],
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 0,
                'burst': 0,
            },
        ],
    }
    return {**config, **fields}


def make_settings_fields(name, zone, ip, site, ports, **bounds):
    """Return the fields of a host's settings file.

    :param site: an object with ``store_address`` and ``api_address``.
    :param ports: the ports ``front``, ``ready`` and ``peer``; the
        port range starts at the port ``peer``.
    :param bounds: fields that replace those of the section ``bounds``.
    """
    return {
        'node': name,
        'zone': zone,
        'zones': {'zone-a': 'r', 'zone-b': 'r'},
        'ip': ip,
        'port_range': [ports['peer'], ports['peer'] + 5],
        'listen': {
            'front': f'{ip}:{ports["front"]}',
            'ready_addr': f'{ip}:{ports["ready"]}',
        },
        'beat_ms': HEARTBEAT_INTERVAL_MS,
        'limits': {'memory_mb': 300, 'max_fds': 4100},
        'bounds': {'grace_s': 4, 'window_s': 1, 'usage_late_s': 3, **bounds},
        'platform': {'addr': site.store_address},
        'cloud': {'addr': site.api_address, 'duties': ['usage', 'autoscale']},
    }


class StandinSite:
    """Store, API and endpoints on loopback addresses.

    :param store_address: ``IP:PORT`` of the store.
    :param api_address: ``IP:PORT`` of the API.
    """

    def __init__(self, store_address, api_address):
        self.store_address = store_address
        self.api_address = api_address
        self.store = PlatformStore()
        self.api = PlatformApi()
        self.runners = {}
        self.operator_records = {}

    async def start(self):
        """Start the store and the API."""
        await self.store.listen(self.store_address)
        await self.api.listen(self.api_address)

    async def add_runner(
        self, name, service, address, zone='zone-a', version='v1'
    ):
        """Start an endpoint and write its entry to the store.

        :returns: the :class:`PlatformRunner`.
        """
        runner = PlatformRunner(name, service, zone, version=version)
        await runner.listen(address)
        self.runners[name] = runner
        self.publish_runner(runner)
        return runner

    def publish_runner(self, runner):
        """Write an endpoint's entry to the store."""
        self.store.put('servers', runner.id, runner.make_entry())

    async def send_heartbeats(self):
        """Send the heartbeats of all endpoints until cancelled.

        A heartbeat writes the endpoint's entry again.  Endpoints that
        have ended or whose entries were removed send none.
        """
        while True:
            await asyncio.sleep(to_seconds(HEARTBEAT_INTERVAL_MS))
            listed = self.store.get_topic('keyed.servers').newest
            for runner in list(self.runners.values()):
                if runner.id in listed and runner.ended_ms is None:
                    self.publish_runner(runner)

    def configure(self, config):
        """Write a configuration to the store."""
        self._put_operator_record('config', config)

    def order_rollout(self, service, version, duration_s):
        """Write an operator's order to roll out a version to the store."""
        order = {'service': service, 'to': version, 'duration_s': duration_s}
        self._put_operator_record(f'rollout/{service}', order)

    def _put_operator_record(self, key, value):
        self.operator_records[key] = value
        self.store.put('op', key, value)

    def restore_store(self, topics):
        """Let the store come back from a copy.

        The operator and the endpoints write again what they wrote last.

        :param topics: what :meth:`PlatformStore.take_copy` returned.
        """
        self.store.restore(topics)
        for key, value in self.operator_records.items():
            self.store.put('op', key, value)
        for runner in self.runners.values():
            if runner.ended_ms is None:
                self.publish_runner(runner)

    def get_rollout_states(self, service):
        """Return the states of a service's roll-outs in the store, in order.

        :returns: a list of pairs of a version and a state.
        """
        return [
            (status['to'], status['state'])
            for key, status in self.store.list_values('status')
            if key == f'rollout/{service}'
        ]

    async def stop(self):
        """Stop the store, the API and the endpoints."""
        servers = [self.store.server, self.api.server]
        servers += [runner.server for runner in self.runners.values()]
        for server in servers:
            server.close()
            server.abort()


def render_settings(fields):
    """Return the fields of a settings file as TOML."""
    lines = []
    tables = []
    for name, value in fields.items():
        if isinstance(value, dict):
            tables.append(f'[{name}]')
            tables.extend(
                f'{key} = {format_value(v)}' for key, v in value.items()
            )
        else:
            lines.append(f'{name} = {format_value(value)}')
    return '\n'.join(lines + tables) + '\n'


def format_value(value):
    """Return a string, a number or a list of these as TOML."""
    if isinstance(value, list):
        return '[' + ', '.join(format_value(item) for item in value) + ']'
    return f'"{value}"' if isinstance(value, str) else str(value)


async def serve(directory):
    """Run a deployment until cancelled; write its hosts' settings files."""
    site = StandinSite(
        f'127.0.0.1:{FIRST_PORT}', f'127.0.0.1:{FIRST_PORT + 1}'
    )
    await site.start()
    site.configure(make_config())
    for number, zone in enumerate(ZONES * 2):
        service = 'plain' if number < len(ZONES) else 'model'
        address = f'127.0.0.1:{FIRST_PORT + 10 + number}'
        await site.add_runner(f'{service}-{zone}', service, address, zone)
    ports = {
        'front': FIRST_PORT + 20,
        'ready': FIRST_PORT + 21,
        'peer': FIRST_PORT + 22,
    }
    for number in range(1, HOST_COUNT + 1):
        fields = make_settings_fields(
            f'host-{number}',
            ZONES[number % len(ZONES)],
            f'127.0.{number}.1',
            site,
            ports,
        )
        path = pathlib.Path(directory) / f'host-{number}.toml'
        path.write_text(render_settings(fields))
    print(f'serving; settings files are in {directory}', flush=True)
    await site.send_heartbeats()


def main(argv):
    """Run a deployment until the process ends."""
    del argv
    asyncio.run(serve(FLAGS.directory))


if __name__ == '__main__':
    flags.DEFINE_string('directory', None, 'Directory for the settings files.')
    flags.mark_flag_as_required('directory')
    absl_app.run(main)
