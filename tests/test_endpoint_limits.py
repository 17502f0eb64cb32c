"""Endpoints that name a rate limit for all hosts together."""

import asyncio

import pytest

from pearrun.standins.platformsite import make_config
from tests import limits
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_topology import run_with_hubs

RUNNERS = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
# How long an endpoint advertises its limit: several windows after the hosts
# must have learnt of it.
LIMITED_S = 9


async def check_limit_is_kept(site, daemons, values):
    """Check the calls to an endpoint that names a limit.

    :param values: the limits that it advertises, one after the other.
    """
    runner = site.runners['p1']
    async with limits.Load(daemons):
        await asyncio.sleep(1)
        advertised_ms = await limits.advertise_limit(runner, values[0])
        for value in values:
            runner.faults.rate_limit = value
            await asyncio.sleep(LIMITED_S / len(values))
    until_ms = advertised_ms + LIMITED_S * 1000
    rate_per_s = max(map(float, values))
    assert not limits.find_excess(
        runner.arrivals_ms, advertised_ms, rate_per_s, until_ms
    )


@pytest.mark.parametrize(
    'values', [['1'], ['0.2'], ['3.5', '2', '2.8'], ['0']]
)
def test_calls_of_all_hosts_keep_to_the_limit_of_an_endpoint(values):
    async def main():
        async with run_site(make_config(), RUNNERS, hosts=9) as site:
            await check_limit_is_kept(site, site.hosts.values(), values)

    asyncio.run(main())


def test_calls_of_hosts_with_hubs_keep_to_the_limit_of_an_endpoint(
    monkeypatch,
):
    async def scenario(site, daemons):
        await check_limit_is_kept(site, daemons, ['1'])

    run_with_hubs(scenario, monkeypatch, RUNNERS)


def test_streams_of_all_hosts_keep_to_the_limit_of_an_endpoint():
    async def main():
        runners = [('p1', 'model'), ('p2', 'model')]
        async with run_site(make_config(), runners, hosts=5) as site:
            runner = site.runners['p1']
            daemons = site.hosts.values()
            load = limits.Load(daemons, 0.04, '/long/', **make_prompt())
            async with load:
                advertised_ms = await limits.advertise_limit(runner, '2')
                await asyncio.sleep(6)
            assert not limits.find_excess(
                runner.arrivals_ms, advertised_ms, 2, advertised_ms + 6000
            )
            assert all(answer.status == 200 for answer in load.answers)

    asyncio.run(main())


def is_limited(daemon):
    """Return whether a host knows of a limited endpoint."""
    return daemon.host.limits.count() > 0


def test_hosts_call_an_endpoint_again_once_its_limit_is_lifted():
    async def main():
        async with run_site(make_config(), RUNNERS, hosts=5) as site:
            runner = site.runners['p1']
            daemons = list(site.hosts.values())
            async with limits.Load(daemons):
                await limits.advertise_limit(runner, '1')
                await wait_until(lambda: all(map(is_limited, daemons)))
                runner.faults.rate_limit = None
                await wait_until(lambda: not any(map(is_limited, daemons)), 15)
                known = len(runner.arrivals_ms)
                await asyncio.sleep(2)
                assert len(runner.arrivals_ms) - known > 10

    asyncio.run(main())


def test_new_host_learns_limits_before_its_first_call():
    async def main():
        runners = [('p1', 'plain')]
        async with run_site(make_config(), runners, hosts=2) as site:
            site.runners['p1'].faults.rate_limit = '0.1'
            await call(site.hosts['host-1'], '/safe/', 'first')
            new_host = await site.add_host(3)
            await wait_until(lambda: is_limited(new_host))
            answer = await call(new_host, '/safe/', 'second')
            assert answer.status == 503
            assert len(site.runners['p1'].arrivals_ms) == 1

    asyncio.run(main())


def test_calls_that_limits_do_not_allow_are_refused_at_once():
    async def main():
        runners = [('p1', 'plain')]
        async with run_site(make_config(), runners, hosts=3) as site:
            site.runners['p1'].faults.rate_limit = '1'
            daemons = list(site.hosts.values())
            await call(daemons[0], '/once/', 'first')
            await wait_until(lambda: all(map(is_limited, daemons)))
            for number, daemon in enumerate(daemons):
                began_ms = daemon.clock.now()
                answer = await call(daemon, '/once/', f'a-{number}')
                assert answer.status == 503
                assert answer.json()['error']['not_run']
                assert float(answer.head.get(b'retry-after')) > 0.1
                assert daemon.clock.since(began_ms) < 200

    asyncio.run(main())


def test_malformed_limit_changes_nothing():
    async def main():
        runners = [('p1', 'plain')]
        async with run_site(make_config(), runners) as site:
            site.runners['p1'].faults.rate_limit = 'few'
            (daemon,) = site.hosts.values()
            for number in range(3):
                answer = await call(daemon, '/once/', f'a-{number}')
                assert answer.status == 200
            assert not is_limited(daemon)

    asyncio.run(main())
