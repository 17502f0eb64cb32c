"""How many calls a host may start at endpoints that are brittle.

Load pattern: a burst at endpoints that let few calls wait, and that crash if
they refuse too many in a second.  A refusal is seen by one host only, and the
others' loads are known some tenths of a second late, so that all hosts would
use the same free slots.  Each host therefore starts no more than its share of
the free slots until the others' loads are known anew, or until the calls must
have ended, if they are shorter.  What cannot be started is refused at once.
"""

import dataclasses

# An endpoint is considered brittle for this long after its last answer that
# said so.
VALID_MS = 10_000
# Time within which hosts learn of each other's calls.
REPORT_AGE_MS = 250
HUB_REPORT_AGE_MS = 500
# A refusal multiplies the rate of calls by this factor, down to the second
# factor of the refusals that the endpoint survives in a second.
DECREASE_FACTOR = 0.5
MIN_RATE_FACTOR = 0.25


@dataclasses.dataclass(frozen=True)
class Brittleness:
    """What an answer of a brittle endpoint says.

    :param max_refusals_per_s: refusals for want of room in a second beyond
        which the endpoint crashes.
    """

    max_refusals_per_s: float

    def compute_limit(self, limit_per_s, served_per_s):
        """Return the limit on the calls of all hosts after a refusal.

        A limit that is in force is never raised.

        :param limit_per_s: the limit in force, or ``None``.
        :param served_per_s: calls per second that the endpoint can serve.
        :returns: calls per second.
        """
        before = served_per_s if limit_per_s is None else limit_per_s
        lowest = self.max_refusals_per_s * MIN_RATE_FACTOR
        limit = max(lowest, before * DECREASE_FACTOR)
        return limit if limit_per_s is None else min(limit, limit_per_s)


class StartAllowance:
    """The calls that one host may start at a brittle endpoint.

    :param now_ms: monotonic time.
    """

    def __init__(self, now_ms):
        self.calls = 1.0
        self.updated_ms = now_ms

    def refill(self, free_slots, hosts, turnover_ms, now_ms):
        """Add the calls that have accrued.

        :param free_slots: slots that are free as far as is known.
        :param hosts: the number of hosts that use them.
        :param turnover_ms: time after which the slots are free again, or
            known to be taken.
        """
        share = max(0.0, free_slots / hosts)
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        accrued = share * elapsed_ms / turnover_ms
        self.calls = min(max(1.0, share), self.calls + accrued)

    def has_call(self):
        """Return whether a call may be started now."""
        return self.calls >= 1.0

    def take(self):
        """Take the call that is being started."""
        self.calls -= 1.0
