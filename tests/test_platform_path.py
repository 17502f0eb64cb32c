"""End-to-end tests of calls through a host, on the platform's protocol."""

import asyncio

import pytest

from pearrun import exceptions
from pearrun.http1 import client
from pearrun.platform import membership
from pearrun.platform.daemon import Daemon
from pearrun.platform.settings import RetrySettings
from pearrun.relay.relay import Relay
from pearrun.shared.members import Member
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_headers
from tests.platformsite import make_host_context
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until


def run_scenario(scenario, **site):
    """Run a scenario, called with a site and its first host."""

    async def main():
        site.setdefault('config', make_config())
        async with run_site(**site) as running:
            await scenario(running, running.hosts['host-1'])

    asyncio.run(main())


PLAIN = [('p1', 'plain')]
TWO_PLAIN = [('p1', 'plain'), ('p2', 'plain')]
TWO_MODEL = [('m1', 'model'), ('m2', 'model')]


def test_shutdown_does_not_fail_on_a_call_that_has_just_timed_out():
    async def main():
        relay = Relay(make_host_context())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0) as timeout:
                relay._timeouts.add(timeout)
                await asyncio.sleep(1)
        relay.expire_calls()

    asyncio.run(main())


def test_call_that_outlasts_a_shutdown_is_answered():
    # Its connection was closed without an answer.
    async def main():
        config = make_config()
        for route in config['routes']:
            route['timeout_ms'] = 20_000
        async with run_site(config, [('p1', 'plain')]) as site:
            site.runners['p1'].work_ms = 20_000
            (daemon,) = site.hosts.values()
            calling = asyncio.create_task(
                call(daemon, '/once/', 'a', deadline_ms=20_000)
            )
            await wait_until(lambda: site.runners['p1'].runs)
            await daemon.shut_down()
            answer = await calling
            assert answer.status == 504
            assert answer.complete

    asyncio.run(main())


def test_plain_response_is_forwarded_completely():
    async def scenario(site, host):
        response = await call(
            host, '/once/x?q=1', 'a1', 'POST', b'body', Content_Type='a/b'
        )
        assert response.status == 200
        assert response.body == b'answer to /once/x?q=1'
        assert response.head.get(b'pearrun-runner-seal') == 'seal.p1.a1'
        (run,) = site.runners['p1'].runs
        assert run.request.method == b'POST'
        assert run.request.target == b'/once/x?q=1'
        assert run.request.body == b'body'
        assert run.request.get(b'content-type') == 'a/b'

    run_scenario(scenario, runners=PLAIN)


def test_reserved_headers_and_the_api_key_are_not_forwarded():
    async def scenario(site, host):
        await call(
            host,
            '/once/x',
            'a1',
            Pearrun_Tenant='mallory',
            Pearrun_Hold='h',
            Pearrun_Pin_Ms='9',
            Kv_From='1.2.3.4:5/x',
            Pearrun_Kv_Backup='1.2.3.4:5',
            Pearrun_Expect_Runner='other',
            X_Kept='yes',
        )
        (run,) = site.runners['p1'].runs
        assert run.request.get(b'pearrun-tenant') == 'anna'
        assert run.request.get(b'pearrun-expect-runner') == 'p1'
        assert run.request.get(b'x-kept') == 'yes'
        for name in (
            b'authorization',
            b'pearrun-hold',
            b'pearrun-pin-ms',
            b'kv-from',
            b'pearrun-kv-backup',
        ):
            assert run.request.get(name) is None

    run_scenario(scenario, runners=PLAIN)


def test_forwarded_deadline_is_the_remaining_time():
    async def scenario(site, host):
        await call(host, '/once/x', 'a1', deadline_ms=700)
        await call(host, '/once/x', 'a2', deadline_ms=60_000)
        first, second = site.runners['p1'].runs
        assert 500 < int(first.request.get(b'pearrun-deadline-ms')) <= 700
        # The route's timeout is shorter than what the caller allows.
        assert int(second.request.get(b'pearrun-deadline-ms')) <= 3000

    run_scenario(scenario, runners=PLAIN)


def test_unknown_route_key_and_id_are_refused():
    async def scenario(site, host):
        assert (await call(host, '/none/', 'a1')).status == 404
        assert (await call(host, '/once/', 'a2', key='wrong')).status == 401
        assert (await call(host, '/once/', 'a3', key=None)).status == 401
        assert (await call(host, '/open/', 'a4', key=None)).status == 200
        response = await call(host, '/once/', '')
        assert response.status == 400
        assert response.json()['error']['code'] == 1200

    run_scenario(scenario, runners=PLAIN)


def test_calls_without_a_configuration_get_retry_after():
    async def scenario(site, host):
        response = await call(host, '/once/', 'a1')
        assert response.status == 503
        assert float(response.head.get(b'retry-after')) > 0
        assert not host.host.is_ready()

    run_scenario(scenario, config=None)


def test_unknown_keys_are_rejected_while_the_store_responds():
    """A long poll without changes must not make the configuration stale."""

    async def scenario(site, host):
        await asyncio.sleep(4.5)
        assert host.host.config.age_ms() < 4000
        assert (await call(host, '/once/', 'a1', key='gone')).status == 401
        site.store.faults.status = 503
        await asyncio.sleep(5.0)
        assert (await call(host, '/once/', 'a2', key='gone')).status == 503

    run_scenario(scenario, runners=PLAIN)


def test_newer_configuration_versions_replace_older_ones():
    async def scenario(site, host):
        config = make_config(2)
        config['routes'][0]['path_prefix'] = '/moved/'
        site.configure(config)
        await wait_until(lambda: host.host.config.version == 2)
        assert (await call(host, '/once/', 'a1')).status == 404
        assert (await call(host, '/moved/', 'a2')).status == 200
        site.configure(make_config(1))
        await asyncio.sleep(0.1)
        assert host.host.config.version == 2

    run_scenario(scenario, runners=PLAIN)


def test_call_refused_by_a_full_endpoint_goes_to_another_one():
    async def scenario(site, host):
        site.runners['p1'].faults.full = True
        for number in range(4):
            response = await call(host, '/once/', f'a{number}')
            assert response.status == 200
        assert len(site.runners['p2'].runs) == 4

    run_scenario(scenario, runners=TWO_PLAIN)


def test_call_refused_by_all_endpoints_is_reported_as_not_run():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.full = True
        response = await call(host, '/once/', 'a1')
        assert response.status == 503
        assert response.json()['error']['not_run'] is True
        assert not any(runner.runs for runner in site.runners.values())

    run_scenario(scenario, runners=TWO_PLAIN)


def test_unreachable_endpoints_consume_no_retry_budget():
    """Nothing was sent to them, so the next attempt is no retry."""

    async def scenario(site, host):
        site.runners['p1'].server.close()
        site.runners['p1'].server.abort()
        host.host.retry_budgets.settings = RetrySettings(
            ratio=0.0, slack=0.0, window_ms=1000
        )
        for number in range(6):
            assert (await call(host, '/once/', f'a{number}')).status == 200
        assert len(site.runners['p2'].runs) == 6

    run_scenario(scenario, runners=TWO_PLAIN)


def test_address_reused_by_another_endpoint_is_dropped():
    async def scenario(site, host):
        site.runners['p1'].id = 'p1-reborn'
        for number in range(3):
            response = await call(host, '/once/', f'a{number}')
            assert response.status == 200
        assert 'p1' not in host.host.fleet.endpoints

    run_scenario(scenario, runners=TWO_PLAIN)


def test_non_idempotent_call_with_a_lost_response_runs_once():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.reset_before = True
        response = await call(host, '/once/', 'a1', 'POST')
        assert response.status == 502
        assert response.json()['error']['not_run'] is False
        assert sum(len(r.runs) for r in site.runners.values()) == 1

    run_scenario(scenario, runners=TWO_PLAIN)


def test_idempotent_call_with_a_lost_response_is_retried():
    async def scenario(site, host):
        site.runners['p1'].faults.reset_before = True
        for number in range(4):
            response = await call(host, '/safe/', f'a{number}')
            assert response.status == 200

    run_scenario(scenario, runners=TWO_PLAIN)


def test_failed_call_is_retried_on_an_endpoint_that_was_slow(
    monkeypatch,
):
    """A call must be able to use an endpoint again after a connect time-out.

    Guards against a call that fails with 502, "no endpoint", 0.3 s after its
    arrival: one of two endpoints was slow to accept, the other one reset the
    connection, and the first one would have accepted by then.
    """

    async def scenario(site, host):
        site.runners['p1'].faults.reset_before = True
        slow = site.runners['p2'].address
        connect = client.connect
        timed_out = []

        async def connect_slowly_once(address, *limits):
            if address == slow and not timed_out:
                timed_out.append(address)
                raise exceptions.EndpointSilentError('connect timed out')
            return await connect(address, *limits)

        monkeypatch.setattr(client, 'connect', connect_slowly_once)
        # The host chooses which endpoint receives a call first.
        for number in range(4):
            response = await call(host, '/safe/', f'a{number}')
            assert response.status == 200
        assert timed_out

    run_scenario(scenario, runners=TWO_PLAIN)


def test_idempotent_call_failed_by_one_endpoint_is_retried_on_another():
    async def scenario(site, host):
        site.runners['p1'].faults.status = 500
        statuses = set()
        for number in range(4):
            statuses.add((await call(host, '/safe/', f'a{number}')).status)
        assert statuses == {200}
        site.runners['p2'].faults.status = 500
        response = await call(host, '/safe/', 'b')
        assert response.status == 500
        assert response.head.get(b'pearrun-runner-seal') is not None

    run_scenario(scenario, runners=TWO_PLAIN)


def test_truncated_and_unsealed_responses_are_errors():
    async def scenario(site, host):
        faults = site.runners['p1'].faults
        faults.truncate = True
        assert (await call(host, '/once/', 'a1')).status == 502
        faults.truncate = False
        faults.unsealed = True
        assert (await call(host, '/once/', 'a2')).status == 502

    run_scenario(scenario, runners=PLAIN)


def test_response_without_a_length_is_forwarded_completely():
    async def scenario(site, host):
        site.runners['p1'].faults.unframed = True
        response = await call(host, '/once/x', 'a1')
        assert response.status == 200
        assert response.body == b'answer to /once/x'
        assert response.complete

    run_scenario(scenario, runners=PLAIN)


def test_extra_and_stray_responses_are_dropped():
    async def scenario(site, host):
        faults = site.runners['p1'].faults
        faults.extra = True
        for number in range(5):
            response = await call(host, '/once/x', f'a{number}')
            assert response.body == b'answer to /once/x'
        faults.extra = False
        faults.stray_first = True
        for number in range(5):
            response = await call(host, '/once/x', f'b{number}')
            assert response.body == b'answer to /once/x'
        assert len(site.runners['p1'].runs) == 10

    run_scenario(scenario, runners=PLAIN)


def test_stream_is_forwarded_completely():
    async def scenario(site, host):
        response = await call(host, '/long/', 'a1', 'POST', **make_prompt())
        assert response.status == 200
        assert response.complete
        assert list_events(response) == [1, 2, 3, 4, 5]

    run_scenario(scenario, runners=TWO_MODEL)


def test_resumable_stream_resumes_at_another_endpoint():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.break_after_events = 3
            runner.faults.torn = True
        response = await call(host, '/long/', 'a1', 'POST', **make_prompt())
        assert response.complete
        assert list_events(response) == [1, 2, 3, 4, 5]
        runs = [run for r in site.runners.values() for run in r.runs]
        assert sorted(run.last_event_id for run in runs) == [0, 3]

    run_scenario(scenario, runners=TWO_MODEL)


def test_non_resumable_streams_are_truncated_and_run_once():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.break_after_events = 2
            runner.faults.torn = True
        response = await call(host, '/short/', 'a1', 'POST', **make_prompt())
        assert response.status == 200
        assert not response.complete
        assert list_events(response) == [1, 2]
        assert sum(len(r.runs) for r in site.runners.values()) == 1

    run_scenario(scenario, runners=TWO_MODEL)


def test_route_timeout_is_reported_at_once():
    async def scenario(site, host):
        config = make_config(2)
        config['routes'][0]['timeout_ms'] = 200
        site.configure(config)
        await wait_until(lambda: host.host.config.version == 2)
        site.runners['p1'].work_ms = 2000
        began = host.clock.now()
        response = await call(host, '/once/', 'a1')
        assert response.status == 504
        assert 150 < host.clock.since(began) < 500
        await wait_until(lambda: site.runners['p1'].runs[0].cancelled)

    run_scenario(scenario, runners=PLAIN)


class SilentPool:
    """Pool of an unreachable endpoint: no connection is ever opened."""

    async def acquire(self, request_id):
        await asyncio.Event().wait()


def test_timeout_before_sending_is_reported_as_not_run():
    async def scenario(site, host):
        host.host.pools.get = lambda record, service: SilentPool()
        response = await call(host, '/once/', 'a1', deadline_ms=200)
        assert response.status == 503
        assert response.json()['error']['not_run'] is True
        assert float(response.head.get(b'retry-after')) >= 0

    run_scenario(scenario, runners=PLAIN)


def test_disconnected_caller_cancels_the_endpoints_work():
    async def scenario(site, host):
        site.runners['p1'].work_ms = 3000
        connection = await client.connect(
            host.settings.front_address, 1000, 5000
        )
        connection.send('GET', '/once/', make_headers('a1'))
        await wait_until(lambda: site.runners['p1'].runs)
        connection.abort()
        await wait_until(lambda: site.runners['p1'].runs[0].cancelled, 0.5)

    run_scenario(scenario, runners=PLAIN)


def test_host_that_shuts_down_is_removed_from_the_host_list():
    async def scenario(site, host):
        second = site.hosts['host-2']
        await wait_until(lambda: len(host.host.members.others()) == 1)
        await second.shut_down()
        await wait_until(lambda: not host.host.members.others())

    run_scenario(scenario, hosts=2)


def test_running_host_removed_from_the_host_list_registers_again():
    """A removal that the store executes late may affect the next run."""

    async def scenario(site, host):
        listed = host.host.members.members
        await wait_until(lambda: 'host-2' in listed)
        before = listed['host-2']
        site.store.put('hosts', 'host-2', None)
        await wait_until(lambda: listed.get('host-2') is not before)
        await wait_until(lambda: 'host-2' in listed)
        assert listed['host-2'] == before

    run_scenario(scenario, hosts=2)


def test_host_that_is_silent_for_long_is_removed_from_host_list(monkeypatch):
    """A host that crashed cannot deregister itself."""

    async def scenario(site, host):
        hosts = list(site.hosts.values())
        members = host.host.members
        await wait_until(lambda: any(map(Daemon.holds_lease, hosts)))
        monkeypatch.setattr(membership, 'STALE_HOST_MS', 1000)
        member = Member('gone', '127.0.9.9:1', 'zone-a', 1)
        await host.store.put('hosts', 'gone', membership.encode(member))
        await wait_until(lambda: 'gone' in members.members)
        await asyncio.sleep(1.2)
        # Any change ends the long poll that precedes the next check.
        await host.store.put('hosts', 'host-0', membership.encode(member))
        await wait_until(lambda: 'gone' not in members.members)
        assert {'host-1', 'host-2', 'host-3'} <= set(members.members)

    run_scenario(scenario, hosts=3)


def test_drain_missed_by_a_long_poll_is_applied_in_time():
    """The record is appended as the read arrives, which misses it."""

    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (daemon,) = site.hosts.values()
            first = site.runners['p1']
            await asyncio.sleep(0.4)
            site.store.faults.long_polls_miss_appends = True
            # A change ends the current long poll; the next one misses appends.
            site.publish_runner(first)
            await asyncio.sleep(0.4)
            first.state = 'draining'
            site.publish_runner(first)
            listed_ms = daemon.clock.now()
            await wait_until(
                lambda: daemon.host.fleet.find_by_service('plain') == []
            )
            drain_ms = daemon.settings.drain_ms
            assert daemon.clock.since(listed_ms) < 0.8 * drain_ms

    asyncio.run(main())


def test_configuration_missed_by_a_single_hosts_read_is_in_force_in_time():
    """No other host forwards it; the long poll used to last up to 25 s."""

    async def scenario(site, host):
        site.store.faults.long_polls_miss_appends = True
        # A change ends the current long poll; the next one misses appends.
        site.configure(make_config(2))
        await wait_until(lambda: host.host.config.version == 2)
        await asyncio.sleep(0.2)
        site.configure(make_config(3))
        written_ms = host.clock.now()
        await wait_until(lambda: host.host.config.version == 3)
        assert host.clock.since(written_ms) < host.settings.config_ms

    run_scenario(scenario)


def test_dead_connections_to_an_endpoint_fail_one_call_only(monkeypatch):
    """Idle connections that go dead at the same time fail only one call.

    Guards against non-idempotent calls that fail one after the other, one on
    each dead connection.
    """

    async def scenario(site, host):
        site.runners['p1'].work_ms = 100
        await asyncio.gather(
            *(call(host, '/once/', f'a{number}') for number in range(3))
        )
        read_head = client.ClientConnection.read_head
        dead = set(list_idle(host))
        assert len(dead) == 3

        async def read_unless_dead(connection):
            if connection in dead:
                raise exceptions.ConnectionBrokenError('silent', True)
            return await read_head(connection)

        monkeypatch.setattr(
            client.ClientConnection, 'read_head', read_unless_dead
        )
        assert (await call(host, '/once/', 'b')).status == 502
        assert (await call(host, '/once/', 'c')).status == 200

    run_scenario(scenario, runners=PLAIN)


def list_idle(daemon):
    """Return a host's idle connections to the endpoints."""
    endpoints = daemon.host.fleet.endpoints.values()
    service = daemon.host.config.current.services['plain']
    return [
        connection
        for endpoint in endpoints
        for connection in daemon.host.pools.get(endpoint.record, service).idle
    ]


def test_draining_and_removed_endpoints_get_no_new_calls():
    async def scenario(site, host):
        first = site.runners['p1']
        first.state = 'draining'
        site.publish_runner(first)
        await wait_until(
            lambda: len(host.host.fleet.find_by_service('plain')) == 1
        )
        for number in range(3):
            assert (await call(host, '/once/', f'a{number}')).status == 200
        assert not first.runs
        site.store.put('servers', 'p2', None)
        await wait_until(lambda: not host.host.fleet.find_by_service('plain'))
        assert (await call(host, '/once/', 'b')).status == 503

    run_scenario(scenario, runners=TWO_PLAIN)


def test_expired_history_is_replaced_by_a_new_snapshot():
    async def scenario(site, host):
        site.store.put('servers', 'p1', None)
        site.store.delete_history('keyed.servers')
        site.store.delete_history('keyed.op')
        await site.add_runner('p9', 'plain')
        await wait_until(
            lambda: set(host.host.fleet.endpoints) == {'p2', 'p9'}
        )

    run_scenario(scenario, runners=TWO_PLAIN)


def test_host_removed_in_expired_history_is_removed():
    async def scenario(site, host):
        members = host.host.members
        member = Member('gone', '127.0.9.9:1', 'zone-a', 1)
        await host.store.put('hosts', 'gone', membership.encode(member))
        await wait_until(lambda: 'gone' in members.members)
        site.store.put('hosts', 'gone', None)
        site.store.delete_history('keyed.hosts')
        await wait_until(lambda: 'gone' not in members.members)

    run_scenario(scenario, runners=TWO_PLAIN)


def test_calls_and_readiness_survive_a_store_outage():
    async def scenario(site, host):
        site.store.faults.status = 503
        await asyncio.sleep(0.3)
        assert host.host.is_ready()
        assert (await call(host, '/once/', 'a1')).status == 200
        site.store.faults.status = 0
        site.configure(make_config(5))
        await wait_until(lambda: host.host.config.version == 5)

    run_scenario(scenario, runners=PLAIN)


def test_shutdown_finishes_open_requests_and_closes_idle_connections():
    async def scenario(site, host):
        site.runners['p1'].work_ms = 600
        connection = await client.connect(
            host.settings.front_address, 1000, 5000
        )
        idle = await client.connect(host.settings.front_address, 1000, 5000)
        connection.send('GET', '/once/', make_headers('a1'))
        await wait_until(lambda: site.runners['p1'].runs)
        leaving = asyncio.create_task(host.shut_down())
        await asyncio.sleep(0)
        assert not host.host.is_ready()
        head = await connection.read_head()
        assert head.status == 200
        assert head.get(b'connection') == 'close'
        await leaving
        await wait_until(lambda: idle.closed)

    run_scenario(scenario, runners=PLAIN)


def list_events(response):
    """Return the ids of a stream's events."""
    return [
        int(line[4:])
        for line in response.body.decode().split('\n')
        if line.startswith('id: ')
    ]
