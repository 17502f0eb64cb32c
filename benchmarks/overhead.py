"""Measure what pearrund adds: latency, idle cost, cost per request.

Starts a log service stand-in, an engine stand-in and one daemon on
127.0.0.1, then, interleaved in one run, sends the same requests to
the engine directly and through the daemon.  Prints JSON: latency
p50/p99 of each path and their ratio, the daemon's idle CPU share and
resident memory, and its CPU milliseconds and memory per request.

    python -m benchmarks.overhead --requests=400 --concurrency=8
"""

import asyncio
import json
import os
import tempfile
import time

from absl import app as absl_app
from absl import flags
import aiohttp
from hdrh.histogram import HdrHistogram

from tests import builders
from tests import processes

FLAGS = flags.FLAGS
flags.DEFINE_integer('requests', 400, 'Requests per path.')
flags.DEFINE_integer('concurrency', 8, 'Requests in flight per path.')
flags.DEFINE_integer('idle_s', 10, 'Seconds of idle to measure.')
flags.DEFINE_integer('max_tokens', 8, 'Tokens per answer.')

TICKS = os.sysconf('SC_CLK_TCK')


def cpu_ms(pid):
    """Return user+system CPU milliseconds of a process."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as handle:
        fields = handle.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS


def rss_kb(pid):
    """Return the resident memory of a process in KiB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as handle:
        for line in handle:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    return 0


async def timed(session, url, body, histogram):
    started = time.perf_counter()
    async with session.post(url, json=body) as reply:
        await reply.read()
        assert reply.status == 200, reply.status
    histogram.record_value(int((time.perf_counter() - started) * 1e6))


async def drive(engine_url, daemon_url):
    direct = HdrHistogram(1, 60_000_000, 3)
    routed = HdrHistogram(1, 60_000_000, 3)
    gate = asyncio.Semaphore(FLAGS.concurrency)
    async with aiohttp.ClientSession() as session:

        async def one(number):
            prompt = f'fault log site {number % 16} carrier lost'
            async with gate:
                await timed(
                    session,
                    f'{engine_url}/v1/generate',
                    {
                        'request_id': str(number),
                        'prompt': prompt,
                        'max_tokens': FLAGS.max_tokens,
                    },
                    direct,
                )
                await timed(
                    session,
                    f'{daemon_url}/v1/completions',
                    {
                        'model': 'pearrun-oficina',
                        'prompt': prompt,
                        'max_tokens': FLAGS.max_tokens,
                    },
                    routed,
                )

        await asyncio.gather(*(one(n) for n in range(FLAGS.requests)))
    return direct, routed


def main(argv):
    del argv
    workdir = tempfile.mkdtemp(prefix='pearrun-bench-')
    procs = []
    log_port, engine_port, daemon_port = (
        builders.free_port() for _ in range(3)
    )
    log_url = f'http://127.0.0.1:{log_port}'
    engine_url = f'http://127.0.0.1:{engine_port}'
    processes.start(
        procs,
        workdir,
        'log',
        'pearrun-standin',
        '--kind=log',
        f'--port={log_port}',
        '--appends_per_second=100000',
    )
    processes.start(
        procs,
        workdir,
        'engine',
        'pearrun-standin',
        '--kind=engine',
        f'--port={engine_port}',
        '--id=e0',
        '--decode_ms=2',
        '--slots=64',
    )
    processes.wait_healthy(log_url)
    processes.wait_healthy(engine_url)
    path = os.path.join(workdir, 'daemon.yaml')
    text = builders.daemon_settings_yaml(
        'bench',
        'boa-viagem',
        daemon_port,
        log_url,
        [('e0', 'boa-viagem', engine_url, 'engine')],
    )
    text = text.replace(
        'endpoints:',
        'version: 1\nteams:\n  t:\n'
        '    services:\n      pearrun-oficina: {}\n'
        'endpoints:',
    )
    with open(path, 'w', encoding='utf-8') as handle:
        handle.write(text)
    daemon = processes.start(
        procs,
        workdir,
        'daemon',
        'pearrund',
        f'--settings={path}',
        '--log_level=WARNING',
    )
    daemon_url = f'http://127.0.0.1:{daemon_port}'
    cluster = processes.Cluster(
        log_url, [daemon_url], [engine_url], '', procs, workdir
    )
    try:
        processes.wait_healthy(daemon_url, daemon)
        time.sleep(1.0)
        idle_cpu0, idle_t0 = cpu_ms(daemon.pid), time.monotonic()
        time.sleep(FLAGS.idle_s)
        idle_cpu = cpu_ms(daemon.pid) - idle_cpu0
        idle_wall = (time.monotonic() - idle_t0) * 1000
        idle_rss = rss_kb(daemon.pid)
        busy_cpu0 = cpu_ms(daemon.pid)
        direct, routed = asyncio.run(drive(engine_url, daemon_url))
        busy_cpu = cpu_ms(daemon.pid) - busy_cpu0
        busy_rss = rss_kb(daemon.pid)
    finally:
        cluster.stop()
    result = {
        'requests_per_path': FLAGS.requests,
        'concurrency': FLAGS.concurrency,
        'max_tokens': FLAGS.max_tokens,
        'direct_p50_ms': direct.get_value_at_percentile(50) / 1000,
        'direct_p99_ms': direct.get_value_at_percentile(99) / 1000,
        'routed_p50_ms': routed.get_value_at_percentile(50) / 1000,
        'routed_p99_ms': routed.get_value_at_percentile(99) / 1000,
        'ratio_p50': round(
            routed.get_value_at_percentile(50)
            / direct.get_value_at_percentile(50),
            3,
        ),
        'ratio_p99': round(
            routed.get_value_at_percentile(99)
            / direct.get_value_at_percentile(99),
            3,
        ),
        'daemon_idle_cpu_share': round(idle_cpu / idle_wall, 5),
        'daemon_idle_rss_mb': round(idle_rss / 1024, 1),
        'daemon_cpu_ms_per_request': round(busy_cpu / FLAGS.requests, 3),
        'daemon_rss_growth_kb_per_request': round(
            (busy_rss - idle_rss) / FLAGS.requests, 2
        ),
    }
    print(json.dumps(result, indent=2))


if __name__ == '__main__':
    absl_app.run(main)
