"""Membership: who is alive, counted in the observer's own beats."""

import asyncio
import time

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pearrun import exceptions
from pearrun.api.members import MAX_HEARTBEATS_PER_S
from pearrun.api.members import Member
from pearrun.api.members import Membership
from pearrun.states import MemberState
from tests import builders


def member(number, run=1, state=MemberState.LIVE):
    return Member(
        name=f'h{number}',
        stream=f'requests.h{number}.{run}',
        zone='boa-viagem',
        url='http://127.0.0.1:1',
        state=state,
    )


def membership(log, number):
    own = member(number)
    return Membership(log, builders.settings(f'h{number}'), lambda: own)


STEPS = st.lists(
    st.sampled_from(['beat 0', 'beat 1', 'poll 0', 'poll 1', 'down', 'up']),
    max_size=60,
)


@given(steps=STEPS)
@hypothesis_settings(deadline=None, derandomize=True)
def test_nobody_who_beats_as_often_is_taken_for_dead(steps):
    """Whatever the outages and however late the observer reads."""
    log = builders.FakeLog()
    hosts = [membership(log, n) for n in range(2)]
    landed = []

    async def scenario():
        for step in steps:
            if step in ('down', 'up'):
                log.down = step == 'down'
                continue
            kind, number = step.split()
            host = hosts[int(number)]
            if kind == 'beat':
                if await host.send_heartbeat():
                    landed.append(int(number))
                continue
            try:
                await host.poll_once()
            except exceptions.JournalUnavailableError:
                continue
            check(host, int(number))

    def check(host, number):
        other = 1 - number
        stream = f'requests.h{other}.1'
        if host.find(stream) is None:
            return
        last = max(i for i, n in enumerate(landed) if n == other)
        own_since = landed[last:].count(number)
        dead = own_since >= host.orphan_beats
        assert host.is_dead(host.find(stream)) == dead

    asyncio.run(scenario())


def test_beats_that_only_tell_news_make_nobody_look_dead():
    """A wave of reclaim notices makes one host beat many times."""
    log = builders.FakeLog()
    watcher, other = membership(log, 0), membership(log, 1)

    async def scenario():
        await other.send_heartbeat()
        for _ in range(10):
            await watcher.send_heartbeat(extra=True)
        await watcher.poll_once()

    asyncio.run(scenario())
    assert not watcher.is_dead(watcher.find('requests.h1.1'))


def test_later_run_of_the_same_host_replaces_the_earlier():
    watcher = membership(builders.FakeLog(), 0)
    watcher.receive(member(1, run=1).to_heartbeat())
    watcher.receive(member(1, run=2).to_heartbeat())
    assert watcher.is_dead(watcher.find('requests.h1.1'))
    assert not watcher.is_dead(watcher.find('requests.h1.2'))


def test_host_that_says_it_left_is_dead_at_once():
    watcher = membership(builders.FakeLog(), 0)
    watcher.receive(member(1, state=MemberState.LEFT).to_heartbeat())
    assert watcher.is_dead(watcher.find('requests.h1.1'))


@given(size=st.integers(1, 400))
@hypothesis_settings(deadline=None)
def test_beats_of_all_together_keep_to_their_share_of_the_log(size):
    began_s = time.process_time()
    watcher = membership(builders.FakeLog(), 0)
    for number in range(size):
        watcher.receive(member(number).to_heartbeat())
    assert time.process_time() - began_s < builders.MAX_CPU_S
    assert (
        size * 1000 / watcher.heartbeat_interval_ms <= MAX_HEARTBEATS_PER_S + 1
    )


def test_poll_that_overlaps_another_counts_no_beat_twice():
    """Lookups poll too; a beat read twice must not count twice."""
    log = builders.FakeLog()
    watcher, other = membership(log, 0), membership(log, 1)

    async def scenario():
        await other.send_heartbeat()
        await watcher.poll_once()
        for _ in range(watcher.orphan_beats - 1):
            await watcher.send_heartbeat()
        await asyncio.gather(*(watcher.poll_once() for _ in range(3)))

    asyncio.run(scenario())
    assert not watcher.is_dead(watcher.find('requests.h1.1'))
