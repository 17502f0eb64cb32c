"""Server side of HTTP/1.1 connections.

One task serves each connection: it reads a request whole, calls the
handler, and goes on with the next one, so that answers keep their
order.  When the caller closes the connection, the task is cancelled,
and with it everything the handler had under way.
"""

import asyncio
import contextlib
import dataclasses

import h11
from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1.client import detect_silence
from pearrun.http1.messages import Request

# Unread bytes of a caller beyond which reading pauses.
READ_BUFFER_BYTES = 64 * 1024
# After a refusal the rest of the request is read and dropped for this
# long, since closing on unread bytes would reset the connection and
# lose the refusal.
LINGER_MS = 1000
# A caller that acknowledges nothing for this long is gone.
SILENCE_MS = 5000

CLOCK = Clock()


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RejectedError(Exception):
    """A request is answered with an error before it reaches a handler."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    :param server: the :class:`Server` that accepted it.
    """

    def __init__(self, server):
        self.server = server
        self.transport = None
        self.task = None
        self.gone = False
        self.serving = False
        self.head_sent = False
        self._inbox = []
        self._inbox_bytes = 0
        self._waiter = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._paused = False
        self._state = None

    # asyncio.Protocol

    def connection_made(self, transport):
        self.transport = transport
        detect_silence(transport.get_extra_info('socket'), SILENCE_MS)
        limits = self.server.limits()
        self._state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data):
        self._inbox.append(data)
        self._inbox_bytes += len(data)
        if self._inbox_bytes > READ_BUFFER_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self):
        self._leave()
        return False

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self._writable.set()
        self._leave()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def _leave(self):
        if not self.gone:
            self.gone = True
            if self.task is not None:
                self.task.cancel()

    # the handler's side

    def start(self, status, headers, length=None):
        """Send a response's status and headers.

        :param headers: pairs of bytes, without framing headers.
        :param length: the body's bytes; ``None`` if not known yet.
        """
        headers = list(headers)
        if length is not None:
            headers.append((b'Content-Length', str(length).encode()))
        if self.server.closing:
            headers.append((b'Connection', b'close'))
        response = h11.Response(status_code=status, headers=headers)
        self.head_sent = True
        self.transport.write(self._state.send(response))

    async def write(self, data):
        """Send some of a response's body; wait while the caller is slow."""
        self.transport.write(self._state.send(h11.Data(data=data)))
        await self._writable.wait()

    def finish(self):
        """End a response whose body was sent whole."""
        self.transport.write(self._state.send(h11.EndOfMessage()))

    async def reply(self, status, headers, body=b''):
        """Send a whole response."""
        self.start(status, headers, len(body))
        if body:
            await self.write(body)
        self.finish()

    def abort(self):
        """Break off: a response that was begun must not look complete."""
        self.transport.abort()

    # the connection's task

    async def _serve(self):
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception('connection failed')
            self.abort()
        finally:
            if not self.transport.is_closing():
                self.transport.close()

    async def _serve_one(self):
        limits = self.server.limits()
        self.head_sent = False
        try:
            request = await self._read_request(limits)
        except RejectedError as exc:
            await self._reject(exc)
            return False
        if request is None:
            return False
        self.serving = True
        try:
            await self.server.handle(request, self)
        finally:
            self.serving = False
        if self._state.our_state is not h11.DONE or self.server.closing:
            return False
        if self._state.their_state is not h11.DONE:
            return False
        self._state.start_next_cycle()
        return True

    async def _read_request(self, limits):
        """Read one request whole.

        :returns: a :class:`Request`; ``None`` if the caller sent none.
        :raises RejectedError: it breaks the protocol or a limit.
        """
        head = await self._read_head(limits)
        if head is None:
            return None
        received_ms = CLOCK.now()
        check_size(head, limits)
        check_framing(head, limits)
        if self._state.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._state.send(go_on))
        body = await self._read_body(limits)
        headers = list(head.headers.raw_items())
        return Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            body=body,
            has_body=bool(body) or has_framing(head),
            received_ms=received_ms,
        )

    async def _read_head(self, limits):
        event = self._take_event()
        if event is h11.NEED_DATA and not self._has_partial():
            try:
                await self._wait(limits.idle_timeout_ms)
            except TimeoutError:
                return None
        try:
            async with asyncio.timeout(to_seconds(limits.header_timeout_ms)):
                while event is h11.NEED_DATA:
                    event = self._take_event()
                    if event is h11.NEED_DATA:
                        await self._wait(None)
        except TimeoutError as exc:
            raise RejectedError(408, 'head took too long') from exc
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, limits):
        parts = []
        size = 0
        while True:
            event = self._take_event()
            match event:
                case h11.Data():
                    size += len(event.data)
                    if size > limits.max_body_bytes:
                        raise RejectedError(413, 'body too large')
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    return b''.join(parts)
                case _ if event is h11.NEED_DATA:
                    await self._wait_for_body(limits)
                case _:
                    raise RejectedError(400, 'body ended early')

    async def _wait_for_body(self, limits):
        try:
            await self._wait(limits.header_timeout_ms)
        except TimeoutError as exc:
            raise RejectedError(408, 'body took too long') from exc

    def _has_partial(self):
        data, _ = self._state.trailing_data
        return bool(data)

    def _take_event(self):
        if self._inbox:
            data = b''.join(self._inbox)
            self._inbox.clear()
            self._inbox_bytes = 0
            self._state.receive_data(data)
            if self._paused and not self.transport.is_closing():
                self._paused = False
                self.transport.resume_reading()
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as exc:
            raise RejectedError(exc.error_status_hint, str(exc)) from exc

    async def _wait(self, timeout_ms):
        if self._inbox:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            if timeout_ms is None:
                await self._waiter
            else:
                async with asyncio.timeout(to_seconds(timeout_ms)):
                    await self._waiter
        finally:
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _reject(self, error):
        logger.info(
            'request rejected', status=error.status, reason=error.reason
        )
        if self._state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        self.start(error.status, [(b'Connection', b'close')], 0)
        self.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(to_seconds(LINGER_MS)):
                while True:
                    self._inbox.clear()
                    self._inbox_bytes = 0
                    if self._paused:
                        self._paused = False
                        self.transport.resume_reading()
                    await self._wait(None)


class Server:
    """Listens on one address and serves its connections.

    :param handle: called with a :class:`Request` and the
        :class:`ServerConnection` to answer on.
    :param limits: returns the :class:`ServerLimits` in force.
    """

    def __init__(self, handle, limits=ServerLimits):
        self.handle = handle
        self.limits = limits
        self.connections = set()
        self.closing = False
        self.listener = None

    async def listen(self, address):
        """Begin to accept connections.

        :param address: ``IP:PORT``.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )

    @property
    def busy(self):
        """How many requests are being answered."""
        return sum(connection.serving for connection in self.connections)

    def close(self):
        """Stop accepting, and close connections without a request.

        Requests being answered go on; their connections end with them.
        """
        self.closing = True
        self.listener.close()
        for connection in list(self.connections):
            if not connection.serving:
                connection.transport.close()

    def abort(self):
        """Break off every connection."""
        for connection in list(self.connections):
            connection.abort()


def has_framing(head):
    """Say whether a request declares a body."""
    names = {name for name, _ in head.headers}
    return b'content-length' in names or b'transfer-encoding' in names


def check_size(head, limits):
    """Refuse heads larger than allowed.

    h11 limits only heads that arrive in several parts.

    :raises RejectedError: the head is too large.
    """
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size > limits.max_header_bytes:
        raise RejectedError(431, 'head too large')


def check_framing(head, limits):
    """Refuse requests whose end two readers could see differently.

    :raises RejectedError: both framings are declared, or the body is
        larger than allowed.
    """
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise RejectedError(400, 'both length and chunked framing')
    for name, value in head.headers:
        if name == b'content-length' and int(value) > limits.max_body_bytes:
            raise RejectedError(413, 'body too large')
