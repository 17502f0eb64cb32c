"""When calls to an endpoint resume after it has requested rest.

Load pattern: an overloaded endpoint refuses calls and names a time for which
it wants none from the host that it refuses.  Refusing takes it no time, so
that it seems to be the least loaded one and would get most of the next calls.
It refuses many hosts within moments, so that their rests end together, and the
calls of all would overload it again.  After a rest each host therefore starts
no more calls than its share of the endpoint's slots, until one of them shows
that the endpoint accepts calls.
"""

# Longer rests are cut to this length; few calls then show whether the endpoint
# still refuses.
MAX_REST_MS = 3_600_000


def compute_share(slots, hosts):
    """Return how many calls a host may start after a rest, until one is taken.

    :param slots: the endpoint's slots.
    :param hosts: number of hosts that may call it.
    """
    return max(1, slots // max(1, hosts))


class Rest:
    """The rest of one endpoint, as kept by one host.

    ``pending`` is the number of calls that were started since it was
    requested and have not ended.
    """

    def __init__(self):
        self.until_ms = 0
        self.pending = 0

    def extend(self, now_ms, rest_ms):
        """Let the rest last at least for a time from now."""
        length_ms = min(rest_ms, MAX_REST_MS)
        self.until_ms = max(self.until_ms, now_ms + length_ms)

    def holds(self, now_ms):
        """Return whether no call may be sent."""
        return now_ms < self.until_ms

    def allows_call(self, now_ms, share):
        """Return whether a call may be started now.

        :param share: how many calls may be pending after the rest.
        """
        return not self.holds(now_ms) and self.pending < share

    def is_ended_by(self, sent_ms):
        """Return whether an accepted call shows that the rest is over.

        :param sent_ms: when it was sent.
        """
        return sent_ms >= self.until_ms
