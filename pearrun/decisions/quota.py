"""A customer's quota, kept by all hosts together.

Load pattern: one customer sends several times its limit, in calls of
very unequal size, through hosts that see unequal parts of it.  Dividing
the limit between hosts refuses large calls below it; so each host keeps
the whole bucket and takes from it what the others say they admitted.
What they admitted since their last reports is covered by a reserve.  A
host that is not heard is taken to go on as before, so that hosts cut
off from each other do not use the limit twice.
"""

import dataclasses

# Age of a report as it is used: the report period, its way, and the
# wait of the host that uses it.  Through hubs it waits for two more rounds.
MESH_LAG_S = 0.35
HUB_LAG_S = 0.75
# Part of the refill that is used through hubs.  Many hosts that hear late
# of what the others admit all find the bucket filled at once and empty it
# again.
HUB_REFILL = 0.92
# Largest part of the burst held back for what others have not reported.
MOST_RESERVED = 0.7
# A call of at most this part of the burst is small: a thousandth or two of
# it, where the larger calls of a model's customer take some hundredths.
SMALL_SHARE = 0.002
# How far below the level at which larger calls are refused small ones still
# pass, as a part of the burst: a little more than one round of the other
# hosts' reports takes.  Refusing them frees nothing.
SMALL_DEPTH = 0.7
# Debt beyond this much of the rate is forgotten, in seconds: calls that
# were admitted too many are made up for within a quota's window.
MOST_DEBT_S = 4.0
# Without a report for this long, a host is taken to go on as before.
SILENT_MS = 600
# Level at which a host starts, as a part of its share of the burst: what
# was used before its start is not known.  A lower one refuses customers below
# their limits after all hosts have started again.
FIRST_LEVEL = 0.5
# After its start a host uses the limit's part of the hosts it has heard,
# times this: hosts that were killed at once would else each use the whole.
START_SHARE = 1.0
# Until when a host that is listed and not heard is taken to be starting
# too; links are up about a second after a start.
START_MS = 5000
# Part of the limit for a host that does not know the other hosts yet.
UNLISTED_SHARE = 0.1
# Part of the tolerated excess that is used; the rest covers calls that
# several hosts admit before they hear of each other's.
TOLERANCE_USED = 0.15
# Half-life of the average rate that others assume while they do not hear
# a host: calls differ a hundredfold in size, so that an average over a second
# tells little.
RATE_HALF_LIFE_S = 4.0
# Time without use that an average begins with.  A large call is told at
# once: its units over the few milliseconds since the last report would make a
# rate whose reserve refuses nearly all calls for a while.  A longer time would
# let the two halves of a cut use too much.
IDLE_S = 1.3


@dataclasses.dataclass(frozen=True)
class QuotaSettings:
    """How a limit is judged: by the units of any span of some length.

    In any span of ``window_s`` seconds a customer may use ``window_s``
    times its rate plus its burst, a part ``over`` more, and ``slack``
    units more.
    """

    window_s: float
    over: float
    slack: float


def refill_rate(rate_per_s, burst, settings, through_hubs=False):
    """Return the rate at which a bucket of one burst may be refilled.

    A full bucket and the refill of one window together use the limit
    of that window and no more.

    :param through_hubs: whether hosts hear of each other through hubs.
    :returns: units a second; else at least ``rate_per_s``.
    """
    limit = rate_per_s * settings.window_s + burst
    limit *= 1 + settings.over * TOLERANCE_USED
    limit += settings.slack * TOLERANCE_USED
    rate = max(rate_per_s, (limit - burst) / settings.window_s)
    return rate * HUB_REFILL if through_hubs else rate


def start_share(heard, others, listed, age_ms):
    """Return the part of a limit that a host may use after its start.

    :param heard: other hosts it has heard.
    :param others: other hosts that are listed.
    :param listed: whether the list was read.
    :param age_ms: time since its start.
    :returns: 1 once it hears all, or after a while.
    """
    if age_ms > START_MS:
        return 1.0
    if not listed:
        return UNLISTED_SHARE
    if heard >= others:
        return 1.0
    return min(1.0, START_SHARE * (1 + heard) / (1 + others))


@dataclasses.dataclass
class RateAverage:
    """Moving average of units used in a second, of none before the first."""

    units: float = 0.0
    seconds: float = IDLE_S

    def add(self, units, elapsed_s):
        """Add what was used in the last ``elapsed_s`` seconds."""
        keep = 0.5 ** (elapsed_s / RATE_HALF_LIFE_S)
        self.units = self.units * keep + units
        self.seconds = self.seconds * keep + elapsed_s

    @property
    def rate(self):
        """Units a second."""
        return self.units / self.seconds


@dataclasses.dataclass
class PeerUse:
    """What another host said it admitted for one customer.

    :param base: its total when it was first heard.
    :param total: units since its start.
    :param rate: units a second lately.
    :param assumed: units taken as used since its last report.
    """

    base: float = 0.0
    total: float = 0.0
    rate: float = 0.0
    assumed: float = 0.0
    reported_ms: int = 0

    @property
    def used(self):
        """Units since it was first heard, as far as is known."""
        return self.total - self.base + self.assumed


class SharedBucket:
    """One customer's bucket as one host sees it.

    :param burst: this host's share of the units it holds at the most.
    :param now_ms: monotonic time.
    """

    def __init__(self, burst, now_ms):
        self.level = burst * FIRST_LEVEL
        self.updated_ms = now_ms
        self.peers = {}

    def refill(self, rate_per_s, burst, now_ms):
        """Add what has accrued, less what silent hosts are taken to use."""
        elapsed_s = max(0, now_ms - self.updated_ms) / 1000.0
        self.updated_ms = now_ms
        self.level += rate_per_s * elapsed_s
        for use in self.peers.values():
            if now_ms - use.reported_ms > SILENT_MS:
                units = use.rate * elapsed_s
                use.assumed += units
                self.level -= units
        lowest = -rate_per_s * MOST_DEBT_S
        self.level = max(lowest, min(burst, self.level))

    def take_report(self, peer, total, rate, now_ms, heard=False):
        """Take what another host admitted.

        :param peer: the host's run; a new run counts from zero.
        :param total: units it admitted since its start.
        :param heard: whether the host was heard before.  If so, it had
            admitted nothing for this customer until now.
        """
        use = self.peers.get(peer)
        if use is None:
            # What it admitted before this host heard it is past.
            base = 0.0 if heard else total
            use = self.peers[peer] = PeerUse(base=base, total=base)
        self.level -= (total - use.total) - use.assumed
        use.total = total
        use.rate = rate
        use.assumed = 0.0
        use.reported_ms = now_ms

    def forget(self, peer):
        """Drop a host that has ended.

        :returns: the units it was taken to have used.
        """
        use = self.peers.pop(peer, None)
        return use.used if use else 0.0

    def take(self, units, burst, lag_s, settled=True):
        """Use units if the bucket may still be used.

        :param lag_s: age of the others' reports as they are used.
        :param settled: whether this host has its whole part of the limit;
            one that has just started does not know what others admit.

        A call larger than what is left passes and leaves a debt, so
        that larger calls of every size are served alike; small ones
        pass while larger ones have to wait.
        """
        missing = self.missing(burst, lag_s)
        if settled and units <= burst * SMALL_SHARE:
            missing -= burst * SMALL_DEPTH
        if missing >= 0:
            return False
        self.level -= units
        return True

    def missing(self, burst, lag_s):
        """Return the units that must accrue before a call passes.

        :returns: less than 0 if one passes now.
        """
        others = sum(use.rate for use in self.peers.values())
        reserve = min(others * lag_s, burst * MOST_RESERVED)
        return reserve - self.level
