"""Peer links and the rate limit of journal appends."""

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
def test_message_forwarded_around_the_ring_reaches_all_daemons(size):
    urls = [f'ws://127.0.0.1:{9000 + n}/peer' for n in range(size)]
    links = {
        own: peers_module.choose_neighbours(own, [u for u in urls if u != own])
        for own in urls
    }
    assert all(own not in neighbours for own, neighbours in links.items())
    assert all(len(n) == min(size - 1, 3) for n in links.values())
    reached, newly_reached = {urls[0]}, {urls[0]}
    while newly_reached:
        newly_reached = {
            n for own in newly_reached for n in links[own]
        } - reached
        reached |= newly_reached
    assert reached == set(urls)


def make_peers(version):
    settings = builders.build_settings()
    follower = config.ConfigFollower(builders.FakeLog(), settings)
    follower.tree = builders.build_team_tree(version=version)
    router = Router([builders.make_endpoint(0)], 'boa-viagem')
    return peers_module.Peers(settings, router, follower)


@given(mine=st.integers(1, 5), theirs=st.integers(1, 5))
def test_heartbeats_update_the_older_configuration(mine, theirs):
    """A newer configuration is never replaced by an older one."""
    dialer, server = make_peers(mine), make_peers(theirs)
    answer = server.receive(dialer.encode(dialer.build_heartbeat()))
    dialer.receive(server.encode(answer))
    assert dialer.config.tree.version == max(mine, theirs)
    assert server.config.tree.version == theirs
    assert (answer['type'] == 'config') == (mine < theirs)


def test_leaving_message_is_forwarded_once():
    async def scenario():
        peers = make_peers(1)
        peers.outbox = {'ws://a': asyncio.Queue(10)}
        endpoint = next(iter(peers.router.endpoints))
        message = peers.encode({'type': 'leaving', 'endpoint': endpoint})
        for _ in range(3):
            peers.receive(message)
        return peers.outbox['ws://a'].qsize()

    assert asyncio.run(scenario()) == 1


class ConstantClock(Clock):
    """A clock whose time never changes."""

    def now(self):
        return 0


@given(writers=st.integers(1, 320), appends=st.integers(1, 300))
def test_total_journal_append_rate_is_limited(writers, appends):
    """After its burst, a daemon waits one interval for each append."""
    bucket = TokenBucket(400, lambda: writers)
    bucket.clock = ConstantClock()
    bucket.filled_ms = bucket.clock.now()
    waits = [bucket.reserve() for _ in range(appends)]
    interval_ms = 1000 * writers / (400 * JOURNAL_RATE_FRACTION)
    assert waits == sorted(waits)
    expected = max(0, appends - BURST_APPENDS) * interval_ms
    assert waits[-1] == pytest.approx(expected)
