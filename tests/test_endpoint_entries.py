"""Entries of endpoints: other writers' ones, and endpoints started again."""

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.decisions.avoidance import Pause
from pearrun.platform import decoding
from pearrun.platform.endpointlist import EndpointFollower
from pearrun.platform.store import KeyedRecord
from pearrun.platform.store import split_key
from pearrun.shared.loads import Load
from pearrun.shared.prompts import PromptPart
from pearrun.states import EndpointState
from tests.platformsite import make_host_context
from tests.platformsite import wait_until

ENTRY = {
    'service': 'model',
    'addr': '10.0.0.1:80',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'call_seq': 1,
    'born': 1_700_000_000_000,
}
LATER = ENTRY['born'] + 5000
NEEDED = ('service', 'addr', 'zone', 'slots', 'state')
TYPED = (*NEEDED, 'born', 'spot', 'leaves_ms')
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def encode(**fields):
    """Return an entry's bytes."""
    return json.dumps({**ENTRY, **fields}).encode()


def make_follower():
    """Return a follower whose store is never asked."""
    return EndpointFollower(make_host_context(), None)


def take(follower, name, raw):
    """Have a follower take one change."""
    follower.take_changes([KeyedRecord(name, raw)], 0)


def find(follower, name='e1'):
    """Return what a follower's host knows of an endpoint."""
    return follower.host.fleet.find(name)


def test_an_entry_is_decoded():
    record = decoding.decode_endpoint('e1', encode(spot=True, leaves_ms=7.5))
    assert record.name == 'e1'
    assert record.started_ms == ENTRY['born']
    assert record.state is EndpointState.LIVE
    assert record.reclaimable
    assert record.leaves_ms == 7


@pytest.mark.parametrize('name', NEEDED)
def test_an_entry_that_lacks_a_field_names_no_endpoint(name):
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', json.dumps(entry).encode())


@pytest.mark.parametrize('name', TYPED)
@pytest.mark.parametrize('value', [None, [], {}, '', True, 'x', -1.5])
def test_a_field_of_another_type_names_no_endpoint(name, value):
    allowed = {
        'spot': value is True,
        'leaves_ms': value == -1.5,
        # Any text may name a service or a zone.
        'service': isinstance(value, str),
        'zone': isinstance(value, str),
    }
    if allowed.get(name):
        return
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', encode(**{name: value}))


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'resting'},
        {'slots': 0},
        {'addr': '10.0.0.1'},
        {'addr': '10.0.0.1:99999'},
        {'addr': 'elsewhere:80'},
    ],
)
def test_values_that_mean_nothing_name_no_endpoint(fields):
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', encode(**fields))


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_anything_else_is_a_coded_error(raw):
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', raw)


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_any_value_of_a_field_is_decoded_or_a_coded_error(name, value):
    try:
        record = decoding.decode_endpoint('e1', encode(**{name: value}))
    except exceptions.WireFormatError:
        return
    assert record.slots >= 1
    assert isinstance(record.started_ms, int)


@given(st.binary())
def test_any_record_has_a_key(raw):
    assert isinstance(split_key(raw).key, str)


@pytest.mark.parametrize(
    'raw', [b'\xff\xfe', b'{}', b'[1]', encode(state='resting')]
)
def test_a_malformed_entry_leaves_the_known_ones_alone(raw):
    follower = make_follower()
    take(follower, 'e1', encode())
    take(follower, 'e2', encode())
    take(follower, 'e1', raw)
    assert find(follower, 'e1').record.state is EndpointState.LIVE
    assert find(follower, 'e2') is not None


def test_all_that_is_believed_goes_with_a_new_start():
    follower = make_follower()
    host = follower.host
    take(follower, 'e1', encode())
    old = find(follower)
    old.calls = 3
    old.failures = 2
    old.pause = Pause(until_ms=10**15, length_ms=500)
    parts = [PromptPart('p', 100)]
    now = host.clock.now()
    host.selection.prefixes.note(old.id, parts, now)
    host.loads.put('run', {old.id: Load(5, 700)})
    take(follower, 'e1', encode(born=LATER))
    new = find(follower)
    assert (new.calls, new.failures, new.pause) == (0, 0, Pause())
    assert new.id not in host.selection.prefixes.find_cached(parts, now)
    assert host.loads.get(new.id) == Load()
    assert len(host.fleet.find_by_service('model')) == 1


def test_a_stale_entry_never_replaces_a_newer_start():
    follower = make_follower()
    take(follower, 'e1', encode(born=LATER))
    take(follower, 'e1', encode(state='draining'))
    assert find(follower).record.started_ms == LATER
    assert find(follower).record.state is EndpointState.LIVE
    # Nor does it after the newer start has left.
    follower.take_changes([KeyedRecord('e1', None)], 0)
    take(follower, 'e1', encode())
    assert find(follower) is None


def test_a_drain_of_the_same_start_is_acted_on():
    follower = make_follower()
    take(follower, 'e1', encode())
    take(follower, 'e1', encode(state='draining'))
    assert find(follower).record.state is EndpointState.LEAVING
    assert follower.host.fleet.find_by_service('model') == []


def test_a_removed_entry_is_waited_for_from_the_stores_return_on():
    """One that is told late is not waited for later.

    A host heard of a removal 1 s after the store had returned, and went on
    using the endpoint for 1.5 s from then on: longer than 2 s after it had
    left, where it was the only one.
    """

    async def main():
        follower = make_follower()
        take(follower, 'e1', encode())
        clock = follower.host.clock
        follower.regained_ms = clock.now() - 1000
        follower.take_changes([KeyedRecord('e1', None)], 0)
        assert find(follower) is not None
        await wait_until(lambda: find(follower) is None)
        allowed_ms = follower.host.settings.drain_ms
        assert clock.since(follower.regained_ms) < allowed_ms

    asyncio.run(main())


def test_a_new_start_ends_the_wait_for_the_old_ones_entry():
    async def main():
        follower = make_follower()
        take(follower, 'e1', encode())
        follower.regained_ms = follower.host.clock.now()
        follower.take_changes([KeyedRecord('e1', None)], 0)
        assert follower.removals
        take(follower, 'e1', encode(born=LATER))
        assert not follower.removals
        assert find(follower).record.started_ms == LATER

    asyncio.run(main())
