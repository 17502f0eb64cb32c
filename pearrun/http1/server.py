"""Server side of HTTP/1.1: listening sockets and what they share."""

import asyncio

from loguru import logger

from pearrun.clock import Clock
from pearrun.decisions.intake import Intake
from pearrun.decisions.intake import Phase
from pearrun.http1 import sockets
from pearrun.http1.callerchannel import SOCKET_BUFFER_BYTES
from pearrun.http1.connection import ServerConnection
from pearrun.http1.limits import ServerLimits
from pearrun.http1.screening import BodyWanted
from pearrun.http1.turns import Turns

# A stalled connection may be closed for a call that needs an endpoint's
# connection once it has stalled for this long.
STALL_GRACE_MS = 500
# Least interval between log lines about connections closed for others.
CLOSED_LOG_INTERVAL_MS = 1000
# Connections that may wait to be accepted, with what they have sent.
BACKLOG = 2048

CLOCK = Clock()


class ServerShare:
    """What all servers of a process share.

    :param settings: the :class:`IntakeSettings`; ``None`` for no limits.
    """

    def __init__(self, settings=None):
        self.intake = Intake(settings)
        self.turns = Turns()
        self._logged_ms = -CLOSED_LOG_INTERVAL_MS

    def log_closed(self):
        """Log that connections were closed for others, not too often."""
        if CLOCK.since(self._logged_ms) < CLOSED_LOG_INTERVAL_MS:
            return
        self._logged_ms = CLOCK.now()
        intake = self.intake
        logger.bind(
            closed={phase.value: n for phase, n in intake.closed.items()},
            connections=len(intake.shares),
            occupied_bytes=intake.bytes,
            large_bytes=intake.large_bytes,
        ).info('connections closed for others')

    def close_stalled(self):
        """Close the connection whose caller has not read for longest.

        The call on it keeps an endpoint's connection that others need.
        """
        connection = self.intake.find_stalled(CLOCK.now() - STALL_GRACE_MS)
        if connection is not None:
            logger.info('stalled connection closed for another call')
            self.intake.closed[Phase.STALLED] += 1
            connection.abort()


class Server:
    """Listens on one address and serves its connections.

    :param handle: called with a :class:`Request` and the
        :class:`ServerConnection` to respond on.
    :param limits: returns the current :class:`ServerLimits`.
    :param accepts: returns whether to serve a new connection; otherwise it is
        closed at once.
    :param screen: called with a :class:`Request` whose body was not received
        completely; returns a :class:`Refusal`, a :class:`BodyWanted` or a
        :class:`BodyUnwanted`.
    :param shared: the :class:`ServerShare` of the process.
    """

    def __init__(
        self,
        handle,
        limits=ServerLimits,
        accepts=lambda: True,
        screen=lambda request: BodyWanted(),
        shared=None,
    ):
        self.handle = handle
        self.limits = limits
        self.accepts = accepts
        self.screen = screen
        self.shared = shared or ServerShare()
        self.connections = set()
        self.stalled = 0
        self.closing = False
        self.listener = None

    async def listen(self, address):
        """Start accepting connections.

        :param address: ``IP:PORT``.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self),
            sock=sockets.bind(host, int(port), SOCKET_BUFFER_BYTES),
            backlog=BACKLOG,
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
