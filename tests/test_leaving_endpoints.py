"""Endpoints that say in their answers that they leave."""

import asyncio

import pytest

from pearrun.shared import peerlinks
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.standins.platformsite import make_config
from pearrun.states import EndpointState
from tests import limits
from tests import notices
from tests.partitions import Form
from tests.platformsite import call
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_topology import run_with_hubs
from tests.test_tunnels import run_cut_off

PLAIN = [('p1', 'plain'), ('p2', 'plain'), ('p3', 'plain')]
MODELS = [('m1', 'model'), ('m2', 'model')]
# How long calls go on after the first notice.
LEAVING_S = 4


def knows_leaving(daemon, name):
    """Return whether a host takes an endpoint for one that leaves."""
    endpoint = daemon.host.fleet.find(name)
    return endpoint.record.state is EndpointState.LEAVING


async def check_leaving(site, names, load, heartbeats=True):
    """Let endpoints leave beside some load, and check the calls to them.

    The store does not learn that they leave.

    :param names: the endpoints' names; ``None`` for the one that gets most
        calls.
    :param heartbeats: whether they go on writing that they are ready.
    """
    task = asyncio.create_task(site.send_heartbeats())
    async with load:
        await asyncio.sleep(0.5)
        if not heartbeats:
            site.store.faults.silent = True
        names = names or [notices.find_busiest(site)]
        for name in names:
            site.runners[name].faults.leaving = True
        await asyncio.sleep(LEAVING_S)
    task.cancel()
    assert any(site.runners[name].leaves for name in names)
    assert not notices.count_late_calls(site, load)


@pytest.mark.parametrize('hosts', [3, 9])
@pytest.mark.parametrize('heartbeats', [True, False])
def test_endpoint_that_says_it_leaves_gets_no_calls(hosts, heartbeats):
    async def main():
        async with run_site(make_config(), PLAIN, hosts=hosts) as site:
            load = limits.Load(site.hosts.values())
            await check_leaving(site, ['p1'], load, heartbeats)
            assert notices.count_served(load) == 1

    asyncio.run(main())


def test_endpoint_that_says_it_leaves_gets_no_streams():
    async def main():
        async with run_site(make_config(), MODELS, hosts=3) as site:
            load = limits.Load(
                site.hosts.values(), 0.04, '/long/', **make_prompt()
            )
            await check_leaving(site, None, load)
            assert notices.count_served(load) == 1

    asyncio.run(main())


@pytest.mark.parametrize('status', [500, 503])
def test_endpoint_that_says_it_leaves_in_failures_gets_no_calls(status):
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            if status == 503:
                site.runners['p1'].faults.full = True
            else:
                site.runners['p1'].faults.status = status
            load = limits.Load(site.hosts.values())
            await check_leaving(site, ['p1'], load)

    asyncio.run(main())


def test_calls_are_refused_at_once_while_all_endpoints_leave():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            load = limits.Load(site.hosts.values())
            await check_leaving(site, ['p1', 'p2', 'p3'], load)
            last = load.answers[-1]
            assert last.status == 503
            assert last.json()['error']['not_run']
            assert float(last.head.get(b'retry-after')) > 0

    asyncio.run(main())


def test_hosts_learn_from_each_other_that_an_endpoint_leaves():
    async def main():
        async with run_site(make_config(), PLAIN[:1], hosts=3) as site:
            daemons = list(site.hosts.values())
            for daemon in daemons:
                await wait_until(lambda d=daemon: d.host.count_hosts() == 3)
            site.store.faults.silent = True
            site.runners['p1'].faults.leaving = True
            await call(daemons[0], '/safe/', 'a')
            for daemon in daemons:
                await wait_until(lambda d=daemon: knows_leaving(d, 'p1'), 1)
            for number, daemon in enumerate(daemons):
                await call(daemon, '/safe/', f'late-{number}')
            assert len(site.runners['p1'].attempts) == 1

    asyncio.run(main())


def test_hosts_learn_through_hubs_that_an_endpoint_leaves(monkeypatch):
    async def scenario(site, daemons):
        site.runners['p1'].faults.leaving = True
        number = 0
        while not site.runners['p1'].leaves:
            number += 1
            await call(daemons[0], '/safe/', f'call-{number}')
        for daemon in daemons:
            await wait_until(lambda d=daemon: knows_leaving(d, 'p1'), 2)

    run_with_hubs(scenario, monkeypatch, PLAIN)


def test_restarted_host_learns_that_an_endpoint_leaves():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            first = site.hosts['host-1']
            site.runners['p1'].faults.leaving = True
            while not site.runners['p1'].leaves:
                await call(first, '/safe/', 'a')
            await site.hosts.pop('host-2').end()
            second = await site.add_host(2)
            await wait_until(lambda: second.host.fleet.find('p1'))
            await wait_until(lambda: knows_leaving(second, 'p1'))

    asyncio.run(main())


def test_next_process_of_an_endpoint_that_has_left_gets_calls():
    async def main():
        async with run_site(make_config(), PLAIN[:1], hosts=1) as site:
            daemon = site.hosts['host-1']
            runner = site.runners['p1']
            runner.faults.leaving = True
            await call(daemon, '/safe/', 'a')
            await wait_until(lambda: knows_leaving(daemon, 'p1'))
            assert (await call(daemon, '/safe/', 'b')).status == 503
            runner.faults.leaving = False
            site.store.put(
                'servers', 'p1', {**runner.make_entry(), 'born': 5000}
            )
            await wait_until(lambda: not knows_leaving(daemon, 'p1'))
            assert (await call(daemon, '/safe/', 'c')).status == 200

    asyncio.run(main())


def test_stream_that_began_before_its_endpoint_left_is_whole():
    async def main():
        async with run_site(make_config(), MODELS[:1], hosts=1) as site:
            daemon = site.hosts['host-1']
            runner = site.runners['m1']
            runner.event_ms = 100
            stream = asyncio.create_task(
                call(daemon, '/long/', 'a', **make_prompt())
            )
            await wait_until(lambda: runner.runs and runner.runs[0].events)
            runner.faults.leaving = True
            await call(daemon, '/long/', 'b', **make_prompt())
            answer = await stream
            assert answer.status == 200
            assert answer.complete
            assert b'token-5.' in answer.body

    asyncio.run(main())


def test_call_that_waits_for_a_connection_is_not_sent_to_a_leaving_endpoint():
    async def main():
        async with run_site(make_config(), PLAIN[:2], hosts=1) as site:
            daemon = site.hosts['host-1']
            waiting = {'p1': False}
            pools = daemon.host.pools
            connect = pools.connect
            gate = asyncio.Event()

            async def connect_late(record, settings, request_id):
                connection = await connect(record, settings, request_id)
                if record.name == 'p1' and request_id == 'late':
                    waiting['p1'] = True
                    await gate.wait()
                return connection

            pools.connect = connect_late
            site.runners['p2'].faults.full = True
            late = asyncio.create_task(call(daemon, '/safe/', 'late'))
            await wait_until(lambda: waiting['p1'])
            site.runners['p1'].faults.leaving = True
            while not site.runners['p1'].leaves:
                await call(daemon, '/safe/', 'a')
            gate.set()
            assert (await late).status == 503
            attempts = [item for _, item in site.runners['p1'].attempts]
            assert 'late' not in attempts

    asyncio.run(main())


def test_proxy_learns_from_tunnelled_answers_that_an_endpoint_leaves():
    async def scenario(site, partition, host):
        del partition
        proxy = site.hosts['host-2']
        for name in ('p1', 'p2', 'p3'):
            site.runners[name].faults.leaving = True
        # The hosts do not tell each other.
        proxy.host.departures.merge = lambda *args, **kwargs: None
        await call(host, '/safe/', 'a')
        name = next(n for n, r in site.runners.items() if r.leaves)
        await wait_until(lambda: knows_leaving(proxy, name), 1)

    run_cut_off(scenario, form=Form.RESET)


def test_notice_is_decoded_as_it_was_encoded():
    note = reports.DepartureNote('host-1', ('p1', 'p2@5000'))
    assert reportcodec.decode(reportcodec.encode(note)) == note


def test_older_builds_get_no_message_that_they_do_not_know(monkeypatch):
    def announce_streams(connection, request, response):
        response.headers[peerlinks.STREAMS_HEADER] = '1'

    monkeypatch.setattr(peerlinks, 'announce_messages', announce_streams)

    async def main():
        async with run_site(make_config(), PLAIN[:1], hosts=2) as site:
            first, second = site.hosts.values()
            await wait_until(lambda: first.host.members.count_reporting())
            await wait_until(lambda: second.host.members.count_reporting())
            site.runners['p1'].faults.leaving = True
            await call(first, '/safe/', 'a')
            await wait_until(lambda: knows_leaving(first, 'p1'))
            await asyncio.sleep(0.5)
            assert not knows_leaving(second, 'p1')
            assert second.host.members.count_reporting() == 1

    asyncio.run(main())
