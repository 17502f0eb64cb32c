"""Benchmark of the propagation of changes in a fleet of 3 x 3 daemons.

The daemons are in three zones.  Parts:

- ``config``: time from the response to a publish request until the
  configuration is in force on each daemon;
- ``leaving``: time from a drain request to one daemon, and from a reclaim
  notice, until the last new stream that any daemon starts on the endpoint;
- ``restart``: number of streams interrupted by a rolling restart of all
  daemons under load.

    python -m benchmarks.fleet --fleet_parts=config,leaving,restart
"""

import asyncio
import json
import random
import tempfile
import time

from absl import app as absl_app
from absl import flags
import aiohttp
from hdrh.histogram import HdrHistogram

from benchmarks.slopes import PRODUCTION_SETTINGS
from pearrun.api import config
from pearrun.api import settings as settings_module
from pearrun.api.logservice import LogClient
from pearrun.standins import text
from tests import builders
from tests.cluster import Cluster
from tests.cluster import Zone

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'fleet_parts', ['config', 'leaving', 'restart'], 'Parts to run.'
)
flags.DEFINE_integer('changes', 40, 'Configuration changes to publish.')
flags.DEFINE_integer('engines', 4, 'Engines per zone.')
flags.DEFINE_integer('callers', 24, 'Number of concurrent callers.')

ZONES = ('khomas-a', 'khomas-b', 'khomas-c')


def start_cluster(decode_ms=8):
    return Cluster(
        tempfile.mkdtemp(prefix='pearrun-fleet-'),
        {z: Zone(daemons=3, engines=FLAGS.engines) for z in ZONES},
        [f'--decode_ms={decode_ms}', '--slots=64'],
        host=PRODUCTION_SETTINGS,
    ).start_all()


def summarize(histogram):
    """Return the count, p50, p99 and maximum of a histogram."""
    return {
        'samples': histogram.get_total_count(),
        'p50_ms': histogram.get_value_at_percentile(50),
        'p99_ms': histogram.get_value_at_percentile(99),
        'max_ms': histogram.get_max_value(),
    }


async def fetch_json(session, url):
    async with session.get(url) as reply:
        return await reply.json()


async def wait_for_version(session, url, version, started, histogram):
    """Record the time until a daemon has a configuration version in force."""
    while True:
        status = await fetch_json(session, f'{url}/v1/status')
        if status['config_version'] >= version:
            lag_ms = int((time.monotonic() - started) * 1000)
            histogram.record_value(max(1, lag_ms))
            return
        await asyncio.sleep(0.005)


async def measure_config(cluster):
    histogram = HdrHistogram(1, 60_000, 3)
    platform = settings_module.PlatformSettings(log_url=cluster.url('log'))
    async with aiohttp.ClientSession() as session:
        log = LogClient(session, platform)
        for _ in range(FLAGS.changes):
            version, _ = await config.publish(
                log, 'config', builders.build_team_tree()
            )
            started = time.monotonic()
            await asyncio.gather(
                *(
                    wait_for_version(
                        session, cluster.url(n), version, started, histogram
                    )
                    for n in cluster.list_names('daemon')
                )
            )
            await asyncio.sleep(random.uniform(0, 0.5))
    return summarize(histogram)


class StreamLoad:
    """Callers that continuously start streams on available daemons.

    :param tokens: number of tokens per stream.

    ``unavailable`` holds the names of daemons that receive no calls, and
    ``interrupted`` a description of each stream that was not complete.
    """

    def __init__(self, session, cluster, tokens):
        self.session = session
        self.cluster = cluster
        self.tokens = tokens
        self.unavailable = set()
        self.complete = 0
        self.interrupted = []
        self.refused = 0
        self.running = True

    async def run_caller(self, number):
        """Run one stream after another until stopped."""
        while self.running:
            name = random.choice(
                [
                    n
                    for n in self.cluster.list_names('daemon')
                    if n not in self.unavailable
                ]
            )
            prompt = f'caller {number} at {time.monotonic()}'
            body = {
                'model': 'permit-assistant',
                'prompt': prompt,
                'max_tokens': self.tokens,
                'stream': True,
            }
            await self.run_stream(name, prompt, body)

    async def run_stream(self, name, prompt, body):
        tokens, final_event = [], None
        try:
            async with self.session.post(
                f'{self.cluster.url(name)}/v1/completions', json=body
            ) as reply:
                if reply.status != 200:
                    self.refused += 1
                    await asyncio.sleep(0.05)
                    return
                async for raw in reply.content:
                    if raw.startswith(b'data: {'):
                        event = json.loads(raw[6:])
                        if 'choices' in event:
                            tokens.append(event['choices'][0]['text'])
                        else:
                            final_event = event
        except aiohttp.ClientConnectorError:
            self.refused += 1
            await asyncio.sleep(0.05)
            return
        except (aiohttp.ClientError, OSError) as exc:
            final_event = repr(exc)
        expected = text.generate_answer(prompt, 0, self.tokens)
        if ''.join(tokens) == expected and final_event['state'] == 'done':
            self.complete += 1
        else:
            self.interrupted.append(
                f'{name}: {len(tokens)} tokens, {final_event}'
            )


async def find_last_starts(session, cluster, names, started, duration_s):
    """Return the time of the last new stream on each engine.

    :param started: monotonic time of the drain request or reclaim notice.
    :param duration_s: how long to poll the engines.
    :returns: a list of milliseconds since ``started``.
    """
    last_ms = dict.fromkeys(names, 1)
    counts = {}
    while time.monotonic() - started < duration_s:
        for name in names:
            body = await fetch_json(session, f'{cluster.url(name)}/v1/started')
            total = sum(body['started'].values())
            if name in counts and counts[name] != total:
                last_ms[name] = int((time.monotonic() - started) * 1000)
            counts[name] = total
        await asyncio.sleep(0.01)
    return list(last_ms.values())


async def measure_leaving(cluster):
    drains, reclaims = HdrHistogram(1, 60_000, 3), HdrHistogram(1, 60_000, 3)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        load = StreamLoad(session, cluster, tokens=4)
        callers = [
            asyncio.create_task(load.run_caller(n))
            for n in range(FLAGS.callers)
        ]
        await asyncio.sleep(2)
        for zone in ZONES:
            for n in range(1, FLAGS.engines):
                name = f'engine-{zone}-{n}'
                daemon_url = cluster.url(f'{random.choice(ZONES)}-1')
                async with session.post(
                    f'{daemon_url}/admin/drain', json={'endpoint': name}
                ):
                    started = time.monotonic()
                for value in await find_last_starts(
                    session, cluster, [name], started, 4
                ):
                    drains.record_value(value)
        for zone in ZONES[:2]:
            url = f'{cluster.url("cloud")}/admin/reclaim'
            async with session.post(
                url, json={'zone': zone, 'notice_ms': 60_000}
            ):
                started = time.monotonic()
            name = f'engine-{zone}-{FLAGS.engines}'
            for value in await find_last_starts(
                session, cluster, [name], started, 4
            ):
                reclaims.record_value(value)
        load.running = False
        await asyncio.gather(*callers)
    return {
        'drain told to one daemon': summarize(drains),
        'reclaim notice': summarize(reclaims),
        'streams whole': load.complete,
        'streams cut': len(load.interrupted),
    }


async def measure_restart(cluster):
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        load = StreamLoad(session, cluster, tokens=200)
        callers = [
            asyncio.create_task(load.run_caller(n))
            for n in range(FLAGS.callers)
        ]
        await asyncio.sleep(1)
        for name in cluster.list_names('daemon'):
            cluster.signal(name, 'TERM')
            load.unavailable.add(name)
            await asyncio.to_thread(cluster.restart, name)
            load.unavailable.discard(name)
            await asyncio.sleep(0.5)
        load.running = False
        await asyncio.gather(*callers)
    return {
        'daemons restarted': len(cluster.list_names('daemon')),
        'streams whole': load.complete,
        'streams cut': len(load.interrupted),
        'cut': load.interrupted[:5],
        'refused, sent elsewhere': load.refused,
    }


def main(argv):
    del argv
    parts = {
        'config': measure_config,
        'leaving': measure_leaving,
        'restart': measure_restart,
    }
    for part in FLAGS.fleet_parts:
        cluster = start_cluster()
        try:
            figures = asyncio.run(parts[part](cluster))
        finally:
            cluster.stop()
        print(json.dumps({part: figures}, indent=2), flush=True)


if __name__ == '__main__':
    absl_app.run(main)
