"""Hosts that lose their network paths to endpoints, and the check of it.

A host's connections are recognized by the context in which its daemon was
started, so that all hosts can run in one process and share the endpoints.
"""

import asyncio
import enum
import errno
import math
import socket

from tests import limits
from tests.platformsite import HOST_NAME

# Keep-alive probes are sent after this time, and at this interval.
PROBE_IDLE_S = 1
# Hosts have this long to find another path.
LEARNING_MS = 3000
# A host without paths has to serve at least this part of what the other hosts
# serve.
SERVED_SHARE = 2 / 3


class Form(enum.Enum):
    """What becomes of the connections on a broken path.

    ``REFUSED`` leaves open connections alone.
    """

    SILENT = 'silent'
    RESET = 'reset'
    REFUSED = 'refused'


class Partition:
    """Breaks paths between hosts and endpoints, within one event loop.

    ``connects`` holds pairs of a host and an address, for each connection to
    an endpoint that was opened or tried.
    """

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.connects = []
        self._broken = {}
        self._silent_until = {}
        self._open = []
        self._connect = self.loop.create_connection
        self.loop.create_connection = self._create_connection

    def begin(self, daemons, runners, form):
        """Break the paths from some hosts to some endpoints."""
        for daemon in daemons:
            for runner in runners:
                path = (daemon.settings.name, runner.address)
                self._broken[path] = form
        for connection in self._open:
            if self._broken.get(connection.path) is form:
                connection.break_off(form)

    def end(self):
        """Repair all paths."""
        self._broken.clear()

    def silence(self, runner, duration_s):
        """Let an endpoint fall silent for all hosts, and go on later."""
        until = self.loop.time() + duration_s
        self._silent_until[runner.address] = until
        for connection in self._open:
            if connection.path[1] == runner.address:
                connection.fall_silent()
                self.loop.call_at(until, connection.go_on)

    async def _create_connection(self, factory, host=None, port=None, **more):
        path = (HOST_NAME.get(), f'{host}:{port}')
        if path[0] is not None:
            self.connects.append(path)
        match self._broken.get(path):
            case Form.SILENT:
                await self.loop.create_future()
            case Form.RESET | Form.REFUSED:
                raise ConnectionRefusedError(111, 'refused')
        silent_s = self._silent_until.get(path[1], 0) - self.loop.time()
        if path[0] is not None and silent_s > 0:
            await asyncio.sleep(silent_s)
        opened = await self._connect(factory, host, port, **more)
        if path[0] is not None:
            self._open.append(OpenConnection(path, *opened))
        return opened


class OpenConnection:
    """A connection whose bytes may be held back, as by a silent peer.

    The kernel's timers are imitated: the user timeout of the socket ends a
    connection with unacknowledged bytes, or with unanswered probes.

    :param path: pair of a host and an address.
    """

    def __init__(self, path, transport, protocol):
        self.path = path
        self.transport = transport
        self.protocol = protocol
        self.loop = asyncio.get_running_loop()
        self.active_s = self.loop.time()
        self.silent = False
        self.held = []
        self._write = transport.write
        transport.write = self.write

    def write(self, data):
        """Send bytes, or hold them back."""
        self.active_s = self.loop.time()
        if not self.silent:
            self._write(data)
            return
        self.held.append(data)
        self.loop.call_later(self.get_user_timeout_s(), self.time_out)

    def get_user_timeout_s(self):
        """Return the user timeout of the socket in seconds."""
        sock = self.transport.get_extra_info('socket')
        option = socket.TCP_USER_TIMEOUT
        return sock.getsockopt(socket.IPPROTO_TCP, option) / 1000

    def break_off(self, form):
        """Apply the form of a broken path."""
        match form:
            case Form.RESET:
                self.transport.abort()
            case Form.SILENT:
                self.fall_silent()

    def fall_silent(self):
        """Let no bytes through in either direction."""
        if self.silent or self.transport.is_closing():
            return
        self.silent = True
        self.transport.pause_reading()
        # A probe is sent a second after the last byte, and later ones find
        # whether it was answered.
        idle_s = max(PROBE_IDLE_S, self.get_user_timeout_s() - PROBE_IDLE_S)
        probe_s = math.ceil(idle_s) + PROBE_IDLE_S
        self.loop.call_at(self.active_s + probe_s, self.time_out)

    def go_on(self):
        """Deliver what was held back."""
        if not self.silent or self.transport.is_closing():
            return
        self.silent = False
        self.transport.resume_reading()
        for data in self.held:
            self._write(data)

    def time_out(self):
        """End the connection as the kernel does if the peer is silent."""
        if not self.silent or self.transport.is_closing():
            return
        self.transport.set_protocol(asyncio.Protocol())
        self.transport.abort()
        self.protocol.connection_lost(
            TimeoutError(errno.ETIMEDOUT, 'Connection timed out')
        )


class CountedLoad(limits.Load):
    """Load that keeps the answers of each host apart.

    ``answers`` holds pairs of a host's name and its :class:`Response`.
    """

    async def _call(self, daemon, attempt):
        answer = await limits.call(daemon, self.path, attempt, **self.headers)
        self.answers.append((daemon.settings.name, answer))

    def count_served(self, daemons):
        """Return the part of the calls to some hosts that was served."""
        names = {daemon.settings.name for daemon in daemons}
        answers = [
            answer.status == 200 and answer.complete
            for name, answer in self.answers
            if name in names
        ]
        return sum(answers) / len(answers)
