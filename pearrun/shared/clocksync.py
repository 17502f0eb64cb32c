"""Wall-clock time, corrected by the clocks of the other hosts.

The wall clock may jump by seconds on some hosts.  Each host compares
its clock with those of its peers and takes the median as correct.
"""

import statistics

# Smaller deviations from the median are not corrected: message delay accounts
# for a few ms, and the clocks of healthy hosts agree this closely.
TOLERATED_MS = 150


class CorrectedClock:
    """A wall clock corrected to the median of all hosts.

    :param clock: the host's own :class:`Clock`.
    """

    def __init__(self, clock):
        self.clock = clock
        self._offsets = {}

    def put_report(self, host, wall_ms):
        """Record another host's wall-clock time from a message just received.

        :param wall_ms: milliseconds since the Unix epoch.
        """
        self._offsets[host] = wall_ms - self.clock.now()

    def remove(self, host):
        """Drop the offset of a host that has left."""
        self._offsets.pop(host, None)

    def wall(self):
        """Return the corrected wall-clock time.

        :returns: milliseconds since the Unix epoch.
        """
        now = self.clock.now()
        own_offset = self.clock.wall() - now
        median = statistics.median_low([own_offset, *self._offsets.values()])
        if abs(median - own_offset) <= TOLERATED_MS:
            return now + own_offset
        return now + median
