"""Builders of small test deployments that use the platform's protocol.

All hosts run in one process.  Each has its own loopback address, so that all
can listen on the same ports.
"""

import asyncio
import contextlib
import contextvars
import dataclasses
import json

from pearrun.clock import Clock
from pearrun.decisions.shedding import Shedder
from pearrun.decisions.shedding import SheddingSettings
from pearrun.http1 import client
from pearrun.platform import settings as settings_module
from pearrun.platform.codec import EndpointCodec
from pearrun.platform.daemon import Daemon
from pearrun.platform.decoding import decode_configuration
from pearrun.shared.host import HostContext
from pearrun.standins.platformsite import KEY
from pearrun.standins.platformsite import make_config
from pearrun.standins.platformsite import make_settings_fields
from pearrun.standins.platformsite import StandinSite
from pearrun.standins.platformsite import STREAM_HOST
from tests.builders import find_free_port
from tests.builders import reserve_subnet

# Hosts of tests have been up for this long as far as their retry budgets are
# concerned, which are empty at the start of a process.
UPTIME_MS = 60_000
# Name of the host to which the current task belongs; ``None`` for callers and
# stand-ins.
HOST_NAME = contextvars.ContextVar('host_name', default=None)


class FakeLogWriter:
    """Replaces the bounded log writer; never drops a line."""

    dropped_total = 0


@dataclasses.dataclass
class Response:
    """A caller's response; ``complete`` is false if its body broke off."""

    status: int
    head: object
    body: bytes
    complete: bool = True

    def json(self):
        """Return the body, parsed as JSON."""
        return json.loads(self.body)


class PlatformSite(StandinSite):
    """A site with entry hosts in this process.

    :param contracts: what the platform offers; ``None`` for all.
    """

    def __init__(self, contracts=None):
        super().__init__(
            f'127.0.0.1:{find_free_port()}', f'127.0.0.1:{find_free_port()}'
        )
        self.contracts = contracts
        self.hosts = {}
        self.uptime_ms = UPTIME_MS
        self.subnet = reserve_subnet()
        self.ports = {
            'front': find_free_port(),
            'ready': find_free_port(),
            'peer': find_free_port(),
        }

    async def add_runner(
        self, name, service, address=None, zone='zone-a', version='v1'
    ):
        """Start an endpoint on a free port."""
        address = address or f'127.0.0.1:{find_free_port()}'
        return await super().add_runner(name, service, address, zone, version)

    async def add_host(self, number=1, zone='zone-a', **bounds):
        """Start an entry host on its own loopback address.

        :param bounds: fields of the settings' section ``bounds``.
        """
        fields = make_settings_fields(
            f'host-{number}',
            zone,
            f'127.{self.subnet}.{number}.1',
            self,
            self.ports,
            **bounds,
        )
        if self.contracts is not None:
            fields['contracts'] = list(self.contracts)
        settings = settings_module.decode(fields)
        daemon = Daemon(settings, FakeLogWriter(), lambda: settings)
        # The delay of the event loop is that of all hosts together.
        daemon.host.overload.shedder = Shedder(SheddingSettings(max_share=0))
        daemon.host.retry_budgets.started_ms -= self.uptime_ms
        self.hosts[settings.name] = daemon
        token = HOST_NAME.set(settings.name)
        await daemon.start()
        HOST_NAME.reset(token)
        return daemon

    async def stop(self):
        """Stop everything."""
        for daemon in self.hosts.values():
            await daemon.end()
        await super().stop()


def make_host_settings(name='h'):
    """Return the :class:`HostSettings` of a host in zone-a."""
    site = StandinSite('10.0.0.1:1', '10.0.0.1:2')
    ports = {'front': 8360, 'ready': 8365, 'peer': 7500}
    fields = make_settings_fields(name, 'zone-a', '10.1.0.1', site, ports)
    return settings_module.decode(fields)


def make_host_context():
    """Return the :class:`HostContext` of a host in zone-a without a daemon."""
    return HostContext(make_host_settings(), EndpointCodec(), Clock())


def make_customer(name, rate_per_s=20_000, burst=100_000):
    """Return a customer's entry in a configuration."""
    return {
        'name': name,
        'api_keys': [f'key-of-{name}'],
        'unit': 'tokens',
        'plain_tokens': 200,
        'rate_per_s': rate_per_s,
        'burst': burst,
    }


def configure(host, **fields):
    """Bring a configuration into force at a host without a daemon."""
    raw = json.dumps(make_config(**fields)).encode()
    host.config.offer(decode_configuration(raw), 'test')


@contextlib.asynccontextmanager
async def run_site(config=None, runners=(), hosts=1, contracts=None, **bounds):
    """Run a site; enter the block once all hosts are ready.

    :param runners: pairs of an endpoint's name and its service.
    :param contracts: what the platform offers; ``None`` for all.
    :param bounds: fields of the hosts' settings; see :meth:`add_host`.
    """
    site = PlatformSite(contracts)
    await site.start()
    try:
        if config is not None:
            site.configure(config)
        for name, service in runners:
            await site.add_runner(name, service)
        for number in range(1, hosts + 1):
            await site.add_host(number, **bounds)
        for daemon in site.hosts.values():
            await wait_until(
                lambda daemon=daemon: config is None or daemon.host.is_ready()
            )
        yield site
    finally:
        await site.stop()


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds.

    :raises TimeoutError: the condition did not hold within ``timeout_s``.
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
    """Send one request to a host on a new connection.

    :returns: a :class:`Response`; its status is 0 if none came.
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
        return Response(0, None, b'', complete=False)
    parts = []
    complete = True
    try:
        while (chunk := await connection.read_chunk()) is not None:
            parts.append(chunk)
    except client.exceptions.ConnectionBrokenError:
        complete = False
    connection.abort()
    return Response(head.status, head, b''.join(parts), complete)
