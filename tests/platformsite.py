"""Builders of a small site on the platform's wire, in one process.

Each host has a loopback address of its own, so that ports are alike.
"""

import asyncio
import contextlib
import dataclasses
import json

from pearrun.http1 import client
from pearrun.platform import settings as settings_module
from pearrun.platform.daemon import Daemon
from pearrun.standins.platformapi import PlatformApi
from pearrun.standins.platformrunner import PlatformRunner
from pearrun.standins.platformstore import PlatformStore
from tests.builders import free_port

STREAM_HOST = 'desk.example'
KEY = 'key-of-anna'
ENGINE = {'slots': 8, 'kv_capacity': 100_000}
ANSWER_BYTES = 1024 * 1024


class NoLogWriter:
    """Stands where the bounded log writer counts its drops."""

    dropped_total = 0


def make_route(name, prefix, service, kind='non_idempotent', **fields):
    """Return a route as the operator writes it."""
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
    """Return a configuration as the operator writes it."""
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


def make_settings(name, zone, ip, store, api, ports, **bounds):
    """Return the settings file of a host, as fields."""
    fields = {
        'node': name,
        'zone': zone,
        'zones': {'zone-a': 'r', 'zone-b': 'r'},
        'ip': ip,
        'port_range': [ports['peer'], ports['peer'] + 5],
        'listen': {
            'front': f'{ip}:{ports["front"]}',
            'ready_addr': f'{ip}:{ports["ready"]}',
        },
        'limits': {'memory_mb': 300, 'max_fds': 4100},
        'bounds': {'grace_s': 4, 'window_s': 1, 'usage_late_s': 3, **bounds},
        'platform': {'addr': store},
        'cloud': {'addr': api, 'duties': ['usage', 'autoscale']},
    }
    return settings_module.decode(fields)


@dataclasses.dataclass
class Answer:
    """What a caller got; ``complete`` is false for a broken body."""

    status: int
    head: object
    body: bytes
    complete: bool = True

    def json(self):
        """Return the body, parsed."""
        return json.loads(self.body)


class PlatformSite:
    """Store, API, endpoints and entry hosts on loopback."""

    def __init__(self):
        self.store = PlatformStore()
        self.api = PlatformApi()
        self.runners = {}
        self.hosts = {}
        self.store_address = f'127.0.0.1:{free_port()}'
        self.api_address = f'127.0.0.1:{free_port()}'
        self.ports = {
            'front': free_port(),
            'ready': free_port(),
            'peer': free_port(),
        }

    async def start(self):
        """Start the store and the API."""
        await self.store.listen(self.store_address)
        await self.api.listen(self.api_address)

    async def add_runner(self, name, service, zone='zone-a', listed=True):
        """Start an endpoint; write its entry to the store."""
        runner = PlatformRunner(name, service, zone)
        await runner.listen(f'127.0.0.1:{free_port()}')
        self.runners[name] = runner
        if listed:
            self.list_runner(runner)
        return runner

    def list_runner(self, runner):
        """Write an endpoint's entry to the store."""
        self.store.put('servers', runner.id, runner.entry())

    def configure(self, config):
        """Write a configuration to the store."""
        self.store.put('op', 'config', config)

    async def add_host(self, number=1, zone='zone-a', **bounds):
        """Start an entry host with a loopback address of its own."""
        settings = make_settings(
            f'host-{number}',
            zone,
            f'127.0.{number}.1',
            self.store_address,
            self.api_address,
            self.ports,
            **bounds,
        )
        daemon = Daemon(settings, NoLogWriter())
        self.hosts[settings.name] = daemon
        await daemon.start()
        return daemon

    async def stop(self):
        """Stop everything."""
        for daemon in self.hosts.values():
            await daemon.end()
        servers = [self.store.server, self.api.server]
        servers += [runner.server for runner in self.runners.values()]
        for server in servers:
            server.close()
            server.abort()


@contextlib.asynccontextmanager
async def run_site(config=None, runners=(), hosts=1):
    """Run a site until the block ends, its hosts ready.

    :param runners: pairs of a name and a service.
    """
    site = PlatformSite()
    await site.start()
    try:
        if config is not None:
            site.configure(config)
        for name, service in runners:
            await site.add_runner(name, service)
        for number in range(1, hosts + 1):
            await site.add_host(number)
        for daemon in site.hosts.values():
            await wait_until(
                lambda daemon=daemon: config is None or daemon.host.is_ready()
            )
        yield site
    finally:
        await site.stop()


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds.

    :raises TimeoutError: it did not within ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def make_headers(attempt, key=KEY, deadline_ms=3000, **more):
    """Return the headers of a caller's request."""
    headers = [
        ('Host', STREAM_HOST),
        ('Pearrun-Attempt-Id', attempt),
        ('Pearrun-Deadline-Ms', str(deadline_ms)),
    ]
    if key is not None:
        headers.append(('Authorization', f'Token {key}'))
    for name, value in more.items():
        headers.append((name.replace('_', '-'), value))
    return headers


def make_prompt(parts='aa:100,bb:50', tokens=200, output=50):
    """Return the headers that describe a prompt."""
    return {
        'Pearrun_Token_Count': f'{tokens},{output}',
        'Pearrun_Prompt_Prefix': parts,
        'Pearrun_Model': 'm',
    }


async def call(daemon, path, attempt, method='GET', body=b'', **headers):
    """Send one request to a host on a connection of its own.

    :returns: an :class:`Answer`; status 0 where none came.
    """
    address = daemon.settings.front_address
    connection = await client.connect(address, 1000, 5000)
    fields = make_headers(attempt, **headers)
    if method == 'POST':
        fields.append(('Content-Length', str(len(body))))
    try:
        connection.send(method, path, fields, body)
        head = await connection.read_head()
    except client.exceptions.ConnectionBrokenError:
        return Answer(0, None, b'', complete=False)
    parts = []
    complete = True
    try:
        while (chunk := await connection.read_chunk()) is not None:
            parts.append(chunk)
    except client.exceptions.ConnectionBrokenError:
        complete = False
    connection.abort()
    return Answer(head.status, head, b''.join(parts), complete)
