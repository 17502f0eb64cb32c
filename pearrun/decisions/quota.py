"""A customer's quota, divided between hosts.

Load pattern: one customer sends several times its limit, through hosts
that see unequal parts of it.  Every host fills a bucket of its own at
its part of the rate; parts follow the demand each host reports, so the
sum of all parts stays one while hosts see the same reports.
"""

import dataclasses

# Part of the rate and burst that is handed out; the rest covers reports
# that are up to a second old.
USED_SHARE = 1.0
# Part of a quota divided equally whatever the demand, so that a host
# whose callers just arrived can serve them before its report is out.
EQUAL_SHARE = 0.3


@dataclasses.dataclass
class Bucket:
    """Units a host may still use for one customer."""

    level: float
    updated_ms: int
    demand: float = 0.0

    def refill(self, rate_per_s, burst, now_ms):
        """Add what has accrued since the last call."""
        elapsed_s = max(0, now_ms - self.updated_ms) / 1000.0
        self.level = min(burst, self.level + rate_per_s * elapsed_s)
        self.updated_ms = now_ms

    def take(self, units):
        """Use units if the bucket holds any.

        A call larger than the whole bucket passes on a full one and
        leaves a debt, so that it is not refused for ever.
        """
        if self.level <= 0:
            return False
        self.level -= units
        return True


def share_of(own_demand, other_demands):
    """Return a host's part of a customer's quota, from 0 to 1.

    :param own_demand: units its callers asked for lately.
    :param other_demands: the same of each other host.
    """
    hosts = 1 + len(other_demands)
    total = own_demand + sum(other_demands)
    equal = 1.0 / hosts
    if total <= 0:
        return equal
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * own_demand / total
