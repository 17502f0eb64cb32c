"""Starting real pearrun processes on 127.0.0.1 for tests."""

import dataclasses
import os
import signal
import subprocess
import sys
import time
import urllib.request

from tests import builders

BIN = os.path.dirname(sys.executable)
START_TIMEOUT_S = 30


@dataclasses.dataclass
class Cluster:
    """Stand-ins and daemons started for one test module."""

    log_url: str
    daemon_urls: list
    engine_urls: list
    service_url: str
    procs: list
    workdir: str

    def stop(self):
        """Stop every process with SIGTERM, then SIGKILL."""
        for proc in self.procs:
            if proc.poll() is None:
                proc.send_signal(signal.SIGTERM)
        for proc in self.procs:
            try:
                proc.wait(timeout=10)
            except subprocess.TimeoutExpired:
                proc.kill()


def start(procs, workdir, name, *args):
    """Start one process, logging to a file in ``workdir``."""
    out = open(os.path.join(workdir, f'{name}.log'), 'wb')
    proc = subprocess.Popen(
        [os.path.join(BIN, args[0]), *args[1:]],
        stdout=out,
        stderr=subprocess.STDOUT,
    )
    procs.append(proc)
    return proc


def wait_healthy(url, proc=None):
    """Wait until ``url``/healthz answers."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if proc is not None and proc.poll() is not None:
            raise RuntimeError(f'{url} exited with {proc.returncode}')
        try:
            with urllib.request.urlopen(f'{url}/healthz', timeout=1):
                return
        except OSError:
            time.sleep(0.1)
    raise RuntimeError(f'{url} did not start')


def start_cluster(workdir, daemons=2):
    """Start a log service, two engines, a plain service and daemons.

    All daemons share one failure domain and peer with each other.
    """
    procs = []
    log_port = builders.free_port()
    log_url = f'http://127.0.0.1:{log_port}'
    start(
        procs,
        workdir,
        'log',
        'pearrun-standin',
        '--kind=log',
        f'--port={log_port}',
    )
    engines = []
    for number in range(2):
        port = builders.free_port()
        start(
            procs,
            workdir,
            f'engine-{number}',
            'pearrun-standin',
            '--kind=engine',
            f'--port={port}',
            f'--id=engine-{number}',
            '--decode_ms=2',
        )
        engines.append(f'http://127.0.0.1:{port}')
    service_port = builders.free_port()
    service_url = f'http://127.0.0.1:{service_port}'
    start(
        procs,
        workdir,
        'service',
        'pearrun-standin',
        '--kind=service',
        f'--port={service_port}',
        '--id=service-0',
    )
    for url in [log_url, service_url, *engines]:
        wait_healthy(url)
    endpoints = [
        (f'engine-{i}', 'boa-viagem', url, 'engine')
        for i, url in enumerate(engines)
    ]
    endpoints.append(('service-0', 'boa-viagem', service_url, 'service'))
    ports = [builders.free_port() for _ in range(daemons)]
    daemon_urls = [f'http://127.0.0.1:{p}' for p in ports]
    for number, port in enumerate(ports):
        peers = [f'ws://127.0.0.1:{p}/peer' for p in ports if p != port]
        path = os.path.join(workdir, f'daemon-{number}.yaml')
        with open(path, 'w', encoding='utf-8') as handle:
            handle.write(
                builders.daemon_settings_yaml(
                    f'bv-{number}',
                    'boa-viagem',
                    port,
                    log_url,
                    endpoints,
                    peers,
                )
            )
        start(
            procs,
            workdir,
            f'daemon-{number}',
            'pearrund',
            f'--settings={path}',
        )
    for proc, url in zip(procs[-daemons:], daemon_urls, strict=True):
        wait_healthy(url, proc)
    return Cluster(log_url, daemon_urls, engines, service_url, procs, workdir)
