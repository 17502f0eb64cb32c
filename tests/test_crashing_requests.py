"""A request that crashes each endpoint which runs it comes again."""

import asyncio

import pytest

from tests.crashes import count_crashed
from tests.crashes import CRASHING
from tests.crashes import list_runners
from tests.crashes import run_crashing_site
from tests.crashes import send_often
from tests.platformsite import wait_until
from tests.test_topology import play_with_hubs

SENDS = 8
# One call of these routes is sent to two endpoints by the host itself.
REPEATED = ('/safe/', '/long/')
PATHS = ('/once/x', '/short/x', '/open/x', '/safe/x', '/long/x')


def most_crashes(path):
    """Return how many endpoints a request may crash until it is stopped."""
    return 4 if path.startswith(REPEATED) else 3


@pytest.mark.parametrize('path', PATHS)
def test_a_request_that_comes_again_crashes_endpoint_after_endpoint(path):
    async def main():
        async with run_crashing_site() as site:
            answers = await send_often(site, path, SENDS)
            assert count_crashed(site) <= most_crashes(path)
            last = answers[-1]
            assert last.status == 503
            assert float(last.head.get(b'retry-after')) > 1
            assert last.json()['error']['not_run']

    asyncio.run(main())


def test_a_stream_that_breaks_after_its_first_events_crashes_endpoints():
    async def main():
        async with run_crashing_site() as site:
            for runner in site.runners.values():
                runner.faults.crash_after = 2
            await send_often(site, '/short/x', SENDS)
            assert count_crashed(site) <= most_crashes('/short/x')

    asyncio.run(main())


def test_hosts_that_start_again_forget_what_crashes_endpoints():
    async def main():
        async with run_crashing_site() as site:
            await send_often(site, '/once/x', 4)
            for daemon in list(site.hosts.values()):
                await daemon.end()
            crashed = count_crashed(site)
            for number in (1, 2, 3):
                daemon = await site.add_host(number)
                await wait_until(daemon.host.is_ready)
            await send_often(site, '/once/x', 3, 'b')
            assert count_crashed(site) == crashed

    asyncio.run(main())


def test_hosts_that_use_hubs_do_not_hear_of_crashes(monkeypatch):
    async def scenario(site, hosts):
        for runner in site.runners.values():
            runner.faults.crash_on = CRASHING
        await send_often(site, '/once/x', SENDS)
        # Reports travel in three steps, slower than the calls come.
        assert count_crashed(site) <= 4

    play_with_hubs(scenario, monkeypatch, list_runners(10))
