"""Benchmark of a burst during which a whole zone is reclaimed.

Starts stand-ins and daemons in three failure domains, sends nearly all
requests within the first seconds (drafts, whose long prompts share a
prefix, and non-idempotent renewal charges), announces the reclaim of one
zone, and kills every process there before the notice period ends.  This is
run four times, for all combinations of two settings: whether the KV cache of
running streams is moved out of the zone, and whether their tokens are saved
in the journal.  Prints JSON: numbers of requests accepted, answered
completely, lost, and executed more than once, and the ratio of recomputed
tokens to tokens served.

    python -m benchmarks.reclaim --drafts=120 --renewals=40
"""

import asyncio
import collections
import json
import random
import tempfile

from absl import app as absl_app
from absl import flags
import aiohttp

from pearrun.standins import text
from tests.cluster import Cluster
from tests.cluster import Zone

FLAGS = flags.FLAGS
flags.DEFINE_integer('drafts', 120, 'Drafts to send.')
flags.DEFINE_integer('renewals', 40, 'Non-idempotent calls to send.')
flags.DEFINE_integer('burst_ms', 2000, 'Duration of the burst.')
flags.DEFINE_integer('prompt_words', 800, 'Words per draft prompt.')
flags.DEFINE_integer('shared_words', 300, 'Words shared by all drafts.')
flags.DEFINE_integer('tokens', 150, 'Tokens per draft.')
flags.DEFINE_integer('reclaim_at_ms', 2000, 'Time of the reclaim notice.')
flags.DEFINE_integer('notice_ms', 4000, 'Notice period.')
flags.DEFINE_integer(
    'kill_after_ms', 3000, 'Time from the notice to the kill.'
)
flags.DEFINE_integer('seed', 1, 'Seed of the arrival times.')

ZONES = ('khomas-a', 'khomas-b', 'khomas-c')
RECLAIMED_ZONE = ZONES[0]
RUN_TIMEOUT_S = 60


def build_requests():
    """Build the requests of the burst.

    :returns: a list of ``(arrival time in seconds, request body)``.
    """
    rng = random.Random(FLAGS.seed)
    shared = ' '.join(f'rule{i}' for i in range(FLAGS.shared_words))
    requests = []
    for n in range(FLAGS.drafts):
        rest = FLAGS.prompt_words - FLAGS.shared_words
        own = ' '.join(f'd{n}f{i}' for i in range(rest))
        requests.append(
            {
                'model': 'permit-assistant',
                'prompt': f'{shared} {own}',
                'max_tokens': FLAGS.tokens,
            }
        )
    for n in range(FLAGS.renewals):
        requests.append({'model': 'licence-records', 'prompt': f'renewal {n}'})
    rng.shuffle(requests)
    arrivals = sorted(
        rng.betavariate(1, 3) * FLAGS.burst_ms / 1000 for _ in requests
    )
    return list(zip(arrivals, requests, strict=True))


def make_expected_answer(body):
    """Return the complete answer to a request."""
    if body['model'] == 'licence-records':
        return f'acknowledged {body["prompt"]}'
    return text.generate_answer(body['prompt'], 0, body['max_tokens'])


class Caller:
    """Sends one request, retries when refused, and polls for the answer."""

    def __init__(self, session, cluster, number, body):
        self.session = session
        self.cluster = cluster
        self.number = number
        self.body = body
        self.refusals = 0
        self.outcome = 'lost'

    def choose_daemon(self):
        """Return the URL of a random running daemon, like a load balancer."""
        names = [
            n
            for n in self.cluster.list_names('daemon')
            if self.cluster.procs[n].poll() is None
        ]
        return self.cluster.url(random.choice(names))

    async def submit(self):
        """Send the request until it is accepted; return its id."""
        headers = {
            'Prefer': 'respond-async',
            'Idempotency-Key': f'key-{self.number}',
        }
        while True:
            try:
                async with self.session.post(
                    f'{self.choose_daemon()}/v1/completions',
                    json=self.body,
                    headers=headers,
                ) as reply:
                    if reply.status == 202:
                        return (await reply.json())['id']
                    self.refusals += 1
                    pause_s = float(reply.headers.get('Retry-After', 1))
            except (aiohttp.ClientError, OSError):
                pause_s = 0.2
            await asyncio.sleep(pause_s)

    async def fetch(self, request_id):
        """Poll running daemons until the request has ended."""
        while True:
            try:
                async with self.session.get(
                    f'{self.choose_daemon()}/v1/requests/{request_id}',
                    timeout=aiohttp.ClientTimeout(total=5),
                ) as reply:
                    body = await reply.json()
                    if reply.status == 200 and body['state'] not in (
                        'accepted',
                        'running',
                    ):
                        return body
            except (aiohttp.ClientError, OSError, ValueError):
                pass
            await asyncio.sleep(0.3)

    async def run(self, arrival_s):
        await asyncio.sleep(arrival_s)
        request_id = await self.submit()
        self.outcome = 'accepted'
        answer = await self.fetch(request_id)
        if answer['state'] == 'done':
            is_complete = answer['text'] == make_expected_answer(self.body)
            self.outcome = 'whole' if is_complete else 'wrong'
        else:
            self.outcome = f'told {answer["error"]["error"]["code"]}'


async def read_stats(session, cluster, totals):
    """Update the counters of every process that responds."""
    paths = {'engine': '/v1/stats', 'daemon': '/v1/metrics'}
    for kind, path in paths.items():
        for name in cluster.list_names(kind):
            try:
                async with session.get(cluster.url(name) + path) as reply:
                    totals[name] = await reply.json()
            except (aiohttp.ClientError, OSError):
                continue


async def reclaim_zone(session, cluster):
    """Announce the reclaim of the zone, then kill its processes."""
    await asyncio.sleep(FLAGS.reclaim_at_ms / 1000)
    body = {'zone': RECLAIMED_ZONE, 'notice_ms': FLAGS.notice_ms}
    async with session.post(
        f'{cluster.url("cloud")}/admin/reclaim', json=body
    ):
        pass
    await asyncio.sleep(FLAGS.kill_after_ms / 1000)
    for name, zone in cluster.zone_of.items():
        if zone == RECLAIMED_ZONE:
            cluster.signal(name, 'KILL')


async def run_burst(cluster):
    """Send the burst, reclaim the zone and return the results."""
    totals = {}
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        callers = [
            (arrival, Caller(session, cluster, n, body))
            for n, (arrival, body) in enumerate(build_requests())
        ]

        async def poll_stats():
            while True:
                await read_stats(session, cluster, totals)
                await asyncio.sleep(0.2)

        stats_task = asyncio.create_task(poll_stats())
        reclaim_task = asyncio.create_task(reclaim_zone(session, cluster))
        runs = [asyncio.create_task(c.run(a)) for a, c in callers]
        await asyncio.wait(runs, timeout=RUN_TIMEOUT_S)
        for run in runs:
            run.cancel()
        await reclaim_task
        stats_task.cancel()
        await read_stats(session, cluster, totals)
        executions = collections.Counter()
        for name in cluster.list_names('service'):
            if cluster.procs[name].poll() is None:
                async with session.get(
                    f'{cluster.url(name)}/v1/executions'
                ) as reply:
                    executions.update((await reply.json())['executions'])
    outcomes = collections.Counter(c.outcome for _, c in callers)
    engines = [totals[n] for n in cluster.list_names('engine') if n in totals]
    daemons = [totals[n] for n in cluster.list_names('daemon') if n in totals]

    def count(name):
        return sum(m[name] for d in daemons for m in d['services'].values())

    answered = sum(
        c.body.get('max_tokens', 0) for _, c in callers if c.outcome == 'whole'
    )
    decoded = sum(e['decoded_tokens'] for e in engines)
    recomputed_prompt = sum(e['recomputed_tokens'] for e in engines)
    recomputed = recomputed_prompt + max(0, decoded - answered)
    served = sum(
        e['decoded_tokens'] + e['prefill_tokens'] + e['cached_tokens']
        for e in engines
    )
    return {
        'requests': len(callers),
        'accepted': sum(
            n for outcome, n in outcomes.items() if outcome != 'lost'
        ),
        'whole': outcomes['whole'],
        'lost': outcomes['lost'] + outcomes['accepted'],
        'wrong': outcomes['wrong'],
        'told_unknown': outcomes['told 1502'],
        'outcomes': dict(outcomes),
        'refusals_before_acceptance': sum(c.refusals for _, c in callers),
        'keys_run_more_than_once': sum(n > 1 for n in executions.values()),
        'moves': count('moves'),
        'retries': count('retries'),
        'adopted': count('adopted'),
        'prompt_tokens_reread': recomputed_prompt,
        'tokens_decoded_again': max(0, decoded - answered),
        'tokens_recomputed': recomputed,
        'recomputed_share': round(recomputed / max(1, served), 5),
    }


def run_cluster(**host):
    """Start a cluster with these host settings and run the burst on it."""
    cluster = Cluster(
        tempfile.mkdtemp(prefix='pearrun-reclaim-'),
        {zone: Zone(daemons=2, engines=2, services=1) for zone in ZONES},
        ['--decode_ms=8', '--slots=32', '--cache_blocks=8192'],
        host={'config_poll_ms': 250, **host},
    )
    try:
        return asyncio.run(run_burst(cluster.start_all()))
    finally:
        cluster.stop()


def main(argv):
    del argv
    results = {
        'neither': run_cluster(move_cache=False, save_progress=False),
        'cache moved': run_cluster(move_cache=True, save_progress=False),
        'progress saved': run_cluster(move_cache=False, save_progress=True),
        'both': run_cluster(move_cache=True, save_progress=True),
    }
    baseline = max(1, results['neither']['tokens_recomputed'])
    for figures in results.values():
        ratio = figures['tokens_recomputed'] / baseline
        figures['ratio_to_neither'] = round(ratio, 4)
    print(json.dumps(results, indent=2))


if __name__ == '__main__':
    absl_app.run(main)
