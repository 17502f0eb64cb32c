"""Calls that reach endpoints through another host."""

import asyncio
import contextlib

import pytest
import websockets
from websockets.asyncio.client import connect

from pearrun.shared import tunnelmessages
from pearrun.shared.tunnelmessages import TunnelRequest
from pearrun.standins.platformsite import make_config
from tests.partitions import Form
from tests.partitions import Partition
from tests.platformsite import call
from tests.platformsite import HOST_NAME
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

PLAIN = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
STREAM = [('m1', 'model')]


def run_cut_off(scenario, runners=PLAIN, hosts=2, form=Form.RESET, cut=1):
    """Run a scenario on a site whose first hosts reach no endpoint.

    The scenario is called with the site, the :class:`Partition` and the first
    host.
    """

    async def main():
        async with run_site(make_config(), runners, hosts=hosts) as site:
            daemons = list(site.hosts.values())
            for daemon in daemons:
                await wait_until(
                    lambda daemon=daemon: daemon.host.count_hosts() == hosts
                )
            partition = Partition()
            partition.begin(daemons[:cut], site.runners.values(), form)
            for daemon in daemons[:cut]:
                await wait_for_detection(daemon, runners[0][1])
            await scenario(site, partition, daemons[0])

    asyncio.run(main())


async def wait_for_detection(daemon, service):
    """Let a host find that it has lost its paths to a service."""
    record = daemon.host.fleet.find_by_service(service)[0].record
    reachability = daemon.host.reachability
    token = HOST_NAME.set(daemon.settings.name)
    for endpoint in daemon.host.fleet.find_by_service(service):
        reachability.note_unreached(endpoint.record)
    HOST_NAME.reset(token)
    await wait_until(lambda: reachability.is_lost(record.service))


def find_proxy(site):
    """Return the host through which a call is being forwarded."""
    return next(
        daemon for daemon in site.hosts.values() if daemon.tunnel_server.active
    )


def has_proxy(site):
    """Return whether a call is being forwarded by a host."""
    return any(d.tunnel_server.active for d in site.hosts.values())


def list_runs(site):
    """Return the runs of all endpoints."""
    return [run for runner in site.runners.values() for run in runner.runs]


def slow_down(site, work_ms):
    """Let all endpoints take some time for an answer."""
    for runner in site.runners.values():
        runner.work_ms = work_ms
        runner.event_ms = work_ms


def test_call_whose_tunnel_broke_is_not_sent_again():
    async def scenario(site, partition, host):
        slow_down(site, 1000)
        pending = asyncio.create_task(call(host, '/once/', 'a'))
        await wait_until(lambda: list_runs(site))
        await find_proxy(site).end()
        answer = await pending
        assert answer.status == 502
        assert not answer.json()['error']['not_run']
        assert len(list_runs(site)) == 1

    run_cut_off(scenario, hosts=4)


def test_stream_whose_tunnel_broke_goes_on_through_another_host():
    async def scenario(site, partition, host):
        slow_down(site, 100)
        pending = asyncio.create_task(
            call(host, '/long/', 'a', 'POST', **make_prompt())
        )
        await wait_until(lambda: any(run.events for run in list_runs(site)))
        await find_proxy(site).end()
        answer = await pending
        assert answer.status == 200
        assert answer.complete
        for number in range(1, 6):
            assert answer.body.count(b'token-%d.' % number) == 1

    run_cut_off(scenario, [*STREAM, ('m2', 'model')], hosts=4)


def test_caller_that_leaves_ends_a_call_behind_a_tunnel():
    async def scenario(site, partition, host):
        slow_down(site, 2000)
        pending = asyncio.create_task(call(host, '/safe/', 'a'))
        await wait_until(lambda: list_runs(site))
        for connection in list(host.front.connections):
            connection._cancel_task()
        await wait_until(lambda: list_runs(site)[0].cancelled, 0.5)
        await wait_until(lambda: not has_proxy(site), 0.5)
        pending.cancel()

    run_cut_off(scenario)


def test_host_that_stops_finishes_the_calls_that_it_forwards():
    async def scenario(site, partition, host):
        slow_down(site, 800)
        pending = asyncio.create_task(call(host, '/once/', 'a'))
        await wait_until(lambda: list_runs(site))
        stop = asyncio.create_task(find_proxy(site).shut_down())
        assert (await pending).status == 200
        answer = await call(host, '/once/', 'b')
        assert answer.status == 503
        assert answer.json()['error']['not_run']
        assert len(list_runs(site)) == 1
        await stop

    run_cut_off(scenario)


def test_calls_that_no_host_can_serve_are_refused_at_once():
    async def scenario(site, partition, host):
        for daemon in site.hosts.values():
            assert daemon.host.is_ready()
        for number in range(20):
            began_ms = host.clock.now()
            answer = await call(host, '/once/', f'a-{number}')
            assert answer.status == 503
            assert answer.json()['error']['not_run']
            if number:
                assert host.clock.since(began_ms) < 50
        assert not has_proxy(site)

    run_cut_off(scenario, hosts=4, cut=4)


def test_endpoint_that_replaces_those_that_were_down_is_called_at_once():
    async def scenario(site, partition, host):
        assert (await call(host, '/once/', 'a')).status == 503
        await site.add_runner('p9', 'plain')
        await wait_until(lambda: host.host.fleet.find('p9'))
        assert (await call(host, '/once/', 'b')).status == 200

    run_cut_off(scenario, hosts=2, cut=2)


def test_calls_go_directly_again_once_paths_are_back():
    async def scenario(site, partition, host):
        assert (await call(host, '/once/', 'a')).status == 200
        partition.end()
        await wait_until(lambda: not host.host.reachability.is_lost('plain'))
        opened = host.host.tunnels.opened
        for number in range(5):
            assert (await call(host, '/once/', f'b-{number}')).status == 200
        assert host.host.tunnels.opened == opened

    run_cut_off(scenario)


def test_services_that_are_still_reached_are_called_directly():
    async def main():
        runners = [*PLAIN, *STREAM]
        async with run_site(make_config(), runners, hosts=2) as site:
            host = site.hosts['host-1']
            await wait_until(lambda: host.host.count_hosts() == 2)
            partition = Partition()
            plain = [site.runners[name] for name, _ in PLAIN]
            partition.begin([host], plain, Form.SILENT)
            await wait_for_detection(host, 'plain')
            answer = await call(host, '/long/', 'a', 'POST', **make_prompt())
            assert answer.status == 200
            assert host.host.tunnels.opened == 0
            assert (await call(host, '/once/', 'b')).status == 200
            assert host.host.tunnels.opened == 1

    asyncio.run(main())


def test_large_requests_and_streams_pass_a_tunnel_unchanged():
    async def scenario(site, partition, host):
        site.runners['m1'].event_count = 3000
        site.runners['m1'].event_ms = 0
        body = bytes(range(256)) * 380
        answer = await call(host, '/long/', 'a', 'POST', body, **make_prompt())
        assert answer.status == 200
        assert answer.body.count(b'\n\n') == 3000
        assert site.runners['m1'].runs[0].request.body == body

    run_cut_off(scenario, STREAM)


def test_other_hosts_keep_their_connections_if_one_host_loses_its_paths():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            cut, *others = site.hosts.values()
            closed = []
            for daemon in others:
                daemon.host.pools.close_idle = closed.append
            partition = Partition()
            partition.begin([cut], site.runners.values(), Form.SILENT)
            for number in range(6):
                await call(cut, '/safe/', f'a-{number}')
            await wait_until(lambda: cut.host.reachability.is_lost('plain'))
            await asyncio.sleep(0.5)
            # The first failure is reported before a second one is seen.
            assert len(set(closed)) <= 1
            assert not cut.host.crashes.has_outages()

    asyncio.run(main())


@pytest.mark.parametrize(
    'message',
    [
        tunnelmessages.encode_request(TunnelRequest('host-2', 'p1', 'a')),
        b'\x00',
        'text',
    ],
)
def test_only_hosts_can_open_tunnels(message):
    async def main():
        async with run_site(make_config(), PLAIN[:1], hosts=2) as site:
            host = site.hosts['host-1']
            url = f'ws://{host.links.own.address}/tunnel'
            async with connect(url, proxy=None) as link:
                with contextlib.suppress(websockets.ConnectionClosed):
                    await link.send(message)
                await link.wait_closed()
            assert host.tunnel_server.served == 0

    asyncio.run(main())


def test_malformed_tunnel_requests_are_rejected():
    async def main():
        async with run_site(make_config(), PLAIN[:1], hosts=2) as site:
            host = site.hosts['host-1']
            await wait_until(lambda: host.host.count_hosts() == 2)
            source = (site.hosts['host-2'].settings.ip, 0)
            url = f'ws://{host.links.own.address}/tunnel'
            for message in (b'\x00', b'\x82\x01\x02', 'text'):
                async with connect(url, proxy=None, local_addr=source) as link:
                    await link.send(message)
                    await link.wait_closed()
            assert host.tunnel_server.served == 0

    asyncio.run(main())
