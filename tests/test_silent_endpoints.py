"""Endpoints that fall silent for a second or two and then go on."""

import asyncio

import pytest

from pearrun.relay.exchange import ONE_RUN_USER_TIMEOUT_MS
from pearrun.shared.pools import TCP_USER_TIMEOUT_MS
from pearrun.standins.platformsite import make_config
from tests.partitions import Partition
from tests.platformsite import call
from tests.platformsite import run_site

PLAIN = [('p1', 'plain'), ('p2', 'plain')]


def run_with_partition(scenario, runners=PLAIN):
    """Run a scenario with the site, its host and a :class:`Partition`."""

    async def main():
        async with run_site(make_config(), runners) as site:
            (daemon,) = site.hosts.values()
            partition = Partition()
            await scenario(site, daemon, partition)

    asyncio.run(main())


def count_runs(site):
    """Return the number of runs at all endpoints."""
    return sum(len(runner.runs) for runner in site.runners.values())


@pytest.mark.parametrize(
    'work_ms, begin_s, silent_s',
    [(2, 0, 1.2), (300, 0.1, 1.5), (1500, 0.9, 1.6)],
)
def test_call_that_must_not_be_repeated_outlasts_a_silent_endpoint(
    work_ms, begin_s, silent_s
):
    # The user timeout of the connection ended the call.
    async def scenario(site, daemon, partition):
        assert (await call(daemon, '/once/', 'a')).status == 200
        runner = site.runners['p1']
        runner.work_ms = work_ms
        if not begin_s:
            partition.silence(runner, silent_s)
        pending = asyncio.create_task(call(daemon, '/once/', 'b'))
        await asyncio.sleep(begin_s)
        if begin_s:
            partition.silence(runner, silent_s)
        assert (await pending).status == 200
        assert count_runs(site) == 2

    run_with_partition(scenario, PLAIN[:1])


def test_other_calls_avoid_a_silent_endpoint_meanwhile():
    async def scenario(site, daemon, partition):
        for number in range(4):
            await call(daemon, '/once/', f'a-{number}')
        partition.silence(site.runners['p1'], 2)
        pending = [
            asyncio.create_task(call(daemon, '/once/', f'b-{number}'))
            for number in range(4)
        ]
        await asyncio.sleep(0.8)
        for number in range(10):
            began_ms = daemon.clock.now()
            answer = await call(daemon, '/once/', f'c-{number}')
            assert answer.status == 200
            assert daemon.clock.since(began_ms) < 100
        for answer in await asyncio.gather(*pending):
            assert answer.status == 200
        assert count_runs(site) == 18

    run_with_partition(scenario)


def test_calls_that_may_be_repeated_do_not_wait_for_a_silent_endpoint():
    async def scenario(site, daemon, partition):
        for number in range(4):
            await call(daemon, '/safe/', f'a-{number}')
        partition.silence(site.runners['p1'], 2)
        for number in range(4):
            began_ms = daemon.clock.now()
            answer = await call(daemon, '/safe/', f'b-{number}')
            assert answer.status == 200
            assert daemon.clock.since(began_ms) < 1000

    run_with_partition(scenario)


def test_silent_endpoint_is_not_taken_for_a_crash_or_for_lost_paths():
    async def scenario(site, daemon, partition):
        for number in range(4):
            await call(daemon, '/safe/', f'a-{number}')
        partition.silence(site.runners['p1'], 1.5)
        for number in range(20):
            await call(daemon, '/safe/', f'b-{number}')
            await asyncio.sleep(0.1)
        assert not daemon.host.crashes.has_outages()
        assert not daemon.host.quarantine.known.suspects
        assert not daemon.host.reachability.list_lost()
        assert daemon.host.tunnels.opened == 0

    run_with_partition(scenario)


def test_user_timeout_follows_whether_the_call_may_be_repeated():
    async def scenario(site, daemon, partition):
        pool = daemon.host.pools.get(
            daemon.host.fleet.find('p1').record,
            daemon.host.config.current.services['plain'],
        )
        for path, expected_ms in (
            ('/safe/', TCP_USER_TIMEOUT_MS),
            ('/once/', ONE_RUN_USER_TIMEOUT_MS),
            ('/safe/', TCP_USER_TIMEOUT_MS),
        ):
            await call(daemon, path, f'a-{expected_ms}')
            (connection,) = pool.idle
            assert connection.user_timeout_ms == expected_ms
            opened = next(
                item for item in partition._open if item.protocol is connection
            )
            assert opened.get_user_timeout_s() * 1000 == expected_ms

    run_with_partition(scenario, PLAIN[:1])
