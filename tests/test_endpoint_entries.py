"""Decoding of endpoint entries, and endpoints that restart."""

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.decisions.avoidance import Pause
from pearrun.platform import decoding
from pearrun.platform.endpointlist import EndpointFollower
from pearrun.platform.store import decode_keyed
from pearrun.platform.store import KeyedRecord
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
REQUIRED = ('service', 'addr', 'zone', 'slots', 'state')
TYPED = (*REQUIRED, 'born', 'spot', 'leaves_ms')
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def encode(**fields):
    """Return an entry's bytes."""
    return json.dumps({**ENTRY, **fields}).encode()


def make_follower():
    """Return a follower whose store is never read."""
    return EndpointFollower(make_host_context(), None)


def apply_change(follower, name, raw):
    """Apply one change to a follower."""
    follower.apply_changes([KeyedRecord(name, raw)], 0)


def find(follower, name='e1'):
    """Return the endpoint known to a follower's host, or ``None``."""
    return follower.host.fleet.find(name)


def test_entry_is_decoded():
    record = decoding.decode_endpoint('e1', encode(spot=True, leaves_ms=7.5))
    assert record.name == 'e1'
    assert record.started_ms == ENTRY['born']
    assert record.state is EndpointState.LIVE
    assert record.reclaimable
    assert record.leaves_ms == 7


@pytest.mark.parametrize('name', REQUIRED)
def test_entry_without_a_required_field_is_rejected(name):
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', json.dumps(entry).encode())


@pytest.mark.parametrize('name', TYPED)
@pytest.mark.parametrize('value', [None, [], {}, '', True, 'x', -1.5])
def test_field_of_the_wrong_type_is_rejected(name, value):
    allowed = {
        'spot': value is True,
        'leaves_ms': value == -1.5,
        # Any string is a valid service or zone.
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
def test_invalid_values_are_rejected(fields):
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', encode(**fields))


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_malformed_entry_is_a_coded_error(raw):
    with pytest.raises(exceptions.WireFormatError):
        decoding.decode_endpoint('e1', raw)


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_any_field_value_is_decoded_or_a_coded_error(name, value):
    try:
        record = decoding.decode_endpoint('e1', encode(**{name: value}))
    except exceptions.WireFormatError:
        return
    assert record.slots >= 1
    assert isinstance(record.started_ms, int)


@given(st.binary())
def test_any_record_is_decoded_to_a_text_key(raw):
    assert isinstance(decode_keyed(raw).key, str)


@pytest.mark.parametrize(
    'raw', [b'\xff\xfe', b'{}', b'[1]', encode(state='resting')]
)
def test_malformed_entry_does_not_change_known_endpoints(raw):
    follower = make_follower()
    apply_change(follower, 'e1', encode())
    apply_change(follower, 'e2', encode())
    apply_change(follower, 'e1', raw)
    assert find(follower, 'e1').record.state is EndpointState.LIVE
    assert find(follower, 'e2') is not None


def test_restart_discards_the_state_of_the_previous_run():
    follower = make_follower()
    host = follower.host
    apply_change(follower, 'e1', encode())
    old = find(follower)
    old.calls = 3
    old.failures = 2
    old.pause = Pause(until_ms=10**15, length_ms=500)
    parts = [PromptPart('p', 100)]
    now = host.clock.now()
    host.selection.prefixes.note_cached(old.id, parts, now)
    host.loads.put('run', {old.id: Load(5, 700)})
    apply_change(follower, 'e1', encode(born=LATER))
    new = find(follower)
    assert (new.calls, new.failures, new.pause) == (0, 0, Pause())
    assert new.id not in host.selection.prefixes.find_cached(parts, now)
    assert host.loads.get(new.id) == Load()
    assert len(host.fleet.find_by_service('model')) == 1


def test_stale_entry_never_replaces_a_newer_run():
    follower = make_follower()
    apply_change(follower, 'e1', encode(born=LATER))
    apply_change(follower, 'e1', encode(state='draining'))
    assert find(follower).record.started_ms == LATER
    assert find(follower).record.state is EndpointState.LIVE
    # The same holds after the newer run has been removed.
    follower.apply_changes([KeyedRecord('e1', None)], 0)
    apply_change(follower, 'e1', encode())
    assert find(follower) is None


def test_drain_of_the_current_run_is_applied():
    follower = make_follower()
    apply_change(follower, 'e1', encode())
    apply_change(follower, 'e1', encode(state='draining'))
    assert find(follower).record.state is EndpointState.LEAVING
    assert follower.host.fleet.find_by_service('model') == []


def test_removal_grace_period_starts_at_the_stores_recovery():
    """Reading a removal late does not extend the grace period.

    Guards against a grace period that starts when the host reads the removal.
    It did so 1 s after the store's recovery and waited 1.5 s more: it used
    the service's only endpoint for longer than 2 s after that had left.
    """

    async def main():
        follower = make_follower()
        apply_change(follower, 'e1', encode())
        clock = follower.host.clock
        follower.recovered_at_ms = clock.now() - 1000
        follower.apply_changes([KeyedRecord('e1', None)], 0)
        assert find(follower) is not None
        await wait_until(lambda: find(follower) is None)
        allowed_ms = follower.host.settings.drain_ms
        assert clock.since(follower.recovered_at_ms) < allowed_ms

    asyncio.run(main())


def test_restart_cancels_the_pending_removal_of_the_previous_run():
    async def main():
        follower = make_follower()
        apply_change(follower, 'e1', encode())
        follower.recovered_at_ms = follower.host.clock.now()
        follower.apply_changes([KeyedRecord('e1', None)], 0)
        assert follower.removals
        apply_change(follower, 'e1', encode(born=LATER))
        assert not follower.removals
        assert find(follower).record.started_ms == LATER

    asyncio.run(main())
