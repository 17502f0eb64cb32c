"""Measurement of a round: cost of the hosts and counters of the engines."""

import asyncio
import collections
import time

import aiohttp

POLL_INTERVAL_S = 0.25
COUNTERS = (
    'prefill_tokens',
    'cached_tokens',
    'decoded_tokens',
    'recomputed_tokens',
)
TIMEOUT = aiohttp.ClientTimeout(total=1)


class Meter:
    """Polls the hosts during a round.

    A host is charged for as long as it responds.  When a host
    stops responding, the counters last read from it are kept.

    :param session: an :class:`aiohttp.ClientSession`.
    :param plan: the :class:`Plan`.
    """

    def __init__(self, session, plan):
        self.session = session
        self.plan = plan
        self.first_counters = {}
        self.last_counters = {}
        self.cost = 0.0
        self.host_s = collections.Counter()
        self.cost_over_time = []
        self.executions = collections.Counter()

    async def read_host(self, host, elapsed_s):
        """Read a host's counters and charge for a period.

        :param elapsed_s: the time since the last poll.
        """
        try:
            async with self.session.get(
                f'{host.url}/v1/stats', timeout=TIMEOUT
            ) as reply:
                body = await reply.json()
        except (aiohttp.ClientError, OSError, ValueError):
            return
        counters = {name: body.get(name, 0) for name in COUNTERS}
        self.first_counters.setdefault(host.id, counters)
        self.last_counters[host.id] = counters
        kind = 'reclaimable' if host.reclaimable else 'on-demand'
        self.host_s[kind] += elapsed_s
        self.cost += self.plan.get_price(host) * elapsed_s / 3600
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
            await asyncio.sleep(POLL_INTERVAL_S)

    def sum_increases(self, name):
        """Return the sum of a counter's increases on all hosts."""
        return sum(
            last[name] - self.first_counters[host_id][name]
            for host_id, last in self.last_counters.items()
        )

    def count_duplicates(self, keys):
        """Return how many of the keys were executed more than once."""
        runs = collections.Counter()
        for (_, scoped_key), count in self.executions.items():
            runs[scoped_key.rpartition('/')[2]] += count
        return sum(runs[key] > 1 for key in keys)
