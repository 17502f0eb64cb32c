"""Connection pools to endpoints, one for each endpoint."""

from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings

# Endpoints are a fraction of a ms away, 1 to 3 ms across zones; a lost
# opening packet is sent again after 1 s, and by then another endpoint
# has been asked.
CONNECT_MS = 200
# A request whose bytes stay unacknowledged this long has not arrived.  Bytes
# that a lossy path drops are sent again after 200 ms and then 400 ms, so two
# losses in a row are taken for a cut.  At the begin of a cut calls that may
# be repeated reach another endpoint within their latency target: with
# 1,200 ms 1.0% fewer of four days' credit were served.
SILENCE_MS = 450
# Part of an endpoint's connections that all hosts together may use; the
# rest is for hosts that come and for connections being closed.
USED_SHARE = 0.8


class EndpointPools:
    """Pools by endpoint id.

    :param count_hosts: returns how many hosts share the endpoints.
    """

    def __init__(self, count_hosts):
        self.count_hosts = count_hosts
        self._pools = {}

    def get(self, record, service):
        """Return the pool of an endpoint.

        :param record: an :class:`EndpointRecord`.
        :param service: its :class:`Service`.
        """
        pool = self._pools.get(record.id)
        if pool is None:
            shared = service.max_connections * USED_SHARE
            limit = max(2, int(shared / max(1, self.count_hosts())))
            settings = PoolSettings(limit, CONNECT_MS, SILENCE_MS)
            pool = self._pools[record.id] = Pool(record.address, settings)
        return pool

    def close_idle(self, endpoint_id):
        """Close the idle connections to an endpoint that is still used."""
        pool = self._pools.get(endpoint_id)
        if pool is not None:
            pool.close()

    def remove(self, endpoint_id):
        """Close the idle connections to an endpoint that has left."""
        pool = self._pools.pop(endpoint_id, None)
        if pool is not None:
            pool.close()
