"""Hosts that reach no endpoint, while others do."""

import asyncio

import pytest

from pearrun.standins.platformsite import make_config
from tests import partitions
from tests.partitions import CountedLoad
from tests.partitions import Form
from tests.partitions import Partition
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.test_topology import run_with_hubs

RUNNERS = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain'), ('m1', 'model')]
MEASURED_S = 3
STREAM = {'path': '/long/', **make_prompt()}


async def check_cut_hosts_serve(
    site, cut, form, interval_s=0.02, path='/once/', **headers
):
    """Check that hosts without paths to endpoints serve their callers.

    :param cut: the hosts whose paths break.
    """
    daemons = list(site.hosts.values())
    others = [daemon for daemon in daemons if daemon not in cut]
    partition = Partition()
    async with CountedLoad(daemons, interval_s, path, **headers):
        await asyncio.sleep(1)
        partition.begin(cut, site.runners.values(), form)
        await asyncio.sleep(partitions.LEARNING_MS / 1000)
    async with CountedLoad(daemons, interval_s, path, **headers) as load:
        await asyncio.sleep(MEASURED_S)
    share = load.count_served(cut) / load.count_served(others)
    assert share >= partitions.SERVED_SHARE


@pytest.mark.parametrize('form', Form)
def test_hosts_without_paths_to_endpoints_serve_their_callers(form):
    async def main():
        async with run_site(make_config(), RUNNERS, hosts=9) as site:
            cut = list(site.hosts.values())[:6]
            await check_cut_hosts_serve(site, cut, form)

    asyncio.run(main())


@pytest.mark.parametrize('form', [Form.SILENT, Form.RESET])
def test_streams_of_hosts_without_paths_to_endpoints_are_served(form):
    async def main():
        async with run_site(make_config(), RUNNERS, hosts=5) as site:
            cut = list(site.hosts.values())[:3]
            await check_cut_hosts_serve(site, cut, form, **STREAM)

    asyncio.run(main())


def test_failure_domain_without_paths_to_endpoints_is_served_through_hubs(
    monkeypatch,
):
    async def scenario(site, daemons):
        cut = [d for d in daemons if d.settings.zone == 'zone-a']
        await check_cut_hosts_serve(site, cut, Form.SILENT)

    run_with_hubs(scenario, monkeypatch, RUNNERS)
