"""Endpoints that name a rate limit for all hosts together."""

import asyncio

import pytest

from pearrun.standins.platformsite import make_config
from tests import limits
from tests.platformsite import run_site
from tests.test_topology import run_with_hubs

RUNNERS = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
# How long an endpoint names its limit: several windows after the hosts must
# have learnt of it.
LIMITED_S = 9


async def check_limit_is_kept(site, daemons, values):
    """Check the calls to an endpoint that names a limit.

    :param values: the limits that it names, one after the other.
    """
    runner = site.runners['p1']
    async with limits.Load(daemons):
        await asyncio.sleep(1)
        named_ms = await limits.name_limit(runner, values[0])
        for value in values:
            runner.faults.rate_limit = value
            await asyncio.sleep(LIMITED_S / len(values))
    until_ms = named_ms + LIMITED_S * 1000
    rate_per_s = max(map(float, values))
    assert not limits.find_excess(
        runner.arrivals_ms, named_ms, rate_per_s, until_ms
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
