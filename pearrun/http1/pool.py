"""Idle connections to one address, kept for reuse."""

import dataclasses

from pearrun import exceptions
from pearrun.http1 import client


@dataclasses.dataclass(frozen=True)
class PoolSettings:
    """Limits of the connections to one address.

    :param max_connections: connections open at once.
    :param connect_ms: milliseconds allowed for a new connection.
    :param silence_ms: how long sent bytes may stay unacknowledged.
    """

    max_connections: int
    connect_ms: int
    silence_ms: int


class Pool:
    """Connections to one address; the most recently used goes first."""

    def __init__(self, address, settings):
        self.address = address
        self.settings = settings
        self.idle = []
        self.open = 0
        self.fetching = set()

    async def take(self):
        """Return an idle connection or a new one.

        :returns: a :class:`ClientConnection`.
        :raises EndpointUnreachableError: none could be opened.
        :raises OverloadedError: the limit of connections is reached.
        """
        connection = self._take_idle()
        if connection is not None:
            return connection
        if self.open >= self.settings.max_connections:
            raise exceptions.OverloadedError(
                f'{self.address}: {self.open} connections in use'
            )
        self.open += 1
        try:
            connection = await client.connect(
                self.address,
                self.settings.connect_ms,
                self.settings.silence_ms,
            )
        except BaseException:
            self.open -= 1
            raise
        return connection

    async def fetch(
        self, method, target, headers, body, limit, check=lambda: None
    ):
        """Send a request on a connection of the pool.

        :param limit: most bytes of body read.
        :param check: called once a connection stands; it raises where the
            request must not be sent any more.
        :returns: the whole :class:`Response`.
        :raises EndpointUnreachableError: no connection stands.
        :raises ConnectionBrokenError: the response is not complete.
        """
        connection = await self.take()
        self.fetching.add(connection)
        try:
            check()
            response = await connection.fetch(
                method, target, headers, body, limit
            )
        except BaseException:
            self.discard(connection)
            raise
        finally:
            self.fetching.discard(connection)
        self.give_back(connection, response.head)
        return response

    def give_back(self, connection, head):
        """Keep a connection whose response was read whole, if it may."""
        if connection.finish(head):
            self.idle.append(connection)
        else:
            self.open -= 1

    def discard(self, connection):
        """Close a connection that must not be reused."""
        connection.abort()
        self.open -= 1

    def close(self):
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.pop())

    def _take_idle(self):
        while self.idle:
            connection = self.idle.pop()
            if connection.is_fresh():
                return connection
            self.discard(connection)
        return None
