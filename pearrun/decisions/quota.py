"""Enforces the quota of a customer across all hosts.

Load pattern: one customer sends several times its limit, in calls of very
unequal size, through hosts that see unequal parts of the traffic.  Dividing
the limit between the hosts would reject large calls below the limit.
Instead, each host keeps the whole token bucket and subtracts what the other
hosts report to have admitted.  A reserve covers what they have admitted since
their last reports.  A host that stops reporting is assumed to continue at its
last rate, or to use its last share of the limit if that is more, so that
partitioned hosts do not use the limit twice.
"""

import dataclasses

# Age of a report at the time of use: the report period, its transmission and
# the delay until the receiving host uses it.  Through hubs, two more rounds
# are added.
MESH_LAG_S = 0.35
HUB_LAG_S = 0.75
# Fraction of the refill rate that is used with hubs.  Many hosts that learn
# late of what the others admit would all find the bucket full at the same time
# and drain it again.
HUB_REFILL_FACTOR = 0.92
# Maximum fraction of the burst that is reserved for unreported usage of
# others.
MAX_RESERVED_SHARE = 0.7
# A call of up to this fraction of the burst is small.  Typical small calls
# take one or two thousandths of the burst, larger calls to models some
# hundredths.
SMALL_CALL_SHARE = 0.002
# Small calls are still admitted this far below the level at which larger ones
# are rejected, as a fraction of the burst: slightly more than the other hosts
# use in one report round.  Rejecting small calls would free almost nothing.
SMALL_CALL_OVERDRAFT_SHARE = 0.7
# Debt is capped at this many seconds of the rate, so that an excess is
# compensated within the window of a quota.
MAX_DEBT_S = 4.0
# A host without reports for this long is silent.
REPORT_TIMEOUT_MS = 600
# Initial level of a bucket as a fraction of this host's share of the burst,
# since usage before this host started is unknown.  A lower level rejects calls
# of customers below their limits after a restart of all hosts.
INITIAL_LEVEL_SHARE = 0.5
# After its start, a host uses the share of the limit that corresponds to the
# hosts that have reported to it, times this factor.  Otherwise hosts that
# were killed at the same time would each use the whole limit.
STARTUP_FACTOR = 1.0
# For this long after its start, a host assumes that listed hosts which have
# not reported are starting too.  Links are up about a second after a start.
STARTUP_MS = 5000
# Hosts whose starts are at most this far apart were started together.
RESTART_SPREAD_MS = 1500
# Fraction of the listed hosts that were started together after a loss of all
# hosts, and that have to report.  Hosts that were replaced stay listed.
RESTARTED_FRACTION = 0.8
# Share of the limit for a host that does not know the other hosts yet.
UNKNOWN_MEMBERS_SHARE = 0.1
# Fraction of the tolerated excess that is used; the rest covers calls that
# several hosts admit before they receive each other's reports.
TOLERANCE_SHARE = 0.15
# Half-life of the average rate that others assume while a host does not
# report.  Call sizes differ by a factor of a hundred, so an average over one
# second would be too noisy.
RATE_HALF_LIFE_S = 4.0
# Length of the idle period with which an average starts.  A large call is
# reported at once; its units divided by the few milliseconds since the last
# report would give a rate whose reserve blocks nearly all calls for a while.
# A longer period would let the two sides of a partition use too much.
INITIAL_IDLE_S = 1.3


@dataclasses.dataclass(frozen=True)
class QuotaSettings:
    """How compliance with a limit is measured.

    In any time span of ``window_s`` seconds a customer may use ``window_s``
    times its rate plus its burst, plus the fraction ``over`` of that, plus
    ``slack`` units.
    """

    window_s: float
    over: float
    slack: float


def compute_refill_rate(rate_per_s, burst, settings, through_hubs=False):
    """Return the refill rate of a bucket that holds one burst.

    A full bucket and the refill during one window together amount to the limit
    for that window.

    :param through_hubs: whether hosts receive reports through hubs.
    :returns: units per second, at least ``rate_per_s`` without hubs.
    """
    limit = rate_per_s * settings.window_s + burst
    limit *= 1 + settings.over * TOLERANCE_SHARE
    limit += settings.slack * TOLERANCE_SHARE
    rate = max(rate_per_s, (limit - burst) / settings.window_s)
    return rate * HUB_REFILL_FACTOR if through_hubs else rate


def compute_startup_share(reporting, others, listed, age_ms):
    """Return the share of a limit that a host may use after its start.

    :param reporting: number of other hosts that have reported.
    :param others: number of other hosts in the membership list.
    :param listed: whether the membership list has been read.
    :param age_ms: time since the start of this host.
    :returns: 1 once all hosts have reported, or after a while.
    """
    if age_ms > STARTUP_MS:
        return 1.0
    if not listed:
        return UNKNOWN_MEMBERS_SHARE
    if reporting >= others:
        return 1.0
    return min(1.0, STARTUP_FACTOR * (1 + reporting) / (1 + others))


def is_restarted_fleet(own_ms, started_ms):
    """Return whether all hosts were lost, and have started again together.

    Nobody then knows how full the buckets were.  A host that starts alone
    must not assume anything: hosts that are restarted one after the other
    would add up to several bursts.

    :param own_ms: when this host started, in Unix milliseconds.
    :param started_ms: the same of all listed hosts.
    """
    together = sum(
        abs(other_ms - own_ms) <= RESTART_SPREAD_MS for other_ms in started_ms
    )
    return together >= RESTARTED_FRACTION * len(started_ms)


@dataclasses.dataclass
class RateAverage:
    """Moving average of units per second, starting from an idle period."""

    units: float = 0.0
    seconds: float = INITIAL_IDLE_S

    def add(self, units, elapsed_s):
        """Add the units used in the last ``elapsed_s`` seconds."""
        decay = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
        self.units = self.units * decay + units
        self.seconds = self.seconds * decay + elapsed_s

    @property
    def rate(self):
        """Units per second."""
        return self.units / self.seconds


@dataclasses.dataclass
class PeerUsage:
    """Usage of one customer as reported by another host.

    :param base: the total at its first report; those units are not counted.
    :param total: units admitted since the start of that host.
    :param rate: recent units per second.
    :param share: its fraction of what all hosts used recently.
    :param assumed: units assumed to be used since its last report, until
        ``assumed_until_ms``.
    """

    base: float = 0.0
    total: float = 0.0
    rate: float = 0.0
    share: float = 0.0
    assumed: float = 0.0
    assumed_until_ms: int = 0
    reported_ms: int = 0

    @property
    def used(self):
        """Units used since its first report, including assumed ones."""
        return self.total - self.base + self.assumed


class SharedBucket:
    """The token bucket of one customer as seen by one host.

    :param burst: the maximum level.
    :param now_ms: monotonic time.
    :param share: the fraction of the limit that this host may use.
    """

    def __init__(self, burst, now_ms, share=1.0):
        self.share = share
        self.level = burst * share * INITIAL_LEVEL_SHARE
        self.updated_ms = now_ms
        self.peers = {}
        self._own = RateAverage()
        self._taken = 0.0
        self._peer_rate = 0.0

    def raise_share(self, burst, share):
        """Add the initial level of a larger share of the limit.

        Otherwise a bucket that was created before the hosts had heard of each
        other would stay nearly empty, and reject calls of customers below
        their limits.
        """
        if share > self.share:
            self.level += burst * (share - self.share) * INITIAL_LEVEL_SHARE
            self.share = share

    def refill(self, rate_per_s, burst, now_ms):
        """Add the accrued units, less the assumed usage of silent hosts.

        A silent host may use more than before, since the customer's demand may
        rise at all hosts at once.  It is assumed to use at least its share of
        the refill.
        """
        elapsed_s = max(0, now_ms - self.updated_ms) / 1000.0
        self.updated_ms = now_ms
        self.level += rate_per_s * elapsed_s
        self._own.add(self._taken, elapsed_s)
        self._taken = 0.0
        for usage in self.peers.values():
            if now_ms - usage.reported_ms > REPORT_TIMEOUT_MS:
                rate = max(usage.rate, usage.share * rate_per_s)
                silent_ms = now_ms - usage.assumed_until_ms
                units = rate * silent_ms / 1000.0
                usage.assumed_until_ms = now_ms
                usage.assumed += units
                self.level -= units
        min_level = -rate_per_s * MAX_DEBT_S
        self.level = max(min_level, min(burst, self.level))

    def apply_report(self, peer, total, rate, now_ms, from_start=False):
        """Apply the report of another host.

        :param peer: the run of the host; a new run counts from zero.
        :param total: units that it admitted since its start.
        :param from_start: whether all of it counts, although it is the first
            report of that host on this customer: it has reported before, or
            started when this host did or later.
        """
        usage = self.peers.get(peer)
        if usage is None:
            # What it admitted before its first report is not counted: it may
            # be older than this host.
            base = 0.0 if from_start else total
            usage = self.peers[peer] = PeerUsage(base=base, total=base)
        self.level -= (total - usage.total) - usage.assumed
        usage.total = total
        self._peer_rate += rate - usage.rate
        usage.rate = rate
        total_rate = self._own.rate + self._peer_rate
        usage.share = rate / total_rate if total_rate else 0.0
        usage.assumed = 0.0
        usage.assumed_until_ms = now_ms
        usage.reported_ms = now_ms

    def forget(self, peer):
        """Remove a peer whose run has ended.

        :returns: the units that it used, including assumed ones.
        """
        usage = self.peers.pop(peer, None)
        if usage is None:
            return 0.0
        self._peer_rate -= usage.rate
        return usage.used

    def take(self, units, burst, lag_s, settled=True):
        """Take units from the bucket if the call may be admitted.

        A call larger than the remaining level is admitted and leaves a debt,
        so that large calls of every size are treated alike.  Small calls are
        still admitted while larger ones have to wait.

        :param lag_s: age of the reports of other hosts at the time of use.
        :param settled: whether this host may use its whole share of the limit;
            a host that has just started does not know what others admit.
        :returns: whether the call is admitted.
        """
        if not self.may_take(units, burst, lag_s, settled):
            return False
        self.level -= units
        self._taken += units
        return True

    def may_take(self, units, burst, lag_s, settled=True):
        """Return whether :meth:`take` would admit a call; take nothing."""
        shortfall = self.compute_shortfall(burst, lag_s)
        if settled and units <= burst * SMALL_CALL_SHARE:
            shortfall -= burst * SMALL_CALL_OVERDRAFT_SHARE
        return shortfall < 0

    def compute_shortfall(self, burst, lag_s):
        """Return the units that must accrue before a call is admitted.

        :returns: less than 0 if a call is admitted now.
        """
        reserve = min(self._peer_rate * lag_s, burst * MAX_RESERVED_SHARE)
        return reserve - self.level
