"""Hosts that lose their network paths to endpoints, and the check of it.

A host's connections are recognized by the context in which its daemon was
started, so that all hosts can run in one process and share the endpoints.
"""

import asyncio
import enum

from tests import limits
from tests.platformsite import HOST_NAME

# Sent bytes that are not acknowledged for this long end a connection.
USER_TIMEOUT_S = 0.45
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
        self._open = []
        self._connect = self.loop.create_connection
        self.loop.create_connection = self._create_connection

    def begin(self, daemons, runners, form):
        """Break the paths from some hosts to some endpoints."""
        for daemon in daemons:
            for runner in runners:
                path = (daemon.settings.name, runner.address)
                self._broken[path] = form
        for path, transport, protocol in self._open:
            if self._broken.get(path) is form:
                break_connection(transport, protocol, form)

    def end(self):
        """Repair all paths."""
        self._broken.clear()

    async def _create_connection(self, factory, host=None, port=None, **more):
        path = (HOST_NAME.get(), f'{host}:{port}')
        if path[0] is not None:
            self.connects.append(path)
        match self._broken.get(path):
            case Form.SILENT:
                await self.loop.create_future()
            case Form.RESET | Form.REFUSED:
                raise ConnectionRefusedError(111, 'refused')
        opened = await self._connect(factory, host, port, **more)
        self._open.append((path, *opened))
        return opened


def break_connection(transport, protocol, form):
    """Apply the form of a broken path to an open connection."""
    match form:
        case Form.RESET:
            transport.abort()
        case Form.SILENT if not transport.is_closing():
            transport.pause_reading()
            transport.write = lambda data: (
                asyncio.get_running_loop().call_later(
                    USER_TIMEOUT_S, time_out, transport, protocol
                )
            )


def time_out(transport, protocol):
    """End a connection as the kernel does if nothing is acknowledged."""
    transport.set_protocol(asyncio.Protocol())
    transport.abort()
    protocol.connection_lost(TimeoutError(110, 'Connection timed out'))


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
