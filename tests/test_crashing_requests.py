"""Quarantine of a request that is retried and crashes every endpoint."""

import asyncio

from tests.crashes import count_crashed
from tests.crashes import CRASHING
from tests.crashes import list_runners
from tests.crashes import run_crashing_site
from tests.crashes import send
from tests.crashes import send_repeatedly
from tests.platformsite import wait_until
from tests.test_topology import run_with_hubs

SENDS = 8
# Routes whose calls a host retries, so that each runs on two endpoints.
RETRIED = ('/safe/', '/long/')
PATHS = ('/once/x', '/short/x', '/open/x', '/safe/x', '/long/x')
# Delay between the starts of different requests, so that their first runs
# do not overlap.
STAGGER_S = 0.1


def get_max_crashes(path):
    """Return how many endpoints may crash before the quarantine begins."""
    return 4 if path.startswith(RETRIED) else 3


def is_quarantine_stored(site):
    """Return whether the store has a quarantine."""
    return bool(site.store.get_topic('keyed.quarantine').newest)


async def check_quarantined(site, path, delay_s=0):
    """Send a crashing request repeatedly; check that it is quarantined."""
    await asyncio.sleep(delay_s)
    answers = await send_repeatedly(site, path, SENDS)
    assert count_crashed(site, path) <= get_max_crashes(path)
    last = answers[-1]
    assert last.status == 503
    assert float(last.head.get(b'retry-after')) > 60
    assert last.json()['error']['not_run']


def test_retried_crashing_requests_are_quarantined():
    async def main():
        async with run_crashing_site() as site:
            async with asyncio.TaskGroup() as tasks:
                for number, path in enumerate(PATHS):
                    delay_s = number * STAGGER_S
                    tasks.create_task(check_quarantined(site, path, delay_s))

    asyncio.run(main())


def test_streams_that_crash_endpoints_midway_are_quarantined():
    async def main():
        async with run_crashing_site() as site:
            for runner in site.runners.values():
                runner.faults.crash_after_events = 2
            await check_quarantined(site, '/short/x')

    asyncio.run(main())


def test_quarantine_survives_a_restart_of_all_hosts():
    async def main():
        async with run_crashing_site() as site:
            await send_repeatedly(site, '/once/x', 4)
            await wait_until(lambda: is_quarantine_stored(site))
            for daemon in list(site.hosts.values()):
                await daemon.end()
            crashed = count_crashed(site, '/once/x')
            for number in (1, 2, 3):
                daemon = await site.add_host(number)
                await wait_until(daemon.host.is_ready)
            answers = await send_repeatedly(site, '/once/x', 2, 'b')
            assert [answer.status for answer in answers] == [503, 503]
            assert count_crashed(site, '/once/x') == crashed

    asyncio.run(main())


def test_a_new_host_learns_the_quarantine_from_other_hosts():
    async def main():
        async with run_crashing_site() as site:
            await send_repeatedly(site, '/once/x', 4)
            await wait_until(lambda: is_quarantine_stored(site))
            # Without the topic, the new host cannot read it from the store.
            site.store.topics.pop('keyed.quarantine')
            new_host = await site.add_host(4)
            await wait_until(new_host.host.is_ready)
            await wait_until(
                lambda: new_host.host.quarantine.known.quarantined
            )
            assert (await send(new_host, '/once/x', 'late')).status == 503

    asyncio.run(main())


def test_crashes_are_reported_through_hubs(monkeypatch):
    async def scenario(site, hosts):
        for runner in site.runners.values():
            runner.faults.crash_on = CRASHING
        heartbeats = asyncio.create_task(site.send_heartbeats())
        await send_repeatedly(site, '/once/x', SENDS)
        heartbeats.cancel()
        assert count_crashed(site, '/once/x') <= 4

    run_with_hubs(scenario, monkeypatch, list_runners(10))
