"""Long polls of the store whose responses are lost while it serves others."""

import asyncio

import pytest

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import run_site
from tests.platformsite import wait_until

PLAIN = [('p1', 'plain')]
DONE = {'service': 'plain', 'to': 'v2', 'state': 'done'}
CLOCK = Clock()
CONFIG_TOPIC = 'keyed.op'
HOST_TOPIC = 'keyed.hosts'
# After this time without a fault of the store, bounds hold again.
CALM_S = 3.0
# A new host must be known to all others within this time.
JOIN_S = 5.0


async def lose_topic(site, topic, outage_s):
    """Lose the calls to a topic in progress, and new ones for a while."""
    site.store.lose_calls(topic)
    if outage_s:
        site.store.faults.silent_topics = frozenset({topic})
        await asyncio.sleep(outage_s)
        site.store.faults.silent_topics = frozenset()
        await asyncio.sleep(CALM_S)


async def measure_change(site, version):
    """Return the milliseconds until all hosts have a new configuration."""
    site.configure(make_config(version))
    written_ms = CLOCK.now()
    await wait_until(
        lambda: all(
            daemon.host.config.version == version
            for daemon in site.hosts.values()
        ),
        timeout_s=30.0,
    )
    return CLOCK.since(written_ms)


async def wait_for_hosts(site):
    """Wait until all hosts list each other and hear from each other."""
    count = len(site.hosts)
    await wait_until(
        lambda: all(
            daemon.host.members.count_reporting() == count - 1
            for daemon in site.hosts.values()
        )
    )


@pytest.mark.parametrize('outage_s', [0, 1.0, 4.5])
@pytest.mark.parametrize('hosts', [1, 3, 6])
def test_configuration_is_in_force_in_time_after_all_polls_are_lost(
    hosts, outage_s
):
    async def main():
        async with run_site(make_config(), PLAIN, hosts=hosts) as site:
            (daemon, *_) = site.hosts.values()
            await wait_for_hosts(site)
            await lose_topic(site, CONFIG_TOPIC, outage_s)
            took_ms = await measure_change(site, 2)
            assert took_ms < daemon.settings.config_ms

    asyncio.run(main())


def test_configurations_are_in_force_in_time_while_polls_are_lost():
    """Each version's polls are lost again."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            (daemon, *_) = site.hosts.values()
            for version in range(2, 6):
                await asyncio.sleep(0.3)
                site.store.lose_calls(CONFIG_TOPIC)
                took_ms = await measure_change(site, version)
                assert took_ms < daemon.settings.config_ms

    asyncio.run(main())


def test_open_poll_does_not_confirm_the_configuration():
    """A key that may have been added since must not get a definite 401."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            await wait_for_hosts(site)
            site.store.lose_calls(CONFIG_TOPIC)
            site.store.faults.silent_topics = frozenset({CONFIG_TOPIC})
            await asyncio.sleep(5.0)
            for number, daemon in enumerate(site.hosts.values()):
                response = await call(
                    daemon, '/safe/', f'a{number}', key='unknown'
                )
                assert response.status == 503

    asyncio.run(main())


@pytest.mark.parametrize('outage_s', [0, 4.5])
def test_host_added_after_all_polls_are_lost_is_listed_in_time(outage_s):
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_for_hosts(site)
            await lose_topic(site, HOST_TOPIC, outage_s)
            await site.add_host(4)
            await wait_until(
                lambda: all(
                    daemon.host.count_hosts() == 4
                    for daemon in site.hosts.values()
                ),
                timeout_s=JOIN_S,
            )

    asyncio.run(main())


def test_live_polls_are_checked_about_once_per_interval_by_all_hosts():
    """Hosts share what they know, so that they need not all check."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=6) as site:
            (daemon, *_) = site.hosts.values()
            await wait_for_hosts(site)
            await asyncio.sleep(1.0)
            site.store.calls.clear()
            span_s = 4.0
            await asyncio.sleep(span_s)
            reads = [
                query
                for path, query in site.store.calls
                if path == '/log-read' and query['topic'] == CONFIG_TOPIC
            ]
            config_s = to_seconds(daemon.settings.config_ms)
            assert span_s / config_s <= len(reads) <= 5 * span_s / config_s

    asyncio.run(main())


def test_configuration_is_followed_while_states_of_rollouts_are_not_read():
    """A host starts during a roll-out, and only that topic is silent."""

    async def main():
        async with run_site(make_config(), PLAIN, hosts=0) as site:
            site.order_rollout('plain', 'v2', 60)
            site.store.faults.silent_topics = frozenset({'keyed.status'})
            daemon = await site.add_host(1)
            await wait_until(daemon.host.is_ready)
            await asyncio.sleep(0.5)
            assert await measure_change(site, 2) < daemon.settings.config_ms
            site.store.put('status', 'rollout/plain', DONE)
            site.store.faults.silent_topics = frozenset()
            await wait_until(lambda: not daemon.host.rollouts.list_open())

    asyncio.run(main())
