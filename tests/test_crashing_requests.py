"""A request that crashes each endpoint which runs it comes again."""

import asyncio

from tests.crashes import count_crashed
from tests.crashes import CRASHING
from tests.crashes import list_runners
from tests.crashes import run_crashing_site
from tests.crashes import send
from tests.crashes import send_often
from tests.platformsite import wait_until
from tests.test_topology import play_with_hubs

SENDS = 8
# One call of these routes is sent to two endpoints by the host itself.
REPEATED = ('/safe/', '/long/')
PATHS = ('/once/x', '/short/x', '/open/x', '/safe/x', '/long/x')
# Pause between the begins of different requests, which must not overlap.
STAGGER_S = 0.1


def most_crashes(path):
    """Return how many endpoints a request may crash until it is stopped."""
    return 4 if path.startswith(REPEATED) else 3


def is_saved(site):
    """Say whether a quarantine is on the store."""
    return bool(site.store.get_topic('keyed.quarantine').newest)


async def check_stopped(site, path, delay_s=0):
    """Send a crashing request often; check that it is stopped."""
    await asyncio.sleep(delay_s)
    answers = await send_often(site, path, SENDS)
    assert count_crashed(site, path) <= most_crashes(path)
    last = answers[-1]
    assert last.status == 503
    assert float(last.head.get(b'retry-after')) > 60
    assert last.json()['error']['not_run']


def test_requests_that_come_again_crash_endpoint_after_endpoint():
    async def main():
        async with run_crashing_site() as site:
            async with asyncio.TaskGroup() as tasks:
                for number, path in enumerate(PATHS):
                    delay_s = number * STAGGER_S
                    tasks.create_task(check_stopped(site, path, delay_s))

    asyncio.run(main())


def test_a_stream_that_breaks_after_its_first_events_crashes_endpoints():
    async def main():
        async with run_crashing_site() as site:
            for runner in site.runners.values():
                runner.faults.crash_after_events = 2
            await check_stopped(site, '/short/x')

    asyncio.run(main())


def test_hosts_that_start_again_forget_what_crashes_endpoints():
    async def main():
        async with run_crashing_site() as site:
            await send_often(site, '/once/x', 4)
            await wait_until(lambda: is_saved(site))
            for daemon in list(site.hosts.values()):
                await daemon.end()
            crashed = count_crashed(site, '/once/x')
            for number in (1, 2, 3):
                daemon = await site.add_host(number)
                await wait_until(daemon.host.is_ready)
            answers = await send_often(site, '/once/x', 2, 'b')
            assert [answer.status for answer in answers] == [503, 503]
            assert count_crashed(site, '/once/x') == crashed

    asyncio.run(main())


def test_a_host_that_comes_later_does_not_know_what_crashes_endpoints():
    async def main():
        async with run_crashing_site() as site:
            await send_often(site, '/once/x', 4)
            await wait_until(lambda: is_saved(site))
            # It cannot read the store's topic of the quarantine.
            site.store.topics.pop('keyed.quarantine')
            late = await site.add_host(4)
            await wait_until(late.host.is_ready)
            await wait_until(lambda: late.host.quarantine.known.quarantined)
            assert (await send(late, '/once/x', 'late')).status == 503

    asyncio.run(main())


def test_hosts_that_use_hubs_do_not_hear_of_crashes(monkeypatch):
    async def scenario(site, hosts):
        for runner in site.runners.values():
            runner.faults.crash_on = CRASHING
        beating = asyncio.create_task(site.send_heartbeats())
        await send_often(site, '/once/x', SENDS)
        beating.cancel()
        assert count_crashed(site, '/once/x') <= 4

    play_with_hubs(scenario, monkeypatch, list_runners(10))
