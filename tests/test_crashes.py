"""Which broken calls count as calls of an endpoint that crashed."""

import asyncio

from pearrun.clock import Clock
from pearrun.shared import crashdetector as crashes_module
from pearrun.shared.crashdetector import BrokenCall
from pearrun.shared.crashdetector import CrashDetector
from pearrun.shared.crashprobe import CrashProbe
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.states import EndpointState
from tests.builders import free_port


class Seen(list):
    """Keeps the crashes told, as endpoint ids and fingerprints."""

    def __init__(self):
        super().__init__()
        self.unproven = []
        self.taken_back = []

    def take(self, crashes):
        for fingerprint, crash in crashes:
            seen = self if crash.proven else self.unproven
            seen.append((crash.endpoint_id, fingerprint))


def make_broken(fingerprint, ran_ms=10):
    """Return a call that has just broken."""
    return BrokenCall(fingerprint, ran_ms, Clock().now())


class FakeClock(Clock):
    """A clock that is set."""

    now_ms = 1_000_000

    def now(self):
        return self.now_ms


class Site:
    """Crashes seen by a host in zone-a that hears of one endpoint."""

    def __init__(self, zone='zone-b', state=EndpointState.LIVE, address='x:1'):
        self.fleet = Fleet()
        record = EndpointRecord('e', 's', address, zone, 8, state)
        self.fleet.put(record)
        self.endpoint = self.fleet.endpoints['e']
        self.clock = FakeClock()
        self.fleet.listed_ms = self.clock.now()
        self.crashes = CrashDetector(self.clock, self.fleet, 'zone-a', BEAT_MS)
        self.seen = Seen()
        self.crashes.handle_crashes = self.seen.take
        self.crashes.retract_crash = self.seen.taken_back.append

    def pass_time(self, wait_ms, listed=True, heard=False):
        """Let time pass; the list is read meanwhile, or not."""
        self.clock.now_ms += wait_ms
        if heard:
            self.crashes.note_heard('e', self.clock.now())
        if listed:
            self.fleet.listed_ms = self.clock.now()
        self.crashes.check()

    def break_call(self, fingerprint='f1'):
        """Have the endpoint break a call."""
        return self.crashes.note_broken(
            self.endpoint, make_broken(fingerprint)
        )


BEAT_MS = 1200
PROOF_MS = 2500


def test_calls_that_broke_count_when_heartbeats_end_too():
    site = Site()
    assert site.break_call('f1')
    site.crashes.note_down('e')
    site.pass_time(BEAT_MS)
    assert not site.seen
    site.pass_time(PROOF_MS - BEAT_MS)
    assert not site.break_call('f2')
    assert site.seen == [('e', 'f1'), ('e', 'f2')]
    assert site.crashes.total == 1


def test_an_endpoint_behind_a_cut_path_has_not_crashed():
    site = Site()
    site.break_call()
    site.crashes.note_down('e')
    assert site.seen.unproven == [('e', 'f1')]
    site.pass_time(BEAT_MS, heard=True)
    assert site.seen.taken_back == ['e']
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_an_endpoint_of_a_zone_that_is_cut_off_has_not_crashed():
    site = Site()
    site.break_call()
    site.crashes.note_down('e')
    for _ in range(5):
        site.pass_time(1000, listed=False)
    # The path is back, and with it the heartbeats that were missed.
    site.pass_time(10, heard=True)
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_heartbeats_that_were_never_read_prove_nothing():
    site = Site()
    site.break_call()
    site.crashes.note_down('e')
    site.clock.now_ms += PROOF_MS
    site.crashes.restart_proofs()
    site.pass_time(100)
    assert not site.seen


def test_a_host_that_is_cut_off_knows_crashes_in_its_own_zone():
    site = Site(zone='zone-a')
    site.break_call()
    site.crashes.note_down('e')
    for _ in range(3):
        site.pass_time(1000, listed=False)
    assert site.seen == [('e', 'f1')]


def test_an_endpoint_that_leaves_has_not_crashed():
    site = Site(state=EndpointState.LEAVING)
    assert not site.break_call()
    site.crashes.note_down('e')
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_an_endpoint_that_ends_after_its_entry_was_removed_has_left():
    site = Site()
    site.break_call()
    site.crashes.note_removed('e')
    site.fleet.remove('e')
    site.crashes.note_down('e')
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_an_endpoint_that_leaves_once_it_is_down_has_not_crashed():
    site = Site()
    site.break_call()
    site.crashes.note_down('e')
    site.crashes.note_leaving('e')
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_an_endpoint_that_was_down_when_its_entry_lapsed_has_crashed():
    site = Site()
    site.break_call()
    site.crashes.note_down('e')
    site.crashes.note_removed('e')
    assert site.seen == [('e', 'f1')]


def test_a_call_that_broke_long_before_does_not_count():
    site = Site()
    site.break_call()
    site.pass_time(crashes_module.EXPIRY_MS + 1)
    site.crashes.note_down('e')
    site.pass_time(PROOF_MS)
    assert not site.seen


def test_what_is_kept_of_crashes_is_bounded():
    site = Site()
    for number in range(3 * crashes_module.MAX_CALLS):
        site.break_call(f'f{number}')
    site.crashes.note_down('e')
    site.pass_time(PROOF_MS)
    assert len(site.seen) == crashes_module.MAX_CALLS


def check_endpoint(address):
    """Have an endpoint at an address break a call; say if it is found down."""

    async def main():
        site = Site(address=address)
        check = CrashProbe(site.crashes)
        check.note_broken(site.endpoint, make_broken('f1'))
        await asyncio.sleep(0.6)
        site.pass_time(PROOF_MS)
        return bool(site.seen)

    return main()


def test_an_endpoint_that_spoils_answers_has_not_crashed():
    async def main():
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), '127.0.0.1', free_port()
        )
        host, port = server.sockets[0].getsockname()
        down = await check_endpoint(f'{host}:{port}')
        server.close()
        return down

    assert not asyncio.run(main())


def test_an_endpoint_that_refuses_connections_is_found_down():
    assert asyncio.run(check_endpoint(f'127.0.0.1:{free_port()}'))
