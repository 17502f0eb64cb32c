"""Measure what one daemon costs: the slopes behind docs/CAPACITY.md.

Each part starts small stand-ins and daemons on 127.0.0.1, changes one
size and prints the daemon's CPU time, memory and traffic against it:

- ``requests``: latency through pearrund over calling the engine
  directly, and CPU per request and per token;
- ``idle``: CPU, memory and control traffic of a daemon at rest;
- ``endpoints``, ``members``, ``peers``: the same against their number;
- ``config``: CPU per configuration change;
- ``jobs``: memory per request held;
- ``router``: CPU per routing decision.

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
flags.DEFINE_integer('requests', 400, 'Requests per path.')
flags.DEFINE_integer('concurrency', 8, 'Requests in flight per path.')
flags.DEFINE_integer('watch_s', 10, 'Seconds to watch a daemon at rest.')

ZONE = 'boa-viagem'
DAEMON = f'{ZONE}-1'
ENGINE = f'engine-{ZONE}-1'
PRODUCTION_HOST = {
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

    :param extra_endpoints: endpoints added to the daemons' settings,
        all answered by the one engine stand-in.
    """

    def __init__(self, extra_endpoints=0, daemons=1):
        super().__init__(
            tempfile.mkdtemp(prefix='pearrun-slopes-'),
            {ZONE: Zone(daemons=daemons, engines=1, services=1)},
            ['--decode_ms=2', '--slots=64'],
            host=PRODUCTION_HOST,
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

    def traffic(self):
        """Return bytes the stand-ins exchanged with the daemons."""
        names = ['log', 'cloud', *self.list_names('engine')]
        return sum(
            call_json(f'{self.url(n)}/admin/traffic')[2]['bytes']
            for n in names
        )


def watch(cluster, seconds):
    """Return CPU share, memory and control bytes/s of the daemon."""
    time.sleep(2)
    cpu, sent, started = (
        read_cpu_ms(cluster.pid),
        cluster.traffic(),
        time.monotonic(),
    )
    time.sleep(seconds)
    wall = time.monotonic() - started
    return {
        'cpu_percent': round((read_cpu_ms(cluster.pid) - cpu) / wall / 10, 3),
        'rss_mb': round(read_rss_kb(cluster.pid) / 1024, 1),
        'platform_bytes_per_s': round((cluster.traffic() - sent) / wall),
    }


async def timed(session, url, body, histogram):
    """Send one request and record its whole latency in microseconds."""
    started = time.perf_counter()
    async with session.post(url, json=body) as reply:
        await reply.read()
        assert reply.status == 200, reply.status
    histogram.record_value(int((time.perf_counter() - started) * 1e6))


async def drive(cluster, tokens, direct, routed):
    """Send the same requests to the engine and through the daemon."""
    gate = asyncio.Semaphore(FLAGS.concurrency)
    engine = f'{cluster.url(ENGINE)}/v1/generate'
    daemon = f'{cluster.url(DAEMON)}/v1/completions'

    async def one(session, number):
        prompt = f'fault log site {number % 16} carrier lost'
        body = {'prompt': prompt, 'max_tokens': tokens}
        async with gate:
            if direct is not None:
                await timed(
                    session, engine, dict(body, request_id=number), direct
                )
            await timed(
                session, daemon, dict(body, model='pearrun-oficina'), routed
            )

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(one(session, n) for n in range(FLAGS.requests)))


def new_histogram():
    return HdrHistogram(1, 60_000_000, 3)


def cost_of_requests(cluster, tokens):
    """Return the daemon's CPU ms per request of ``tokens`` tokens."""
    cpu = read_cpu_ms(cluster.pid)
    asyncio.run(drive(cluster, tokens, None, new_histogram()))
    return (read_cpu_ms(cluster.pid) - cpu) / FLAGS.requests


def measure_requests():
    with MeasuredCluster() as cluster:
        direct, routed = new_histogram(), new_histogram()
        asyncio.run(drive(cluster, 8, direct, routed))
        few, many = 4, 68
        costs = {n: cost_of_requests(cluster, n) for n in (few, many)}
    per_token = (costs[many] - costs[few]) / (many - few)
    figures = {}
    for pct in (50, 99):
        a = direct.get_value_at_percentile(pct)
        b = routed.get_value_at_percentile(pct)
        figures[f'direct_p{pct}_ms'] = a / 1000
        figures[f'routed_p{pct}_ms'] = b / 1000
        figures[f'ratio_p{pct}'] = round(b / a, 3)
    return {
        **figures,
        'cpu_ms_per_request': round(costs[few] - few * per_token, 3),
        'cpu_ms_per_token': round(per_token, 4),
    }


def measure_idle():
    with MeasuredCluster() as cluster:
        return watch(cluster, FLAGS.watch_s)


def measure_endpoints():
    figures = {}
    for number in (0, 100, 300):
        with MeasuredCluster(extra_endpoints=number) as cluster:
            figures[number] = watch(cluster, FLAGS.watch_s)
    return figures


async def beat_for(cluster, count, seconds):
    """Append ``count`` foreign members' beats a second to the log."""
    url = f'{cluster.url("log")}/v1/streams/members/records'
    async with aiohttp.ClientSession() as session:

        async def beat(number):
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

        await asyncio.gather(*(beat(n) for n in range(count)))


def measure_members():
    figures = {}
    for count in (8, 80, 320):
        with MeasuredCluster() as cluster:
            code = (
                'import asyncio; from benchmarks import slopes; '
                'asyncio.run(slopes.beat_from_args())'
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
            figures[count] = watch(cluster, FLAGS.watch_s)
            figures[count].pop('platform_bytes_per_s')
            proc.wait()
    return figures


async def beat_from_args():
    """Run :func:`beat_for` in a process of its own."""
    import sys

    class Target:
        def url(self, name):
            return sys.argv[1]

    await beat_for(Target(), int(sys.argv[2]), int(sys.argv[3]))


def measure_peers():
    figures = {}
    for daemons in (1, 4, 16):
        with MeasuredCluster(daemons=daemons) as cluster:
            figures[daemons - 1] = watch(cluster, FLAGS.watch_s)
            figures[daemons - 1].pop('platform_bytes_per_s')
    return figures


def measure_config():
    changes = 40
    with MeasuredCluster() as cluster:
        idle = watch(cluster, FLAGS.watch_s)
        path = f'{cluster.workdir}/change.yaml'
        with open(path, 'w', encoding='utf-8') as handle:
            yaml.safe_dump(cluster.tree, handle)
        cpu, started = read_cpu_ms(cluster.pid), time.monotonic()
        for _ in range(changes):
            cluster.apply_config()
        cluster.wait_for_version(changes + 1)
        wall_ms = (time.monotonic() - started) * 1000
        busy = read_cpu_ms(cluster.pid) - cpu
    at_rest = idle['cpu_percent'] / 100 * wall_ms
    return {'cpu_ms_per_change': round((busy - at_rest) / changes, 3)}


def measure_router():
    """Return the CPU ms of one routing decision, by pool size."""
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
        asyncio.run(drive(cluster, 8, None, new_histogram()))
        before = read_rss_kb(cluster.pid)
        for _ in range(3):
            asyncio.run(drive(cluster, 8, None, new_histogram()))
        grown = read_rss_kb(cluster.pid) - before
    return {'rss_kb_per_request_held': round(grown / 3 / FLAGS.requests, 2)}


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
