"""Builders of endpoints that name a rate limit, and the check of its use."""

import asyncio

from pearrun.clock import Clock
from tests.platformsite import call
from tests.platformsite import wait_until

CLOCK = Clock()
# Any period of this length counts.
WINDOW_MS = 4000
# How much more than its rate limit an endpoint may get in a window.
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5
# Hosts have this long to learn of a limit.
LEARNING_MS = 3000
# Calls that were sent before their host had heard of the limit for this long
# do not count.
TOLD_MS = 500


def find_excess(arrivals_ms, advertised_ms, rate_per_s, until_ms):
    """Return the windows in which an endpoint got too many calls.

    All calls count that arrive ``TOLD_MS`` after the limit was advertised,
    also those of hosts that have not heard of it.

    :param arrivals_ms: when calls arrived at the endpoint.
    :param advertised_ms: when it first advertised its limit.
    :param until_ms: the end of the last window.
    :returns: pairs of a window's end, relative to ``advertised_ms``, and the
        number of calls in it.
    """
    allowed = EXCESS_FACTOR * rate_per_s * WINDOW_MS / 1000 + EXCESS_CALLS
    counted = [
        at_ms for at_ms in arrivals_ms if at_ms > advertised_ms + TOLD_MS
    ]
    ends = [advertised_ms + LEARNING_MS, until_ms, *counted]
    windows = []
    for end_ms in sorted(ends):
        if not advertised_ms + LEARNING_MS <= end_ms <= until_ms:
            continue
        count = sum(end_ms - WINDOW_MS < at <= end_ms for at in counted)
        if count > allowed:
            windows.append((end_ms - advertised_ms, count))
    return windows


class Load:
    """Calls at an even rate, which reach the hosts in turn.

    :param daemons: the hosts.
    :param interval_s: time between two calls.
    :param path: the calls' path.
    :param headers: further headers of the calls.

    ``sent_ms`` and ``hosts`` hold the time and the host of each call by its
    attempt id.
    """

    def __init__(self, daemons, interval_s=0.025, path='/safe/', **headers):
        self.daemons = list(daemons)
        self.interval_s = interval_s
        self.path = path
        self.headers = headers
        self.answers = []
        self.sent_ms = {}
        self.hosts = {}
        self._calls = set()
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        self._task.cancel()
        for task in self._calls:
            task.cancel()
        await asyncio.gather(self._task, *self._calls, return_exceptions=True)

    async def _run(self):
        number = 0
        while True:
            daemon = self.daemons[number % len(self.daemons)]
            task = asyncio.create_task(self._call(daemon, f'load-{number}'))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            number += 1
            await asyncio.sleep(self.interval_s)

    async def _call(self, daemon, attempt):
        self.sent_ms[attempt] = CLOCK.now()
        self.hosts[attempt] = daemon.settings.name
        answer = await call(daemon, self.path, attempt, **self.headers)
        self.answers.append(answer)


async def advertise_limit(runner, value):
    """Let an endpoint advertise a limit from its next answer on.

    :param value: the header's value; ``None`` to stop naming one.
    :returns: the time of the next call that arrives there.
    """
    runner.faults.rate_limit = value
    known = len(runner.arrivals_ms)
    await wait_until(lambda: len(runner.arrivals_ms) > known, 10)
    return runner.arrivals_ms[known]
