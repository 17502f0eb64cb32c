"""When calls to an endpoint resume after it has asked for rest.

Load pattern: an overloaded endpoint refuses calls and names a time for which
it wants none from the host that it refuses.  Refusing takes it no time, so
that it seems to be the least loaded one and would get most of the next calls.
It refuses the calls of many hosts within moments, so that their rests end
together.  Each rest therefore lasts longer by a random part, and a single call
then shows whether the endpoint accepts calls again.
"""

import random

# A rest is extended by up to this fraction of it, so that hosts return one
# after the other.
SPREAD = 0.25
# Longer rests are cut to this length: the endpoint may have named one that it
# does not need, and is asked by a single call.
MAX_REST_MS = 3_600_000


def draw_length_ms(rest_ms, rng=random):
    """Return for how long a host sends no calls.

    :param rest_ms: the time that the endpoint has named.
    """
    rest_ms = min(rest_ms, MAX_REST_MS)
    return round(rest_ms * (1.0 + rng.uniform(0.0, SPREAD)))


class Rest:
    """The rest of one endpoint, as kept by one host.

    After its end one call is allowed at a time, until the endpoint has
    accepted one that was sent since.
    """

    def __init__(self):
        self.until_ms = 0
        self.pending = 0

    def extend(self, until_ms):
        """Let the rest last at least until a time."""
        self.until_ms = max(self.until_ms, until_ms)

    def holds(self, now_ms):
        """Return whether no call may be sent."""
        return now_ms < self.until_ms

    def allows_call(self, now_ms):
        """Return whether a call may be started now."""
        return not self.holds(now_ms) and not self.pending

    def is_ended_by(self, sent_ms):
        """Return whether an accepted call shows that the rest is over.

        :param sent_ms: when it was sent.
        """
        return sent_ms >= self.until_ms
