"""Reads and serves the requests on one connection.

One task serves each connection: it reads a complete request, calls the
handler, and continues with the next request, so that responses keep
their order.  When the caller closes the connection, the task is
cancelled, and with it the handler.
"""

import asyncio
import contextlib
import dataclasses

import h11
from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions.intake import FIELD_BYTES
from pearrun.decisions.intake import Phase
from pearrun.http1 import bodies
from pearrun.http1 import heads
from pearrun.http1.callerchannel import CallerChannel
from pearrun.http1.limits import RejectedError
from pearrun.http1.messages import Request
from pearrun.http1.screening import BodyUnwanted
from pearrun.http1.screening import BodyWanted
from pearrun.http1.screening import Refusal

# After a rejection the rest of the request is read and discarded for up to
# this long: closing a socket with unread bytes resets the connection, and the
# caller might not receive the response.
LINGER_MS = 1000
# A body of which no more than this is missing is received before the next
# request if its request was answered early; else the connection is closed.
MAX_SKIPPED_BYTES = 64 * 1024
# Fields of a head beyond which it is parsed in its turn.  That takes 3 us a
# field.
MANY_FIELDS = 128
# Retry-After of a request that is refused because too many large ones are
# being received.
LARGE_RETRY_AFTER_S = 1.0

CLOCK = Clock()


class ServerConnection(CallerChannel):
    """One caller's connection and its requests."""

    async def serve(self):
        """Serve one request after another until the connection ends."""
        try:
            while await self._serve_one():
                pass
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception('unhandled error on a connection')
            self.abort()
        finally:
            self.end()

    async def _serve_one(self):
        """Serve the next request.

        :returns: whether another one may follow on the connection.
        """
        limits = self.server.limits()
        self.head_sent = False
        self.state = h11.Connection(h11.SERVER)
        try:
            request = await self._read_request(limits)
        except RejectedError as exc:
            await self._reject(exc, limits)
            return False
        match request:
            case None:
                return False
            case Refusal():
                return await self._refuse(request, limits)
        self.enter(Phase.SERVING)
        self.serving = True
        try:
            await self.server.handle(request, self)
        finally:
            self.serving = False
        return self._may_continue()

    def _may_continue(self):
        """Return whether another request may follow on the connection."""
        self.body = None
        self.intake.settle(self, 0)
        self.enter(Phase.IDLE)
        self.charge()
        return self.state.our_state is h11.DONE and not self.server.closing

    async def _read_request(self, limits):
        """Read a complete request.

        :returns: a :class:`Request`; a :class:`Refusal` if it is refused
            before its body was received; ``None`` if no request was received.
        :raises RejectedError: the request violates the protocol or a limit.
        """
        data = await self._read_head(limits)
        if data is None:
            return None
        received_ms = CLOCK.now()
        await self._admit_head(data)
        head = heads.parse_head(self.state, data)
        self.body = bodies.make_body(head, limits)
        request = Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=list(head.headers.raw_items()),
            has_body=self.body.is_declared,
            received_ms=received_ms,
        )
        if not await self._feed_body():
            match self.server.screen(request):
                case Refusal() as refusal:
                    return refusal
                case BodyUnwanted():
                    self.body.discard()
                    await self._read_body(limits)
                case BodyWanted(timeout_ms):
                    self._admit_body()
                    await self._read_body(limits, timeout_ms)
        if not self.body.size:
            return request
        return dataclasses.replace(request, body=self.body.content)

    async def _read_head(self, limits):
        """Read the bytes of a request's head.

        :returns: bytes; ``None`` if no request was received.
        """
        has_bytes = self.unparsed or self.has_unread
        if has_bytes and self.phase is Phase.IDLE:
            # The request was sent ahead.
            await self.server.shared.turns.wait()
        elif not has_bytes:
            try:
                await self.wait_for_bytes(limits.idle_timeout_ms)
            except TimeoutError:
                return None
        self.enter(Phase.READING)
        try:
            async with asyncio.timeout(to_seconds(limits.header_timeout_ms)):
                while (
                    head := self.head_reader.take(
                        self.unparsed, limits.max_header_bytes
                    )
                ) is None:
                    self.charge()
                    await self.wait_for_bytes()
                    self.unparsed += self.take_received()
                return head
        except TimeoutError as exc:
            raise RejectedError(
                408, 'timed out reading the request head'
            ) from exc

    async def _admit_head(self, data):
        """Wait for this connection's turn if a head has very many fields."""
        fields = data.count(b'\n')
        self.head_bytes = 0
        if fields > MANY_FIELDS:
            self.head_bytes = fields * FIELD_BYTES
            self._admit(0)
            await self.server.shared.turns.wait()

    def _admit_body(self):
        """Admit a large body whose length is declared."""
        settings = self.intake.settings
        length = self.body.length
        if settings and length and length > settings.large_bytes:
            self._admit(length)
            self.enter(Phase.ADMITTED)

    def _admit(self, body_bytes):
        """Admit a large request.

        :param body_bytes: the size of its body.
        :raises RejectedError: too many are being received.
        """
        is_admitted, closed = self.intake.admit(
            self, self.head_bytes + body_bytes
        )
        self.close_all(closed)
        if not is_admitted:
            raise RejectedError(
                503, 'too many large requests', LARGE_RETRY_AFTER_S
            )

    async def _feed_body(self):
        """Decode what was received of the body.

        :returns: whether the body is complete.
        """
        body = self.body
        if body.is_costly:
            await self.server.shared.turns.wait()
        if self.has_unread and not body.complete:
            self.unparsed += self.take_received()
        while not body.complete and body.feed(self.unparsed):
            await self.server.shared.turns.wait()
        return body.complete

    async def _read_body(self, limits, timeout_ms=None):
        """Read the rest of the body.

        :param timeout_ms: how long that may take; ``None`` for as long as its
            parts keep coming.
        :raises RejectedError: it did not come in time, or too much of it.
        """
        if self.state.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.state.send(response))
        delay = None if timeout_ms is None else to_seconds(timeout_ms)
        try:
            async with asyncio.timeout(delay):
                while not await self._feed_body():
                    self._charge_body()
                    await self.wait_for_bytes(limits.header_timeout_ms)
        except TimeoutError as exc:
            raise RejectedError(
                408, 'timed out reading the request body'
            ) from exc
        if self.phase is Phase.ADMITTED:
            size = self.head_bytes + len(self.body.content)
            self.intake.settle(self, size)

    def _charge_body(self):
        """Charge what was received of a body that is not admitted yet."""
        if self.phase is Phase.ADMITTED:
            return
        settings = self.intake.settings
        if settings and len(self.body.content) > settings.large_bytes:
            self._admit(self.body.max_bytes)
            self.enter(Phase.ADMITTED)
        self.charge()

    async def _refuse(self, refusal, limits):
        """Refuse a request whose body was not received completely.

        :returns: whether another request may follow on the connection.
        """
        body = self.body
        body.discard()
        waits = self.state.they_are_waiting_for_100_continue
        goes_on = (
            not waits
            and body.length is not None
            and body.length - body.size <= MAX_SKIPPED_BYTES
        )
        headers = list(refusal.headers)
        if not goes_on:
            headers.append((b'Connection', b'close'))
        await self.reply(refusal.status, headers, refusal.body)
        if not goes_on:
            await self._linger(limits)
            return False
        try:
            await self._read_body(limits)
        except RejectedError:
            # The answer was sent already.
            return False
        return self._may_continue()

    async def _reject(self, error, limits):
        logger.info(
            'request rejected', status=error.status, reason=error.reason
        )
        self.body = None
        self.intake.settle(self, 0)
        if self.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        headers = [(b'Connection', b'close')]
        if error.retry_after_s is not None:
            value = f'{error.retry_after_s:.3f}'.encode()
            headers.append((b'Retry-After', value))
        self.start(error.status, headers, 0)
        self.finish()
        await self._linger(limits)

    async def _linger(self, limits):
        """Discard the rest of a request, so that the answer is received."""
        self.unparsed.clear()
        self.enter(Phase.LINGERING)
        self.charge()
        left_bytes = limits.max_body_bytes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(to_seconds(LINGER_MS)):
                while left_bytes > 0:
                    left_bytes -= self._received_bytes
                    self.discard_unread()
                    await self.wait_for_bytes()
