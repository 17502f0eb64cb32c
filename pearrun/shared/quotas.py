"""Enforcement of customers' quotas on this host."""

import dataclasses

from pearrun.decisions import quota

# Reports that arrive within this time of a refused connection may have been
# sent before the path was cut.
SUSPENDED_REPORT_MS = 500


@dataclasses.dataclass(frozen=True)
class AdmittedUnits:
    """Units that a host admitted for one customer.

    :param total: units since the host's start.
    :param rate: recent average, in units per second.
    """

    total: float
    rate: float


NO_UNITS = AdmittedUnits(0.0, 0.0)


class Quotas:
    """Admits calls within their customers' quotas.

    :param config: the :class:`ActiveConfig`.
    :param settings: the :class:`QuotaSettings`.
    :param members: the :class:`Members`.
    :param feed: the :class:`Feed`, which knows whether the hosts use hubs.
    """

    def __init__(self, clock, config, settings, members, feed):
        self.members = members
        self.feed = feed
        self.started_ms = clock.now()
        self.started_wall_ms = clock.wall()
        self.clock = clock
        self.settings = settings
        self.config = config
        self.buckets = {}
        self.totals = {}
        self.rates = {}
        self._has_full_share = False
        self._is_restarted_fleet = False
        self._reported_runs = set()
        self._suspended_ms = {}
        self._ended_units = {}
        self._averaged_totals = {}
        self._averaged_ms = clock.now()

    def admit(self, call):
        """Charge a call to its customer's quota.

        :returns: whether the call is admitted.
        """
        if call.customer is None:
            return True
        name = call.customer.name
        customer = self.config.current.customers.get(name)
        if customer is None or customer.rate_per_s <= 0:
            return True
        now = self.clock.now()
        share = self._compute_share(now)
        bucket = self._refill_bucket(customer, now, share)
        has_full_share = share >= 1.0
        if not bucket.take(
            call.units, customer.burst, self._get_lag_s(), has_full_share
        ):
            return False
        self.totals[name] = self.totals.get(name, 0.0) + call.units
        return True

    def may_admit(self, call):
        """Return whether a call would be admitted now; charge nothing."""
        if call.customer is None:
            return True
        customer = self.config.current.customers.get(call.customer.name)
        if customer is None or customer.rate_per_s <= 0:
            return True
        now = self.clock.now()
        share = self._compute_share(now)
        bucket = self._refill_bucket(customer, now, share)
        return bucket.may_take(
            call.units, customer.burst, self._get_lag_s(), share >= 1.0
        )

    def get_wait_ms(self, call):
        """Return the time until a refused call could be admitted.

        :returns: milliseconds.
        """
        customer = self.config.current.customers.get(call.customer.name)
        if customer is None or not customer.rate_per_s:
            return 0
        now = self.clock.now()
        bucket = self._refill_bucket(customer, now, self._compute_share(now))
        missing = bucket.compute_shortfall(customer.burst, self._get_lag_s())
        return max(0.0, missing) * 1000.0 / customer.rate_per_s

    def get_level(self, call):
        """Return the units left in a customer's bucket, for logging.

        :returns: ``None`` if the call has no customer or no bucket.
        """
        if call.customer is None:
            return None
        bucket = self.buckets.get(call.customer.name)
        return None if bucket is None else round(bucket.level)

    def put_report(self, run, admitted):
        """Apply another host's report of admitted units.

        :param run: the :class:`Run` that reports.
        :param admitted: :class:`AdmittedUnits` by customer.
        """
        if self.config.current is None:
            return
        now = self.clock.now()
        self._end_suspensions(run, now)
        share = self._compute_share(now)
        counts_from_start = run in self._reported_runs or self._is_new(run)
        self._reported_runs.add(run)
        for name, use in admitted.items():
            customer = self.config.current.customers.get(name)
            if customer is not None and customer.rate_per_s > 0:
                bucket = self._refill_bucket(customer, now, share)
                bucket.apply_report(
                    run, use.total, use.rate, now, counts_from_start
                )

    def _is_new(self, run):
        """Return whether a run started a moment ago, and not before this host.

        All that it has admitted then counts.  Of an older run that reports
        again after a partition, the units are counted already.
        """
        earliest_ms = max(
            self.started_wall_ms - quota.RESTART_SPREAD_MS,
            self.clock.wall() - quota.STARTUP_MS,
        )
        return not run.whole_zone and run.started_ms >= earliest_ms

    def suspend(self, run):
        """Keep a run that has ended, or whose failure domain is cut off.

        It counts as silent until a report of another run of that domain shows
        that there is a path.
        """
        if run in self._reported_runs:
            self._suspended_ms.setdefault(run, self.clock.now())

    def _end_suspensions(self, reported, now_ms):
        """Remove suspended runs after a report from their failure domain.

        :param reported: the :class:`Run` that reports.
        """
        self.end_suspension(reported)
        for run, since_ms in list(self._suspended_ms.items()):
            is_late = now_ms - since_ms > SUSPENDED_REPORT_MS
            if run.zone == reported.zone and is_late:
                self.end_suspension(run)
                self.remove(run)

    def end_suspension(self, run):
        """Let a suspended run be removed."""
        self._suspended_ms.pop(run, None)

    def remove(self, run):
        """Remove a run that has ended, keeping its units in zone totals."""
        if run in self._suspended_ms:
            return
        self._reported_runs.discard(run)
        for name, bucket in self.buckets.items():
            units = bucket.forget(run)
            if not run.whole_zone:
                ended = self._ended_units.setdefault(run.zone, {})
                ended[name] = ended.get(name, 0.0) + units

    def sum_zone(self, zone, own):
        """Return the units that a zone's hosts admitted, as far as known.

        A host that stops reporting is assumed to use units as before,
        as in the calculation of the bucket levels.

        :param own: this host's own :class:`AdmittedUnits` by customer.
        :returns: :class:`AdmittedUnits` by customer.  Units admitted before
            the first report of a run are left out, so that a total never
            jumps; only the differences between totals are meaningful.
        """
        sums = {}
        ended = self._ended_units.get(zone, {})
        for name in {*own, *self.buckets}:
            known = own.get(name, NO_UNITS)
            total = known.total + ended.get(name, 0.0)
            rate = known.rate
            bucket = self.buckets.get(name)
            for run, use in (bucket.peers if bucket else {}).items():
                if run.zone == zone and not run.whole_zone:
                    total += use.used
                    rate += use.rate
            sums[name] = AdmittedUnits(total, rate)
        return sums

    def collect_totals(self):
        """Update the rates and return what this host admitted.

        :returns: :class:`AdmittedUnits` by customer.
        """
        now = self.clock.now()
        elapsed_ms = max(1, now - self._averaged_ms)
        self._averaged_ms = now
        for name, total in self.totals.items():
            before = self._averaged_totals.get(name, 0.0)
            average = self.rates.setdefault(name, quota.RateAverage())
            average.add(total - before, elapsed_ms / 1000.0)
        self._averaged_totals = dict(self.totals)
        return {
            name: AdmittedUnits(total, self.rates[name].rate)
            for name, total in self.totals.items()
        }

    def _get_lag_s(self):
        """Return the age of other hosts' reports when used, in seconds."""
        return quota.HUB_LAG_S if self.feed.through_hubs else quota.MESH_LAG_S

    def _compute_share(self, now):
        """Return the fraction of each limit that this host may use.

        It is below 1 only for some time after the start.  Once a host has
        received reports from all other hosts it keeps the full share and
        the hosts are no longer counted, even if their reports later arrive
        through different hubs.
        """
        age_ms = now - self.started_ms
        if self._has_full_share or age_ms > quota.STARTUP_MS:
            return 1.0
        members = self.members
        share = quota.compute_startup_share(
            members.count_reporting(),
            members.count() - 1,
            members.listed,
            age_ms,
        )
        if members.listed and share >= quota.RESTARTED_FRACTION:
            self._has_full_share = share >= 1.0
            self._is_restarted_fleet = self._check_starts()
        return share

    def _check_starts(self):
        """Return whether this host was started together with the others."""
        listed = self.members.members
        own = listed.get(self.members.own_name)
        return own is not None and quota.is_restarted_fleet(
            own.started_ms, [member.started_ms for member in listed.values()]
        )

    def _refill_bucket(self, customer, now, share):
        """Return a customer's bucket, refilled up to now.

        :param share: the fraction of each limit that this host may use.
        """
        bucket = self.buckets.get(customer.name)
        if bucket is None:
            bucket = quota.SharedBucket(customer.burst, now, share)
            self.buckets[customer.name] = bucket
        if self._is_restarted_fleet:
            bucket.raise_share(customer.burst, share)
        rate = quota.compute_refill_rate(
            customer.rate_per_s,
            customer.burst,
            self.settings,
            self.feed.through_hubs,
        )
        bucket.refill(rate * share, customer.burst, now)
        return bucket
