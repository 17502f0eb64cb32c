"""Failed paths to endpoints, as exchanged between hosts."""

import asyncio
import dataclasses

from pearrun.shared import paths
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.paths import PathFailure
from tests.builders import ManualClock
from tests.platformsite import call
from tests.platformsite import wait_until
from tests.test_topology import find_hubs
from tests.test_topology import run_with_hubs

RUNNERS = [('p1', 'plain'), ('p2', 'plain')]


class FakePools:
    """Records the endpoints whose idle connections were closed."""

    def __init__(self):
        self.closed = []

    def close_idle(self, endpoint_id):
        """See :class:`EndpointPools`."""
        self.closed.append(endpoint_id)


class FakeSelection:
    """Records the zones that are avoided."""

    def __init__(self):
        self.paused = []

    def pause_zone(self, zone):
        """See :class:`Selection`."""
        self.paused.append(zone)


class FakeFleet:
    """No endpoints."""

    def __init__(self):
        self.endpoints = {}


def make_paths():
    """Return :class:`Paths` of a host in zone-a, with fakes."""
    clock = ManualClock()
    clock.advance(10_000)
    return paths.Paths(
        clock, 'h1', 'zone-a', FakeFleet(), FakeSelection(), FakePools()
    )


def make_failure(at_ms, endpoint_id='p1', **fields):
    """Return the :class:`PathFailure` of an endpoint, seen in zone-a."""
    failure = PathFailure('h2', 'zone-a', 'zone-b', endpoint_id, at_ms)
    return dataclasses.replace(failure, **fields)


def test_a_failure_is_applied_and_forwarded_once():
    known = make_paths()
    now = known.clock.now()
    known.merge([make_failure(now)], forward=True)
    known.merge([make_failure(now - 40)], forward=True)
    assert known.pools.closed == ['p1']
    assert len(known.collect_updates()) == 1
    assert not known.collect_updates()


def test_an_old_failure_is_ignored():
    known = make_paths()
    old_ms = known.clock.now() - paths.MAX_AGE_MS - 1
    known.merge([make_failure(old_ms)], forward=True)
    assert not known.pools.closed
    assert not known.collect_updates()


def test_a_zone_is_avoided_only_by_hosts_on_the_same_side():
    known = make_paths()
    now = known.clock.now()
    other = make_failure(now, None, reporter='h3', source='zone-c')
    known.merge([other], forward=True)
    assert not known.selection.paused
    known.merge([make_failure(now, None)], forward=True)
    assert known.selection.paused == ['zone-b']


def test_failures_are_encoded_without_loss():
    failures = (make_failure(20), make_failure(30, None))
    note = reports.PathNote('h2', failures)
    assert reportcodec.decode(reportcodec.encode(note)) == note


def find_endpoint(daemon, name):
    """Return the :class:`EndpointRecord` of an endpoint."""
    return daemon.host.fleet.find(name).record


async def open_idle_connections(daemons):
    """Let every host call every endpoint, so that it keeps a connection."""
    for daemon in daemons:
        for name, _ in RUNNERS:
            pool = daemon.host.pools.get(
                find_endpoint(daemon, name),
                daemon.host.config.current.services['plain'],
            )
            connection = await pool.acquire()
            connection.idle_limit_ms = 60_000
            pool.idle.append(connection)


def count_idle(daemon, name):
    """Return the number of idle connections to an endpoint."""
    service = daemon.host.config.current.services['plain']
    return len(
        daemon.host.pools.get(find_endpoint(daemon, name), service).idle
    )


def test_idle_connections_to_a_silent_endpoint_are_closed_on_all_hosts(
    monkeypatch,
):
    # Each host lost a call on each of its connections to it.
    async def scenario(site, daemons):
        await wait_until(lambda: all(d.host.is_ready() for d in daemons))
        await open_idle_connections(daemons)
        observer = next(d for d in daemons if d not in find_hubs(daemons))
        observer.host.paths.note_silent(find_endpoint(observer, 'p1'))
        await wait_until(
            lambda: not any(count_idle(d, 'p1') for d in daemons), 2
        )
        assert all(count_idle(d, 'p2') for d in daemons)

    run_with_hubs(scenario, monkeypatch, RUNNERS)


def test_hosts_of_a_zone_avoid_one_that_they_cannot_reach(monkeypatch):
    # Each host lost a call on each connection to the partitioned zone.
    async def scenario(site, daemons):
        await site.add_runner('p3', 'plain', zone='zone-b')
        await site.add_runner('p4', 'plain', zone='zone-b')
        await wait_until(
            lambda: all(len(d.host.fleet.endpoints) == 4 for d in daemons)
        )
        inside = [d for d in daemons if d.settings.zone == 'zone-a']
        site.runners['p3'].end()
        site.runners['p4'].end()
        observer = next(d for d in inside if d not in find_hubs(daemons))
        observer.host.paths.note_broken(find_endpoint(observer, 'p3'))
        await wait_until(
            lambda: all(
                d.host.selection.zones.get('zone-b')
                and d.host.selection.zones['zone-b'].pause.length_ms
                for d in inside
            ),
            2,
        )
        for daemon in daemons:
            if daemon not in inside:
                assert not daemon.host.selection.is_zone_paused('zone-b')
        for number, daemon in enumerate(inside):
            answer = await call(daemon, '/once/', f'a{number}')
            assert answer.status == 200

    run_with_hubs(scenario, monkeypatch, RUNNERS)


def test_one_endpoint_that_refuses_does_not_make_its_zone_unreachable(
    monkeypatch,
):
    async def scenario(site, daemons):
        await site.add_runner('p3', 'plain', zone='zone-b')
        await site.add_runner('p4', 'plain', zone='zone-b')
        await wait_until(
            lambda: all(len(d.host.fleet.endpoints) == 4 for d in daemons)
        )
        site.runners['p3'].end()
        observer = next(d for d in daemons if d.settings.zone == 'zone-a')
        observer.host.paths.note_broken(find_endpoint(observer, 'p3'))
        await asyncio.sleep(0.5)
        assert not observer.host.selection.is_zone_paused('zone-b')

    run_with_hubs(scenario, monkeypatch, RUNNERS)
