"""Endpoints that are leaving according to their own answers.

An endpoint that leaves announces it in every answer, also while the list of
endpoints cannot be read.  Hosts report it to each other, since a call that one
of them still sends there may be lost when the endpoint ends.
"""

from loguru import logger

# Notices sent in one message: more than endpoints leave at a time.
MAX_SENT = 256


class Departures:
    """The endpoints that have announced that they leave.

    :param fleet: the :class:`Fleet`, which keeps their state.

    ``handle_leaving`` is called with the id of each such endpoint, and
    ``notify_peers`` to report it to the other hosts immediately.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.handle_leaving = lambda endpoint_id: None
        self.notify_peers = lambda: None
        self._pending = []

    def note_leaving(self, endpoint_id):
        """Record that an answer announced that its endpoint leaves."""
        if self._apply(endpoint_id, 'answer'):
            self._report(endpoint_id)

    def merge(self, endpoint_ids, peer, forward):
        """Apply what another host has reported.

        :param endpoint_ids: ids of the endpoints.
        :param peer: name of the host that sent them.
        :param forward: whether to send what is new to other hosts.
        """
        for endpoint_id in endpoint_ids:
            if self._apply(endpoint_id, peer) and forward:
                self._report(endpoint_id)

    def collect_updates(self):
        """Return the ids of the endpoints to report now."""
        due = self._pending[:MAX_SENT]
        del self._pending[:MAX_SENT]
        return due

    def make_snapshot(self):
        """Return the ids of the listed endpoints that are leaving."""
        return [
            endpoint_id
            for endpoint_id in self.fleet.leaving
            if endpoint_id in self.fleet.endpoints
        ][:MAX_SENT]

    def _apply(self, endpoint_id, source):
        """Mark an endpoint as leaving.

        :param source: the host that reported it, or ``answer``.
        :returns: whether it was not marked before.
        """
        if not self.fleet.mark_leaving(endpoint_id):
            return False
        self.handle_leaving(endpoint_id)
        logger.bind(endpoint=endpoint_id, source=source).info(
            'endpoint leaving'
        )
        return True

    def _report(self, endpoint_id):
        self._pending.append(endpoint_id)
        self.notify_peers()
