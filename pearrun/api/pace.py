"""Sharing the log service's append rate between the daemons.

The log takes several hundred appends a second from everybody
together.  Each daemon keeps to its part of the journals' share: the
more daemons are alive, the longer the pause between a daemon's
journal appends, and the more entries go out in each.
"""

from pearrun.clock import Clock

JOURNAL_SHARE = 0.5
BURST = 8


class Pace:
    """A token bucket for one daemon's journal appends.

    :param appends_per_s: what the log service takes a second.
    :param count_writers: returns how many daemons are alive.
    """

    def __init__(self, appends_per_s, count_writers):
        self.appends_per_s = appends_per_s
        self.count_writers = count_writers
        self.clock = Clock()
        self.tokens = BURST
        self.filled_ms = self.clock.now()

    @property
    def gap_ms(self):
        """The mean pause between this daemon's appends."""
        writers = max(1, self.count_writers())
        return 1000 * writers / (self.appends_per_s * JOURNAL_SHARE)

    def take(self):
        """Take an append from the bucket.

        :returns: milliseconds to wait before making it.
        """
        now = self.clock.now()
        refill = (now - self.filled_ms) / self.gap_ms
        self.tokens = min(BURST, self.tokens + refill)
        self.filled_ms = now
        self.tokens -= 1
        return max(0.0, -self.tokens * self.gap_ms)
