"""Rate limit of journal appends, shared between the daemons.

The log service takes several hundred appends per second from all
daemons together, and a fixed fraction of this rate is for journals.
Each daemon limits itself to an equal part of it: the more daemons are
alive, the longer the interval between a daemon's journal appends, and
the more entries each append holds.
"""

from pearrun.clock import Clock

JOURNAL_RATE_FRACTION = 0.5
BURST_APPENDS = 8


class TokenBucket:
    """A token bucket for one daemon's journal appends.

    :param appends_per_s: the append rate of the log service.
    :param count_daemons: returns the number of live daemons.
    """

    def __init__(self, appends_per_s, count_daemons):
        self.appends_per_s = appends_per_s
        self.count_daemons = count_daemons
        self.clock = Clock()
        self.tokens = BURST_APPENDS
        self.refilled_ms = self.clock.now()

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
        refill = (now - self.refilled_ms) / self.interval_ms
        self.tokens = min(BURST_APPENDS, self.tokens + refill)
        self.refilled_ms = now
        self.tokens -= 1
        return max(0.0, -self.tokens * self.interval_ms)
