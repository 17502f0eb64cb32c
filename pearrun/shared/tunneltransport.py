"""Asyncio transport over a WebSocket connection to another host."""

import asyncio

import websockets

from pearrun.http1.client import ClientConnection
from pearrun.shared.tunnelmessages import TunnelEnd

# Largest message; bounds the memory of a connection's receive queue.
CHUNK_BYTES = 16 * 1024


class TunnelledConnection(ClientConnection):
    """A connection to an endpoint through another host, for one request.

    :param proxy: name of the other host.

    ``proxy_lost`` says whether the connection to that host broke, which says
    nothing about the endpoint.
    """

    def __init__(self, proxy):
        super().__init__()
        self.proxy = proxy
        self.proxy_lost = False

    def keep_idle(self):
        """Return ``False``: the connection is never kept."""
        return False

    def finish(self, head):
        """End the request; the connection is never reused."""
        super().finish(head)
        self.abort()
        return False


class TunnelTransport(asyncio.Transport):
    """Transport of a :class:`TunnelledConnection`.

    :param link: the WebSocket connection, on which the tunnel is open.
    :param connection: the :class:`TunnelledConnection`.
    :param on_end: called once when the tunnel has ended.
    """

    def __init__(self, link, connection, on_end):
        super().__init__()
        self._link = link
        self._connection = connection
        self._on_end = on_end
        self._closing = False
        self._outgoing = asyncio.Queue()
        self._unsent_bytes = 0
        self._readable = asyncio.Event()
        self._readable.set()
        connection.connection_made(self)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._receive()),
            loop.create_task(self._send()),
        ]

    # asyncio.Transport

    def write(self, data):
        if self._closing:
            return
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = bytes(data[start : start + CHUNK_BYTES])
            self._unsent_bytes += len(chunk)
            self._outgoing.put_nowait(chunk)

    def get_write_buffer_size(self):
        return self._unsent_bytes

    def pause_reading(self):
        self._readable.clear()

    def resume_reading(self):
        self._readable.set()

    def is_closing(self):
        return self._closing

    def get_extra_info(self, name, default=None):
        return self._link.transport.get_extra_info(name, default)

    def close(self):
        self.abort()

    def abort(self):
        if not self._closing:
            self._end(None)

    # tasks

    async def _receive(self):
        try:
            async for data in self._link:
                await self._readable.wait()
                self._connection.data_received(data)
        except websockets.ConnectionClosedError:
            pass
        self._end_by_code(self._link.close_code)

    async def _send(self):
        try:
            while True:
                chunk = await self._outgoing.get()
                await self._link.send(chunk)
                self._unsent_bytes -= len(chunk)
        except websockets.ConnectionClosed:
            # _receive ends the connection, after the last received bytes.
            pass

    def _end_by_code(self, code):
        match code:
            case TunnelEnd.CLOSED:
                self._connection.eof_received()
                self._end(None)
            case TunnelEnd.RESET:
                self._end(ConnectionResetError('reset by the endpoint'))
            case TunnelEnd.SILENT:
                self._end(TimeoutError('the endpoint does not respond'))
            case _:
                self._connection.proxy_lost = True
                proxy = self._connection.proxy
                self._end(ConnectionResetError(f'tunnel to {proxy} broke'))

    def _end(self, error):
        if self._closing:
            return
        self._closing = True
        for task in self._tasks:
            task.cancel()
        self._link.transport.abort()
        self._on_end()
        self._connection.connection_lost(error)
