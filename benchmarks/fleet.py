"""Measure how fast the fleet agrees, with 3 zones of 3 daemons each.

- ``config``: from a publish's answer to being in force on each daemon;
- ``leaving``: from a drain told to one daemon, and from a reclaim
  notice, to the last stream any daemon newly started there;
- ``restart``: streams cut while every daemon is stopped and started
  again, one after the other, under load.

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

from benchmarks.slopes import PRODUCTION_HOST
from pearrun.api import config
from pearrun.api import settings as settings_module
from pearrun.api.logservice import LogClient
from pearrun.standins import text
from tests import builders
from tests.cluster import Cluster
from tests.cluster import Zone

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'fleet_parts', ['config', 'leaving', 'restart'], 'Which parts to run.'
)
flags.DEFINE_integer('changes', 40, 'Configuration changes to publish.')
flags.DEFINE_integer('engines', 4, 'Engines per zone.')
flags.DEFINE_integer('callers', 24, 'Callers that keep a stream open.')

ZONES = ('khomas-a', 'khomas-b', 'khomas-c')


def start_cluster(decode_ms=8):
    return Cluster(
        tempfile.mkdtemp(prefix='pearrun-fleet-'),
        {z: Zone(daemons=3, engines=FLAGS.engines) for z in ZONES},
        [f'--decode_ms={decode_ms}', '--slots=64'],
        host=PRODUCTION_HOST,
    ).begin()


def describe(histogram):
    """Return count, p50, p99 and maximum in milliseconds."""
    return {
        'samples': histogram.get_total_count(),
        'p50_ms': histogram.get_value_at_percentile(50),
        'p99_ms': histogram.get_value_at_percentile(99),
        'max_ms': histogram.get_max_value(),
    }


async def get_json(session, url):
    async with session.get(url) as reply:
        return await reply.json()


async def watch_version(session, url, version, started, histogram):
    """Record when a daemon has a configuration version in force."""
    while True:
        status = await get_json(session, f'{url}/v1/status')
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
                log, 'config', builders.team_tree()
            )
            started = time.monotonic()
            await asyncio.gather(
                *(
                    watch_version(
                        session, cluster.url(n), version, started, histogram
                    )
                    for n in cluster.names('daemon')
                )
            )
            await asyncio.sleep(random.uniform(0, 0.5))
    return describe(histogram)


class Load:
    """Callers that keep short or long streams going at live daemons."""

    def __init__(self, session, cluster, tokens):
        self.session = session
        self.cluster = cluster
        self.tokens = tokens
        self.down = set()
        self.whole = 0
        self.cut = []
        self.refused = 0
        self.going = True

    async def call(self, number):
        """Keep one stream after the other going."""
        while self.going:
            name = random.choice(
                [n for n in self.cluster.names('daemon') if n not in self.down]
            )
            prompt = f'caller {number} at {time.monotonic()}'
            body = {
                'model': 'permit-assistant',
                'prompt': prompt,
                'max_tokens': self.tokens,
                'stream': True,
            }
            await self.stream(name, prompt, body)

    async def stream(self, name, prompt, body):
        pieces, final = [], None
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
                            pieces.append(event['choices'][0]['text'])
                        else:
                            final = event
        except aiohttp.ClientConnectorError:
            self.refused += 1
            await asyncio.sleep(0.05)
            return
        except (aiohttp.ClientError, OSError) as exc:
            final = repr(exc)
        expected = text.generate_answer(prompt, 0, self.tokens)
        if ''.join(pieces) == expected and final['state'] == 'done':
            self.whole += 1
        else:
            self.cut.append(f'{name}: {len(pieces)} tokens, {final}')


async def last_start(session, cluster, names, started, for_s):
    """Return ms from ``started`` to the last new stream at each engine."""
    last = dict.fromkeys(names, 1)
    counts = {}
    while time.monotonic() - started < for_s:
        for name in names:
            body = await get_json(session, f'{cluster.url(name)}/v1/started')
            total = sum(body['started'].values())
            if name in counts and counts[name] != total:
                last[name] = int((time.monotonic() - started) * 1000)
            counts[name] = total
        await asyncio.sleep(0.01)
    return list(last.values())


async def measure_leaving(cluster):
    drained, noticed = HdrHistogram(1, 60_000, 3), HdrHistogram(1, 60_000, 3)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        load = Load(session, cluster, tokens=4)
        callers = [
            asyncio.create_task(load.call(n)) for n in range(FLAGS.callers)
        ]
        await asyncio.sleep(2)
        for zone in ZONES:
            for n in range(1, FLAGS.engines):
                name = f'engine-{zone}-{n}'
                teller = cluster.url(f'{random.choice(ZONES)}-1')
                async with session.post(
                    f'{teller}/admin/drain', json={'endpoint': name}
                ):
                    started = time.monotonic()
                for value in await last_start(
                    session, cluster, [name], started, 4
                ):
                    drained.record_value(value)
        for zone in ZONES[:2]:
            url = f'{cluster.url("cloud")}/admin/reclaim'
            async with session.post(
                url, json={'zone': zone, 'notice_ms': 60_000}
            ):
                started = time.monotonic()
            name = f'engine-{zone}-{FLAGS.engines}'
            for value in await last_start(
                session, cluster, [name], started, 4
            ):
                noticed.record_value(value)
        load.going = False
        await asyncio.gather(*callers)
    return {
        'drain told to one daemon': describe(drained),
        'reclaim notice': describe(noticed),
        'streams whole': load.whole,
        'streams cut': len(load.cut),
    }


async def measure_restart(cluster):
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        load = Load(session, cluster, tokens=200)
        callers = [
            asyncio.create_task(load.call(n)) for n in range(FLAGS.callers)
        ]
        await asyncio.sleep(1)
        for name in cluster.names('daemon'):
            cluster.signal(name, 'TERM')
            load.down.add(name)
            await asyncio.to_thread(cluster.restart, name)
            load.down.discard(name)
            await asyncio.sleep(0.5)
        load.going = False
        await asyncio.gather(*callers)
    return {
        'daemons restarted': len(cluster.names('daemon')),
        'streams whole': load.whole,
        'streams cut': len(load.cut),
        'cut': load.cut[:5],
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
