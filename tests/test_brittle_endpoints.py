"""Endpoints that crash if they refuse too many calls."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.decisions.brittleness import Brittleness
from pearrun.decisions.brittleness import StartAllowance
from pearrun.standins.platformsite import make_config
from tests import limits
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_topology import run_with_hubs

PLAIN = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
STREAM = [('m1', 'model'), ('m2', 'model')]
# Falls of a service's endpoints that are tolerated, beside a tenth of their
# number.
TOLERATED_FALLS = 2
LEARNING_S = 3
SLOTS = 6
MAX_WAITING = 20
OVERLOAD_S = 4


async def check_falls(site, daemons, brittle, interval_s, **load):
    """Check that endpoints rarely fall over under several times their load.

    They are brittle from the first second on and let none wait 3 s later.
    """
    runners = list(site.runners.values())
    for runner in runners:
        runner.slots = SLOTS
        runner.work_ms = 200
        runner.event_ms = 40
        runner.faults.max_waiting = MAX_WAITING
        site.publish_runner(runner)
    async with limits.Load(daemons, 0.05, **load):
        await asyncio.sleep(1)
        for runner in runners:
            runner.faults.brittle = brittle
        await asyncio.sleep(LEARNING_S)
        for runner in runners:
            runner.faults.max_waiting = 0
            runner.falls = 0
        served = sum(len(runner.runs) for runner in runners)
        async with limits.Load(daemons, interval_s, **load) as overload:
            await asyncio.sleep(OVERLOAD_S)
    falls = sum(runner.falls for runner in runners)
    assert falls <= TOLERATED_FALLS + len(runners) / 10
    served = sum(len(runner.runs) for runner in runners) - served
    assert {answer.status for answer in overload.answers} <= {200, 502, 503}
    return served


@pytest.mark.parametrize('brittle', ['3', '8'])
def test_brittle_endpoints_survive_a_burst(brittle):
    async def main():
        async with run_site(make_config(), PLAIN, hosts=9) as site:
            daemons = list(site.hosts.values())
            served = await check_falls(site, daemons, brittle, 0.004)
            assert served > 0

    asyncio.run(main())


def test_brittle_endpoints_survive_a_burst_in_a_fleet_with_hubs(monkeypatch):
    async def scenario(site, daemons):
        await check_falls(site, daemons, '4', 0.004)

    run_with_hubs(scenario, monkeypatch, PLAIN)


def test_brittle_engines_survive_a_burst():
    async def main():
        async with run_site(make_config(), STREAM, hosts=5) as site:
            daemons = list(site.hosts.values())
            load = {'path': '/long/', **make_prompt()}
            await check_falls(site, daemons, '4', 0.01, **load)

    asyncio.run(main())


def test_calm_calls_to_brittle_endpoints_are_served():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=9) as site:
            for runner in site.runners.values():
                runner.faults.brittle = '3'
                runner.work_ms = 50
            async with limits.Load(site.hosts.values(), 0.02) as load:
                await asyncio.sleep(4)
            served = [answer.status == 200 for answer in load.answers]
            assert len(served) > 150
            assert sum(served) > 0.95 * len(served)

    asyncio.run(main())


def test_endpoint_is_sound_again_once_an_answer_says_so():
    async def main():
        async with run_site(make_config(), PLAIN[:1]) as site:
            (daemon,) = site.hosts.values()
            faults = site.runners['p1'].faults
            faults.brittle = '3'
            await call(daemon, '/once/', 'a')
            assert daemon.host.brittle.is_brittle('plain')
            faults.brittle = None
            await asyncio.sleep(0.1)
            await call(daemon, '/once/', 'b')
            assert not daemon.host.brittle.is_brittle('plain')

    asyncio.run(main())


@pytest.mark.parametrize('value', ['few', '-1', 'nan', ''])
def test_malformed_brittleness_changes_nothing(value):
    async def main():
        async with run_site(make_config(), PLAIN[:1]) as site:
            (daemon,) = site.hosts.values()
            site.runners['p1'].faults.brittle = None
            assert (await call(daemon, '/once/', 'a')).status == 200
            site.runners['p1'].faults.brittle = value
            assert (await call(daemon, '/once/', 'b')).status == 200
            assert not daemon.host.brittle.is_brittle('plain')

    asyncio.run(main())


def test_request_is_not_blamed_for_the_fall_of_a_brittle_endpoint():
    async def main():
        async with run_site(make_config(), PLAIN[:1]) as site:
            (daemon,) = site.hosts.values()
            runner = site.runners['p1']
            runner.faults.brittle = '3'
            await call(daemon, '/once/', 'a')
            runner.work_ms = 500
            pending = asyncio.create_task(call(daemon, '/once/', 'b'))
            await wait_until(lambda: len(runner.runs) == 2)
            runner.end()
            assert (await pending).status == 502
            await asyncio.sleep(0.3)
            assert not daemon.host.crashes.has_outages()

    asyncio.run(main())


@given(st.floats(0, 100), st.floats(0, 1000), st.floats(0, 1000))
def test_refusal_never_raises_a_limit_in_force(named, limit, served):
    brittle = Brittleness(named)
    assert brittle.compute_limit(limit, served) <= limit
    assert brittle.compute_limit(None, served) <= max(named, served)


@given(
    st.integers(0, 128),
    st.integers(1, 300),
    st.lists(st.integers(0, 400), max_size=50),
)
def test_hosts_start_no_more_than_the_free_slots_in_a_round(
    free, hosts, gaps_ms
):
    allowance = StartAllowance(0)
    allowance.calls = 0
    now_ms = 0
    started = 0
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        allowance.refill(free, hosts, 250, now_ms)
        while allowance.has_call():
            allowance.take()
            started += 1
    assert started <= free / hosts * now_ms / 250 + 1e-6
