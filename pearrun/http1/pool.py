"""Pool of keep-alive connections to one address."""

import dataclasses

from pearrun import exceptions
from pearrun.http1 import client


@dataclasses.dataclass(frozen=True)
class PoolSettings:
    """Limits of the connections to one address.

    :param max_connections: maximum number of open connections.
    :param connect_timeout_ms: milliseconds allowed for a new connection.
    :param user_timeout_ms: how long sent bytes may stay unacknowledged.
    """

    max_connections: int
    connect_timeout_ms: int
    user_timeout_ms: int


class Pool:
    """Keep-alive connections to one address; reuses the latest idle one.

    :param address: ``IP:PORT``.
    :param settings: the :class:`PoolSettings`.
    :param connect: opens a connection, given the settings and the id of the
        call that needs it; by default, one to the address.
    """

    def __init__(self, address, settings, connect=None):
        self.address = address
        self.settings = settings
        self.connect = connect or self._connect_directly
        self.idle = []
        self.open_connections = 0
        self.in_flight = set()

    async def acquire(self, request_id=None):
        """Return an idle connection or a new one.

        :param request_id: id of the call that needs it.
        :returns: a :class:`ClientConnection`.
        :raises EndpointUnreachableError: no connection could be opened.
        :raises OverloadedError: all connections are in use.
        """
        connection = self._pop_idle()
        if connection is not None:
            return connection
        if self.open_connections >= self.settings.max_connections:
            raise exceptions.OverloadedError(
                f'{self.address}: {self.open_connections} connections in use'
            )
        self.open_connections += 1
        try:
            return await self.connect(self.settings, request_id)
        except BaseException:
            self.open_connections -= 1
            raise

    async def fetch(
        self, method, target, headers, body, limit, check=lambda: None
    ):
        """Send a request on a connection of the pool.

        :param limit: maximum number of bytes of the body.
        :param check: called once connected, before sending; it raises if
            the request must no longer be sent.
        :returns: the complete :class:`Response`.
        :raises EndpointUnreachableError: no connection could be opened.
        :raises OverloadedError: all connections are in use.
        :raises ConnectionBrokenError: the response is incomplete or its
            body exceeds the limit.
        """
        connection = await self.acquire()
        self.in_flight.add(connection)
        try:
            check()
            response = await connection.fetch(
                method, target, headers, body, limit
            )
        except BaseException:
            self.discard(connection)
            raise
        finally:
            self.in_flight.discard(connection)
        self.release(connection, response.head)
        return response

    def release(self, connection, head):
        """Return a connection to the pool after a complete response.

        It is closed if it cannot be reused.
        """
        if connection.finish(head):
            self.idle.append(connection)
        else:
            self.open_connections -= 1

    def put_back(self, connection):
        """Return a connection on which nothing was sent."""
        if connection.keep_idle():
            self.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection):
        """Close a connection that must not be reused."""
        connection.abort()
        self.open_connections -= 1

    def close(self):
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.pop())

    async def _connect_directly(self, settings, request_id):
        del request_id
        return await client.connect(
            self.address, settings.connect_timeout_ms, settings.user_timeout_ms
        )

    def _pop_idle(self):
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable():
                return connection
            self.discard(connection)
        return None
