"""Quarantine of prompt parts that crash every endpoint."""

import asyncio

from tests.crashes import count_reached
from tests.crashes import crash_on_part
from tests.crashes import CRASH_REPORT_S
from tests.crashes import list_runners
from tests.crashes import replace_crashed
from tests.crashes import run_crashing_site
from tests.crashes import send_parts
from tests.platformsite import wait_until
from tests.test_topology import run_with_hubs

# Endpoints that may end before requests with the part are refused.
MAX_CRASHES = 5
# Requests with the part that may reach endpoints once all hosts can know.
MAX_LATE = 3
ROUNDS = 10
# Calls that run at the same time go to the same endpoint.
BURST_GAP_S = 0.03


def select_host(site, number):
    """Return one of the hosts in turn."""
    hosts = list(site.hosts.values())
    return hosts[number % len(hosts)]


async def send_bad(site, count, *part_ids, path='/short/x', name='bad'):
    """Send requests with a crashing part one after the other.

    :returns: the :class:`Response` objects.
    """
    answers = []
    for number in range(count):
        host = select_host(site, number)
        answer = await send_parts(host, path, f'{name}-{number}', *part_ids)
        answers.append(answer)
        await asyncio.sleep(CRASH_REPORT_S)
        await replace_crashed(site)
    return answers


async def send_good(site, count, *part_ids, path='/short/x', name='good'):
    """Send sound requests one after the other; return their statuses."""
    statuses = []
    for number in range(count):
        host = select_host(site, number)
        answer = await send_parts(host, path, f'{name}-{number}', *part_ids)
        statuses.append(answer.status)
    return statuses


async def check_mixed(site, path, max_reached=MAX_CRASHES):
    """Send crashing and sound requests that share their first part."""
    answers = []
    statuses = []
    for number in range(ROUNDS):
        answers += await send_bad(
            site, 1, 'first', 'bad', path=path, name=f'bad-{number}'
        )
        statuses += await send_good(
            site, 2, 'first', 'good', path=path, name=f'good-{number}'
        )
    assert count_reached(site, 'bad') <= max_reached
    assert statuses == [200] * len(statuses)
    assert answers[-1].status == 503
    assert answers[-1].json()['error']['not_run']
    assert float(answers[-1].head.get(b'retry-after')) > 0


def test_requests_that_share_a_crashing_part_are_refused():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            await check_mixed(site, '/short/x')

    asyncio.run(main())


def test_resumable_streams_that_share_a_crashing_part_are_refused():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            # The host repeats a call before the first crash is known.
            await check_mixed(site, '/long/x', MAX_CRASHES + MAX_LATE)

    asyncio.run(main())


def test_a_burst_with_a_crashing_part_ends_few_more_endpoints():
    async def main():
        async with run_crashing_site(endpoints=24) as site:
            crash_on_part(site, 'bad')
            for number in range(6):
                host = select_host(site, number)
                await send_parts(host, '/short/x', f'a-{number}', 'p', 'bad')
                await asyncio.sleep(BURST_GAP_S)
            await asyncio.sleep(CRASH_REPORT_S)
            async with asyncio.TaskGroup() as tasks:
                for number in range(12):
                    host = select_host(site, number)
                    tasks.create_task(
                        send_parts(host, '/short/x', f'b-{number}', 'q', 'bad')
                    )
            assert count_reached(site, 'b-') <= MAX_LATE
            assert await send_good(site, 3, 'q', 'good') == [200] * 3

    asyncio.run(main())


def test_sound_requests_are_served_though_all_others_of_their_part_crashed():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            await send_bad(site, 6, 'first', 'bad')
            assert count_reached(site, 'bad') <= MAX_CRASHES
            # No request had the first part and not the other.
            assert await send_good(site, 3, 'first', 'good') == [200] * 3
            assert await send_good(site, 3, 'first', name='short') == [200] * 3

    asyncio.run(main())


def test_the_part_after_a_crashing_first_part_is_not_refused():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            await send_bad(site, 6, 'bad', 'second')
            assert count_reached(site, 'bad') <= MAX_CRASHES
            assert await send_good(site, 3, 'other', 'second') == [200] * 3
            await send_bad(site, 6, 'bad', 'third', name='bad-2')
            assert count_reached(site, 'bad') <= MAX_CRASHES

    asyncio.run(main())


def test_two_crashing_parts_are_refused_and_no_others():
    async def main():
        async with run_crashing_site(endpoints=24) as site:
            crash_on_part(site, 'bad')
            await send_good(site, 3, 'first', 'good', name='before')
            await send_bad(site, 5, 'first', 'bad')
            crash_on_part(site, 'worse')
            await send_bad(site, 6, 'first', 'worse', name='worse')
            assert count_reached(site, 'bad') <= MAX_CRASHES
            assert count_reached(site, 'worse') <= MAX_CRASHES
            assert await send_good(site, 3, 'first', 'good') == [200] * 3

    asyncio.run(main())


def test_a_quarantined_part_survives_a_restart_of_all_hosts():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            await send_bad(site, 4, 'first', 'bad')
            stored = site.store.get_topic('keyed.quarantine')
            await wait_until(lambda: bool(stored.newest))
            for daemon in list(site.hosts.values()):
                await daemon.end()
            for number in (1, 2, 3):
                daemon = await site.add_host(number)
                await wait_until(daemon.host.is_ready)
            answers = await send_bad(site, 2, 'first', 'bad', name='again')
            assert [answer.status for answer in answers] == [503, 503]
            assert not count_reached(site, 'again')

    asyncio.run(main())


def test_crashes_under_a_part_are_reported_through_hubs(monkeypatch):
    async def scenario(site, hosts):
        crash_on_part(site, 'bad')
        heartbeats = asyncio.create_task(site.send_heartbeats())
        await send_bad(site, 8, 'first', 'bad')
        heartbeats.cancel()
        assert count_reached(site, 'bad') <= MAX_CRASHES
        # Some hosts refuse sound requests until one was answered elsewhere.
        statuses = await send_good(site, 6, 'first', 'good', name='early')
        assert 200 in statuses
        await asyncio.sleep(CRASH_REPORT_S)
        assert await send_good(site, 6, 'first', 'good') == [200] * 6

    run_with_hubs(scenario, monkeypatch, list_runners(10))


def test_errors_and_refusals_do_not_clear_a_part():
    async def main():
        async with run_crashing_site(hosts=1) as site:
            crash_on_part(site, 'bad')
            host = site.hosts['host-1']
            for number in range(6):
                await send_bad(site, 1, 'first', 'bad', name=f'bad-{number}')
                for runner in site.runners.values():
                    runner.faults.status = 500
                answer = await send_parts(
                    host, '/short/x', f'error-{number}', 'first', 'bad'
                )
                assert answer.status in (500, 503)
                for runner in site.runners.values():
                    runner.faults.status = 200
            assert count_reached(site, 'bad') <= MAX_CRASHES

    asyncio.run(main())


def test_a_crashing_part_is_refused_beside_brittle_endpoints():
    async def main():
        async with run_crashing_site() as site:
            crash_on_part(site, 'bad')
            for runner in site.runners.values():
                runner.faults.brittle = '3'
            assert await send_good(site, 3, 'first', 'good') == [200] * 3
            await send_bad(site, ROUNDS, 'first', 'bad')
            assert count_reached(site, 'bad') <= MAX_CRASHES + MAX_LATE

    asyncio.run(main())
