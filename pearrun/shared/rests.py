"""Endpoints that have requested rest from this host."""

import collections

from loguru import logger

from pearrun.decisions import rest

# Rests that are kept: more than endpoints are overloaded at a time.  They
# outlast the endpoint's entry, which may expire and return.
MAX_KNOWN = 4096
# Expected wait while a call shows whether a rested endpoint accepts calls.
TRIAL_WAIT_MS = 200


class Rests:
    """The rests of all endpoints, by the id of their process."""

    def __init__(self, clock):
        self.clock = clock
        self._known = collections.OrderedDict()

    def note_rest(self, endpoint_id, rest_ms):
        """Record that an endpoint wants no calls from this host for a time."""
        if rest_ms <= 0:
            return
        now = self.clock.now()
        known = self._known.get(endpoint_id)
        if known is None:
            known = self._add(endpoint_id)
        was_resting = known.holds(now)
        known.extend(now, rest_ms)
        if not was_resting:
            logger.bind(endpoint=endpoint_id, rest_ms=rest_ms).info(
                'endpoint rests'
            )

    def note_accepted(self, endpoint_id, sent_ms):
        """Record that an endpoint has accepted a call.

        :param sent_ms: when the call was sent.
        """
        known = self._known.get(endpoint_id)
        if known is not None and known.is_ended_by(sent_ms):
            del self._known[endpoint_id]
            logger.bind(endpoint=endpoint_id).info('endpoint rested')

    def is_resting(self, endpoint_id):
        """Return whether an endpoint must get no call now."""
        known = self._known.get(endpoint_id)
        return known is not None and known.holds(self.clock.now())

    def allows_call(self, endpoint_id, share):
        """Return whether a call to an endpoint may be started now.

        :param share: how many calls may be pending after its rest.
        """
        known = self._known.get(endpoint_id)
        return known is None or known.allows_call(self.clock.now(), share)

    def begin_call(self, endpoint_id):
        """Count a call that is about to be sent to an endpoint."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.pending += 1

    def end_call(self, endpoint_id):
        """Record the end of a call that :meth:`begin_call` has counted."""
        known = self._known.get(endpoint_id)
        if known is not None:
            known.pending = max(0, known.pending - 1)

    def get_wait_ms(self, endpoint_id, share):
        """Return after how long an endpoint may get a call.

        :param share: how many calls may be pending after its rest.
        :returns: milliseconds; 0 if it may get one now.
        """
        if self.allows_call(endpoint_id, share):
            return 0
        left_ms = self._known[endpoint_id].until_ms - self.clock.now()
        return max(TRIAL_WAIT_MS, left_ms)

    def has_any(self):
        """Return whether any endpoint rests, or has not been called since."""
        return bool(self._known)

    def count(self):
        """Return the number of endpoints that rest now."""
        now = self.clock.now()
        return sum(known.holds(now) for known in self._known.values())

    def _add(self, endpoint_id):
        known = self._known[endpoint_id] = rest.Rest()
        while len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        return known
