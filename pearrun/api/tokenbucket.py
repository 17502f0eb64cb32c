"""Rate limit of journal appends, shared between the daemons.

The log service takes several hundred appends a second from all
daemons together.  A fixed part of this rate is for journals, and each
daemon limits itself to an equal part of that rate.  Therefore, the
more daemons are alive, the longer the pause between a daemon's
journal appends, and the more entries go out in each.
"""

from pearrun.clock import Clock

JOURNAL_RATE_FRACTION = 0.5
BURST_APPENDS = 8


class TokenBucket:
    """A token bucket for one daemon's journal appends.

    :param appends_per_s: what the log service takes a second.
    :param count_daemons: returns how many daemons are alive.
    """

    def __init__(self, appends_per_s, count_daemons):
        self.appends_per_s = appends_per_s
        self.count_daemons = count_daemons
        self.clock = Clock()
        self.tokens = BURST_APPENDS
        self.filled_ms = self.clock.now()

    @property
    def interval_ms(self):
        """Mean interval between this daemon's appends."""
        writers = max(1, self.count_daemons())
        return 1000 * writers / (self.appends_per_s * JOURNAL_RATE_FRACTION)

    def reserve(self):
        """Reserve one append.

        :returns: milliseconds to wait before the append.
        """
        now = self.clock.now()
        refill = (now - self.filled_ms) / self.interval_ms
        self.tokens = min(BURST_APPENDS, self.tokens + refill)
        self.filled_ms = now
        self.tokens -= 1
        return max(0.0, -self.tokens * self.interval_ms)
