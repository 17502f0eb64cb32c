"""A caller's connection: what it receives, sends and occupies."""

import asyncio

import h11
from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions.intake import Phase
from pearrun.http1 import heads
from pearrun.http1 import sockets
from pearrun.http1.channel import Channel

# Buffered bytes of a connection beyond which reading pauses.  What a client
# sends ahead stays in the socket's receive buffer.
READ_BUFFER_BYTES = 16 * 1024
# Receive buffer of a socket, which bounds what waits there while reading is
# paused.  The kernel doubles it.
SOCKET_BUFFER_BYTES = 32 * 1024
# What a connection occupies whose caller does not read: the transport's write
# buffer, and what the endpoint has sent meanwhile.
STALLED_BYTES = 384 * 1024
# A connection whose caller acknowledges nothing for this long is closed.
USER_TIMEOUT_MS = 5000
# The same if its caller reads too little for more to be written.
STALL_TIMEOUT_MS = 5000

CLOCK = Clock()


class CallerChannel(Channel):
    """Receives from a caller, sends responses, and is charged for both.

    Subclasses serve the requests in :meth:`serve`, which runs in a task of
    its own and is cancelled when the caller closes the connection.

    :param server: the :class:`Server` that accepted it.
    """

    def __init__(self, server):
        super().__init__(READ_BUFFER_BYTES)
        self.server = server
        self.task = None
        self.caller_gone = False
        self.serving = False
        self.head_sent = False
        self.state = None
        self.unparsed = bytearray()
        self.head_reader = heads.HeadReader()
        self.head_bytes = 0
        self.body = None
        self.phase = Phase.WAITING

    # asyncio.BufferedProtocol

    def connection_made(self, transport):
        super().connection_made(transport)
        if not self.server.accepts():
            # Nothing was read, so that the caller may send its request again.
            self.caller_gone = True
            transport.abort()
            return
        self.server.connections.add(self)
        self.close_all(self.intake.add(self, CLOCK.now()))
        if transport.is_closing():
            return
        sockets.detect_dead_peer(
            transport.get_extra_info('socket'), USER_TIMEOUT_MS
        )
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data):
        super().data_received(data)
        if self._paused:
            self.charge()

    def eof_received(self):
        self._cancel_task()
        return False

    def connection_lost(self, exc):
        self.server.connections.discard(self)
        self.intake.remove(self)
        self._writable.set()
        self._cancel_task()

    def pause_writing(self):
        super().pause_writing()
        self.intake.enter(self, Phase.STALLED, CLOCK.now())
        self.charge()

    def resume_writing(self):
        super().resume_writing()
        self.enter(self.phase)
        self.charge()

    def _cancel_task(self):
        if not self.caller_gone:
            self.caller_gone = True
            if self.task is not None:
                self.task.cancel()

    # what the connection does and occupies

    @property
    def intake(self):
        """The :class:`Intake` of the process."""
        return self.server.shared.intake

    async def serve(self):
        """Serve the requests on the connection."""
        raise NotImplementedError

    def enter(self, phase):
        """Record that the connection enters a :class:`Phase`."""
        self.phase = phase
        if self._writable.is_set():
            self.intake.enter(self, phase, CLOCK.now())

    def charge(self):
        """Record what is buffered; close connections if that is too much."""
        used_bytes = self._received_bytes + len(self.unparsed)
        if self.body is not None and self.phase is not Phase.ADMITTED:
            used_bytes += len(self.body.content)
        if self._paused:
            used_bytes += SOCKET_BUFFER_BYTES
        if not self._writable.is_set():
            used_bytes += STALLED_BYTES
        self.close_all(self.intake.charge(self, used_bytes))

    def close_all(self, connections):
        """Close the connections that the intake has chosen."""
        for connection in connections:
            connection.abort()
        if connections:
            self.server.shared.log_closed()

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

    async def wait_until_writable(self):
        """Wait while the caller does not read.

        The connection is closed if that takes too long: the endpoint and the
        memory of a call that cannot go on are needed for others.
        """
        if self._writable.is_set():
            return
        try:
            async with asyncio.timeout(to_seconds(STALL_TIMEOUT_MS)):
                await super().wait_until_writable()
        except TimeoutError:
            logger.info('caller does not read its answer')
            self.server.stalled += 1
            self.abort()
            # connection_lost cancels this task.
            await asyncio.Event().wait()

    def finish(self):
        """End a response whose body was sent completely."""
        self.transport.write(self.state.send(h11.EndOfMessage()))

    async def reply(self, status, headers, body=b''):
        """Send a complete response."""
        self.start(status, headers, len(body))
        if body:
            await self.write(body)
        self.finish()
        await self.wait_until_writable()

    def abort(self):
        """Close at once; the caller sees a started response as incomplete."""
        self.transport.abort()

    def end(self):
        """Close the connection once everything was written."""
        if self.transport.is_closing():
            return
        self.transport.close()
        if self.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(
                to_seconds(STALL_TIMEOUT_MS), self.transport.abort
            )
