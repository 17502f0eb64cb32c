"""Transfers bytes between a transport and a parser, for client and server."""

import asyncio

from pearrun.clock import to_seconds

# Most bytes that are received from a socket at a time.
RECEIVE_BYTES = 64 * 1024
# Received bytes are copied out of this buffer before the next receive.
RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BYTES))


class Channel(asyncio.BufferedProtocol):
    """Buffers received bytes until they are passed to the parser.

    Reading from the transport pauses while the buffer is full, which
    bounds the memory used for a peer that sends too fast.

    :param buffer_bytes: buffered bytes beyond which reading pauses.
    """

    def __init__(self, buffer_bytes):
        self.buffer_bytes = buffer_bytes
        self.transport = None
        self._received = []
        self._received_bytes = 0
        self._waiter = None
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    # asyncio.BufferedProtocol

    def connection_made(self, transport):
        self.transport = transport

    def get_buffer(self, sizehint):
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes):
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data):
        """Buffer received bytes."""
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

    def take_received(self):
        """Return all buffered bytes and resume reading."""
        data = b''.join(self._received)
        self.discard_unread()
        return data

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
