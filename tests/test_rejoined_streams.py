"""Streams that callers resume after a loss of all hosts."""

import asyncio

from pearrun.standins.platformsite import make_config
from pearrun.standins.platformsite import make_route
from tests import versions
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.versions import Stream

EVENTS = 40
HOSTS = 3
SERVED_S = 4.0


def make_stream_config(timeout_ms):
    """Return a configuration with one route of streams."""
    route = make_route(
        'long',
        '/long/',
        'model',
        'stream',
        timeout_ms=timeout_ms,
        max_attempts=2,
        resumable=True,
    )
    return make_config(routes=[route])


async def add_versions(site, counts):
    """Start endpoints of some versions and wait until all are listed."""
    await versions.add_versions(site, counts)
    for runner in site.runners.values():
        runner.event_ms = 40
        runner.event_count = EVENTS
    await wait_until(
        lambda: all(
            len(daemon.host.fleet.endpoints) == len(site.runners)
            for daemon in site.hosts.values()
        )
    )


async def begin_streams(site, count, deadline_ms):
    """Begin streams and wait for their first events.

    :returns: :class:`Stream` objects and the tasks that read them.
    """
    daemons = list(site.hosts.values())
    streams = [Stream(f's{number}') for number in range(count)]
    tasks = [
        asyncio.create_task(
            stream.attempt(daemons[n % HOSTS], deadline_ms=deadline_ms)
        )
        for n, stream in enumerate(streams)
    ]
    await wait_until(lambda: all(stream.origin for stream in streams))
    return streams, tasks


async def lose_all_hosts(site, tasks, leaving):
    """Kill all hosts; endpoints of a version leave; start the hosts again.

    :param tasks: those that read the streams.
    :param leaving: the version; ``None`` if all stay.
    """
    await end_hosts(site, tasks)
    for runner in versions.list_runners(site, leaving):
        runner.end()
        site.store.put('servers', runner.id, None)
    await asyncio.sleep(0.1)
    return await start_hosts(site)


async def end_hosts(site, tasks):
    """Kill all hosts.

    :param tasks: those that read the streams, which break.
    """
    for daemon in site.hosts.values():
        await daemon.end()
    await asyncio.gather(*tasks)


async def start_hosts(site):
    """Start all hosts again; return them once they are ready."""
    started = [await site.add_host(number + 1) for number in range(HOSTS)]
    for daemon in started:
        await wait_until(daemon.host.is_ready)
    return started


async def wait_for_save(site):
    """Wait until the origins of streams have just been saved."""
    log = site.store.get_topic('streams')
    end = log.end
    await wait_until(lambda: log.end > end)


async def check_refused(streams, started, deadline_ms):
    """Check that streams whose version has left do not go on."""
    begun = [stream for stream in streams if stream.versions == {'v1'}]
    assert len(begun) >= 3
    for number, stream in enumerate(begun):
        daemon = started[number % HOSTS]
        await stream.attempt(daemon, Resumes=None, deadline_ms=deadline_ms)
    assert not versions.find_mixed(begun)
    assert all(stream.statuses[-1] == 503 for stream in begun)


def test_streams_are_not_joined_though_callers_outwait_the_route():
    """The hosts that knew how long callers wait are lost."""

    async def main():
        config = make_stream_config(timeout_ms=2000)
        async with run_site(config, contracts=(), hosts=HOSTS) as site:
            await add_versions(site, {'v1': 2, 'v2': 2})
            await asyncio.sleep(SERVED_S)
            streams, tasks = await begin_streams(site, 12, 15_000)
            # The lease holder may save what it has heard.
            await asyncio.sleep(1.2)
            started = await lose_all_hosts(site, tasks, 'v1')
            await asyncio.sleep(2.5)
            await check_refused(streams, started, 12_000)

    asyncio.run(main())


def test_streams_of_a_version_listed_after_the_last_save_are_not_joined():
    async def main():
        config = make_stream_config(timeout_ms=6000)
        async with run_site(config, contracts=(), hosts=HOSTS) as site:
            await add_versions(site, {'v2': 1})
            _, older = await begin_streams(site, 3, 6000)
            await asyncio.sleep(SERVED_S + 2.5)
            _, more = await begin_streams(site, 3, 6000)
            await wait_for_save(site)
            await add_versions(site, {'v1': 3})
            streams, tasks = await begin_streams(site, 12, 6000)
            started = await lose_all_hosts(site, [*older, *more, *tasks], 'v1')
            await asyncio.sleep(1.0)
            await check_refused(streams, started, 4000)

    asyncio.run(main())


def test_streams_are_not_resumed_if_past_versions_are_not_proven():
    """The log of endpoints' entries is deleted while all hosts are away."""

    async def main():
        config = make_stream_config(timeout_ms=4000)
        async with run_site(config, contracts=(), hosts=HOSTS) as site:
            await add_versions(site, {'v1': 3})
            await asyncio.sleep(SERVED_S + 0.5)
            streams, tasks = await begin_streams(site, 6, 4000)
            await asyncio.sleep(1.2)
            await end_hosts(site, tasks)
            site.publish_runner(site.runners['v1-0'])
            site.store.delete_history('keyed.servers')
            started = await start_hosts(site)
            await check_refused(streams, started, 4000)

    asyncio.run(main())


def test_streams_that_began_shortly_before_all_hosts_are_lost_go_on():
    async def main():
        config = make_stream_config(timeout_ms=6000)
        async with run_site(config, contracts=(), hosts=HOSTS) as site:
            await add_versions(site, {'v1': 2, 'v2': 2})
            _, older = await begin_streams(site, 3, 6000)
            await wait_for_save(site)
            streams, tasks = await begin_streams(site, 12, 6000)
            await asyncio.sleep(0.5)
            started = await lose_all_hosts(site, [*older, *tasks], None)
            await asyncio.gather(
                *(
                    stream.attempt(started[number % HOSTS])
                    for number, stream in enumerate(streams)
                )
            )
            assert not versions.find_mixed(streams)
            assert all(stream.complete for stream in streams)

    asyncio.run(main())
