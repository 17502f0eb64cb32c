"""Connection pools, one per endpoint."""

import functools

from pearrun.decisions import connectionshare
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


class EndpointPools:
    """The pools by endpoint id.

    :param count_hosts: returns the number of hosts that share the endpoints.
    :param connect: opens a connection to an endpoint, given its record, the
        :class:`PoolSettings` and the id of a call.
    :param count_others_calls: returns the number of calls that the other hosts
        have at an endpoint, given its id; ``None`` if that is unknown.
    """

    def __init__(
        self, count_hosts, connect, count_others_calls=lambda endpoint_id: None
    ):
        self.count_hosts = count_hosts
        self.connect = connect
        self.count_others_calls = count_others_calls
        self._pools = {}

    def get(self, record, service):
        """Return the pool of an endpoint, creating it if necessary.

        Its limit follows the number of hosts, the configuration and, once
        this host has used its equal share, the calls of the others.

        :param record: an :class:`EndpointRecord`.
        :param service: its :class:`Service`.
        """
        limit = service.max_connections
        hosts = self.count_hosts()
        share = connectionshare.compute_equal_share(limit, hosts)
        settings = make_settings(share)
        pool = self._pools.get(record.id)
        if pool is None:
            connect = functools.partial(self.connect, record)
            pool = Pool(record.address, settings, connect)
            self._pools[record.id] = pool
        if pool.open_connections >= share:
            others_calls = self.count_others_calls(record.id)
            share = connectionshare.compute_share(limit, hosts, others_calls)
            settings = make_settings(share)
        pool.settings = settings
        return pool

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


def make_settings(max_connections):
    """Return the :class:`PoolSettings` of an endpoint's pool."""
    return PoolSettings(
        max_connections, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS
    )
