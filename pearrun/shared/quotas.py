"""Customers' quotas as this host enforces them."""

import dataclasses

from pearrun.decisions import quota


@dataclasses.dataclass(frozen=True)
class Admitted:
    """Units that a host admitted for one customer.

    :param total: since the host's start.
    :param rate: a second, lately.
    """

    total: float
    rate: float


NOTHING = Admitted(0.0, 0.0)


class Quotas:
    """Admits calls within each customer's quota.

    :param config: the :class:`ConfigHistory`.
    :param settings: the :class:`QuotaSettings`.
    :param members: the :class:`Members`.
    :param feed: the :class:`Feed`; says whether the hosts use hubs.
    """

    def __init__(self, clock, config, settings, members, feed):
        self.members = members
        self.feed = feed
        self.started_ms = clock.now()
        self.clock = clock
        self.settings = settings
        self.config = config
        self.buckets = {}
        self.totals = {}
        self.rates = {}
        self._settled = False
        self._heard = set()
        self._ended = {}
        self._averaged_totals = {}
        self._averaged_ms = clock.now()

    def admit(self, call):
        """Say whether a call is within its customer's quota; count it."""
        if call.customer is None:
            return True
        name = call.customer.name
        customer = self.config.current.customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            return True
        now = self.clock.now()
        share = self._start_share(now)
        bucket = self._refilled(customer, now, share)
        settled = share >= 1.0
        if not bucket.take(call.units, customer.burst, self._lag_s(), settled):
            return False
        self.totals[name] = self.totals.get(name, 0.0) + call.units
        return True

    def wait_ms(self, call):
        """Return when a call that was refused may pass."""
        customer = self.config.current.customers.get(call.customer.name)
        if customer is None or not customer.rate_per_s:
            return 0
        now = self.clock.now()
        bucket = self._refilled(customer, now, self._start_share(now))
        missing = bucket.compute_shortfall(customer.burst, self._lag_s())
        return max(0.0, missing) * 1000.0 / customer.rate_per_s

    def level(self, call):
        """Return the units left to a call's customer, for its log line."""
        if call.customer is None:
            return None
        bucket = self.buckets.get(call.customer.name)
        return None if bucket is None else round(bucket.level)

    def put_report(self, run, admitted):
        """Take what another host admitted.

        :param run: the :class:`Run` that reports.
        :param admitted: :class:`Admitted` by customer.
        """
        if self.config.current is None:
            return
        now = self.clock.now()
        share = self._start_share(now)
        heard = run in self._heard
        self._heard.add(run)
        for name, use in admitted.items():
            customer = self.config.current.customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                bucket = self._refilled(customer, now, share)
                bucket.apply_report(run, use.total, use.rate, now, heard)

    def remove(self, run):
        """Forget a run that has ended."""
        self._heard.discard(run)
        for name, bucket in self.buckets.items():
            units = bucket.forget(run)
            if not run.whole_zone:
                ended = self._ended.setdefault(run.zone, {})
                ended[name] = ended.get(name, 0.0) + units

    def sum_zone(self, zone, own):
        """Return what a zone's hosts admitted, as far as is known here.

        Hosts that are not heard are taken to go on, as they are here.

        :param own: this host's own :class:`Admitted` by customer.
        :returns: :class:`Admitted` by customer; what was admitted before
            this host heard of it is left out, so that a total grows
            steadily, and only its changes say something.
        """
        sums = {}
        ended = self._ended.get(zone, {})
        for name in {*own, *self.buckets}:
            known = own.get(name, NOTHING)
            total = known.total + ended.get(name, 0.0)
            rate = known.rate
            bucket = self.buckets.get(name)
            for run, use in (bucket.peers if bucket else {}).items():
                if run.zone == zone and not run.whole_zone:
                    total += use.used
                    rate += use.rate
            sums[name] = Admitted(total, rate)
        return sums

    def report(self):
        """Return what this host admitted: :class:`Admitted` by customer."""
        now = self.clock.now()
        elapsed_ms = max(1, now - self._averaged_ms)
        self._averaged_ms = now
        for name, total in self.totals.items():
            before = self._averaged_totals.get(name, 0.0)
            average = self.rates.setdefault(name, quota.RateAverage())
            average.add(total - before, elapsed_ms / 1000.0)
        self._averaged_totals = dict(self.totals)
        return {
            name: Admitted(total, self.rates[name].rate)
            for name, total in self.totals.items()
        }

    def _lag_s(self):
        """Return the age of the others' reports as they are used."""
        return quota.HUB_LAG_S if self.feed.through_hubs else quota.MESH_LAG_S

    def _start_share(self, now):
        """Return the part of each limit that this host may use.

        The other hosts are counted only while that part depends on them: a
        host that has heard them all knows what they use from then on, also
        while it hears them through other hubs.
        """
        age_ms = now - self.started_ms
        if self._settled or age_ms > quota.STARTUP_MS:
            return 1.0
        members = self.members
        share = quota.compute_startup_share(
            members.count_heard(), members.count() - 1, members.listed, age_ms
        )
        self._settled = members.listed and share >= 1.0
        return share

    def _refilled(self, customer, now, share):
        """Return a customer's bucket, filled up to now.

        :param share: the part of each limit that this host may use.
        """
        bucket = self.buckets.get(customer.name)
        if bucket is None:
            bucket = quota.SharedBucket(customer.burst * share, now)
            self.buckets[customer.name] = bucket
        rate = quota.compute_refill_rate(
            customer.rate_per_s,
            customer.burst,
            self.settings,
            self.feed.through_hubs,
        )
        bucket.refill(rate * share, customer.burst, now)
        return bucket
