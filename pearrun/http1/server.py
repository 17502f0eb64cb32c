"""Server side of HTTP/1.1 connections.

One task serves each connection: it reads a complete request, calls the
handler, and continues with the next request, so that responses keep
their order.  When the caller closes the connection, the task is
cancelled, and with it the handler.
"""

import asyncio
import contextlib

import h11
from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1 import limits as limits_module
from pearrun.http1 import sockets
from pearrun.http1.channel import Channel
from pearrun.http1.limits import RejectedError
from pearrun.http1.limits import ServerLimits
from pearrun.http1.messages import Request

# Buffered bytes of a connection beyond which reading pauses.
READ_BUFFER_BYTES = 64 * 1024
# After a rejection the rest of the request is read and discarded for up to
# this long: closing a socket with unread bytes resets the connection, and the
# caller might not receive the response.
LINGER_MS = 1000
# A connection whose caller acknowledges nothing for this long is closed.
USER_TIMEOUT_MS = 5000

CLOCK = Clock()


class ServerConnection(Channel):
    """One caller's connection.

    :param server: the :class:`Server` that accepted it.
    """

    def __init__(self, server):
        super().__init__(READ_BUFFER_BYTES)
        self.server = server
        self.task = None
        self.caller_gone = False
        self.serving = False
        self.head_sent = False

    # asyncio.Protocol

    def connection_made(self, transport):
        super().connection_made(transport)
        if not self.server.accepts():
            # Nothing was read, so that the caller may send its request again.
            self.caller_gone = True
            transport.abort()
            return
        sockets.detect_dead_peer(
            transport.get_extra_info('socket'), USER_TIMEOUT_MS
        )
        limits = self.server.limits()
        self.state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def eof_received(self):
        self._cancel_task()
        return False

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self._writable.set()
        self._cancel_task()

    def _cancel_task(self):
        if not self.caller_gone:
            self.caller_gone = True
            if self.task is not None:
                self.task.cancel()

    # for handlers

    def start(self, status, headers, length=None):
        """Send a response's status and headers.

        :param headers: pairs of bytes, without framing headers.
        :param length: the body's length in bytes; ``None`` if unknown.
        """
        headers = list(headers)
        if length is not None:
            headers.append((b'Content-Length', str(length).encode()))
        if self.server.closing:
            headers.append((b'Connection', b'close'))
        response = h11.Response(status_code=status, headers=headers)
        self.head_sent = True
        self.transport.write(self.state.send(response))

    async def write(self, data):
        """Send part of a response's body; wait while the buffer is full."""
        self.transport.write(self.state.send(h11.Data(data=data)))
        await self.wait_until_writable()

    def finish(self):
        """End a response whose body was sent completely."""
        self.transport.write(self.state.send(h11.EndOfMessage()))

    async def reply(self, status, headers, body=b''):
        """Send a complete response."""
        self.start(status, headers, len(body))
        if body:
            await self.write(body)
        self.finish()

    def abort(self):
        """Close at once; the caller sees a started response as incomplete."""
        self.transport.abort()

    # Methods that run in the connection's own task.

    async def _serve(self):
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception('unhandled error on a connection')
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
        if self.state.our_state is not h11.DONE or self.server.closing:
            return False
        if self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        return True

    async def _read_request(self, limits):
        """Read a complete request.

        :returns: a :class:`Request`; ``None`` if no request was received.
        :raises RejectedError: the request violates the protocol or a limit.
        """
        head = await self._read_head(limits)
        if head is None:
            return None
        received_ms = CLOCK.now()
        limits_module.check_size(head, limits)
        limits_module.check_framing(head, limits)
        if self.state.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.state.send(response))
        body = await self._read_body(limits)
        headers = list(head.headers.raw_items())
        return Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=headers,
            body=body,
            has_body=bool(body) or limits_module.declares_body(head),
            received_ms=received_ms,
        )

    async def _read_head(self, limits):
        event = self._next_event()
        if event is h11.NEED_DATA and not self._has_partial_head():
            try:
                await self.wait_for_bytes(limits.idle_timeout_ms)
            except TimeoutError:
                return None
        try:
            async with asyncio.timeout(to_seconds(limits.header_timeout_ms)):
                while event is h11.NEED_DATA:
                    event = self._next_event()
                    if event is h11.NEED_DATA:
                        await self.wait_for_bytes()
        except TimeoutError as exc:
            raise RejectedError(
                408, 'timed out reading the request head'
            ) from exc
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, limits):
        parts = []
        size = 0
        while True:
            event = self._next_event()
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
            await self.wait_for_bytes(limits.header_timeout_ms)
        except TimeoutError as exc:
            raise RejectedError(
                408, 'timed out reading the request body'
            ) from exc

    def _has_partial_head(self):
        data, _ = self.state.trailing_data
        return bool(data)

    def _next_event(self):
        self.feed_parser()
        try:
            return self.state.next_event()
        except h11.RemoteProtocolError as exc:
            raise RejectedError(exc.error_status_hint, str(exc)) from exc

    async def _reject(self, error):
        logger.info(
            'request rejected', status=error.status, reason=error.reason
        )
        if self.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        self.start(error.status, [(b'Connection', b'close')], 0)
        self.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(to_seconds(LINGER_MS)):
                while True:
                    self.discard_unread()
                    await self.wait_for_bytes()


class Server:
    """Listens on one address and serves its connections.

    :param handle: called with a :class:`Request` and the
        :class:`ServerConnection` to respond on.
    :param limits: returns the current :class:`ServerLimits`.
    :param accepts: returns whether to serve a new connection; otherwise it is
        closed at once.
    """

    def __init__(self, handle, limits=ServerLimits, accepts=lambda: True):
        self.handle = handle
        self.limits = limits
        self.accepts = accepts
        self.connections = set()
        self.closing = False
        self.listener = None

    async def listen(self, address):
        """Start accepting connections.

        :param address: ``IP:PORT``.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1024
        )

    @property
    def active_requests(self):
        """The number of requests that are being handled."""
        return sum(connection.serving for connection in self.connections)

    def close(self):
        """Stop accepting connections and close idle ones.

        Requests in progress continue; their connections are closed when
        they end.
        """
        self.closing = True
        self.listener.close()
        for connection in list(self.connections):
            if not connection.serving:
                connection.transport.close()

    def abort(self):
        """Close every connection at once."""
        for connection in list(self.connections):
            connection.abort()
