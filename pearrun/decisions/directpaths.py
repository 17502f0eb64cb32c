"""Whether a host's own network paths to the endpoints of a service work.

Load pattern: a host loses its paths to all endpoints of a service while
callers, the store and the other hosts still reach it.  Its calls meet one
endpoint after the other, and every endpoint looks down from there.  A few
endpoints may really be down, so the paths count as lost only if several
endpoints and all others of a sample accept no connection.  Answers on open
connections say nothing about new ones, which alone may be refused.
"""

import random

# Endpoints that must be unreachable, without a new connection to any other in
# between, before others are probed.
MIN_UNREACHED = 2
# Endpoints to which a probe connects.
PROBED_ENDPOINTS = 3


class DirectPaths:
    """The paths from this host to the endpoints of one service.

    ``is_lost`` says whether no endpoint can be reached.
    """

    def __init__(self):
        self.is_lost = False
        self._unreached = set()

    def note_unreached(self, endpoint_id):
        """Record that an endpoint accepted no connection or fell silent."""
        self._unreached.add(endpoint_id)

    def note_lost(self, live_ids):
        """Record that no endpoint can be reached.

        :param live_ids: ids of the service's endpoints.
        """
        self.is_lost = True
        self._unreached.update(live_ids)

    def is_lost_to(self, endpoint_id):
        """Return whether an endpoint has to be reached in another way.

        One that was listed later may accept connections: if all endpoints
        were down, it is the first that is not.
        """
        return self.is_lost and endpoint_id in self._unreached

    def note_connected(self):
        """Record that an endpoint accepted a connection."""
        self._unreached.clear()
        self.is_lost = False

    def is_suspect(self, live_ids):
        """Return whether the paths, not the endpoints, may have failed.

        :param live_ids: ids of the service's endpoints.
        """
        if self.is_lost:
            return True
        failed = self._unreached.intersection(live_ids)
        return len(failed) >= max(1, min(MIN_UNREACHED, len(live_ids)))

    def choose_probes(self, live_ids):
        """Choose the endpoints to probe.

        While the paths are not lost, endpoints that are not known to be
        unreachable are preferred.

        :param live_ids: ids of the service's endpoints.
        :returns: a list of ids; empty if there is none.
        """
        candidates = list(live_ids)
        if not self.is_lost:
            others = [
                item for item in candidates if item not in self._unreached
            ]
            candidates = others or candidates
        return random.sample(
            candidates, min(PROBED_ENDPOINTS, len(candidates))
        )
