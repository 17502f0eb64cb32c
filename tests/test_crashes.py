"""Which broken calls count as calls of an endpoint that crashed."""

import asyncio

from pearrun.clock import Clock
from pearrun.shared import crashes as crashes_module
from pearrun.shared.crashcheck import CrashCheck
from pearrun.shared.crashes import BrokenCall
from pearrun.shared.crashes import Crashes
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.states import EndpointState
from tests.builders import free_port


class Seen(list):
    """Keeps the crashes told, as endpoint ids and fingerprints."""

    def take(self, endpoint_id, calls):
        self.extend((endpoint_id, call.fingerprint) for call in calls)


def make_broken(fingerprint, ran_ms):
    """Return a call that has just broken."""
    return BrokenCall(fingerprint, ran_ms, Clock().now())


def make_crashes(state=EndpointState.LIVE, address='127.0.0.1:1'):
    """Return crashes of a fleet of one endpoint, that one, and what is told.

    :returns: ``(crashes, endpoint, seen)``.
    """
    fleet = Fleet()
    record = EndpointRecord('e', 's', address, 'z', 8, state)
    fleet.put(record)
    crashes = Crashes(Clock(), fleet)
    seen = Seen()
    crashes.take_crash = seen.take
    return crashes, fleet.endpoints['e'], seen


def test_calls_that_broke_when_their_endpoint_went_down_count():
    crashes, endpoint, seen = make_crashes()
    assert crashes.note_broken(endpoint, make_broken('f1', 10))
    crashes.note_down(endpoint.id)
    crashes.note_broken(endpoint, make_broken('f2', 900))
    assert seen == [('e', 'f1'), ('e', 'f2')]
    assert crashes.total == 1


def test_an_endpoint_that_spoils_answers_has_not_crashed():
    async def main():
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), '127.0.0.1', free_port()
        )
        host, port = server.sockets[0].getsockname()
        crashes, endpoint, seen = make_crashes(address=f'{host}:{port}')
        check = CrashCheck(crashes)
        check.note_broken(endpoint, make_broken('f1', 10))
        await asyncio.sleep(0.6)
        server.close()
        return seen

    assert not asyncio.run(main())


def test_an_endpoint_that_refuses_connections_has_crashed():
    async def main():
        address = f'127.0.0.1:{free_port()}'
        crashes, endpoint, seen = make_crashes(address=address)
        CrashCheck(crashes).note_broken(endpoint, make_broken('f1', 10))
        await asyncio.sleep(0.2)
        return seen

    assert asyncio.run(main()) == [('e', 'f1')]


def test_an_endpoint_that_leaves_has_not_crashed():
    crashes, endpoint, seen = make_crashes(EndpointState.LEAVING)
    assert not crashes.note_broken(endpoint, make_broken('f1', 10))
    crashes.note_down(endpoint.id)
    assert not seen


def test_a_call_that_broke_long_before_does_not_count(monkeypatch):
    monkeypatch.setattr(crashes_module, 'CONFIRM_MS', 0)
    crashes, endpoint, seen = make_crashes()
    crashes.note_broken(endpoint, make_broken('f1', 10))
    crashes.note_down(endpoint.id)
    assert not seen


def test_what_is_kept_of_crashes_is_bounded():
    crashes, endpoint, _ = make_crashes()
    for number in range(3 * crashes_module.MAX_CALLS):
        crashes.note_broken(endpoint, make_broken(f'f{number}', 10))
        crashes.note_down(f'other-{number}')
    assert len(crashes._broken['e']) == crashes_module.MAX_CALLS
    assert len(crashes._down_ms) == crashes_module.MAX_ENDPOINTS
