"""Transfers bytes between a transport and h11, for client and server."""

import asyncio

from pearrun.clock import to_seconds


class Channel(asyncio.Protocol):
    """Buffers received bytes until they are passed to the parser.

    Reading from the transport pauses while the buffer is full, which
    bounds the memory used for a peer that sends too fast.  Subclasses set
    ``state``, the :class:`h11.Connection` that parses received bytes.

    :param buffer_bytes: buffered bytes beyond which reading pauses.
    """

    def __init__(self, buffer_bytes):
        self.buffer_bytes = buffer_bytes
        self.transport = None
        self.state = None
        self._received = []
        self._received_bytes = 0
        self._waiter = None
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    # asyncio.Protocol

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > self.buffer_bytes and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    # for subclasses

    @property
    def has_unread(self):
        """Whether received bytes are waiting to be parsed."""
        return bool(self._received)

    def feed_parser(self):
        """Pass all buffered bytes to h11."""
        if self._received:
            data = b''.join(self._received)
            self.discard_unread()
            self.state.receive_data(data)

    def discard_unread(self):
        """Discard buffered bytes and resume reading."""
        self._received.clear()
        self._received_bytes = 0
        if self._paused and not self.transport.is_closing():
            self._paused = False
            self.transport.resume_reading()

    async def wait_for_bytes(self, timeout_ms=None):
        """Wait until bytes are received or the connection ends.

        :raises TimeoutError: no bytes arrived within ``timeout_ms``.
        """
        if self._received:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        delay = None if timeout_ms is None else to_seconds(timeout_ms)
        try:
            async with asyncio.timeout(delay):
                await self._waiter
        finally:
            self._waiter = None

    async def wait_until_writable(self):
        """Wait while the transport's write buffer is full."""
        await self._writable.wait()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
