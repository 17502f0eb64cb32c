"""Detection of endpoint crashes from broken calls and heartbeats."""

import asyncio

from pearrun.clock import Clock
from pearrun.shared import crashdetector
from pearrun.shared.crashdetector import BrokenCall
from pearrun.shared.crashdetector import CrashDetector
from pearrun.shared.crashprobe import CrashProbe
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.states import EndpointState
from tests.builders import find_free_port


class CrashRecorder(list):
    """Records reported crashes as pairs of endpoint id and fingerprint.

    The list itself holds proven crashes.
    """

    def __init__(self):
        super().__init__()
        self.unproven = []
        self.retracted = []

    def record(self, crashes):
        for fingerprint, crash in crashes:
            target = self if crash.proven else self.unproven
            target.append((crash.endpoint_id, fingerprint))


def make_broken(fingerprint, ran_ms=10):
    """Return a :class:`BrokenCall` that broke just now."""
    return BrokenCall(fingerprint, ran_ms, Clock().now())


class FakeClock(Clock):
    """A clock whose time is set by the test."""

    now_ms = 1_000_000

    def now(self):
        return self.now_ms


class DetectorHarness:
    """A crash detector of a host in zone-a that knows one endpoint."""

    def __init__(self, zone='zone-b', state=EndpointState.LIVE, address='x:1'):
        self.fleet = Fleet()
        record = EndpointRecord('e', 's', address, zone, 8, state)
        self.fleet.put(record)
        self.endpoint = self.fleet.endpoints['e']
        self.clock = FakeClock()
        self.fleet.listed_ms = self.clock.now()
        self.crashes = CrashDetector(
            self.clock, self.fleet, 'zone-a', HEARTBEAT_MS
        )
        self.recorder = CrashRecorder()
        self.crashes.handle_crashes = self.recorder.record
        self.crashes.retract_crash = self.recorder.retracted.append

    def pass_time(self, wait_ms, listed=True, heard=False):
        """Advance the clock, then check for proven crashes.

        :param listed: whether the endpoint list was read meanwhile.
        :param heard: whether a heartbeat of the endpoint was read.
        """
        self.clock.now_ms += wait_ms
        if heard:
            self.crashes.note_heartbeat('e', self.clock.now())
        if listed:
            self.fleet.listed_ms = self.clock.now()
        self.crashes.check()

    def break_call(self, fingerprint='f1'):
        """Report a call that the endpoint broke."""
        return self.crashes.note_broken(
            self.endpoint, make_broken(fingerprint)
        )


HEARTBEAT_MS = 1200
PROOF_MS = 2500


def test_broken_calls_are_reported_as_crashes_once_heartbeats_stop():
    harness = DetectorHarness()
    assert harness.break_call('f1')
    harness.crashes.note_down('e')
    harness.pass_time(HEARTBEAT_MS)
    assert not harness.recorder
    harness.pass_time(PROOF_MS - HEARTBEAT_MS)
    assert not harness.break_call('f2')
    assert harness.recorder == [('e', 'f1'), ('e', 'f2')]
    assert harness.crashes.total == 1


def test_an_endpoint_behind_a_partition_has_not_crashed():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_down('e')
    assert harness.recorder.unproven == [('e', 'f1')]
    harness.pass_time(HEARTBEAT_MS, heard=True)
    assert harness.recorder.retracted == ['e']
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_an_endpoint_of_a_partitioned_zone_has_not_crashed():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_down('e')
    for _ in range(5):
        harness.pass_time(1000, listed=False)
    # The partition heals, and the missed heartbeats arrive.
    harness.pass_time(10, heard=True)
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_unread_heartbeats_are_no_proof_of_a_crash():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_down('e')
    harness.clock.now_ms += PROOF_MS
    harness.crashes.restart_proofs()
    harness.pass_time(100)
    assert not harness.recorder


def test_a_partitioned_host_detects_crashes_in_its_own_zone():
    harness = DetectorHarness(zone='zone-a')
    harness.break_call()
    harness.crashes.note_down('e')
    for _ in range(3):
        harness.pass_time(1000, listed=False)
    assert harness.recorder == [('e', 'f1')]


def test_an_endpoint_that_shuts_down_has_not_crashed():
    harness = DetectorHarness(state=EndpointState.LEAVING)
    assert not harness.break_call()
    harness.crashes.note_down('e')
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_an_endpoint_that_stops_after_removal_of_its_entry_has_not_crashed():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_removed('e')
    harness.fleet.remove('e')
    harness.crashes.note_down('e')
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_an_endpoint_whose_shutdown_notice_arrives_late_has_not_crashed():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_down('e')
    harness.crashes.note_leaving('e')
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_an_endpoint_that_was_down_when_its_entry_expired_has_crashed():
    harness = DetectorHarness()
    harness.break_call()
    harness.crashes.note_down('e')
    harness.crashes.note_removed('e')
    assert harness.recorder == [('e', 'f1')]


def test_a_call_that_broke_long_before_is_not_reported():
    harness = DetectorHarness()
    harness.break_call()
    harness.pass_time(crashdetector.EXPIRY_MS + 1)
    harness.crashes.note_down('e')
    harness.pass_time(PROOF_MS)
    assert not harness.recorder


def test_the_number_of_broken_calls_kept_is_bounded():
    harness = DetectorHarness()
    for number in range(3 * crashdetector.MAX_CALLS):
        harness.break_call(f'f{number}')
    harness.crashes.note_down('e')
    harness.pass_time(PROOF_MS)
    assert len(harness.recorder) == crashdetector.MAX_CALLS


def probe_endpoint(address):
    """Return a coroutine that probes an address after a broken call.

    Its result tells whether a crash was reported.
    """

    async def main():
        harness = DetectorHarness(address=address)
        probe = CrashProbe(harness.crashes)
        probe.note_broken(harness.endpoint, make_broken('f1'))
        await asyncio.sleep(0.6)
        harness.pass_time(PROOF_MS)
        return bool(harness.recorder)

    return main()


def test_an_endpoint_that_only_closes_connections_has_not_crashed():
    async def main():
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(),
            '127.0.0.1',
            find_free_port(),
        )
        host, port = server.sockets[0].getsockname()
        crashed = await probe_endpoint(f'{host}:{port}')
        server.close()
        return crashed

    assert not asyncio.run(main())


def test_an_endpoint_that_refuses_connections_has_crashed():
    assert asyncio.run(probe_endpoint(f'127.0.0.1:{find_free_port()}'))
