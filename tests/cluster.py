"""A cluster of pearrun daemons and stand-in processes on 127.0.0.1."""

import dataclasses
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import yaml

from tests import builders

BIN_DIR = os.path.dirname(sys.executable)
START_TIMEOUT_S = 30
FAST_HOST = {
    'config_poll_ms': 50,
    'hosts_poll_ms': 100,
    'members_poll_ms': 50,
    'beat_ms': 200,
    'heartbeat_ms': 100,
    'peer_timeout_ms': 600,
    'orphan_beats': 4,
    'stall_ms': 1500,
}


def call(url, body=None, headers=None, method=None, timeout=60):
    """Send an HTTP request; return ``(status, headers, raw body)``."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    if data is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.headers, reply.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()


def call_json(*args, **kwargs):
    """Send an HTTP request; return ``(status, headers, JSON body)``."""
    status, headers, raw = call(*args, **kwargs)
    return status, headers, json.loads(raw)


def wait_until(check, timeout_s=15, what='condition'):
    """Poll ``check`` until it returns true.

    :raises AssertionError: it did not do so within ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.02)
    raise AssertionError(f'{what} not reached in {timeout_s} s')


@dataclasses.dataclass
class Zone:
    """Number of processes of each kind in one failure domain."""

    daemons: int = 1
    engines: int = 1
    services: int = 1


class Cluster:
    """Processes started for a test, each identified by its name.

    Daemons are named ``<zone>-<n>``, engines ``engine-<zone>-<n>``, plain
    services ``service-<zone>-<n>``, and the platform's services ``log``
    and ``cloud``.

    :param workdir: a directory for settings files and logs.
    :param zones: a dict of :class:`Zone` by zone name.
    :param engine_flags: extra flags of the engine stand-ins.
    :param host: ``host`` settings that override :data:`FAST_HOST`.
    :param log_flags: extra flags of the log service stand-in.
    :param links: whether daemons connect to the log service, the cloud,
        their peers and other zones' endpoints through ``link-...``
        stand-ins, which can cut the connection.
    :param platform: ``platform`` settings that override the defaults.
    """

    def __init__(
        self,
        workdir,
        zones,
        engine_flags=(),
        host=None,
        log_flags=(),
        links=False,
        platform=None,
    ):
        self.workdir = str(workdir)
        self.zones = zones
        self.engine_flags = list(engine_flags)
        self.host = {**FAST_HOST, **(host or {})}
        self.log_flags = list(log_flags)
        self.links = links
        self.link_ports = {}
        self.platform = platform or {}
        self.ports = {}
        self.procs = {}
        self.argv = {}
        self.kinds = {}
        self.zone_of = {}
        self.tree = yaml.safe_load(builders.TEAM_TREE_YAML)

    def url(self, name):
        """Return the base URL of a process."""
        return f'http://127.0.0.1:{self.ports[name]}'

    def list_names(self, kind):
        """Return the names of the processes of one kind."""
        return [n for n, k in self.kinds.items() if k == kind]

    def register(self, name, kind, zone='-'):
        """Register a process and reserve a port for it."""
        self.ports[name] = builders.find_free_port()
        self.kinds[name] = kind
        self.zone_of[name] = zone

    def start(self, name, *argv):
        """Start a process; its output is written to a file in workdir."""
        self.argv[name] = argv
        output = open(os.path.join(self.workdir, f'{name}.log'), 'ab')
        self.procs[name] = subprocess.Popen(
            [os.path.join(BIN_DIR, argv[0]), *argv[1:]],
            stdout=output,
            stderr=subprocess.STDOUT,
        )

    def restart(self, name):
        """Start a process that has ended with the same arguments again."""
        self.procs[name].wait(timeout=30)
        self.start(name, *self.argv[name])
        self.wait_healthy(name)

    def start_standin(self, name, *flags):
        """Start a stand-in of the kind registered for the name."""
        self.start(
            name,
            'pearrun-standin',
            f'--kind={self.kinds[name]}',
            f'--port={self.ports[name]}',
            f'--id={name}',
            *flags,
        )

    def wait_healthy(self, name):
        """Wait until a process responds with 200 on ``/healthz``."""

        def healthy():
            if self.procs[name].poll() is not None:
                raise AssertionError(f'{name} exited during start-up')
            try:
                return call(f'{self.url(name)}/healthz', timeout=1)[0] == 200
            except OSError:
                return False

        wait_until(healthy, START_TIMEOUT_S, f'{name} healthy')

    def start_link(self, name, target):
        """Start a link stand-in that forwards to a process."""
        self.register(name, 'link')
        self.link_ports[name] = builders.find_free_port()
        self.start_standin(
            name,
            f'--listen_port={self.link_ports[name]}',
            f'--target=127.0.0.1:{self.ports[target]}',
        )
        self.wait_healthy(name)

    def start_links(self):
        """Start each daemon's links to platform, peers and other zones."""
        for name in self.list_names('daemon'):
            self.start_link(f'link-{name}-log', 'log')
            self.start_link(f'link-{name}-cloud', 'cloud')
            for peer in self.peers_of(name):
                self.start_link(f'link-{name}-{peer}', peer)
            for endpoint in [
                *self.list_names('engine'),
                *self.list_names('service'),
            ]:
                if self.zone_of[endpoint] != self.zone_of[name]:
                    self.start_link(f'link-{name}-{endpoint}', endpoint)

    def peers_of(self, name):
        """Return the names of the other daemons in a daemon's zone."""
        zone = self.zone_of[name]
        return [
            n
            for n in self.list_names('daemon')
            if self.zone_of[n] == zone and n != name
        ]

    def port_to(self, name, target):
        """Return the port on which a daemon connects to a process."""
        return self.link_ports.get(f'link-{name}-{target}', self.ports[target])

    def set_links(self, name, mode):
        """Set every link of a daemon to ``open``, ``cut`` or ``silent``."""
        for link in self.list_names('link'):
            if link.startswith(f'link-{name}-'):
                call_json(f'{self.url(link)}/admin/link', {'mode': mode})

    def start_all(self):
        """Start all processes and publish the team tree."""
        self.register('log', 'log')
        self.register('cloud', 'cloud')
        for zone, size in self.zones.items():
            for n in range(1, size.engines + 1):
                self.register(f'engine-{zone}-{n}', 'engine', zone)
            for n in range(1, size.services + 1):
                self.register(f'service-{zone}-{n}', 'service', zone)
            for n in range(1, size.daemons + 1):
                self.register(f'{zone}-{n}', 'daemon', zone)
        hosts = [f'{n}:{z}' for n, z in self.zone_of.items() if z != '-']
        self.start_standin('log', *self.log_flags)
        self.start_standin('cloud', f'--hosts={",".join(hosts)}')
        for name in self.list_names('engine'):
            self.start_standin(name, *self.engine_flags)
        for name in self.list_names('service'):
            self.start_standin(name)
        for name, kind in self.kinds.items():
            if kind != 'daemon':
                self.wait_healthy(name)
        self.apply_config()
        if self.links:
            self.start_links()
        for name in self.list_names('daemon'):
            path = os.path.join(self.workdir, f'{name}.yaml')
            with open(path, 'w', encoding='utf-8') as file:
                yaml.safe_dump(self.daemon_settings(name), file)
            self.start(name, 'pearrund', f'--settings={path}')
        for name in self.list_names('daemon'):
            self.wait_healthy(name)
        self.wait_for_version(1)
        return self

    def daemon_settings(self, name):
        """Return a daemon's settings as a dict."""
        zone = self.zone_of[name]
        peers = [
            f'ws://127.0.0.1:{self.port_to(name, n)}/peer'
            for n in self.peers_of(name)
        ]
        endpoints = [
            {
                'id': n,
                'zone': self.zone_of[n],
                'url': f'http://127.0.0.1:{self.port_to(name, n)}',
                'kind': self.kinds[n],
                'services': builders.SERVICES_OF[self.kinds[n]],
            }
            for n in [*self.list_names('engine'), *self.list_names('service')]
        ]
        return {
            'host': {
                'name': name,
                'zone': zone,
                'listen': {'port': self.ports[name]},
                'peers': peers,
                **self.host,
            },
            'platform': self.platform_settings(name),
            'endpoints': endpoints,
        }

    def platform_settings(self, name):
        """Return the ``platform`` branch of a daemon's settings."""
        log, cloud = self.port_to(name, 'log'), self.port_to(name, 'cloud')
        return {
            'log_url': f'http://127.0.0.1:{log}',
            'cloud_url': f'http://127.0.0.1:{cloud}',
            'timeout_ms': 1000,
            **self.platform,
        }

    def run_cli(self, *args):
        """Run the ``pearrun`` command against this cluster."""
        daemons = ','.join(self.url(n) for n in self.list_names('daemon'))
        return subprocess.run(
            [
                os.path.join(BIN_DIR, 'pearrun'),
                f'--log_url={self.url("log")}',
                f'--daemons={daemons}',
                *args,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )

    def apply_config(self):
        """Publish the cluster's team tree."""
        path = os.path.join(self.workdir, 'teams.yaml')
        with open(path, 'w', encoding='utf-8') as file:
            yaml.safe_dump(self.tree, file)
        completed = self.run_cli('config', 'apply', path)
        assert completed.returncode == 0, completed.stderr

    def status(self, name):
        """Return a daemon's ``/v1/status``."""
        return call_json(f'{self.url(name)}/v1/status')[2]

    def wait_for_version(self, version):
        """Wait until all daemons have at least a configuration version."""
        for name in self.list_names('daemon'):
            wait_until(
                lambda n=name: self.status(n)['config_version'] >= version,
                what=f'version {version} on {name}',
            )

    def signal(self, name, signal_name):
        """Send a signal, such as ``KILL`` or ``STOP``, to a process.

        After ``KILL``, waits until the process has exited.  Its
        connections are then closed, so the next step of a test does not
        depend on how fast the machine is.
        """
        proc = self.procs[name]
        if proc.poll() is None:
            proc.send_signal(getattr(signal, f'SIG{signal_name}'))
        if signal_name == 'KILL':
            proc.wait(timeout=30)

    def stop(self):
        """Stop every process."""
        for name in self.procs:
            self.signal(name, 'CONT')
            self.signal(name, 'TERM')
        for proc in self.procs.values():
            try:
                proc.wait(timeout=10)
            except subprocess.TimeoutExpired:
                proc.kill()
