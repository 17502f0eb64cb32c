"""Peer links: a ring of few links reaches everybody."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.api import config
from pearrun.api import peers as peers_module
from pearrun.api.router import Router
from pearrun.api.tokenbucket import BURST_APPENDS
from pearrun.api.tokenbucket import JOURNAL_RATE_FRACTION
from pearrun.api.tokenbucket import TokenBucket
from pearrun.clock import Clock
from tests import builders


@given(size=st.integers(1, 60))
def test_news_passed_on_around_the_ring_reaches_everybody(size):
    urls = [f'ws://127.0.0.1:{9000 + n}/peer' for n in range(size)]
    links = {
        own: peers_module.choose_neighbours(own, [u for u in urls if u != own])
        for own in urls
    }
    assert all(own not in near for own, near in links.items())
    assert all(len(n) == min(size - 1, 3) for n in links.values())
    reached, fresh = {urls[0]}, {urls[0]}
    while fresh:
        fresh = {n for own in fresh for n in links[own]} - reached
        reached |= fresh
    assert reached == set(urls)


def make_peers(version):
    settings = builders.settings()
    follower = config.ConfigFollower(builders.FakeLog(), settings)
    follower.tree = builders.team_tree(version=version)
    router = Router([builders.endpoint(0)], 'boa-viagem')
    return peers_module.Peers(settings, router, follower)


@given(mine=st.integers(1, 5), theirs=st.integers(1, 5))
def test_heartbeats_bring_the_older_side_up_to_date(mine, theirs):
    """And never take the newer one back."""
    dialer, server = make_peers(mine), make_peers(theirs)
    answer = server.receive(dialer.encode(dialer.heartbeat()))
    dialer.receive(server.encode(answer))
    assert dialer.config.tree.version == max(mine, theirs)
    assert server.config.tree.version == theirs
    assert (answer['type'] == 'config') == (mine < theirs)


def test_leaving_is_passed_on_once():
    async def scenario():
        peers = make_peers(1)
        peers.outbox = {'ws://a': asyncio.Queue(10)}
        endpoint = next(iter(peers.router.endpoints))
        news = peers.encode({'type': 'leaving', 'endpoint': endpoint})
        for _ in range(3):
            peers.receive(news)
        return peers.outbox['ws://a'].qsize()

    assert asyncio.run(scenario()) == 1


class StandingClock(Clock):
    """A clock by which all happens at once."""

    def now(self):
        return 0


@given(writers=st.integers(1, 320), wanted=st.integers(1, 300))
def test_daemons_together_keep_to_the_journals_share(writers, wanted):
    """Beyond its burst, a daemon waits its gap for each append."""
    pace = TokenBucket(400, lambda: writers)
    pace.clock = StandingClock()
    pace.refilled_ms = pace.clock.now()
    waits = [pace.reserve() for _ in range(wanted)]
    gap = 1000 * writers / (400 * JOURNAL_RATE_FRACTION)
    assert waits == sorted(waits)
    expected = max(0, wanted - BURST_APPENDS) * gap
    assert waits[-1] == pytest.approx(expected)
