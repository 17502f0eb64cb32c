"""Time of day, corrected by what the other hosts' clocks say.

The time of day may jump by seconds on some hosts.  Each host compares
its clock with its peers'; the median of all hosts is taken as true.
"""

import statistics

# Differences up to this are left alone: messages take some ms, and
# clocks of sound hosts are this close.
TOLERATED_MS = 150


class CorrectedClock:
    """A wall clock that follows the median of all hosts.

    :param clock: the host's own :class:`Clock`.
    """

    def __init__(self, clock):
        self.clock = clock
        self._offsets = {}

    def put_report(self, host, wall_ms):
        """Take another host's time of day, as it just arrived."""
        self._offsets[host] = wall_ms - self.clock.now()

    def remove(self, host):
        """Forget a host that has left."""
        self._offsets.pop(host, None)

    def wall(self):
        """Return the corrected time of day.

        :returns: milliseconds since the Unix epoch.
        """
        now = self.clock.now()
        own_offset = self.clock.wall() - now
        median = statistics.median_low([own_offset, *self._offsets.values()])
        if abs(median - own_offset) <= TOLERATED_MS:
            return now + own_offset
        return now + median
