"""When to check a long poll with a read that returns at once.

Load pattern: hosts follow topics that rarely change with long polls.  A poll
whose response was lost looks like one that has nothing to return yet, and one
moment of silence can lose the polls of all hosts.  A topic is therefore known
to be unchanged only up to the time at which the last read that has returned
was sent.

Hosts tell each other that time.  One host of each failure domain checks when
it is too long ago, and the others only if that host does not: together they
make about one check per interval, however many they are.
"""

import random

# Shortest and longest interval of the checks of the host that reads for its
# failure domain, as fractions of the time within which a change must be in
# force.  The remainder is for a slow read, the reports that name the change to
# the other hosts through two hubs, and the reads of those hosts.  Intervals
# are random, so that hosts which know of the same read do not all check next.
READER_FRACTIONS = (0.3, 0.4)
# The same for all other hosts: longer by more than a round of reports.
OTHER_FRACTIONS = (0.6, 0.65)
# Minimum time between a check and the next one that a peer's report causes.
MIN_GAP_MS = 200


class CheckTimer:
    """Decides when the next check of a topic is due.

    :param bound_ms: milliseconds within which a change must be in force.
    :param draw: returns a random number from 0 to 1.
    """

    def __init__(self, bound_ms, draw=random.random):
        self.bound_ms = bound_ms
        self._draw = draw
        self._drawn = draw()
        self._sent_ms = None

    def note_sent(self, now):
        """Record that a check is sent."""
        self._sent_ms = now
        self._drawn = self._draw()

    def allows_extra(self, now):
        """Return whether a peer's report may cause a check now."""
        return self._sent_ms is None or now - self._sent_ms >= MIN_GAP_MS

    def get_left_ms(self, now, known_ms, is_reader):
        """Return the time until the next check is due, in milliseconds.

        :param known_ms: when the last read that has returned was sent, by
            this host or by another one.
        :param is_reader: whether this host reads for its failure domain.
        """
        shortest, longest = READER_FRACTIONS if is_reader else OTHER_FRACTIONS
        fraction = shortest + (longest - shortest) * self._drawn
        return max(0, known_ms + self.bound_ms * fraction - now)
