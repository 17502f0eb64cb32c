"""Bytes between a transport and an h11 state, for either side."""

import asyncio

from pearrun.clock import to_seconds


class Channel(asyncio.Protocol):
    """Keeps what was received until it is asked for.

    Reading pauses while too much waits, so that a peer that sends faster
    than it is read costs no memory.  Subclasses set ``state``, the h11
    connection that received bytes go to.

    :param buffer_bytes: unread bytes beyond which reading pauses.
    """

    def __init__(self, buffer_bytes):
        self.buffer_bytes = buffer_bytes
        self.transport = None
        self.state = None
        self._inbox = []
        self._inbox_bytes = 0
        self._waiter = None
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    # asyncio.Protocol

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self._inbox.append(data)
        self._inbox_bytes += len(data)
        if self._inbox_bytes > self.buffer_bytes and not self._paused:
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
        """Whether bytes were received that nobody has asked for."""
        return bool(self._inbox)

    def feed(self):
        """Hand everything received to the h11 state."""
        if self._inbox:
            data = b''.join(self._inbox)
            self.drop_unread()
            self.state.receive_data(data)

    def drop_unread(self):
        """Forget what was received, and go on reading."""
        self._inbox.clear()
        self._inbox_bytes = 0
        if self._paused and not self.transport.is_closing():
            self._paused = False
            self.transport.resume_reading()

    async def wait_for_bytes(self, timeout_ms=None):
        """Wait until something is received, or the connection changes.

        :raises TimeoutError: nothing came within ``timeout_ms``.
        """
        if self._inbox:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        delay = None if timeout_ms is None else to_seconds(timeout_ms)
        try:
            async with asyncio.timeout(delay):
                await self._waiter
        finally:
            self._waiter = None

    async def wait_until_writable(self):
        """Wait while the peer takes bytes too slowly."""
        await self._writable.wait()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
