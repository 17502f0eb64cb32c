"""Benchmark of a daemon's resource usage, for docs/CAPACITY.md.

Each part starts stand-ins and daemons on 127.0.0.1, varies one quantity and
prints how the daemon's CPU time, memory and traffic depend on it:

- ``requests``: latency through pearrund relative to calling the engine
  directly, and CPU time per request and per token;
- ``idle``: CPU time, memory and control traffic of an idle daemon;
- ``endpoints``, ``members``, ``peers``: the same for several numbers of
  them;
- ``config``: CPU time per configuration change;
- ``jobs``: memory per request kept;
- ``router``: CPU time per routing decision.

    python -m benchmarks.slopes --parts=requests,idle
"""

import asyncio
import json
import subprocess
import tempfile
import time

from absl import app as absl_app
from absl import flags
import aiohttp
from hdrh.histogram import HdrHistogram
import yaml

from benchmarks.processes import read_cpu_ms
from benchmarks.processes import read_rss_kb
from pearrun.api.members import Member
from pearrun.api.router import Router
from pearrun.states import MemberState
from tests import builders
from tests.cluster import BIN_DIR
from tests.cluster import call_json
from tests.cluster import Cluster
from tests.cluster import Zone

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'parts',
    [
        'requests',
        'idle',
        'endpoints',
        'members',
        'peers',
        'config',
        'jobs',
        'router',
    ],
    'Which parts to measure.',
)
flags.DEFINE_integer('requests', 400, 'Requests per measurement.')
flags.DEFINE_integer('concurrency', 8, 'Concurrent requests.')
flags.DEFINE_integer('watch_s', 10, 'Seconds to observe an idle daemon.')

ZONE = 'boa-viagem'
DAEMON = f'{ZONE}-1'
ENGINE = f'engine-{ZONE}-1'
PRODUCTION_SETTINGS = {
    'config_poll_ms': 500,
    'hosts_poll_ms': 500,
    'loads_poll_ms': 250,
    'members_poll_ms': 500,
    'beat_ms': 1000,
    'heartbeat_ms': 1000,
    'peer_timeout_ms': 3000,
    'stall_ms': 5000,
}


class MeasuredCluster(Cluster):
    """A cluster whose first daemon is measured.

    :param extra_endpoints: number of endpoints added to the daemons'
        settings, all with the URL of the only engine stand-in.
    :param daemons: number of daemons.
    """

    def __init__(self, extra_endpoints=0, daemons=1):
        super().__init__(
            tempfile.mkdtemp(prefix='pearrun-slopes-'),
            {ZONE: Zone(daemons=daemons, engines=1, services=1)},
            ['--decode_ms=2', '--slots=64'],
            host=PRODUCTION_SETTINGS,
            log_flags=['--appends_per_second=100000'],
        )
        self.extra_endpoints = extra_endpoints

    def daemon_settings(self, name):
        settings = super().daemon_settings(name)
        for number in range(self.extra_endpoints):
            settings['endpoints'].append(
                {
                    'id': f'extra-{number}',
                    'zone': ZONE,
                    'url': self.url(ENGINE),
                    'services': builders.SERVICES_OF['engine'],
                }
            )
        return settings

    def __enter__(self):
        return self.start_all()

    def __exit__(self, *exc_info):
        self.stop()

    @property
    def pid(self):
        return self.procs[DAEMON].pid

    def count_platform_bytes(self):
        """Return the bytes that the stand-ins exchanged with the daemons."""
        names = ['log', 'cloud', *self.list_names('engine')]
        return sum(
            call_json(f'{self.url(n)}/admin/traffic')[2]['bytes']
            for n in names
        )


def observe_daemon(cluster, seconds):
    """Return the daemon's CPU usage, memory and control traffic."""
    time.sleep(2)
    cpu_ms, traffic, started = (
        read_cpu_ms(cluster.pid),
        cluster.count_platform_bytes(),
        time.monotonic(),
    )
    time.sleep(seconds)
    wall_s = time.monotonic() - started
    return {
        'cpu_percent': round(
            (read_cpu_ms(cluster.pid) - cpu_ms) / wall_s / 10, 3
        ),
        'rss_mb': round(read_rss_kb(cluster.pid) / 1024, 1),
        'platform_bytes_per_s': round(
            (cluster.count_platform_bytes() - traffic) / wall_s
        ),
    }


async def send_timed(session, url, body, histogram):
    """Send one request and record its duration in microseconds."""
    started = time.perf_counter()
    async with session.post(url, json=body) as reply:
        await reply.read()
        assert reply.status == 200, reply.status
    histogram.record_value(int((time.perf_counter() - started) * 1e6))


async def send_requests(cluster, tokens, direct, routed):
    """Send the same requests to the engine and through the daemon.

    :param direct: the histogram of the engine's latencies; ``None`` to send
        through the daemon only.
    :param routed: the histogram of the latencies through the daemon.
    """
    semaphore = asyncio.Semaphore(FLAGS.concurrency)
    engine = f'{cluster.url(ENGINE)}/v1/generate'
    daemon = f'{cluster.url(DAEMON)}/v1/completions'

    async def send_pair(session, number):
        prompt = f'fault log site {number % 16} carrier lost'
        body = {'prompt': prompt, 'max_tokens': tokens}
        async with semaphore:
            if direct is not None:
                await send_timed(
                    session, engine, dict(body, request_id=number), direct
                )
            await send_timed(
                session, daemon, dict(body, model='pearrun-oficina'), routed
            )

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(send_pair(session, n) for n in range(FLAGS.requests))
        )


def make_histogram():
    return HdrHistogram(1, 60_000_000, 3)


def measure_request_cpu_ms(cluster, tokens):
    """Return the daemon's CPU time per request of ``tokens`` tokens."""
    cpu_ms = read_cpu_ms(cluster.pid)
    asyncio.run(send_requests(cluster, tokens, None, make_histogram()))
    return (read_cpu_ms(cluster.pid) - cpu_ms) / FLAGS.requests


def measure_requests():
    with MeasuredCluster() as cluster:
        direct, routed = make_histogram(), make_histogram()
        asyncio.run(send_requests(cluster, 8, direct, routed))
        few, many = 4, 68
        cpu_ms = {n: measure_request_cpu_ms(cluster, n) for n in (few, many)}
    cpu_ms_per_token = (cpu_ms[many] - cpu_ms[few]) / (many - few)
    figures = {}
    for pct in (50, 99):
        direct_us = direct.get_value_at_percentile(pct)
        routed_us = routed.get_value_at_percentile(pct)
        figures[f'direct_p{pct}_ms'] = direct_us / 1000
        figures[f'routed_p{pct}_ms'] = routed_us / 1000
        figures[f'ratio_p{pct}'] = round(routed_us / direct_us, 3)
    return {
        **figures,
        'cpu_ms_per_request': round(cpu_ms[few] - few * cpu_ms_per_token, 3),
        'cpu_ms_per_token': round(cpu_ms_per_token, 4),
    }


def measure_idle():
    with MeasuredCluster() as cluster:
        return observe_daemon(cluster, FLAGS.watch_s)


def measure_endpoints():
    figures = {}
    for number in (0, 100, 300):
        with MeasuredCluster(extra_endpoints=number) as cluster:
            figures[number] = observe_daemon(cluster, FLAGS.watch_s)
    return figures


async def append_heartbeats(cluster, count, seconds):
    """Append a heartbeat per second for each of ``count`` other members."""
    url = f'{cluster.url("log")}/v1/streams/members/records'
    async with aiohttp.ClientSession() as session:

        async def append_for_member(number):
            member = Member(
                name=f'other-{number}',
                stream=f'requests.other-{number}.0',
                zone='elsewhere',
                url='http://127.0.0.1:9',
                state=MemberState.LIVE,
            )
            await asyncio.sleep(number / count)
            for _ in range(seconds):
                body = {'value': member.to_heartbeat()}
                async with session.post(url, json=body):
                    pass
                await asyncio.sleep(1)

        await asyncio.gather(*(append_for_member(n) for n in range(count)))


def measure_members():
    figures = {}
    for count in (8, 80, 320):
        with MeasuredCluster() as cluster:
            code = (
                'import asyncio; from benchmarks import slopes; '
                'asyncio.run(slopes.append_heartbeats_from_args())'
            )
            seconds = FLAGS.watch_s + 3
            proc = subprocess.Popen(
                [
                    f'{BIN_DIR}/python',
                    '-c',
                    code,
                    cluster.url('log'),
                    str(count),
                    str(seconds),
                ]
            )
            figures[count] = observe_daemon(cluster, FLAGS.watch_s)
            figures[count].pop('platform_bytes_per_s')
            proc.wait()
    return figures


async def append_heartbeats_from_args():
    """Run :func:`append_heartbeats` in a separate process.

    The arguments are the log service's URL, the number of members and the
    number of seconds.
    """
    import sys

    class LogTarget:
        def url(self, name):
            return sys.argv[1]

    await append_heartbeats(LogTarget(), int(sys.argv[2]), int(sys.argv[3]))


def measure_peers():
    figures = {}
    for daemons in (1, 4, 16):
        with MeasuredCluster(daemons=daemons) as cluster:
            figures[daemons - 1] = observe_daemon(cluster, FLAGS.watch_s)
            figures[daemons - 1].pop('platform_bytes_per_s')
    return figures


def measure_config():
    changes = 40
    with MeasuredCluster() as cluster:
        idle = observe_daemon(cluster, FLAGS.watch_s)
        path = f'{cluster.workdir}/change.yaml'
        with open(path, 'w', encoding='utf-8') as handle:
            yaml.safe_dump(cluster.tree, handle)
        cpu_ms, started = read_cpu_ms(cluster.pid), time.monotonic()
        for _ in range(changes):
            cluster.apply_config()
        cluster.wait_for_version(changes + 1)
        wall_ms = (time.monotonic() - started) * 1000
        busy_ms = read_cpu_ms(cluster.pid) - cpu_ms
    idle_ms = idle['cpu_percent'] / 100 * wall_ms
    return {'cpu_ms_per_change': round((busy_ms - idle_ms) / changes, 3)}


def measure_router():
    """Return the CPU time per decision by number of endpoints."""
    figures = {}
    for number in (10, 300, 2100):
        endpoints = [builders.make_endpoint(n) for n in range(number)]
        router = Router(endpoints, ZONE)
        started = time.process_time()
        for n in range(200):
            router.choose('pearrun-oficina', f'prompt {n}')
        figures[number] = round((time.process_time() - started) * 5, 4)
    return figures


def measure_jobs():
    with MeasuredCluster() as cluster:
        asyncio.run(send_requests(cluster, 8, None, make_histogram()))
        initial_kb = read_rss_kb(cluster.pid)
        for _ in range(3):
            asyncio.run(send_requests(cluster, 8, None, make_histogram()))
        growth_kb = read_rss_kb(cluster.pid) - initial_kb
    return {
        'rss_kb_per_request_held': round(growth_kb / 3 / FLAGS.requests, 2)
    }


def main(argv):
    del argv
    parts = {
        'requests': measure_requests,
        'idle': measure_idle,
        'endpoints': measure_endpoints,
        'members': measure_members,
        'peers': measure_peers,
        'config': measure_config,
        'jobs': measure_jobs,
        'router': measure_router,
    }
    for name in FLAGS.parts:
        print(json.dumps({name: parts[name]()}, indent=2), flush=True)


if __name__ == '__main__':
    absl_app.run(main)
