"""Integration tests of duties and host peering against the stand-ins."""

import asyncio
import json
import socket

import pytest

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.decisions import lease
from pearrun.decisions import quota
from pearrun.decisions import scaling
from pearrun.decisions.demand import Demand
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import LeaseView
from pearrun.decisions.lease import RecordKind
from pearrun.duties.scaler import Scaler
from pearrun.duties.term import Term
from pearrun.http1.client import connect
from pearrun.platform import dutyclient
from pearrun.platform.codec import EndpointCodec
from pearrun.platform.decoding import decode_configuration
from pearrun.shared.host import HostContext
from pearrun.standins.platformsite import KEY
from pearrun.standins.platformsite import make_config
from tests.builders import find_free_port
from tests.builders import ManualClock
from tests.platformsite import call
from tests.platformsite import make_host_settings
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until

PLAIN = [('p1', 'plain')]


def make_scaled_config(**fields):
    """Return a configuration whose model service is autoscaled."""
    config = make_config(**fields)
    config['services'][1]['autoscale'] = {
        'min': 1,
        'max': 6,
        'boot_s': 1,
        'spot_price': 0.2,
        'zone_prices': {'zone-a': 1.0, 'zone-b': 2.0},
    }
    return config


def make_term(left_ms=60_000):
    """Return the :class:`Term` of a lease that this host holds.

    :param left_ms: remaining milliseconds of the term.
    """
    clock = Clock()
    view = LeaseView('host-1/1')
    sent_ms = clock.boot() + left_ms - lease.LEASE_DURATION_MS
    view.note_written(0, LeaseRecord(RecordKind.CLAIM, view.run), sent_ms)
    return Term(view, clock)


def find_holders(site):
    """Return the daemons that hold the lease now."""
    return [
        daemon
        for daemon in site.hosts.values()
        if daemon.duties is not None and daemon.duties.holds()
    ]


def test_usage_of_all_hosts_is_reported_exactly_once():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site))
            hosts = list(site.hosts.values())
            for number in range(9):
                await call(hosts[number % 3], '/once/', f'a{number}')
            await wait_until(lambda: count_usage(site) == 9, 8)
            windows = [window for window, _ in site.api.list_usage_reports()]
            assert len(windows) == len(set(windows))
            assert len({c.holder for c in site.api.calls}) == 1

    asyncio.run(main())


def count_usage(site):
    """Return the number of calls reported for anna, each window once."""
    return sum(
        counts.get('anna', 0)
        for counts in dict(site.api.list_usage_reports()).values()
    )


def test_a_successor_repeats_the_committed_counts_with_a_higher_token():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site))
            (first,) = find_holders(site)
            await call(first, '/once/', 'a1')
            await wait_until(lambda: count_usage(site) == 1, 8)
            await first.end()
            del site.hosts[first.settings.name]
            await wait_until(lambda: find_holders(site), 10)
            (second,) = find_holders(site)
            before = dict(site.api.list_usage_reports())
            await wait_until(
                lambda: any(
                    c.holder == second.settings.name for c in site.api.calls
                ),
                8,
            )
            reports = site.api.list_usage_reports()
            for window, counts in reports:
                assert before.get(window, counts) == counts
            tokens = [c.fencing for c in site.api.calls]
            assert tokens == sorted(tokens)

    asyncio.run(main())


def test_spot_endpoints_are_ordered_before_on_demand_ones_are_released():
    async def main():
        async with run_site(make_scaled_config(), PLAIN) as site:
            await wait_until(lambda: site.api.list_orders())
            await asyncio.sleep(0.5)
            orders = site.api.list_orders()
            fewest = scaling.ScalingSettings().min_endpoints
            spot = [order for order in orders if order.get('spot')]
            lasting = [order for order in orders if not order.get('spot')]
            assert {order['zone'] for order in spot} == {'zone-a', 'zone-b'}
            assert sum(order['desired'] for order in lasting) == fewest

    asyncio.run(main())


def test_a_successor_orders_by_the_recent_needs():
    """Guards against a successor that orders by the customers' limits.

    Every host records past needs.  A successor that started from the limits
    would order more endpoints than are needed.
    """

    async def main():
        config = make_scaled_config()
        config['tenants'][0]['rate_per_s'] = 5_000_000
        config['tenants'][0]['burst'] = 5_000_000
        async with run_site(config, PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site))
            (first,) = find_holders(site)
            for daemon in site.hosts.values():
                scaler = daemon.duties.scaler
                await wait_until(lambda scaler=scaler: scaler.need_history)
                # The state once all older needs have expired.
                now = daemon.clock.now()
                scaler.need_history['model'] = {now: 7}
            await first.end()
            del site.hosts[first.settings.name]
            await wait_until(lambda: find_holders(site), 10)
            (second,) = find_holders(site)
            need = second.duties.scaler.last_need['model']
            assert need.lasting == 7

    asyncio.run(main())


def test_hosts_receive_each_others_load_and_admitted_units():
    async def main():
        config = make_config()
        config['tenants'][0].update(rate_per_s=1000, burst=1000)
        runners = [('m1', 'model')]
        async with run_site(config, runners, hosts=2) as site:
            one, two = site.hosts.values()
            site.runners['m1'].event_ms = 400
            await wait_until(lambda: len(two.reports.config_versions) == 1)
            task = asyncio.create_task(
                call(one, '/long/', 'a1', 'POST', **make_prompt())
            )
            await wait_until(lambda: two.host.loads.get('m1').calls == 1)
            bucket = two.host.quotas.buckets['anna']
            await wait_until(lambda: bucket.peers)
            # The host has reported before, so its first call counts as used;
            # and the few milliseconds since its last report must not give a
            # huge rate.
            (use,) = bucket.peers.values()
            assert use.used > 0
            assert 0 < use.rate <= use.used / quota.INITIAL_IDLE_S
            assert (await task).complete

    asyncio.run(main())


def test_every_host_learns_where_a_prompt_prefix_was_placed():
    async def main():
        runners = [('m1', 'model')]
        async with run_site(make_config(), runners, hosts=3) as site:
            one, *others = site.hosts.values()
            await wait_until(
                lambda: all(
                    len(o.reports.config_versions) == 2 for o in others
                )
            )
            parts = 'aa:100,bb:50,cc:50'
            await call(one, '/long/', 'a', 'POST', **make_prompt(parts))
            await asyncio.sleep(0.5)
            for other in others:
                prefixes = other.host.selection.prefixes
                known = [
                    part
                    for part in ('aa', 'bb', 'cc')
                    if prefixes.holds('m1', part)
                ]
                assert known == ['aa', 'bb']

    asyncio.run(main())


def test_a_large_prompt_is_reported_to_the_other_hosts_at_once():
    """The report arrives well before the next regular one is due."""

    async def main():
        runners = [('m1', 'model')]
        async with run_site(make_config(), runners, hosts=2) as site:
            one, two = site.hosts.values()
            site.runners['m1'].event_ms = 500
            await wait_until(lambda: len(two.reports.config_versions) == 1)
            delays = []
            for number in range(3):
                task = asyncio.create_task(
                    call(
                        one,
                        '/long/',
                        f'a{number}',
                        'POST',
                        **make_prompt(tokens=9000),
                    )
                )
                await wait_until(lambda: one.host.fleet.endpoints['m1'].calls)
                started_ms = two.clock.now()
                await wait_until(lambda: two.host.loads.get('m1').calls)
                delays.append(two.clock.since(started_ms))
                await task
                await wait_until(lambda: not two.host.loads.get('m1').calls)
            assert max(delays) < 100

    asyncio.run(main())


def test_a_host_without_the_store_gets_the_configuration_from_a_peer():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            one, two = site.hosts.values()
            await wait_until(lambda: len(two.reports.config_versions) == 1)
            two_address = two.store.settings.address
            two.store.pool.address = '127.0.0.1:9'
            two.store.pool.close()
            site.store.faults.refused_hosts = frozenset()
            assert two_address
            await asyncio.sleep(3.0)
            site.configure(make_config(7))
            await wait_until(lambda: one.host.config.version == 7)
            await wait_until(lambda: two.host.config.version == 7, 6)

    asyncio.run(main())


def test_a_stopped_host_is_removed_at_once():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            one, two = site.hosts.values()
            await wait_until(lambda: len(one.reports.config_versions) == 1)
            await two.end()
            del site.hosts['host-2']
            await wait_until(lambda: not one.reports.config_versions)

    asyncio.run(main())


def test_metrics_and_readiness_are_served():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            host = site.hosts['host-1']
            await call(host, '/once/', 'a1', key=KEY)
            for address, path in (
                (host.settings.ready_address, '/readyz'),
                (f'{host.settings.ip}:9464', '/metrics'),
            ):
                link = await connect(address, 1000, 1000)
                reply = await link.fetch(
                    'GET', path, [('Host', 'x')], b'', 100_000
                )
                assert reply.head.status == 200
                link.abort()
            text = reply.body.decode()
            assert 'pearrun_ready 1' in text
            assert 'store_calls{call="newest",topic="keyed.servers"}' in text
            assert 'ending="answered",status="200"} 1' in text

    asyncio.run(main())


def test_a_refused_duty_call_raises_an_error_with_the_status():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            site.api.status = 409
            client = dutyclient.DutyClient(site.api_address, 'host-1')
            try:
                await client.report_usage(make_term(), 5, {'anna': 1})
            except dutyclient.exceptions.DutyCallError as exc:
                assert exc.status == 409
            else:
                raise AssertionError('the refused call raised no error')

    asyncio.run(main())


def test_acquiring_the_lease_again_does_not_revive_an_older_term():
    term = make_term()
    view = term._view
    view.apply(1, LeaseRecord(RecordKind.CLAIM, 'host-2/1'))
    assert not term.holds()
    again = LeaseRecord(RecordKind.CLAIM, view.run)
    view.note_written(2, again, Clock().boot())
    assert Term(view, Clock()).holds()
    assert not term.holds()
    with pytest.raises(exceptions.LeaseEndedError):
        term.check()


def test_no_duty_call_is_sent_or_awaited_after_the_end_of_its_term():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            client = dutyclient.DutyClient(site.api_address, 'host-1')
            before = len(site.api.calls)
            with pytest.raises(exceptions.DutyCallError):
                await client.report_usage(make_term(0), 5, {'anna': 1})
            assert all(c.body.get('window_no') != 5 for c in site.api.calls)
            assert len(site.api.calls) >= before

    asyncio.run(main())


async def serve_silently(port, receive_bytes):
    """Accept connections but read no data until ``read`` is set.

    :param receive_bytes: size of the kernel's receive buffer.
    :returns: ``(server, read, received)``; the data of each connection is
        put on the queue ``received``.
    """
    read = asyncio.Event()
    received = asyncio.Queue()

    async def receive(reader, writer):
        reader._transport.pause_reading()
        await read.wait()
        reader._transport.resume_reading()
        data = b''
        try:
            while chunk := await reader.read(65_536):
                data += chunk
        except ConnectionError:
            pass
        await received.put(data)
        writer.close()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', port))
    server = await asyncio.start_server(receive, sock=sock, limit=1024)
    return server, read, received


def test_buffered_data_of_a_duty_call_does_not_arrive_after_the_term():
    """The connection stalls in mid-call and recovers after the term."""

    async def main():
        port = find_free_port()
        server, read, received = await serve_silently(port, 4096)
        address = f'127.0.0.1:{port}'
        client = dutyclient.DutyClient(address, 'host-1')
        counts = {f'customer-{number:06}': 1 for number in range(20_000)}
        term = make_term(400)
        with pytest.raises(exceptions.DutyCallError):
            await client.report_usage(term, 5, counts)
        assert not term.holds()
        read.set()
        data = await asyncio.wait_for(received.get(), 5)
        assert b'customer-019999' not in data
        server.close()

    asyncio.run(main())


def test_a_service_configured_later_is_planned_after_the_next_update():
    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (daemon,) = site.hosts.values()
            scaler = daemon.duties.scaler
            scaler.updated_ms = daemon.clock.now()
            config = make_scaled_config(version=2)
            site.configure(config)
            await wait_until(lambda: daemon.host.config.version == 2)
            await scaler.act(make_term())
            await wait_until(lambda: 'model' in scaler.need_history)

    asyncio.run(main())


def test_the_slots_per_endpoint_stay_known_when_all_entries_expire():
    """Guards against a need computed as if each endpoint had one slot."""

    async def main():
        async with run_site(make_scaled_config(), [('m1', 'model')]) as site:
            (daemon,) = site.hosts.values()
            scaler = daemon.duties.scaler
            service = daemon.host.config.current.services['model']
            known = scaler._find_slots(service)
            site.store.put('servers', 'm1', None)
            await wait_until(
                lambda: not daemon.host.fleet.find_by_service('model')
            )
            assert scaler._find_slots(service) == known == 8
            assert Scaler(daemon.host, None)._find_slots(service) == 8

    asyncio.run(main())


def test_limited_endpoints_raise_the_need():
    async def main():
        async with run_site(make_scaled_config()) as site:
            for number in range(6):
                await site.add_runner(f'm{number}', 'model')
            (daemon,) = site.hosts.values()
            host = daemon.host
            await wait_until(lambda: len(host.fleet.endpoints) == 6)
            service = host.config.current.services['model']
            answer_ms = host.demands.get_answer_ms('model')
            # 4 calls per second and endpoint.
            demand = Demand(busy=24 * answer_ms / 1000)
            scaler = Scaler(host, None)
            assert scaler._count_displaced(service.name, demand) == 0
            host.limits.note_advertised('m1', 1.0)
            host.limits.note_advertised('m2', 0.0)
            host.limits.note_advertised('m3', 9.0)
            assert scaler._count_displaced(service.name, demand) == 2

    asyncio.run(main())


def test_service_that_returns_after_its_needs_expired_is_planned():
    """The first plan may come before its need is recorded again."""

    async def main():
        scaled = make_scaled_config()
        without = make_scaled_config()
        without['services'] = without['services'][:1]
        without['routes'] = without['routes'][:2]
        clock = ManualClock()
        host = HostContext(make_host_settings(), EndpointCodec(), clock)
        scaler = Scaler(host, None)
        term = make_term()
        host.config.offer(make_version(2, scaled), 'test')
        scaler.update_needs()
        host.config.offer(make_version(3, without), 'test')
        for _ in range(12):
            clock.advance(1000)
            scaler.update_needs()
        clock.advance(500)
        host.config.offer(make_version(4, scaled), 'test')
        await scaler.act(term)
        assert not scaler.ordered
        clock.advance(1000)
        scaler.update_needs()
        service = host.config.current.services['model']
        assert scaler._plan(service, clock.now())

    asyncio.run(main())


def make_version(version, config):
    """Return a decoded configuration of a given version."""
    return decode_configuration(
        json.dumps({**config, 'version': version}).encode()
    )
