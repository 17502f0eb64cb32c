"""Metering a round: host time that costs, and the engines' counters."""

import asyncio
import collections
import time

import aiohttp

POLL_S = 0.25
COUNTERS = (
    'prefill_tokens',
    'cached_tokens',
    'decoded_tokens',
    'recomputed_tokens',
)
TIMEOUT = aiohttp.ClientTimeout(total=1)


class Meter:
    """Polls the hosts while a round runs.

    A host costs as long as it answers.  Counters keep the last value
    read from a host that has gone.

    :param session: an :class:`aiohttp.ClientSession`.
    :param plan: the :class:`Plan`.
    """

    def __init__(self, session, plan):
        self.session = session
        self.plan = plan
        self.first = {}
        self.last = {}
        self.cost = 0.0
        self.host_s = collections.Counter()
        self.cost_over_time = []
        self.executions = collections.Counter()

    async def read_host(self, host, elapsed_s):
        """Read one host's counters and charge the time it was up."""
        try:
            async with self.session.get(
                f'{host.url}/v1/stats', timeout=TIMEOUT
            ) as reply:
                body = await reply.json()
        except (aiohttp.ClientError, OSError, ValueError):
            return
        counters = {name: body.get(name, 0) for name in COUNTERS}
        self.first.setdefault(host.id, counters)
        self.last[host.id] = counters
        kind = 'reclaimable' if host.reclaimable else 'on-demand'
        self.host_s[kind] += elapsed_s
        self.cost += self.plan.price_of(host) * elapsed_s / 3600
        for key, count in body.get('executions', {}).items():
            self.executions[host.id, key] = count

    async def run(self):
        """Poll until cancelled."""
        started = before = time.monotonic()
        while True:
            now = time.monotonic()
            await asyncio.gather(
                *(self.read_host(h, now - before) for h in self.plan.hosts)
            )
            before = now
            self.cost_over_time.append((now - started, self.cost))
            await asyncio.sleep(POLL_S)

    def counted(self, name):
        """Return how much a counter of all engines grew."""
        return sum(
            last[name] - self.first[host_id][name]
            for host_id, last in self.last.items()
        )

    def doubled(self, keys):
        """Return how many of these keys' calls ran more than once."""
        runs = collections.Counter()
        for (_, scoped), count in self.executions.items():
            runs[scoped.rpartition('/')[2]] += count
        return sum(runs[key] > 1 for key in keys)
