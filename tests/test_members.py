"""Membership: failure detection by counts of own heartbeats."""

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


def make_member(number, run=1, state=MemberState.LIVE):
    return Member(
        name=f'h{number}',
        stream=f'requests.h{number}.{run}',
        zone='boa-viagem',
        url='http://127.0.0.1:1',
        state=state,
    )


def make_membership(log, number):
    own = make_member(number)
    return Membership(log, builders.build_settings(f'h{number}'), lambda: own)


STEPS = st.lists(
    st.sampled_from(
        ['heartbeat 0', 'heartbeat 1', 'poll 0', 'poll 1', 'down', 'up']
    ),
    max_size=60,
)


@given(steps=STEPS)
@hypothesis_settings(deadline=None, derandomize=True)
def test_host_is_dead_only_after_missed_heartbeats(steps):
    """Log outages and delayed reads must not make a live host look dead."""
    log = builders.FakeLog()
    hosts = [make_membership(log, n) for n in range(2)]
    appended = []

    async def scenario():
        for step in steps:
            if step in ('down', 'up'):
                log.down = step == 'down'
                continue
            kind, number = step.split()
            host = hosts[int(number)]
            if kind == 'heartbeat':
                if await host.send_heartbeat():
                    appended.append(int(number))
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
        last = max(i for i, n in enumerate(appended) if n == other)
        own_since = appended[last:].count(number)
        dead = own_since >= host.orphan_beats
        assert host.is_dead(host.find(stream)) == dead

    asyncio.run(scenario())


def test_extra_heartbeats_do_not_count_as_missed_ones():
    """Guards against live hosts that are declared dead.

    Many reclaim notices at once make one host send many heartbeats.
    """
    log = builders.FakeLog()
    observer, other = make_membership(log, 0), make_membership(log, 1)

    async def scenario():
        await other.send_heartbeat()
        for _ in range(10):
            await observer.send_heartbeat(extra=True)
        await observer.poll_once()

    asyncio.run(scenario())
    assert not observer.is_dead(observer.find('requests.h1.1'))


def test_later_run_of_a_host_replaces_the_earlier_one():
    observer = make_membership(builders.FakeLog(), 0)
    observer.receive(make_member(1, run=1).to_heartbeat())
    observer.receive(make_member(1, run=2).to_heartbeat())
    assert observer.is_dead(observer.find('requests.h1.1'))
    assert not observer.is_dead(observer.find('requests.h1.2'))


def test_host_that_has_left_is_dead_at_once():
    observer = make_membership(builders.FakeLog(), 0)
    observer.receive(make_member(1, state=MemberState.LEFT).to_heartbeat())
    assert observer.is_dead(observer.find('requests.h1.1'))


@given(size=st.integers(1, 400))
@hypothesis_settings(deadline=None)
def test_total_heartbeat_rate_is_limited(size):
    start_s = time.process_time()
    observer = make_membership(builders.FakeLog(), 0)
    for number in range(size):
        observer.receive(make_member(number).to_heartbeat())
    assert time.process_time() - start_s < builders.MAX_CPU_S
    assert (
        size * 1000 / observer.heartbeat_interval_ms
        <= MAX_HEARTBEATS_PER_S + 1
    )


def test_concurrent_polls_count_each_heartbeat_once():
    """Polls overlap, because lookups poll too.

    A heartbeat that is read twice must not count twice.
    """
    log = builders.FakeLog()
    observer, other = make_membership(log, 0), make_membership(log, 1)

    async def scenario():
        await other.send_heartbeat()
        await observer.poll_once()
        for _ in range(observer.orphan_beats - 1):
            await observer.send_heartbeat()
        await asyncio.gather(*(observer.poll_once() for _ in range(3)))

    asyncio.run(scenario())
    assert not observer.is_dead(observer.find('requests.h1.1'))
