"""What hosts know of streams that began elsewhere, and of past versions."""

import asyncio

import cbor2
import pytest

from pearrun.clock import Clock
from pearrun.platform import streamlog
from pearrun.shared import streamorigins
from pearrun.shared import versionhistory
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.streamorigins import StreamOrigins
from pearrun.shared.versionhistory import DepartedVersion
from pearrun.shared.versionhistory import VersionHistory
from pearrun.states import EndpointState
from tests.builders import ManualClock

WINDOW_MS = 15_000


def make_origin(request_id='a', until_ms=9000, version='v1'):
    """Return a :class:`StreamOrigin`."""
    return StreamOrigin(request_id, 'model', version, 'anna', until_ms)


def make_record(name, version='v1', service='model'):
    """Return the :class:`EndpointRecord` of a live endpoint."""
    address = '10.0.0.1:80'
    return EndpointRecord(
        name,
        service,
        address,
        'zone-a',
        8,
        EndpointState.LIVE,
        version=version,
    )


def make_history(clock, *versions):
    """Return a :class:`VersionHistory` with an endpoint of each version."""
    fleet = Fleet()
    for number, version in enumerate(versions):
        fleet.put(make_record(f'e{number}', version))
    history = VersionHistory(clock, fleet)
    history.note_snapshot(clock.now())
    fleet.listed_ms = clock.now()
    return history


def remove_endpoint(history, name):
    """Let an endpoint leave."""
    history.note_departed(history.fleet.remove(name).record)


def test_origins_are_forgotten_once_their_callers_have_given_up():
    clock = ManualClock()
    origins = StreamOrigins(clock)
    origins.publish(make_origin('a', clock.now() + 3000))
    assert origins.find('a').version == 'v1'
    clock.advance(3000)
    assert origins.find('a') is None
    assert origins.make_snapshot() == ()
    origins.publish(make_origin('b', clock.now() + 3000))
    assert len(origins) == 1


def test_number_of_origins_is_limited(monkeypatch):
    monkeypatch.setattr(streamorigins, 'MAX_ORIGINS', 3)
    origins = StreamOrigins(ManualClock())
    for name in 'abcd':
        origins.publish(make_origin(name))
    assert [item.id for item in origins.make_snapshot()] == ['b', 'c', 'd']
    assert len(origins.make_snapshot(own_only=True)) == 3


def test_first_origin_of_a_stream_stays():
    origins = StreamOrigins(ManualClock())
    origins.publish(make_origin(version='v1'))
    origins.merge([make_origin(version='v2')], from_hub=False)
    assert origins.find('a').version == 'v1'


def test_hub_forwards_the_origins_of_its_zone_once():
    origins = StreamOrigins(ManualClock())
    origins.is_hub = True

    async def main():
        with origins.open_outbox() as outbox:
            origins.merge([make_origin('a')], from_hub=False)
            origins.merge([make_origin('a')], from_hub=False)
            assert [item.id for item in await outbox.take()] == ['a']
            origins.merge([make_origin('b')], from_hub=True)
            origins.publish(make_origin('c'))
            assert [item.id for item in await outbox.take()] == ['c']
        unforwarded = origins.take_unforwarded()
        assert [item.id for item in unforwarded] == ['a', 'b', 'c']
        assert origins.take_unforwarded() == ()

    asyncio.run(main())


def test_origin_that_is_on_its_way_is_waited_for():
    async def main():
        clock = Clock()
        origins = StreamOrigins(clock)
        waiting = asyncio.create_task(origins.wait('a', 1000))
        await asyncio.sleep(0.01)
        origins.merge([make_origin('a', clock.now() + 500)], from_hub=False)
        assert (await waiting).id == 'a'
        assert await origins.wait('b', 10) is None

    asyncio.run(main())


def test_only_version_is_known_after_a_window():
    clock = ManualClock()
    history = make_history(clock, 'v1', 'v1')
    assert history.find_only('model', WINDOW_MS) is None
    clock.advance(WINDOW_MS)
    assert history.find_only('model', WINDOW_MS) == 'v1'
    assert history.find_only('plain', WINDOW_MS) is None


def test_departed_version_counts_for_a_window():
    clock = ManualClock()
    history = make_history(clock, 'v1', 'v2')
    clock.advance(WINDOW_MS)
    assert history.find_only('model', WINDOW_MS) is None
    remove_endpoint(history, 'e0')
    clock.advance(WINDOW_MS - 1)
    assert history.find_only('model', WINDOW_MS) is None
    clock.advance(1)
    assert history.find_only('model', WINDOW_MS) == 'v2'


def test_versions_are_unknown_after_a_gap_in_the_list():
    clock = ManualClock()
    history = make_history(clock, 'v1')
    clock.advance(WINDOW_MS)
    history.note_snapshot(clock.now())
    assert history.find_only('model', WINDOW_MS) is None


def test_restarted_host_learns_versions_from_before_its_start():
    clock = ManualClock()
    old = make_history(clock, 'v1', 'v2')
    remove_endpoint(old, 'e1')
    clock.advance(WINDOW_MS)
    old.fleet.listed_ms = clock.now()
    assert old.is_complete()
    departed = old.list_departed()
    assert DepartedVersion('model', 'v1', clock.now()) in departed
    new = make_history(clock, 'v1')
    assert new.find_only('model', WINDOW_MS) is None
    new.merge(old.since_ms, departed)
    assert new.find_only('model', WINDOW_MS) == 'v1'
    assert new.find_only('model', WINDOW_MS + 1) is None


def test_host_with_an_old_list_vouches_for_no_version():
    clock = ManualClock()
    history = make_history(clock, 'v1')
    clock.advance(versionhistory.MAX_GAP_MS + 1)
    assert not history.is_complete()


def test_versions_learnt_before_the_first_list_stay_known():
    clock = ManualClock()
    history = VersionHistory(clock, Fleet())
    history.merge(clock.now() - WINDOW_MS, [])
    history.fleet.put(make_record('e0'))
    history.note_snapshot(clock.now() + 100)
    assert history.find_only('model', WINDOW_MS) == 'v1'
    late = VersionHistory(clock, history.fleet)
    late.merge(clock.now() - WINDOW_MS, [])
    late.note_snapshot(clock.now() + versionhistory.MAX_GAP_MS + 1)
    assert late.find_only('model', WINDOW_MS) is None


def test_saved_streams_are_decoded_unchanged():
    saved = streamlog.SavedStreams(
        5, (make_origin(),), 7, (DepartedVersion('model', 'v1', 3),), 9
    )
    assert streamlog.decode(streamlog.encode(saved)) == saved


def test_saved_streams_of_older_builds_are_decoded():
    assert streamlog.decode(cbor2.dumps([5, [], 7, []])).position is None


@pytest.mark.parametrize(
    'data', [b'', b'x', b'\x81\x01', b'\x84\x01\x01\x01\x01']
)
def test_malformed_record_of_saved_streams_is_skipped(data):
    assert streamlog.decode_or_skip(data) is None
