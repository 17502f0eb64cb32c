"""Customers' quotas as this host enforces them."""

from pearrun.decisions import quota

# Time over which demand is averaged when quotas are divided.
DEMAND_MS = 1000
# Demand halves in this time without calls.
SMOOTHING = 0.5
# A report of a host that is not heard counts for this long; after it
# the platform's member list decides whether the host is still there.
REPORT_VALID_MS = 3000


class Quotas:
    """Admits calls within this host's share of each customer's quota.

    :param config: the :class:`ConfigHistory`.
    :param count_hosts: returns how many hosts share the quotas.
    """

    def __init__(self, clock, config, count_hosts):
        self.clock = clock
        self.config = config
        self.count_hosts = count_hosts
        self.buckets = {}
        self.asked = {}
        self.demands = {}
        self.peer_demands = {}
        self._averaged_ms = clock.now()

    def admit(self, call):
        """Say whether a call is within its customer's quota; count it."""
        if call.customer is None:
            return True
        customer = self.config.current.customers.get(call.customer.name)
        if customer is None or customer.rate_per_s <= 0:
            return True
        now = self.clock.now()
        name = customer.name
        self.asked[name] = self.asked.get(name, 0.0) + call.units
        share = self.share(name)
        rate = customer.rate_per_s * share * quota.USED_SHARE
        burst = customer.burst * share
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = quota.Bucket(burst, now)
        bucket.refill(rate, burst, now)
        return bucket.take(call.units)

    def share(self, name):
        """Return this host's part of a customer's quota."""
        others = [
            demands.get(name, 0.0) for demands in self.peer_demands.values()
        ]
        missing = self.count_hosts() - 1 - len(others)
        others.extend([0.0] * max(0, missing))
        return quota.share_of(self.demands.get(name, 0.0), others)

    def put_report(self, host, demands):
        """Take another host's demand, in units a second by customer."""
        self.peer_demands[host] = demands

    def remove(self, host):
        """Forget a host that has left."""
        self.peer_demands.pop(host, None)

    def average(self):
        """Average the demand of the time since the last call.

        :returns: units a second by customer.
        """
        now = self.clock.now()
        elapsed_s = max(1, now - self._averaged_ms) / 1000.0
        self._averaged_ms = now
        keep = SMOOTHING ** (elapsed_s * 1000.0 / DEMAND_MS)
        for name in {*self.demands, *self.asked}:
            asked = self.asked.get(name, 0.0) / elapsed_s
            old = self.demands.get(name, 0.0)
            self.demands[name] = old * keep + asked * (1 - keep)
        self.asked.clear()
        return dict(self.demands)
