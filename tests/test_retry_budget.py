"""The retry budget that all hosts share."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from benchmarks import retries
from benchmarks.retries import Day
from benchmarks.retries import Restart
from pearrun.standins.platformsite import make_config
from tests import limits
from tests.platformsite import run_site
from tests.platformsite import wait_until

SEEDS = range(2)
RUNNERS = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
BOUNDS = {'budget_ratio': 0.2, 'budget_slack': 30, 'budget_window_s': 10}
LOAD_S = 0.5
# More appends than any test makes.
ALL_APPENDS = 10**9

restarts = st.builds(
    Restart,
    at_ms=st.integers(0, 9000),
    share=st.sampled_from([0.2, 0.5, 1.0]),
    down_ms=st.integers(50, 3000),
    drained=st.booleans(),
    gap_ms=st.integers(0, 1000),
    list_ms=st.one_of(st.none(), st.integers(0, 8000)),
)
days = st.builds(
    Day,
    hosts=st.integers(2, 14),
    calls_per_s=st.sampled_from([10.0, 60.0, 200.0]),
    slack=st.sampled_from([30.0, 58.0]),
    refused_share=st.sampled_from([0.1, 0.5, 1.0]),
    faulty_hosts=st.sampled_from([0.3, 1.0]),
    restarts=st.lists(restarts, max_size=4).map(tuple),
    added=st.integers(0, 6),
    added_list_ms=st.one_of(st.none(), st.integers(0, 5000)),
    max_delay_ms=st.sampled_from([0, 300]),
)


@pytest.mark.parametrize('name', retries.DAYS)
def test_retries_of_restarted_hosts_stay_within_the_budget(name):
    for seed in SEEDS:
        assert retries.simulate(retries.DAYS[name], seed).excess <= 0


@given(days, st.integers(0, 1000))
@settings(max_examples=60, deadline=None)
def test_retries_stay_within_the_budget_whatever_hosts_do(day, seed):
    assert retries.simulate(day, seed).excess <= 0


async def restart(site, numbers):
    """Kill some hosts at the same moment and start them again."""
    site.uptime_ms = 0
    names = [f'host-{number}' for number in numbers]
    await asyncio.gather(*(site.hosts[name].end() for name in names))
    for number in numbers:
        await site.add_host(number, **BOUNDS)
    for name in names:
        await wait_until(site.hosts[name].host.is_ready)


async def count_retries(site, times):
    """Let all endpoints refuse calls while all hosts are restarted.

    :param times: number of restarts.
    :returns: pairs of the number of calls and of arrivals beyond the first.
    """
    for runner in site.runners.values():
        runner.faults.full = True
    calls = 0
    for _ in range(times):
        daemons = list(site.hosts.values())
        async with limits.Load(daemons, 0.005) as load:
            await asyncio.sleep(LOAD_S)
        calls += len(load.answers)
        await restart(site, range(1, len(daemons) + 1))
    arrivals = sum(len(item.arrivals_ms) for item in site.runners.values())
    return calls, arrivals - calls


def assert_within_budget(calls, retried):
    ratio, slack = BOUNDS['budget_ratio'], BOUNDS['budget_slack']
    assert retried <= ratio * calls + slack


@pytest.mark.parametrize('hosts', [1, 5])
def test_hosts_killed_again_and_again_share_one_retry_budget(hosts):
    async def main():
        async with run_site(make_config(), RUNNERS, hosts, **BOUNDS) as site:
            assert_within_budget(*await count_retries(site, 8))

    asyncio.run(main())


def test_hosts_that_cannot_register_retry_within_the_budget():
    async def main():
        async with run_site(make_config(), RUNNERS, 5, **BOUNDS) as site:
            site.store.faults.lose_answers = ALL_APPENDS
            await restart(site, range(1, 6))
            assert_within_budget(*await count_retries(site, 3))

    asyncio.run(main())


def test_list_of_hosts_is_read_though_no_write_is_acknowledged():
    async def main():
        async with run_site(make_config(), RUNNERS, 5, **BOUNDS) as site:
            entries = site.store.get_topic('keyed.hosts').newest
            await wait_until(lambda: len(entries) == 5)
            site.store.faults.lose_answers = ALL_APPENDS
            await restart(site, [1])
            members = site.hosts['host-1'].host.members
            await wait_until(lambda: members.listed, 1)
            assert members.count() == 5

    asyncio.run(main())
