"""Client side of one HTTP/1.1 connection.

h11 parses and frames; this module moves bytes between h11 and the
transport.  aiohttp's client is not used here: it retries requests by
itself when a keep-alive connection breaks, which would run a
non-idempotent request twice, and it cannot read the expected response
after one that belongs to another request.
"""

import asyncio

import h11

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1 import sockets
from pearrun.http1.channel import Channel
from pearrun.http1.messages import Response
from pearrun.http1.messages import ResponseHead

# Buffered bytes beyond which reading pauses.  An event of a stream has a few
# hundred bytes, so this is enough for seconds of a stream.
READ_BUFFER_BYTES = 64 * 1024
# Up to this size a request's body is written together with its head.
SMALL_BODY_BYTES = 16 * 1024
# Largest response head that is accepted from an endpoint or the platform.
MAX_HEAD_BYTES = 64 * 1024
# Responses with status 1xx that may precede a response.
MAX_INFORMATIONAL_RESPONSES = 16
# Keep-Alive gives an endpoint's idle timeout in whole seconds.  Reuse of a
# connection stops this long before it, so that a request is not sent while
# the endpoint closes the connection.
IDLE_MARGIN_MS = 400
# Idle timeout assumed when the response has no Keep-Alive header.
DEFAULT_IDLE_MS = 4000


CLOCK = Clock()


class ClientConnection(Channel):
    """A client connection that carries one request at a time."""

    def __init__(self):
        super().__init__(READ_BUFFER_BYTES)
        self.error = None
        self.closed = False
        self.idle_since_ms = CLOCK.now()
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self.in_use = False
        self.user_timeout_ms = None
        self.state = new_parser()

    # asyncio.Protocol

    def data_received(self, data):
        super().data_received(data)
        if not self.in_use:
            # No request is in progress, so no response is expected.
            self.abort()

    def eof_received(self):
        self.closed = True
        self._wake()
        return False

    def connection_lost(self, exc):
        if exc is not None or not self.closed:
            self.error = exc or ConnectionResetError('connection closed')
        self.closed = True
        self._writable.set()
        self._wake()

    # requests

    def set_user_timeout(self, user_timeout_ms):
        """Set for how long a silent peer is waited for.

        :param user_timeout_ms: how long sent bytes and keep-alive probes may
            stay unacknowledged.
        """
        if user_timeout_ms != self.user_timeout_ms:
            sock = self.transport.get_extra_info('socket')
            sockets.set_user_timeout(sock, user_timeout_ms)
            self.user_timeout_ms = user_timeout_ms

    def send(self, method, target, headers, body=b''):
        """Write one request.

        :param headers: pairs of bytes, including framing headers.
        :raises EndpointUnreachableError: the connection was closed
            before anything was written.
        """
        if self.closed or self.transport.is_closing():
            raise exceptions.EndpointUnreachableError('connection closed')
        self.in_use = True
        request = h11.Request(method=method, target=target, headers=headers)
        head = self.state.send(request)
        if not body:
            self.transport.write(head + self.state.send(h11.EndOfMessage()))
            return
        parts = self.state.send_with_data_passthrough(h11.Data(data=body))
        parts += self.state.send_with_data_passthrough(h11.EndOfMessage())
        if len(body) <= SMALL_BODY_BYTES:
            self.transport.write(b''.join([head, *parts]))
            return
        # A large body is not copied.
        self.transport.write(head)
        for part in parts:
            self.transport.write(part)

    async def read_head(self):
        """Read a response's status and headers.

        :returns: a :class:`ResponseHead`.
        :raises ConnectionBrokenError: the connection ended early, or too many
            informational responses came first.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            match event:
                case h11.InformationalResponse():
                    continue
                case h11.Response():
                    return ResponseHead(
                        event.status_code,
                        list(event.headers.raw_items()),
                    )
            raise exceptions.ConnectionBrokenError('no response head received')
        raise exceptions.ConnectionBrokenError(
            'too many informational responses'
        )

    async def read_chunk(self):
        """Read the next part of a response's body.

        :returns: bytes; ``None`` once the body is complete.
        :raises ConnectionBrokenError: the body ended early.
        """
        event = await self._next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                return None
        raise exceptions.ConnectionBrokenError('body ended early')

    async def read_body(self, limit):
        """Read the rest of a body.

        :param limit: maximum number of bytes to read.
        :returns: ``(data, complete)``; ``complete`` is false if the body
            exceeds the limit.
        :raises ConnectionBrokenError: the body ended early.
        """
        parts = []
        size = 0
        while size <= limit:
            chunk = await self.read_chunk()
            if chunk is None:
                return b''.join(parts), True
            parts.append(chunk)
            size += len(chunk)
        return b''.join(parts), False

    async def fetch(self, method, target, headers, body, limit):
        """Send a request and read its complete response.

        :param limit: maximum number of bytes of the body.
        :returns: a :class:`Response`.
        :raises EndpointUnreachableError: the connection was closed
            before anything was written.
        :raises ConnectionBrokenError: the response is incomplete or its
            body exceeds the limit.
        """
        self.send(method, target, headers, body)
        head = await self.read_head()
        data, complete = await self.read_body(limit)
        if not complete:
            self.abort()
            raise exceptions.ConnectionBrokenError('response too large')
        return Response(head, data)

    def skip_response(self):
        """Skip a response that belongs to another request.

        An endpoint may send such a response before the expected one, which
        then follows on the same connection.  h11 allows one response to a
        request, so a new parser is given a placeholder request.
        """
        unparsed, _ = self.state.trailing_data
        self.state = make_response_parser()
        if unparsed:
            self.state.receive_data(bytes(unparsed))

    def finish(self, head):
        """End a request whose response was read completely.

        :param head: the :class:`ResponseHead`, for its ``Keep-Alive`` header.
        :returns: whether the connection may carry another request.
        """
        self.in_use = False
        self.idle_since_ms = CLOCK.now()
        self.idle_limit_ms = parse_idle_limit(head.get(b'keep-alive'))
        reusable = (
            not self.closed
            and not self.has_unread
            and not self.state.trailing_data[0]
            and self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and self.transport.get_write_buffer_size() == 0
        )
        if not reusable:
            self.abort()
            return False
        self.state.start_next_cycle()
        return True

    def keep_idle(self):
        """Keep the connection for later; nothing was sent on it.

        :returns: whether it may carry a request then.
        """
        self.idle_since_ms = CLOCK.now()
        return self.is_reusable()

    def is_reusable(self):
        """Return whether an idle connection may still be reused."""
        idle_ms = CLOCK.since(self.idle_since_ms)
        closing = self.closed or self.transport.is_closing()
        return not closing and idle_ms < self.idle_limit_ms

    def abort(self):
        """Reset the connection at once and abandon any request on it.

        Bytes that have not been delivered are discarded.  After an orderly
        close the kernel would keep retransmitting them while the network
        path is broken, and an abandoned request would be executed once the
        path recovers.
        """
        self.in_use = False
        if self.transport is None or self.transport.is_closing():
            return
        sockets.reset_on_close(self.transport.get_extra_info('socket'))
        self.transport.abort()

    async def _next_event(self):
        while True:
            self._feed_parser()
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as exc:
                raise exceptions.ConnectionBrokenError(str(exc)) from exc
            if event is h11.NEED_DATA:
                await self._wait()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise exceptions.ConnectionBrokenError('connection closed')
            return event

    def _feed_parser(self):
        if self.has_unread:
            self.state.receive_data(self.take_received())

    async def _wait(self):
        if self.error is not None:
            raise exceptions.ConnectionBrokenError(
                str(self.error), isinstance(self.error, TimeoutError)
            )
        if self.closed:
            # An orderly close ends a body without declared length.
            self.state.receive_data(b'')
            return
        await self.wait_for_bytes()


def new_parser():
    """Return a new h11 client connection."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def make_response_parser():
    """Return a h11 client connection that expects a response."""
    parser = new_parser()
    placeholder = h11.Request(
        method='GET', target='/', headers=[('Host', 'parser')]
    )
    parser.send(placeholder)
    parser.send(h11.EndOfMessage())
    return parser


def parse_idle_limit(value):
    """Return for how long an idle connection may be reused.

    :param value: the value of the ``Keep-Alive`` header, or ``None``.
    :returns: milliseconds.
    """
    for part in (value or '').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout' and number.strip().isdigit():
            return max(0, int(number) * 1000 - IDLE_MARGIN_MS)
    return DEFAULT_IDLE_MS


async def connect(address, connect_timeout_ms, user_timeout_ms):
    """Open a connection.

    :param address: ``IP:PORT``.
    :param connect_timeout_ms: milliseconds allowed for connecting.
    :param user_timeout_ms: how long sent bytes may stay unacknowledged.
    :returns: a :class:`ClientConnection`.
    :raises EndpointSilentError: connecting timed out.
    :raises EndpointDownError: the connection was refused.
    :raises EndpointUnreachableError: connecting failed otherwise.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(to_seconds(connect_timeout_ms)):
            transport, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
    except TimeoutError as exc:
        raise exceptions.EndpointSilentError(
            f'{address}: connect timed out'
        ) from exc
    except ConnectionRefusedError as exc:
        raise exceptions.EndpointDownError(f'{address}: {exc}') from exc
    except OSError as exc:
        raise exceptions.EndpointUnreachableError(f'{address}: {exc}') from exc
    sockets.detect_dead_peer(
        transport.get_extra_info('socket'), user_timeout_ms
    )
    connection.user_timeout_ms = user_timeout_ms
    return connection
