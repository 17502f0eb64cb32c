"""Opens connections to endpoints, directly or through other hosts."""

from pearrun import exceptions
from pearrun.http1 import client


class EndpointConnector:
    """Opens the connections of all pools.

    :param reachability: the :class:`Reachability`.
    :param tunnels: the :class:`Tunnels`.
    """

    def __init__(self, reachability, tunnels):
        self.reachability = reachability
        self.tunnels = tunnels

    async def connect(self, record, settings, request_id):
        """Open a connection to an endpoint.

        :param record: its :class:`EndpointRecord`.
        :param settings: the :class:`PoolSettings`.
        :param request_id: id of the call that needs the connection.
        :returns: a :class:`ClientConnection`.
        :raises NoPathError: no path to the endpoint was found.
        :raises EndpointUnreachableError: the endpoint accepted no
            connection.
        """
        if self.reachability.is_lost_to(record):
            return await self.tunnels.connect(record, request_id)
        try:
            connection = await client.connect(
                record.address,
                settings.connect_timeout_ms,
                settings.user_timeout_ms,
            )
        except exceptions.EndpointUnreachableError:
            self.reachability.note_unreached(record)
            raise
        self.reachability.note_connected(record)
        return connection
