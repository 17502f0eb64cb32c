"""Connections are shed while most of a region's reach one host."""

import asyncio
import collections
import dataclasses
import random

import pytest

from pearrun import exceptions
from pearrun.decisions.shedding import Shedder
from pearrun.decisions.shedding import SheddingSettings
from pearrun.http1 import client
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_headers
from tests.platformsite import run_site

PLAIN = [('p1', 'plain')]
# Requests that one host serves with all its processor time.
CAPACITY_PER_S = 150
# A request is served if its answer begins within this time.
TARGET_MS = 500
STEP_MS = 50
# From this time on, most requests that are read have to be served.
TOUCH_S = 3
SERVED_SHARE = 3 / 4


@dataclasses.dataclass
class Counts:
    """Requests on connections that were accepted, and shed ones."""

    read: int = 0
    served: int = 0
    shed: int = 0


class AcceptAll(Shedder):
    """A shedder that accepts every connection."""

    def accept(self, now_ms):
        """See :class:`Shedder`."""
        return True


def simulate(shedder, offered_per_s, seconds=12, seed=1):
    """Serve requests, one on each new connection, in their order.

    :returns: the :class:`Counts` from ``TOUCH_S`` on.
    """
    rng = random.Random(seed)
    counts = Counts()
    queue = collections.deque()
    now_ms = 0.0
    done = 0.0
    next_ms = 0.0
    while now_ms < seconds * 1000:
        while next_ms <= now_ms:
            if shedder.accept(next_ms):
                queue.append(next_ms)
            elif now_ms >= TOUCH_S * 1000:
                counts.shed += 1
            next_ms += rng.expovariate(offered_per_s) * 1000
        done += CAPACITY_PER_S * STEP_MS / 1000
        while queue and done >= 1:
            done -= 1
            came_ms = queue.popleft()
            if came_ms >= TOUCH_S * 1000:
                counts.read += 1
                counts.served += now_ms - came_ms <= TARGET_MS
        done = min(done, 1.0)
        # The event loop is late by the work that is due.
        shedder.note_lag(len(queue) * 1000 / CAPACITY_PER_S)
        now_ms += STEP_MS
    return counts


@pytest.mark.parametrize('factor', [1.2, 2, 5, 9])
def test_most_requests_that_are_read_are_served(factor):
    for seed in range(5):
        counts = simulate(Shedder(), CAPACITY_PER_S * factor, seed=seed)
        assert counts.served >= SERVED_SHARE * counts.read
        assert counts.read >= SERVED_SHARE * CAPACITY_PER_S * 9


def test_without_shedding_an_overloaded_host_serves_few_in_time():
    counts = simulate(AcceptAll(), 2 * CAPACITY_PER_S)
    assert counts.served < SERVED_SHARE * counts.read


def test_no_connection_is_shed_below_capacity():
    counts = simulate(Shedder(), 0.7 * CAPACITY_PER_S)
    assert not counts.shed


def test_single_delays_shed_no_connections():
    shedder = Shedder()
    for _ in range(100):
        # A frozen host, and one whose processor quota is used up.
        for lag_ms in (4000, 150, 0):
            shedder.note_lag(lag_ms)
            assert shedder.accept(0)


def test_shedding_ends_with_the_overload():
    shedder = Shedder()
    for _ in range(100):
        shedder.note_lag(1000)
    assert shedder.share > 0.9
    for _ in range(30):
        shedder.note_lag(0)
    assert all(shedder.accept(now_ms) for now_ms in range(100))


def test_some_connections_are_accepted_at_any_load():
    shedder = Shedder(SheddingSettings(max_share=1.0))
    for _ in range(100):
        shedder.note_lag(1000)
    accepted = [now_ms for now_ms in range(3000) if shedder.accept(now_ms)]
    assert len(accepted) >= 10


def test_a_shed_connection_is_closed_before_its_request_is_read():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            busy, other = site.hosts.values()
            guard = busy.host.overload
            guard.shedder.accept = lambda now_ms: False
            address = busy.settings.front_address
            connection = await client.connect(address, 1000, 5000)
            with pytest.raises(exceptions.BackendError):
                connection.send('GET', '/once/x', make_headers('a1'))
                await connection.read_head()
            assert guard.shed == 1
            assert not site.runners['p1'].runs
            assert not busy.front.connections
            # The host stays ready, and another one serves the next try.
            assert busy.host.is_ready()
            assert (await call(other, '/once/x', 'a2')).status == 200

    asyncio.run(main())
