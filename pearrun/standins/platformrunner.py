"""Stand-in for an endpoint of the platform, which calls it a runner.

It answers every path alike: with a stream of events if the request has
the header ``Pearrun-Token-Count``, else with a plain response.  Tests
inject faults through its :class:`RunnerFaults`.
"""

import asyncio
import dataclasses
import math
import re

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1 import sockets
from pearrun.http1.limits import ServerLimits
from pearrun.http1.server import Server

EVENT_BYTES = 40
# Size in bytes of the parts in which bytes without end are sent.
ENDLESS_BLOCK_BYTES = 4096
SIZE_PATTERN = re.compile(rb'[?&]bytes=(\d{1,8})')
# How often waiting requests check for a free slot.
SLOT_POLL_MS = 2
CLOCK = Clock()
# Hosts add headers to what callers send.
LIMITS = ServerLimits(max_header_bytes=64 * 1024)


@dataclasses.dataclass(frozen=True)
class EndlessBytes:
    """Bytes without end.

    :param head: what comes once, at the beginning.
    :param repeated: what follows again and again.
    """

    head: bytes
    repeated: bytes


@dataclasses.dataclass
class RunnerFaults:
    """Faults injected into subsequent requests.

    :param full: refuse requests as an endpoint without free slots does.
    :param status: status of plain responses; an error status stands
        for a failed run, also of a stream.
    :param reset_before: reset the connection before any response.
    :param break_after_events: reset the connection of a stream after
        this many events.
    :param torn: also send the first bytes of the next event before
        that reset.
    :param truncate: reset the connection within a plain response.
    :param unframed: omit content length and chunks; closing the
        connection ends the response or the stream.
    :param orderly: end streams that break with an orderly close.
    :param unsealed: omit the signature (``Pearrun-Runner-Seal``).
    :param extra: send a second response after a complete one.
    :param stray_first: first send the response to another request.
    :param rate_limit: value of the header ``Server-Limit`` in responses;
        ``None`` for none.
    :param max_waiting: refuse requests while this many wait for a slot;
        ``None`` for no limit of either.
    :param brittle: value of the header ``Server-Brittle`` in responses, the
        number of refusals in a second that the endpoint survives; ``None``
        for any.
    :param leaving: say in all responses that the endpoint leaves.
    :param rest: value of the header ``Retry-After`` in refusals; ``None`` for
        none.
    :param refuse_every: refuse one of so many requests; ``None`` for none.
    :param endless: :class:`EndlessBytes` to send instead of a response, until
        the caller closes the connection; ``None`` for none.
    :param crash_on: crash when a request with this body starts to run.
    :param crash_on_part: crash when a request whose prompt has this part,
        not as its last one, begins to write its answer.
    :param crash_after_events: number of events that a stream of a crashing
        request sends before the crash.
    """

    full: bool = False
    status: int = 200
    reset_before: bool = False
    break_after_events: int | None = None
    torn: bool = False
    truncate: bool = False
    unframed: bool = False
    orderly: bool = False
    unsealed: bool = False
    extra: bool = False
    stray_first: bool = False
    rate_limit: str | None = None
    max_waiting: int | None = None
    brittle: str | None = None
    leaving: bool = False
    rest: str | None = None
    refuse_every: int | None = None
    endless: EndlessBytes | None = None
    crash_on: bytes | None = None
    crash_on_part: str | None = None
    crash_after_events: int = 0


@dataclasses.dataclass(frozen=True)
class SentNotice:
    """A response in which the endpoint said that it leaves, or wants rest.

    :param rest_s: the time of rest; 0 for none.
    """

    at_ms: int
    attempt: str
    rest_s: float = 0.0


@dataclasses.dataclass
class Run:
    """A request that reached the endpoint and was not refused.

    :param last_event_id: the event after which the stream resumes.
    :param events: number of events sent.
    """

    request: object
    last_event_id: int = 0
    events: int = 0
    ended: bool = False
    cancelled: bool = False


class PlatformRunner:
    """An endpoint stand-in.

    :param runner_id: its id, which differs at every start.
    :param slots: the number of slots that its entry gives.
    :param version: the version of its software.

    ``names_version`` says whether the events of its streams contain it.
    ``attempts`` holds the time and the attempt id of each request received;
    ``leaves`` and ``rests`` are the :class:`SentNotice` objects.
    """

    def __init__(self, runner_id, service, zone, slots=8, version='v1'):
        self.version = version
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = None
        self.faults = RunnerFaults()
        self.runs = []
        self.attempts = []
        self.arrivals_ms = []
        self.connections = 0
        self.refusals_ms = []
        self.leaves = []
        self.rests = []
        self.waiting = 0
        self.running = 0
        self.falls = 0
        self.endless_bytes = 0
        self.event_ms = 2
        self.work_ms = 2
        self.event_count = 5
        self.names_version = False
        self.state = 'ready'
        self.crashed_by = None
        self.ended_ms = None
        self.server = Server(self._handle, lambda: LIMITS)

    async def listen(self, address):
        """Start serving on ``IP:PORT``."""
        self.address = address
        await self.server.listen(address)

    def crash(self, target):
        """Stop abruptly, as a killed process does.

        :param target: target of the request that caused the crash.
        """
        self.crashed_by = target.decode()
        self.end()

    def end(self):
        """Stop serving and reset all connections."""
        self.ended_ms = CLOCK.now()
        self.server.close()
        self.server.abort()

    def make_entry(self):
        """Return the entry that describes the endpoint in the store."""
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'call_seq': 1,
        }

    async def _handle(self, request, caller):
        faults = self.faults
        attempt = request.get(b'pearrun-attempt-id') or ''
        self.attempts.append((CLOCK.now(), attempt))
        expected = request.get(b'pearrun-expect-runner')
        if expected not in (None, self.id):
            headers = [(b'Pearrun-Runner-Id', self.id.encode())]
            await caller.reply(421, headers + self._make_leaving(attempt))
            return
        self.arrivals_ms.append(CLOCK.now())
        if self._refuses():
            await self._refuse(caller, attempt)
            return
        if faults.reset_before:
            self.runs.append(Run(request))
            caller.abort()
            return
        self.waiting += 1
        try:
            await self._wait_for_slot()
        finally:
            self.waiting -= 1
        run = Run(request)
        self.runs.append(run)
        self.running += 1
        try:
            await self._run(request, caller, run, attempt)
            run.ended = True
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        finally:
            self.running -= 1

    def _refuses(self):
        """Return whether to refuse the request that has just arrived."""
        faults = self.faults
        if faults.full or self._is_full():
            return True
        every = faults.refuse_every
        return every is not None and len(self.arrivals_ms) % every == 0

    def _is_full(self):
        """Return whether no more requests may wait."""
        max_waiting = self.faults.max_waiting
        if max_waiting is None or self.running < self.slots:
            return False
        return self.waiting >= max_waiting

    async def _wait_for_slot(self):
        if self.faults.max_waiting is not None:
            while self.running >= self.slots:
                await asyncio.sleep(to_seconds(SLOT_POLL_MS))

    async def _refuse(self, caller, attempt):
        headers = [
            (b'Pearrun-Not-Run', b'1'),
            (b'Pearrun-Attempt-Id', attempt.encode()),
            *self._make_limit_headers(),
            *self._make_leaving(attempt),
        ]
        rest = self.faults.rest
        if rest is not None:
            headers.append((b'Retry-After', rest.encode()))
            self.rests.append(
                SentNotice(CLOCK.now(), attempt, parse_seconds(rest))
            )
        await caller.reply(503, headers, b'full')
        now = CLOCK.now()
        self.refusals_ms.append(now)
        if self.faults.brittle is None:
            return
        recent = [at for at in self.refusals_ms if now - at < 1000]
        if len(recent) > float(self.faults.brittle):
            self.fall_over()

    def fall_over(self):
        """Break all connections, as a crash does, and go on empty."""
        self.falls += 1
        self.refusals_ms.clear()
        self.server.abort()

    async def _run(self, request, caller, run, attempt):
        headers = [
            (b'Pearrun-Attempt-Id', attempt.encode()),
            *self._make_limit_headers(),
            *self._make_leaving(attempt),
        ]
        if not self.faults.unsealed:
            signature = f'seal.{self.id}.{attempt}'.encode()
            headers.append((b'Pearrun-Runner-Seal', signature))
        if self._is_crashed_by(request) and not self.faults.crash_after_events:
            await asyncio.sleep(to_seconds(self.work_ms))
            self.crash(request.target)
            return
        if self.faults.endless is not None:
            await self._send_endless(caller, headers)
            return
        if self.faults.stray_first:
            caller.transport.write(make_stray_response(b'someone-else'))
        is_stream = request.get(b'pearrun-token-count') is not None
        if is_stream and self.faults.status < 500:
            await self._send_stream(request, caller, run, headers)
        else:
            await self._send_response(request, caller, headers)

    async def _send_endless(self, caller, headers):
        """Send bytes until the caller closes the connection.

        In their head, ``HEADERS`` stands for the headers of a response.
        """
        endless = self.faults.endless
        lines = [name + b': ' + value + b'\r\n' for name, value in headers]
        write = caller.transport.write
        write(endless.head.replace(b'HEADERS', b''.join(lines)))
        count = max(1, ENDLESS_BLOCK_BYTES // len(endless.repeated))
        block = endless.repeated * count
        while True:
            self.endless_bytes += len(block)
            write(block)
            await caller.wait_until_writable()
            await asyncio.sleep(0)

    def _make_leaving(self, attempt):
        """Return the header that says that the endpoint leaves, if it does."""
        if not self.faults.leaving:
            return []
        self.leaves.append(SentNotice(CLOCK.now(), attempt))
        return [(b'Server-Leaving', b'1')]

    def _make_limit_headers(self):
        named = (
            (b'Server-Limit', self.faults.rate_limit),
            (b'Server-Brittle', self.faults.brittle),
        )
        return [
            (name, value.encode())
            for name, value in named
            if value is not None
        ]

    def _is_crashed_by(self, request):
        if self.faults.status >= 500:
            return False
        crash_on = self.faults.crash_on
        if crash_on is not None and request.body == crash_on:
            return True
        return self.faults.crash_on_part in list_shared_parts(request)

    async def _send_response(self, request, caller, headers):
        await asyncio.sleep(to_seconds(self.work_ms))
        body = make_body(request.target)
        faults = self.faults
        if faults.truncate:
            caller.start(faults.status, headers, len(body) + 10)
            await caller.write(body)
            caller.abort()
            return
        if faults.unframed:
            caller.transport.write(make_unframed_head(headers) + body)
            caller.transport.close()
            return
        await caller.reply(faults.status, headers, body)
        if faults.extra:
            caller.transport.write(make_stray_response(b'late'))

    async def _send_stream(self, request, caller, run, headers):
        first = int(request.get(b'last-event-id') or 0)
        run.last_event_id = first
        headers.append((b'Content-Type', b'text/event-stream'))
        if self.faults.unframed:
            await self._send_unframed_stream(caller, run, headers)
            return
        faults = self.faults
        caller.start(200, headers)
        for number in range(first + 1, self.event_count + 1):
            await asyncio.sleep(to_seconds(self.event_ms))
            if faults.break_after_events is not None and (
                run.events >= faults.break_after_events
            ):
                if faults.torn:
                    await caller.write(self._make_event(number)[:10])
                caller.abort()
                return
            await caller.write(self._make_event(number))
            run.events += 1
            if self._is_crashed_by(request) and (
                run.events >= faults.crash_after_events
            ):
                self.crash(request.target)
                return
        caller.finish()

    async def _send_unframed_stream(self, caller, run, headers):
        """Send a stream that ends with its connection."""
        faults = self.faults
        write = caller.transport.write
        write(make_unframed_head(headers))
        for number in range(run.last_event_id + 1, self.event_count + 1):
            await asyncio.sleep(to_seconds(self.event_ms))
            if run.events == faults.break_after_events:
                if faults.torn:
                    write(self._make_event(number)[:10])
                if not faults.orderly:
                    sock = caller.transport.get_extra_info('socket')
                    sockets.reset_on_close(sock)
                break
            write(self._make_event(number))
            run.events += 1
        caller.transport.close()

    def _make_event(self, number):
        return make_event(number, self.version if self.names_version else '')


def make_body(target):
    """Return the body of a plain response.

    :param target: target of the request, whose query ``bytes=N`` asks for a
        body of at least that size.
    """
    body = b'answer to ' + target
    match = SIZE_PATTERN.search(target)
    return body.ljust(int(match[1]), b'.') if match else body


def parse_seconds(value):
    """Return a header's number of seconds; 0 if it is none."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) else 0.0


def list_shared_parts(request):
    """Return the ids of a prompt's parts except the last."""
    value = request.get(b'pearrun-prompt-prefix') or ''
    return [entry.partition(':')[0] for entry in value.split(',')][:-1]


def make_event(number, version=''):
    """Return an encoded event of a stream.

    :param version: the version that it names; empty for none.
    """
    data = f'token-{number}{version and f" {version} "}'.ljust(
        EVENT_BYTES, '.'
    )
    return f'id: {number}\ndata: {data}\n\n'.encode()


def make_unframed_head(headers):
    """Return the head of a response that ends with its connection."""
    lines = [name + b': ' + value + b'\r\n' for name, value in headers]
    return b'HTTP/1.1 200 OK\r\n' + b''.join(lines) + b'\r\n'


def make_stray_response(attempt):
    """Return a complete response to an attempt not sent to this endpoint."""
    return (
        b'HTTP/1.1 200 OK\r\nPearrun-Attempt-Id: ' + attempt + b'\r\n'
        b'Pearrun-Runner-Seal: seal.x\r\nContent-Length: 5\r\n\r\nother'
    )
