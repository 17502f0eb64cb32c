"""Which requests are quarantined and which are not."""

import asyncio
import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from benchmarks import crashingparts
from benchmarks.bystanders import SCENARIOS
from benchmarks.bystanders import Simulation
from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import Suspect
from pearrun.decisions.halfopen import MIN_GAP_MS
from pearrun.decisions.halfopen import MIN_REFUSED
from pearrun.decisions.quarantine import QuarantineSettings
from pearrun.decisions.quarantine import Suspects
from pearrun.fingerprints import make_part_fingerprint
from pearrun.platform import quarantinelog
from pearrun.shared import quarantine as quarantine_module
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.members import Member
from pearrun.shared.members import Members
from pearrun.shared.quarantine import Quarantine
from pearrun.shared.recentanswers import MAX_ANSWERED
from pearrun.shared.trials import TRIAL_HOSTS
from pearrun.shared.trials import TRIAL_RETRY_MS
from pearrun.shared.trials import Trials
from tests.builders import ManualClock
from tests.crashes import count_crashed
from tests.crashes import run_crashing_site
from tests.crashes import send
from tests.crashes import send_repeatedly

NOW_MS = 10_000_000
SECONDS = 60
# Requests with a crashing part that may reach endpoints once all hosts know.
MAX_LATE_SENDS = 3


@dataclasses.dataclass(frozen=True)
class FakeRoute:
    """A route with the attribute that the quarantine uses."""

    name: str = 'draft'


@dataclasses.dataclass(frozen=True)
class FakeCall:
    """A call with the attributes that the quarantine uses."""

    id: str
    fingerprints: tuple
    route: FakeRoute = FakeRoute()


def make_suspects(*crashes, now_ms=NOW_MS):
    """Return suspects, judged once, from crashes.

    :param crashes: tuples of fingerprint, endpoint id and ``ran_ms``.
    """
    suspects = Suspects()
    for fingerprint, endpoint_id, ran_ms in crashes:
        suspects.note_crash(fingerprint, Crash(endpoint_id, NOW_MS, ran_ms))
    suspects.evaluate(now_ms)
    return suspects


def test_three_crashed_endpoints_start_a_quarantine_and_two_do_not():
    crashes = [('bad', f'e{number}', 50) for number in range(3)]
    assert 'bad' in make_suspects(*crashes).quarantined
    assert not make_suspects(*crashes[:2]).quarantined
    assert not make_suspects(*crashes[:2], *crashes[:2]).quarantined


def test_a_call_running_beside_a_crashing_one_is_not_quarantined():
    crashes = [('bad', f'e{number}', 50) for number in range(4)]
    bystanders = [('good', f'e{number}', 20) for number in range(3)]
    assert set(make_suspects(*bystanders, *crashes).quarantined) == {'bad'}


def test_the_newer_of_two_calls_in_the_same_crashes_is_quarantined():
    crashes = [('bad', f'e{number}', 50) for number in range(3)]
    bystanders = [('good', f'e{number}', 900) for number in range(3)]
    assert set(make_suspects(*bystanders, *crashes).quarantined) == {'bad'}


def test_a_recently_answered_request_is_not_quarantined():
    suspects = make_suspects(('hot', 'e0', 50), ('hot', 'e1', 50))
    suspects.note_answered('hot', NOW_MS)
    for number in range(2, 9):
        suspects.note_crash('hot', Crash(f'e{number}', NOW_MS + 1000, 50))
    suspects.evaluate(NOW_MS + 1000)
    assert not suspects.quarantined


def test_a_request_answered_long_ago_is_quarantined():
    suspects = make_suspects(('bad', 'e0', 50))
    suspects.note_answered('bad', NOW_MS)
    later_ms = NOW_MS + suspects.settings.trust_ms + 1
    for number in range(3):
        suspects.note_crash('bad', Crash(f'n{number}', later_ms, 50))
    suspects.evaluate(later_ms)
    assert 'bad' in suspects.quarantined


def test_crashes_under_stable_calls_count_half():
    suspects = Suspects()
    for number in range(5):
        at_ms = NOW_MS + number * 5000
        suspects.note_crash('long', Crash(f'e{number}', at_ms, 4000, True))
    suspects.evaluate(at_ms)
    assert not suspects.quarantined
    suspects.note_crash('long', Crash('e5', at_ms + 5000, 4000, True))
    suspects.evaluate(at_ms + 5000)
    assert 'long' in suspects.quarantined


def test_simultaneous_crashes_under_long_calls_count_as_one():
    suspects = Suspects()
    for number in range(50):
        at_ms = NOW_MS + number * 10
        suspects.note_crash('long', Crash(f'e{number}', at_ms, 9000, True))
    suspects.evaluate(NOW_MS)
    assert not suspects.quarantined


def test_a_call_tried_at_many_endpoints_of_a_lost_zone_is_not_quarantined():
    suspects = Suspects()
    for number in range(9):
        crash = Crash(
            f'e{number}', NOW_MS + number, 1, False, 'call-1', 'zone-c'
        )
        suspects.note_crash('good', crash)
    suspects.evaluate(NOW_MS + 9)
    assert not suspects.quarantined


def test_a_call_that_crashed_endpoints_of_three_zones_is_quarantined():
    suspects = Suspects()
    for number in range(3):
        crash = Crash(
            f'e{number}', NOW_MS, 50, False, 'call-1', f'zone-{number}'
        )
        suspects.note_crash('bad', crash)
    suspects.evaluate(NOW_MS)
    assert 'bad' in suspects.quarantined


def make_unproven(number, call_id):
    """Return an unproven :class:`Crash`."""
    return Crash(f'e{number}', NOW_MS, 50, False, call_id, 'z', False)


def test_unproven_crashes_count_for_a_short_time():
    suspects = Suspects()
    for number in range(3):
        suspects.note_crash('bad', make_unproven(number, f'call-{number}'))
    suspects.evaluate(NOW_MS)
    short_ms = suspects.settings.unproven_ms
    assert suspects.quarantined == {'bad': NOW_MS + short_ms}
    assert not suspects.is_proven('bad')
    suspects.evaluate(NOW_MS + short_ms + 1)
    assert not suspects.quarantined
    assert not suspects.suspects


def test_a_call_tried_at_many_partitioned_endpoints_is_not_refused():
    suspects = Suspects()
    for number in range(9):
        suspects.note_crash('good', make_unproven(number, 'call-1'))
    suspects.evaluate(NOW_MS)
    assert not suspects.quarantined


def test_calls_that_share_a_crashed_endpoint_all_count():
    suspects = Suspects()
    # The first call was sent to two endpoints; another one ran on the first.
    for number, call_id in ((0, 'call-1'), (1, 'call-1'), (2, 'call-2')):
        suspects.note_crash('bad', make_unproven(number, call_id))
    suspects.evaluate(NOW_MS)
    assert not suspects.quarantined
    other = make_unproven(0, 'call-3')
    assert suspects.note_crash('bad', other)
    assert not suspects.note_crash('bad', other)
    assert not suspects.note_crash('bad', make_unproven(0, 'call-1'))
    suspects.evaluate(NOW_MS)
    assert 'bad' in suspects.quarantined


def test_a_crash_that_is_proven_later_counts_only_once():
    suspects = Suspects()
    for number in range(3):
        crash = make_unproven(number, f'call-{number}')
        suspects.note_crash('bad', crash)
        proven = dataclasses.replace(crash, proven=True)
        assert suspects.note_crash('bad', proven)
        assert not suspects.note_crash('bad', crash)
    suspects.evaluate(NOW_MS)
    assert suspects.suspects['bad'].weigh() == 3
    assert suspects.is_proven('bad')


def test_endpoints_that_send_heartbeats_again_have_not_crashed():
    crashes = [('good', f'e{number}', 50) for number in range(3)]
    suspects = make_suspects(*crashes)
    assert suspects.find_crash_ms('e1') == NOW_MS
    suspects.retract_crash('e1', NOW_MS + 1000)
    suspects.evaluate(NOW_MS + 1000)
    assert not suspects.quarantined
    # Late reports of this crash from other hosts are ignored; a later crash
    # is not.
    assert not suspects.note_crash('good', Crash('e1', NOW_MS, 50))
    assert suspects.note_crash('good', Crash('e1', NOW_MS + 2000, 50))


def test_a_quarantine_ends_and_one_more_crash_restarts_it():
    crashes = [('bad', f'e{number}', 50) for number in range(3)]
    suspects = make_suspects(*crashes)
    after_ms = NOW_MS + suspects.settings.quarantine_ms
    suspects.evaluate(after_ms)
    assert not suspects.quarantined
    suspects.note_crash('bad', Crash('e9', after_ms, 50))
    suspects.evaluate(after_ms)
    assert 'bad' in suspects.quarantined


def test_a_request_without_further_crashes_is_forgotten():
    suspects = make_suspects(('once', 'e0', 50))
    suspects.evaluate(NOW_MS + suspects.settings.retention_ms + 1)
    assert not suspects.suspects


def test_the_number_of_suspects_is_bounded_and_the_worst_are_kept():
    limits = QuarantineSettings(max_suspects=16, max_crashes=4)
    suspects = Suspects(limits)
    for number in range(9):
        suspects.note_crash('bad', Crash(f'e{number}', NOW_MS, 50))
    for number in range(100):
        crash = Crash('other', NOW_MS + number, 50)
        suspects.note_crash(f'once-{number}', crash)
        suspects.evaluate(NOW_MS + number)
    assert len(suspects.suspects) == 16
    assert len(suspects.suspects['bad'].crashes) == 4
    assert 'bad' in suspects.quarantined


EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from('abcd'),
            st.integers(0, 9),
            st.integers(0, 5000),
        ),
        st.tuples(st.sampled_from('abcd'), st.none(), st.integers(0, 5000)),
    ),
    max_size=30,
)


def find_quarantined(events):
    """Return what is quarantined after a list of events.

    :param events: tuples of fingerprint, endpoint number (``None`` for an
        answer) and time offset in milliseconds.
    """
    suspects = Suspects()
    for fingerprint, endpoint, at_ms in events:
        if endpoint is None:
            suspects.note_answered(fingerprint, NOW_MS + at_ms)
        else:
            crash = Crash(f'e{endpoint}', NOW_MS + endpoint, 50)
            suspects.note_crash(fingerprint, crash)
    suspects.evaluate(NOW_MS + 5000)
    return suspects.quarantined


@settings(deadline=None)
@given(events=EVENTS, seed=st.randoms())
def test_the_quarantine_does_not_depend_on_order_or_repetition(events, seed):
    crashes = [item for item in events if item[1] is not None]
    mixed = [*crashes, *crashes]
    seed.shuffle(mixed)
    assert find_quarantined(mixed) == find_quarantined(crashes)


@settings(deadline=None)
@given(events=EVENTS)
def test_suspects_are_unchanged_by_encoding_and_decoding(events):
    suspects = Suspects()
    for fingerprint, endpoint, at_ms in events:
        crash = Crash(f'e{endpoint}', NOW_MS + at_ms, 50, at_ms % 2 == 0)
        suspects.note_crash(fingerprint, crash)
    aged = tuple(
        suspect.to_ages(NOW_MS + 5000)
        for suspect in suspects.suspects.values()
    )
    note = reports.SuspectNote('host-1', aged)
    decoded = reportcodec.decode(reportcodec.encode(note))
    assert decoded == note
    for suspect in decoded.suspects:
        known = suspects.suspects[suspect.fingerprint]
        assert suspect.to_times(NOW_MS + 5000) == known


def test_a_malformed_suspect_raises_a_wire_format_error():
    for data in (b'', b'x', b'\x83\x01\x02\x03', b'\x83aaaa\xf6\x80'):
        with pytest.raises(exceptions.WireFormatError):
            quarantinelog.decode('f', data)


@pytest.mark.parametrize(
    'name',
    [
        'endpoints crash one by one',
        'half of them crash at once',
        'all of them crash at once',
    ],
)
def test_good_calls_are_not_refused_when_endpoints_crash(name):
    for seed in range(3):
        counts = Simulation(SCENARIOS[name], seed).run(SECONDS)
        assert counts.good > 1000
        assert counts.refused == 0


def test_crashing_requests_are_stopped_and_few_others_refused():
    for seed in range(3):
        counts = Simulation(SCENARIOS['three requests crash them'], seed).run(
            SECONDS
        )
        assert len(counts.crashes) == 3
        # One or two more may be in flight when the third crash is detected.
        assert max(counts.crashes.values()) <= 5
        assert counts.refused * 1000 <= counts.good


def make_part_crash(endpoint_id, at_ms=NOW_MS, call_id=''):
    """Return a proven :class:`Crash` shortly after a call was sent."""
    return Crash(endpoint_id, at_ms, 50, call_id=call_id)


def test_parts_with_the_same_crashes_are_only_refused_together():
    suspects = Suspects()
    for number in range(3):
        for fingerprint in (f'r{number}', 'part-a', 'part-b'):
            suspects.note_crash(fingerprint, make_part_crash(f'e{number}'))
    suspects.evaluate(NOW_MS)
    assert suspects.find_verdict(['r9', 'part-a', 'part-b'])
    assert not suspects.find_verdict(['r9', 'part-a', 'part-c'])
    assert suspects.find_tested(['r9', 'part-a', 'part-c'])
    assert not suspects.find_tested(['r9', 'part-c'])
    suspects.note_answered('part-a', NOW_MS + 1)
    suspects.evaluate(NOW_MS + 1)
    assert suspects.find_verdict(['r9', 'part-b'])
    assert not suspects.find_tested(['r9', 'part-a', 'part-c'])


def test_a_repeated_request_is_refused_and_not_its_parts():
    suspects = Suspects()
    for number in range(3):
        for fingerprint in ('r', 'part-a', 'part-b'):
            suspects.note_crash(fingerprint, make_part_crash(f'e{number}'))
    suspects.evaluate(NOW_MS)
    assert set(suspects.quarantined) == {'r'}
    assert suspects.find_verdict(['r', 'part-a', 'part-b'])
    assert not suspects.find_verdict(['r2', 'part-a', 'part-b'])


def test_a_part_that_was_answered_before_is_less_suspect():
    suspects = Suspects()
    for number in range(6):
        other = 'part-b' if number < 3 else 'part-c'
        at_ms = NOW_MS + 2000 * number
        for fingerprint in ('part-a', other):
            crash = make_part_crash(f'e{number}', at_ms)
            suspects.note_crash(fingerprint, crash)
        suspects.note_answered('part-a', NOW_MS - 1000)
        suspects.evaluate(at_ms)
        assert 'part-a' not in suspects.quarantined
    assert set(suspects.quarantined) == {'part-b', 'part-c'}


def test_a_part_that_others_explain_is_only_refused_with_one_of_them():
    suspects = Suspects()
    for number in range(5):
        other = 'part-b' if number < 3 else 'part-c'
        for fingerprint in ('part-a', other):
            suspects.note_crash(fingerprint, make_part_crash(f'e{number}'))
    suspects.evaluate(NOW_MS)
    assert suspects.find_verdict(['r', 'part-a', 'part-b'])
    assert suspects.find_verdict(['r', 'part-a', 'part-c'])
    assert not suspects.find_verdict(['r', 'part-a', 'part-d'])
    assert suspects.find_tested(['r', 'part-a', 'part-d'])
    # Two more crashes, with neither of them, leave one explanation.
    for number, other in enumerate(('part-d', 'part-e'), 5):
        for fingerprint in ('part-a', other):
            crash = make_part_crash(f'e{number}')
            suspects.note_crash(fingerprint, crash)
    suspects.evaluate(NOW_MS)
    assert suspects.find_verdict(['r', 'part-a', 'part-f'])


def test_a_part_that_begins_to_crash_endpoints_is_refused():
    suspects = Suspects()
    for number in range(3):
        at_ms = NOW_MS + 2000 * number
        crash = make_part_crash(f'e{number}', at_ms)
        suspects.note_crash('part-a', crash)
        suspects.note_answered('part-a', NOW_MS - 1000)
    suspects.evaluate(at_ms)
    assert 'part-a' in suspects.quarantined


def test_simultaneous_crashes_do_not_convict_a_part_in_use():
    suspects = Suspects()
    for number in range(50):
        crash = make_part_crash(f'e{number}', NOW_MS + number)
        suspects.note_crash('part-a', crash)
    suspects.note_answered('part-a', NOW_MS - 1000)
    suspects.evaluate(NOW_MS)
    assert not suspects.quarantined


def make_ambiguous_quarantine(*names):
    """Return a quarantine on host-1 with a verdict on parts a and b.

    :param names: names of the other hosts.
    """
    clock = Clock()
    members = Members(clock, 'host-1')
    for name in names:
        members.put(Member(name, '', 'zone-a', 0))
    members.listed = True
    quarantine = Quarantine(clock, members)
    for number in range(3):
        crash = make_part_crash(f'e{number}', clock.now(), f'c{number}')
        pairs = [(part, crash) for part in ('part-a', 'part-b')]
        quarantine.handle_crashes(pairs)
    return quarantine


def test_calls_that_tell_suspects_apart_are_sent_one_at_a_time():
    quarantine = make_ambiguous_quarantine('host-2')
    calls = [
        FakeCall(f'c{number}', (f'r{number}', 'part-a')) for number in range(2)
    ]
    assert quarantine.admit(calls[0]) is None
    refusal = quarantine.admit(calls[1])
    assert refusal.retry_after_ms <= TRIAL_RETRY_MS
    quarantine.end(calls[1])
    assert quarantine.admit(calls[1])
    quarantine.end(calls[0])
    assert quarantine.admit(calls[1]) is None


def test_few_hosts_send_calls_that_tell_suspects_apart():
    names = [f'host-{number}' for number in range(1, 40)]
    key = 'part-a'
    testing = 0
    for name in names:
        members = Members(Clock(), name)
        for other in names:
            members.put(Member(other, '', 'zone-a', 0))
        members.listed = True
        testing += Trials(members).is_trial_host(key)
    assert testing == TRIAL_HOSTS


def test_part_ids_made_up_by_callers_take_bounded_memory():
    quarantine = Quarantine(Clock())
    for number in range(2 * MAX_ANSWERED):
        call = FakeCall('c', ('r', f'part-{number}'))
        quarantine.note_answered(call)
    assert len(quarantine.answers.parts) == MAX_ANSWERED
    assert len(quarantine.answers.requests) == 1
    assert len(make_part_fingerprint('x' * 10_000)) < 100


@pytest.mark.parametrize(
    'name', ['bursts', 'same first part', 'two parts', 'two parts, few calls']
)
def test_crashing_parts_are_stopped_and_sound_calls_served(name):
    scenario = crashingparts.SCENARIOS[name]
    judge = crashingparts.CoverJudge()
    counts = crashingparts.Simulation(scenario, judge, 1).run(40)
    assert counts.late <= MAX_LATE_SENDS
    assert counts.sound > 40
    assert counts.related_refused * 2 <= counts.related
    assert counts.refused * 1000 <= counts.sound


def make_known(count):
    """Return suspects with three crashes each, as other hosts send them."""
    now = Clock().now()
    known = []
    for number in range(count):
        ids = [f'e{number}-{crash}' for crash in range(3)]
        crashes = {name: Crash(name, now, 50) for name in ids}
        known.append(Suspect(f'f{number}', crashes))
    return known


def test_the_number_of_suspects_sent_is_bounded():
    quarantine = Quarantine(Clock())
    quarantine.merge(make_known(1000), 'host-2', forward=True)
    assert len(quarantine.collect_updates()) <= quarantine_module.MAX_SENT
    assert len(quarantine.take_snapshot()) <= quarantine_module.MAX_SENT
    assert not quarantine.collect_updates()


def test_received_suspects_are_not_sent_on_unless_forwarded():
    quarantine = Quarantine(Clock())
    quarantine.merge(make_known(3), 'host-2', forward=False)
    assert len(quarantine.known.quarantined) == 3
    assert not quarantine.collect_updates()


def test_other_requests_of_the_same_customer_are_not_refused():
    async def main():
        async with run_crashing_site() as site:
            await send_repeatedly(site, '/once/x', 4)
            crashed = count_crashed(site, '/once/x')
            host = site.hosts['host-1']
            for number in range(5):
                answer = await send(host, '/once/x', f'g{number}', b'good')
                assert answer.status == 200
            # The same body on another path is another request.
            answer = await send(host, '/once/x', 'g9', b'a body that crashes')
            assert answer.status == 200
            assert count_crashed(site, '/once/x') == crashed

    asyncio.run(main())


def make_shared_part_quarantine(clock):
    """Return a quarantine of a part after all endpoints crashed together."""
    quarantine = Quarantine(clock)
    for number in range(6):
        crash = make_part_crash(f'e{number}', clock.now(), f'c{number}')
        quarantine.handle_crashes([('part-all', crash)])
    return quarantine


def refuse_calls(quarantine, count):
    """Send calls with the part; all of them must be refused."""
    for number in range(count):
        call = FakeCall(f'x{number}', (f'x{number}', 'part-all'))
        assert quarantine.admit(call) is not None
        quarantine.end(call)


def test_a_part_of_all_calls_is_not_refused_for_good_without_a_test():
    clock = ManualClock()
    quarantine = make_shared_part_quarantine(clock)
    refuse_calls(quarantine, MIN_REFUSED)
    clock.advance(MIN_GAP_MS)
    call = FakeCall('test', ('test', 'part-all'))
    assert quarantine.admit(call) is None
    refuse_calls(quarantine, 3)
    quarantine.note_answered(call)
    quarantine.end(call)
    assert quarantine.admit(FakeCall('next', ('next', 'part-all'))) is None


def test_tests_of_a_part_that_crashes_endpoints_get_rarer():
    clock = ManualClock()
    quarantine = make_shared_part_quarantine(clock)
    tests = []
    for number in range(6000):
        call = FakeCall(f'y{number}', (f'y{number}', 'part-all'))
        if quarantine.admit(call) is None:
            tests.append(clock.now())
            crash = make_part_crash(f't{number}', clock.now(), call.id)
            quarantine.handle_crashes([('part-all', crash)])
        quarantine.end(call)
        clock.advance(100)
    assert len(tests) <= 10
    assert tests[-1] - tests[-2] >= 100_000


def test_a_part_is_not_tested_while_other_calls_of_its_route_are_served():
    clock = ManualClock()
    quarantine = make_shared_part_quarantine(clock)
    for number in range(200):
        refuse_calls(quarantine, MIN_REFUSED - 1)
        sound = FakeCall(f'z{number}', (f'z{number}',))
        assert quarantine.admit(sound) is None
        quarantine.end(sound)
        clock.advance(100)
