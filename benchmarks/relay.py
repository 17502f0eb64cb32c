"""Benchmark of the relay's overhead on the platform's protocol.

Starts the stand-in site and one entry host as processes on loopback, then
sends the same calls alternately to an endpoint directly and through the
host.  Prints latency ratios, CPU time and memory:

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
# Addresses of the stand-in site; see pearrun.standins.platformsite.
HOST_FRONT = f'127.0.1.1:{FIRST_PORT + 20}'
HOST_READY = f'127.0.1.1:{FIRST_PORT + 21}'
PLAIN_ENDPOINT = f'127.0.0.1:{FIRST_PORT + 10}'
ENGINE_ENDPOINT = f'127.0.0.1:{FIRST_PORT + 12}'
# Relative to the repository, in which the benchmark is started.
HOST_PROGRAM = 'deploy/run_host.py'
# Number of events in each stream.
EVENTS = 5
MAX_BODY_BYTES = 1024 * 1024


def make_headers(attempt_id, stream):
    """Return the request headers of a call."""
    headers = [
        ('Host', STREAM_HOST),
        ('Pearrun-Attempt-Id', attempt_id),
        ('Pearrun-Deadline-Ms', '3000'),
        ('Authorization', f'Token {KEY}'),
    ]
    if stream:
        headers.append(('Pearrun-Token-Count', '200,50'))
    return headers


async def measure(pool, path, stream, number, histogram):
    """Make one call and record its duration in microseconds."""
    started = time.perf_counter_ns()
    headers = make_headers(f'c{number}', stream)
    response = await pool.fetch('GET', path, headers, b'', MAX_BODY_BYTES)
    if response.head.status != 200:
        raise RuntimeError(f'{pool.address} answered {response.head.status}')
    histogram.record_value((time.perf_counter_ns() - started) // 1000)


async def compare(host_pid, path, stream, calls):
    """Make calls alternately to the endpoint and through the host.

    :param calls: number of calls of each.
    :returns: CPU time of the host per call, in milliseconds.
    """
    endpoint = ENGINE_ENDPOINT if stream else PLAIN_ENDPOINT
    pools = {'direct': Pool(endpoint, POOL), 'host': Pool(HOST_FRONT, POOL)}
    histograms = {name: HdrHistogram(1, 60_000_000, 3) for name in pools}
    cpu_ms = read_cpu_ms(host_pid)
    for number in range(calls):
        for name, pool in pools.items():
            await measure(pool, path, stream, number, histograms[name])
    spent_ms = read_cpu_ms(host_pid) - cpu_ms
    ratios = {
        pct: histograms['host'].get_value_at_percentile(pct)
        / histograms['direct'].get_value_at_percentile(pct)
        for pct in (50, 99)
    }
    print(
        f'{path}: p50 ratio {ratios[50]:.2f}, p99 ratio {ratios[99]:.2f}, '
        f'{spent_ms / calls:.2f} ms CPU per call'
    )
    return spent_ms / calls


async def wait_until_ready():
    """Wait until the host is ready for calls."""
    pool = Pool(HOST_READY, POOL)
    for _ in range(100):
        try:
            reply = await pool.fetch(
                'GET', '/readyz', [('Host', 'x')], b'', 1000
            )
            if reply.head.status == 200:
                return
        except Exception as exc:
            last_error = exc
        await asyncio.sleep(0.1)
    raise RuntimeError(f'host not ready: {last_error!r}')


async def run(host_pid):
    """Measure plain calls and streams, and print the results."""
    await wait_until_ready()
    plain_ms = await compare(host_pid, '/safe/x', False, FLAGS.calls)
    stream_ms = await compare(host_pid, '/long/x', True, FLAGS.calls // 4)
    print(f'{(stream_ms - plain_ms) / EVENTS:.3f} ms CPU per event')
    print(f'{read_rss_kb(host_pid) / 1024:.1f} MB resident')


def main(argv):
    """Start the processes, measure, and stop the processes."""
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
            [sys.executable, '-S', HOST_PROGRAM],
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
    flags.DEFINE_integer(
        'calls', 2000, 'Plain calls, direct and through the host.'
    )
    absl_app.run(main)
