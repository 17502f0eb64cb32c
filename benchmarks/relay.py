"""Measure what the relay adds on the platform's wire.

Starts the stand-in site and one entry host as processes on loopback,
then sends the same calls to an endpoint directly and through the host,
in turns, and prints latency ratios and processor time:

    python -m benchmarks.relay --calls=2000
"""

import asyncio
import os
import subprocess
import sys
import tempfile
import time

from absl import app as absl_app
from absl import flags
from hdrh.histogram import HdrHistogram

from benchmarks.processes import read_cpu_ms
from benchmarks.processes import read_rss_kb
from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings
from pearrun.standins.platformsite import FIRST_PORT
from pearrun.standins.platformsite import KEY
from pearrun.standins.platformsite import STREAM_HOST

FLAGS = flags.FLAGS
POOL = PoolSettings(
    max_connections=16, connect_timeout_ms=1000, user_timeout_ms=5000
)
# Loopback addresses of the stand-in site.
HOST_FRONT = f'127.0.1.1:{FIRST_PORT + 20}'
HOST_READY = f'127.0.1.1:{FIRST_PORT + 21}'
PLAIN_ENDPOINT = f'127.0.0.1:{FIRST_PORT + 10}'
ENGINE_ENDPOINT = f'127.0.0.1:{FIRST_PORT + 12}'
EVENTS = 5
BODY_LIMIT = 1024 * 1024


def make_headers(attempt, stream):
    """Return the headers of a call."""
    headers = [
        ('Host', STREAM_HOST),
        ('Pearrun-Attempt-Id', attempt),
        ('Pearrun-Deadline-Ms', '3000'),
        ('Authorization', f'Token {KEY}'),
    ]
    if stream:
        headers.append(('Pearrun-Token-Count', '200,50'))
    return headers


async def measure(pool, path, stream, number, histogram):
    """Make one call; record its microseconds."""
    began = time.perf_counter_ns()
    headers = make_headers(f'c{number}', stream)
    response = await pool.fetch('GET', path, headers, b'', BODY_LIMIT)
    if response.head.status != 200:
        raise RuntimeError(f'{pool.address} answered {response.head.status}')
    histogram.record_value((time.perf_counter_ns() - began) // 1000)


async def compare(host_pid, path, stream, calls):
    """Make calls directly and through the host, one after the other."""
    endpoint = ENGINE_ENDPOINT if stream else PLAIN_ENDPOINT
    pools = {'direct': Pool(endpoint, POOL), 'host': Pool(HOST_FRONT, POOL)}
    times = {name: HdrHistogram(1, 60_000_000, 3) for name in pools}
    cpu_ms = read_cpu_ms(host_pid)
    for number in range(calls):
        for name, pool in pools.items():
            await measure(pool, path, stream, number, times[name])
    spent_ms = read_cpu_ms(host_pid) - cpu_ms
    ratios = {
        pct: times['host'].get_value_at_percentile(pct)
        / times['direct'].get_value_at_percentile(pct)
        for pct in (50, 99)
    }
    print(
        f'{path}: p50 ratio {ratios[50]:.2f}, p99 ratio {ratios[99]:.2f}, '
        f'{spent_ms / calls:.2f} ms CPU a call'
    )
    return spent_ms / calls


async def wait_until_ready():
    """Wait until the host takes callers."""
    pool = Pool(HOST_READY, POOL)
    for _ in range(100):
        try:
            reply = await pool.fetch(
                'GET', '/readyz', [('Host', 'x')], b'', 1000
            )
            if reply.head.status == 200:
                return
        except Exception as exc:
            last = exc
        await asyncio.sleep(0.1)
    raise RuntimeError(f'the host is not ready: {last!r}')


async def run(host_pid):
    """Measure plain calls and streams."""
    await wait_until_ready()
    plain_ms = await compare(host_pid, '/safe/x', False, FLAGS.calls)
    stream_ms = await compare(host_pid, '/long/x', True, FLAGS.calls // 4)
    print(f'{(stream_ms - plain_ms) / EVENTS:.3f} ms CPU an event')
    print(f'{read_rss_kb(host_pid) / 1024:.1f} MB resident')


def main(argv):
    """Start the processes, measure, stop them."""
    del argv
    with tempfile.TemporaryDirectory() as directory:
        site = subprocess.Popen(
            [sys.executable, '-m', 'pearrun.standins.platformsite',
             f'--directory={directory}'],
            stdout=subprocess.DEVNULL,
        )  # fmt: skip
        settings = os.path.join(directory, 'host-1.toml')
        while not os.path.exists(settings):
            time.sleep(0.05)
        host = subprocess.Popen(
            [sys.executable, '-m', 'pearrun.platform'],
            env={**os.environ, 'PEARRUN_BOOT': settings},
            stdout=subprocess.DEVNULL,
        )
        try:
            asyncio.run(run(host.pid))
        finally:
            for process in (host, site):
                process.terminate()
                process.wait()


if __name__ == '__main__':
    flags.DEFINE_integer('calls', 2000, 'Plain calls on each side.')
    absl_app.run(main)
