"""Connection pools, one per endpoint."""

import functools

from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings

# The round trip to an endpoint takes less than 1 ms, or 1 to 3 ms across
# zones.  A lost SYN is retransmitted only after 1 s; trying another endpoint
# is faster.
CONNECT_TIMEOUT_MS = 200
# A request whose bytes stay unacknowledged for this long is considered not
# delivered.  TCP retransmits lost segments after 200 ms and then 400 ms, so
# two losses in a row are treated as a broken path.  With this value, calls
# that may be retried reach another endpoint within their latency target when
# a path breaks; 1,200 ms reduced the credit served over four days by 1.0%.
TCP_USER_TIMEOUT_MS = 450
# Limits of single connections, which belong to no pool.
PROBE_SETTINGS = PoolSettings(1, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS)
# Fraction of an endpoint's connection limit that all hosts together may use;
# the rest is reserved for new hosts and for connections being closed.
USED_SHARE = 0.8
# Connections that a host may open however many hosts there are.
MIN_CONNECTIONS = 2


class EndpointPools:
    """The pools by endpoint id.

    :param count_hosts: returns the number of hosts that share the endpoints.
    :param connect: opens a connection to an endpoint, given its record, the
        :class:`PoolSettings` and the id of a call.
    """

    def __init__(self, count_hosts, connect):
        self.count_hosts = count_hosts
        self.connect = connect
        self._pools = {}

    def get(self, record, service):
        """Return the pool of an endpoint, creating it if necessary.

        Its limit follows the number of hosts and the configuration.

        :param record: an :class:`EndpointRecord`.
        :param service: its :class:`Service`.
        """
        settings = self._make_settings(service)
        pool = self._pools.get(record.id)
        if pool is None:
            connect = functools.partial(self.connect, record)
            pool = Pool(record.address, settings, connect)
            self._pools[record.id] = pool
        pool.settings = settings
        return pool

    def _make_settings(self, service):
        shared = service.max_connections * USED_SHARE
        limit = max(MIN_CONNECTIONS, int(shared / max(1, self.count_hosts())))
        return PoolSettings(limit, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS)

    def close_idle(self, endpoint_id):
        """Close the idle connections to an endpoint but keep its pool."""
        pool = self._pools.get(endpoint_id)
        if pool is not None:
            pool.close()

    def remove(self, endpoint_id):
        """Remove the pool of an endpoint that has left."""
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            pool.close()
