"""Stand-in of an endpoint on the platform: plain answers and streams.

A request's path says nothing to it; a prompt header makes the answer a
stream of events.  Faults are switched on in its :class:`RunnerFaults`.
"""

import asyncio
import dataclasses

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1.server import Server

EVENT_BYTES = 40
CLOCK = Clock()


@dataclasses.dataclass
class RunnerFaults:
    """What goes wrong with the next requests.

    :param full: refuse as a full endpoint does.
    :param status: answer with this status; a failure of the run.
    :param reset_before: break the connection before any answer.
    :param cut_after: break a stream after so many events.
    :param torn: also send half of the next event before the cut.
    :param truncate: break a plain answer in the middle.
    :param unframed: send no length; the connection's end is the end.
    :param unsealed: leave the signature out.
    :param extra: send a second answer after a complete one.
    :param stray_first: send an answer to another request first.
    :param crash_on: crash when a request with this body begins to run.
    :param crash_after: events that such a stream sends before.
    """

    full: bool = False
    status: int = 200
    reset_before: bool = False
    cut_after: int | None = None
    torn: bool = False
    truncate: bool = False
    unframed: bool = False
    unsealed: bool = False
    extra: bool = False
    stray_first: bool = False
    crash_on: bytes | None = None
    crash_after: int = 0


@dataclasses.dataclass
class Run:
    """One request as the endpoint saw it."""

    request: object
    last_event_id: int = 0
    events: int = 0
    ended: bool = False
    cancelled: bool = False


class PlatformRunner:
    """One endpoint.

    :param runner_id: its id, new at every start.
    """

    def __init__(self, runner_id, service, zone, slots=8):
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = None
        self.faults = RunnerFaults()
        self.runs = []
        self.connections = 0
        self.event_ms = 2
        self.work_ms = 2
        self.event_count = 5
        self.state = 'ready'
        self.crashed_by = None
        self.ended_ms = None
        self.server = Server(self._handle)

    async def listen(self, address):
        """Begin to serve on ``IP:PORT``."""
        self.address = address
        await self.server.listen(address)

    def crash(self, target):
        """End at once, as a killed process does.

        :param target: that of the request which brought it about.
        """
        self.crashed_by = target.decode()
        self.end()

    def end(self):
        """Stop serving; what still runs breaks off."""
        self.ended_ms = CLOCK.now()
        self.server.close()
        self.server.abort()

    def entry(self):
        """Return the entry that the endpoint writes to the store."""
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'call_seq': 1,
        }

    async def _handle(self, request, caller):
        faults = self.faults
        attempt = request.get(b'pearrun-attempt-id') or ''
        expected = request.get(b'pearrun-expect-runner')
        if expected not in (None, self.id):
            await caller.reply(421, [(b'Pearrun-Runner-Id', self.id.encode())])
            return
        if faults.full:
            headers = [
                (b'Pearrun-Not-Run', b'1'),
                (b'Pearrun-Attempt-Id', attempt.encode()),
            ]
            await caller.reply(503, headers, b'full')
            return
        if faults.reset_before:
            self.runs.append(Run(request))
            caller.abort()
            return
        run = Run(request)
        self.runs.append(run)
        try:
            await self._run(request, caller, run, attempt)
            run.ended = True
        except asyncio.CancelledError:
            run.cancelled = True
            raise

    async def _run(self, request, caller, run, attempt):
        headers = [(b'Pearrun-Attempt-Id', attempt.encode())]
        if not self.faults.unsealed:
            seal = f'seal.{self.id}.{attempt}'.encode()
            headers.append((b'Pearrun-Runner-Seal', seal))
        if self._is_crashed_by(request) and not self.faults.crash_after:
            await asyncio.sleep(to_seconds(self.work_ms))
            self.crash(request.target)
            return
        if self.faults.stray_first:
            caller.transport.write(stray_answer(b'someone-else'))
        if request.get(b'pearrun-token-count') is not None:
            await self._stream(request, caller, run, headers)
        else:
            await self._answer(request, caller, headers)

    def _is_crashed_by(self, request):
        crash_on = self.faults.crash_on
        return crash_on is not None and request.body == crash_on

    async def _answer(self, request, caller, headers):
        await asyncio.sleep(to_seconds(self.work_ms))
        body = b'answer to ' + request.target
        faults = self.faults
        if faults.truncate:
            caller.start(faults.status, headers, len(body) + 10)
            await caller.write(body)
            caller.abort()
            return
        if faults.unframed:
            head = b'HTTP/1.1 200 OK\r\n' + b''.join(
                name + b': ' + value + b'\r\n' for name, value in headers
            )
            caller.transport.write(head + b'\r\n' + body)
            caller.transport.close()
            return
        await caller.reply(faults.status, headers, body)
        if faults.extra:
            caller.transport.write(stray_answer(b'late'))

    async def _stream(self, request, caller, run, headers):
        first = int(request.get(b'last-event-id') or 0)
        run.last_event_id = first
        headers.append((b'Content-Type', b'text/event-stream'))
        faults = self.faults
        caller.start(200, headers)
        for number in range(first + 1, self.event_count + 1):
            await asyncio.sleep(to_seconds(self.event_ms))
            if faults.cut_after is not None and (
                run.events >= faults.cut_after
            ):
                if faults.torn:
                    await caller.write(make_event(number)[:10])
                caller.abort()
                return
            await caller.write(make_event(number))
            run.events += 1
            if self._is_crashed_by(request) and (
                run.events >= faults.crash_after
            ):
                self.crash(request.target)
                return
        caller.finish()


def make_event(number):
    """Return one event of a stream."""
    data = f'token-{number}'.ljust(EVENT_BYTES, '.')
    return f'id: {number}\ndata: {data}\n\n'.encode()


def stray_answer(attempt):
    """Return a complete answer to a request nobody sent here."""
    return (
        b'HTTP/1.1 200 OK\r\nPearrun-Attempt-Id: ' + attempt + b'\r\n'
        b'Pearrun-Runner-Seal: seal.x\r\nContent-Length: 5\r\n\r\nother'
    )
