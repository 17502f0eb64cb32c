"""The whole path on the platform's wire: caller, host, endpoint."""

import asyncio

from pearrun import exceptions
from pearrun.decisions.budget import RetryBudget
from pearrun.http1 import client
from pearrun.platform import membership
from pearrun.platform.daemon import Daemon
from pearrun.platform.settings import RetrySettings
from pearrun.shared.members import Member
from pearrun.standins.platformsite import make_config
from tests.platformsite import call
from tests.platformsite import make_headers
from tests.platformsite import make_prompt
from tests.platformsite import run_site
from tests.platformsite import wait_until


def play(scenario, **site):
    """Run a scenario, called with the site and its first host."""

    async def main():
        site.setdefault('config', make_config())
        async with run_site(**site) as running:
            await scenario(running, running.hosts['host-1'])

    asyncio.run(main())


PLAIN = [('p1', 'plain')]
PLAIN_TWO = [('p1', 'plain'), ('p2', 'plain')]
MODEL_TWO = [('m1', 'model'), ('m2', 'model')]


def test_plain_answer_is_passed_on_whole():
    async def scenario(site, host):
        answer = await call(
            host, '/once/x?q=1', 'a1', 'POST', b'body', Content_Type='a/b'
        )
        assert answer.status == 200
        assert answer.body == b'answer to /once/x?q=1'
        assert answer.head.get(b'pearrun-runner-seal') == 'seal.p1.a1'
        (run,) = site.runners['p1'].runs
        assert run.request.method == b'POST'
        assert run.request.target == b'/once/x?q=1'
        assert run.request.body == b'body'
        assert run.request.get(b'content-type') == 'a/b'

    play(scenario, runners=PLAIN)


def test_system_headers_are_ours_and_the_key_stays_here():
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

    play(scenario, runners=PLAIN)


def test_deadline_passed_on_is_what_is_left():
    async def scenario(site, host):
        await call(host, '/once/x', 'a1', deadline_ms=700)
        await call(host, '/once/x', 'a2', deadline_ms=60_000)
        first, second = site.runners['p1'].runs
        assert 500 < int(first.request.get(b'pearrun-deadline-ms')) <= 700
        # The route's timeout is shorter than what the caller allows.
        assert int(second.request.get(b'pearrun-deadline-ms')) <= 3000

    play(scenario, runners=PLAIN)


def test_unknown_route_key_and_id_are_refused():
    async def scenario(site, host):
        assert (await call(host, '/none/', 'a1')).status == 404
        assert (await call(host, '/once/', 'a2', key='wrong')).status == 401
        assert (await call(host, '/once/', 'a3', key=None)).status == 401
        assert (await call(host, '/open/', 'a4', key=None)).status == 200
        answer = await call(host, '/once/', '')
        assert answer.status == 400
        assert answer.json()['error']['code'] == 1200

    play(scenario, runners=PLAIN)


def test_without_a_configuration_calls_are_told_to_come_back():
    async def scenario(site, host):
        answer = await call(host, '/once/', 'a1')
        assert answer.status == 503
        assert float(answer.head.get(b'retry-after')) > 0
        assert not host.host.is_ready()

    play(scenario, config=None)


def test_unknown_keys_are_refused_for_good_while_the_store_answers():
    """A read that waits for changes must not make the list look old."""

    async def scenario(site, host):
        await asyncio.sleep(4.5)
        assert host.host.config.age_ms() < 4000
        assert (await call(host, '/once/', 'a1', key='gone')).status == 401
        site.store.faults.status = 503
        await asyncio.sleep(5.0)
        assert (await call(host, '/once/', 'a2', key='gone')).status == 503

    play(scenario, runners=PLAIN)


def test_longest_prefix_wins_and_newer_versions_take_over():
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

    play(scenario, runners=PLAIN)


def test_refused_by_a_full_endpoint_goes_to_another_one():
    async def scenario(site, host):
        site.runners['p1'].faults.full = True
        for number in range(4):
            answer = await call(host, '/once/', f'a{number}')
            assert answer.status == 200
        assert len(site.runners['p2'].runs) == 4

    play(scenario, runners=PLAIN_TWO)


def test_all_endpoints_full_is_a_promise_not_to_run():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.full = True
        answer = await call(host, '/once/', 'a1')
        assert answer.status == 503
        assert answer.json()['error']['not_run'] is True
        assert not any(runner.runs for runner in site.runners.values())

    play(scenario, runners=PLAIN_TWO)


def test_endpoints_that_cannot_be_reached_cost_no_repeat_budget():
    """Nothing arrived there, so nothing is repeated."""

    async def scenario(site, host):
        site.runners['p1'].server.close()
        site.runners['p1'].server.abort()
        host.relay.budgets['plain'] = RetryBudget(
            RetrySettings(ratio=0.0, slack=0.0, window_ms=1000)
        )
        for number in range(6):
            assert (await call(host, '/once/', f'a{number}')).status == 200
        assert len(site.runners['p2'].runs) == 6

    play(scenario, runners=PLAIN_TWO)


def test_address_reused_by_another_endpoint_is_dropped():
    async def scenario(site, host):
        site.runners['p1'].id = 'p1-reborn'
        for number in range(3):
            answer = await call(host, '/once/', f'a{number}')
            assert answer.status == 200
        assert 'p1' not in host.host.fleet.endpoints

    play(scenario, runners=PLAIN_TWO)


def test_non_idempotent_call_with_a_lost_answer_runs_once():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.reset_before = True
        answer = await call(host, '/once/', 'a1', 'POST')
        assert answer.status == 502
        assert answer.json()['error']['not_run'] is False
        assert sum(len(r.runs) for r in site.runners.values()) == 1

    play(scenario, runners=PLAIN_TWO)


def test_idempotent_call_with_a_lost_answer_runs_again():
    async def scenario(site, host):
        site.runners['p1'].faults.reset_before = True
        for number in range(4):
            answer = await call(host, '/safe/', f'a{number}')
            assert answer.status == 200

    play(scenario, runners=PLAIN_TWO)


def test_a_call_that_failed_goes_back_to_an_endpoint_that_was_slow(
    monkeypatch,
):
    """One of two endpoints is slow to accept once; the other one resets.

    The call was given up with 502, "no endpoint", 0.3 s after it came,
    though the first endpoint would have taken it by then.
    """

    async def scenario(site, host):
        site.runners['p1'].faults.reset_before = True
        slow = site.runners['p2'].address
        connect = client.connect
        refused = []

        async def connect_slowly_once(address, *limits):
            if address == slow and not refused:
                refused.append(address)
                raise exceptions.EndpointSilentError('connect timed out')
            return await connect(address, *limits)

        monkeypatch.setattr(client, 'connect', connect_slowly_once)
        # Which endpoint a call goes to first is left to the host.
        for number in range(4):
            answer = await call(host, '/safe/', f'a{number}')
            assert answer.status == 200
        assert refused

    play(scenario, runners=PLAIN_TWO)


def test_idempotent_call_failed_by_one_endpoint_is_mended_by_another():
    async def scenario(site, host):
        site.runners['p1'].faults.status = 500
        statuses = set()
        for number in range(4):
            statuses.add((await call(host, '/safe/', f'a{number}')).status)
        assert statuses == {200}
        site.runners['p2'].faults.status = 500
        answer = await call(host, '/safe/', 'b')
        assert answer.status == 500
        assert answer.head.get(b'pearrun-runner-seal') is not None

    play(scenario, runners=PLAIN_TWO)


def test_truncated_and_unsealed_answers_never_look_whole():
    async def scenario(site, host):
        faults = site.runners['p1'].faults
        faults.truncate = True
        assert (await call(host, '/once/', 'a1')).status == 502
        faults.truncate = False
        faults.unsealed = True
        assert (await call(host, '/once/', 'a2')).status == 502

    play(scenario, runners=PLAIN)


def test_answer_without_a_length_is_passed_on_whole():
    async def scenario(site, host):
        site.runners['p1'].faults.unframed = True
        answer = await call(host, '/once/x', 'a1')
        assert answer.status == 200
        assert answer.body == b'answer to /once/x'
        assert answer.complete

    play(scenario, runners=PLAIN)


def test_extra_and_stray_answers_reach_nobody():
    async def scenario(site, host):
        faults = site.runners['p1'].faults
        faults.extra = True
        for number in range(5):
            answer = await call(host, '/once/x', f'a{number}')
            assert answer.body == b'answer to /once/x'
        faults.extra = False
        faults.stray_first = True
        for number in range(5):
            answer = await call(host, '/once/x', f'b{number}')
            assert answer.body == b'answer to /once/x'
        assert len(site.runners['p1'].runs) == 10

    play(scenario, runners=PLAIN)


def test_stream_is_passed_on_event_by_event():
    async def scenario(site, host):
        answer = await call(host, '/long/', 'a1', 'POST', **make_prompt())
        assert answer.status == 200
        assert answer.complete
        assert list_events(answer) == [1, 2, 3, 4, 5]

    play(scenario, runners=MODEL_TWO)


def test_resumable_stream_goes_on_at_another_endpoint():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.cut_after = 3
            runner.faults.torn = True
        answer = await call(host, '/long/', 'a1', 'POST', **make_prompt())
        assert answer.complete
        assert list_events(answer) == [1, 2, 3, 4, 5]
        runs = [run for r in site.runners.values() for run in r.runs]
        assert sorted(run.last_event_id for run in runs) == [0, 3]

    play(scenario, runners=MODEL_TWO)


def test_other_streams_break_off_visibly_and_run_once():
    async def scenario(site, host):
        for runner in site.runners.values():
            runner.faults.cut_after = 2
            runner.faults.torn = True
        answer = await call(host, '/short/', 'a1', 'POST', **make_prompt())
        assert answer.status == 200
        assert not answer.complete
        assert list_events(answer) == [1, 2]
        assert sum(len(r.runs) for r in site.runners.values()) == 1

    play(scenario, runners=MODEL_TWO)


def test_route_timeout_is_answered_at_once():
    async def scenario(site, host):
        config = make_config(2)
        config['routes'][0]['timeout_ms'] = 200
        site.configure(config)
        await wait_until(lambda: host.host.config.version == 2)
        site.runners['p1'].work_ms = 2000
        began = host.clock.now()
        answer = await call(host, '/once/', 'a1')
        assert answer.status == 504
        assert 150 < host.clock.since(began) < 500
        await wait_until(lambda: site.runners['p1'].runs[0].cancelled)

    play(scenario, runners=PLAIN)


class SilentPool:
    """Pool of an endpoint behind a cut path: no connection ever stands."""

    async def acquire(self):
        await asyncio.Event().wait()


def test_timeout_before_anything_was_sent_promises_that_it_has_not_run():
    async def scenario(site, host):
        host.host.pools.get = lambda record, service: SilentPool()
        answer = await call(host, '/once/', 'a1', deadline_ms=200)
        assert answer.status == 503
        assert answer.json()['error']['not_run'] is True
        assert float(answer.head.get(b'retry-after')) >= 0

    play(scenario, runners=PLAIN)


def test_caller_that_leaves_stops_the_endpoints_work():
    async def scenario(site, host):
        site.runners['p1'].work_ms = 3000
        connection = await client.connect(
            host.settings.front_address, 1000, 5000
        )
        connection.send('GET', '/once/', make_headers('a1'))
        await wait_until(lambda: site.runners['p1'].runs)
        connection.abort()
        await wait_until(lambda: site.runners['p1'].runs[0].cancelled, 0.5)

    play(scenario, runners=PLAIN)


def test_host_that_ends_is_taken_off_the_list_of_hosts():
    async def scenario(site, host):
        second = site.hosts['host-2']
        await wait_until(lambda: len(host.host.members.others()) == 1)
        await second.leave()
        await wait_until(lambda: not host.host.members.others())

    play(scenario, hosts=2)


def test_host_taken_off_the_list_while_it_runs_comes_back():
    """A removal that the store does late may hit the next run."""

    async def scenario(site, host):
        listed = host.host.members.members
        await wait_until(lambda: 'host-2' in listed)
        before = listed['host-2']
        site.store.put('hosts', 'host-2', None)
        await wait_until(lambda: listed.get('host-2') is not before)
        await wait_until(lambda: 'host-2' in listed)
        assert listed['host-2'] == before

    play(scenario, hosts=2)


def test_host_that_is_silent_for_long_is_taken_off_the_list(monkeypatch):
    """One that lost its power cannot do so itself."""

    async def scenario(site, host):
        hosts = list(site.hosts.values())
        members = host.host.members
        await wait_until(lambda: any(map(Daemon.holds_lease, hosts)))
        monkeypatch.setattr(membership, 'SILENT_MS', 1000)
        member = Member('gone', '127.0.9.9:1', 'zone-a', 1)
        await host.store.put('hosts', 'gone', membership.encode(member))
        await wait_until(lambda: 'gone' in members.members)
        await asyncio.sleep(1.2)
        # Any change ends the wait of the read before the next look.
        await host.store.put('hosts', 'host-0', membership.encode(member))
        await wait_until(lambda: 'gone' not in members.members)
        assert {'host-1', 'host-2', 'host-3'} <= set(members.members)

    play(scenario, hosts=3)


def test_a_drain_that_a_waiting_read_missed_is_known_in_time():
    """The record is appended as the read arrives, which does not see it."""

    async def main():
        async with run_site(make_config(), PLAIN) as site:
            (daemon,) = site.hosts.values()
            first = site.runners['p1']
            await asyncio.sleep(0.4)
            site.store.faults.missed_records = True
            # A change ends the read that waits now; the next one misses.
            site.list_runner(first)
            await asyncio.sleep(0.4)
            first.state = 'draining'
            site.list_runner(first)
            listed_ms = daemon.clock.now()
            await wait_until(
                lambda: daemon.host.fleet.of_service('plain') == []
            )
            drain_ms = daemon.settings.drain_ms
            assert daemon.clock.since(listed_ms) < 0.8 * drain_ms

    asyncio.run(main())


def test_a_configuration_that_a_lone_hosts_read_missed_is_in_force_in_time():
    """Nobody passes it on; the read went on waiting for up to 25 s."""

    async def scenario(site, host):
        site.store.faults.missed_records = True
        # A change ends the read that waits now; the next one misses.
        site.configure(make_config(2))
        await wait_until(lambda: host.host.config.version == 2)
        await asyncio.sleep(0.2)
        site.configure(make_config(3))
        written_ms = host.clock.now()
        await wait_until(lambda: host.host.config.version == 3)
        assert host.clock.since(written_ms) < host.settings.config_ms

    play(scenario)


def test_one_silent_connection_to_an_endpoint_costs_one_call(monkeypatch):
    """Several connections go silent at once; one call finds out.

    Calls that may not be repeated were lost on each of them, one by one.
    """

    async def scenario(site, host):
        site.runners['p1'].work_ms = 100
        await asyncio.gather(
            *(call(host, '/once/', f'a{number}') for number in range(3))
        )
        read_head = client.ClientConnection.read_head
        silenced = set(list_idle(host))
        assert len(silenced) == 3

        async def read_unless_silenced(connection):
            if connection in silenced:
                raise exceptions.ConnectionBrokenError('silent', True)
            return await read_head(connection)

        monkeypatch.setattr(
            client.ClientConnection, 'read_head', read_unless_silenced
        )
        assert (await call(host, '/once/', 'b')).status == 502
        assert (await call(host, '/once/', 'c')).status == 200

    play(scenario, runners=PLAIN)


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
        site.list_runner(first)
        await wait_until(lambda: len(host.host.fleet.of_service('plain')) == 1)
        for number in range(3):
            assert (await call(host, '/once/', f'a{number}')).status == 200
        assert not first.runs
        site.store.put('servers', 'p2', None)
        await wait_until(lambda: not host.host.fleet.of_service('plain'))
        assert (await call(host, '/once/', 'b')).status == 503

    play(scenario, runners=PLAIN_TWO)


def test_expired_history_is_read_anew_from_the_newest_records():
    async def scenario(site, host):
        site.store.put('servers', 'p1', None)
        site.store.forget_history('keyed.servers')
        site.store.forget_history('keyed.op')
        await site.add_runner('p9', 'plain')
        await wait_until(
            lambda: set(host.host.fleet.endpoints) == {'p2', 'p9'}
        )

    play(scenario, runners=PLAIN_TWO)


def test_host_removed_in_expired_history_is_forgotten():
    async def scenario(site, host):
        members = host.host.members
        member = Member('gone', '127.0.9.9:1', 'zone-a', 1)
        await host.store.put('hosts', 'gone', membership.encode(member))
        await wait_until(lambda: 'gone' in members.members)
        site.store.put('hosts', 'gone', None)
        site.store.forget_history('keyed.hosts')
        await wait_until(lambda: 'gone' not in members.members)

    play(scenario, runners=PLAIN_TWO)


def test_store_outage_stops_nothing():
    async def scenario(site, host):
        site.store.faults.status = 503
        await asyncio.sleep(0.3)
        assert host.host.is_ready()
        assert (await call(host, '/once/', 'a1')).status == 200
        site.store.faults.status = 0
        site.configure(make_config(5))
        await wait_until(lambda: host.host.config.version == 5)

    play(scenario, runners=PLAIN)


def test_stop_finishes_what_was_begun_and_takes_nothing_late():
    async def scenario(site, host):
        site.runners['p1'].work_ms = 600
        connection = await client.connect(
            host.settings.front_address, 1000, 5000
        )
        idle = await client.connect(host.settings.front_address, 1000, 5000)
        connection.send('GET', '/once/', make_headers('a1'))
        await wait_until(lambda: site.runners['p1'].runs)
        leaving = asyncio.create_task(host.leave())
        await asyncio.sleep(0)
        assert not host.host.is_ready()
        head = await connection.read_head()
        assert head.status == 200
        assert head.get(b'connection') == 'close'
        await leaving
        await wait_until(lambda: idle.closed)

    play(scenario, runners=PLAIN)


def list_events(answer):
    """Return the ids of a stream's whole events."""
    return [
        int(line[4:])
        for line in answer.body.decode().split('\n')
        if line.startswith('id: ')
    ]
