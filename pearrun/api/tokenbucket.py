"""Rate limit of journal appends, shared between the daemons.

The log service accepts several hundred appends a second from all
daemons together.  A fixed fraction of this rate is for journals, and
each daemon limits itself to an equal part of that fraction.  Therefore,
the more daemons are alive, the longer the pause between a daemon's
journal appends, and the more entries each append contains.
"""

from pearrun.clock import Clock

JOURNAL_RATE_FRACTION = 0.5
BURST_APPENDS = 8


class TokenBucket:
    """A token bucket for one daemon's journal appends.

    :param appends_per_s: append rate limit of the log service.
    :param count_daemons: a callable that returns the number of live
        daemons.
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
