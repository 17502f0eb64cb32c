"""Whether a new version of a service is worse than the old one.

Load pattern: few calls reach the new version, while both versions suffer from
the same trouble: crashed or slow endpoints, partitions, bursts.  A bad version
fails part of its answers or sends them several times later, perhaps only after
some time or on one route.  Trouble that begins shows in the answers of either
version first, so those of the new one are judged a moment later, by the rates
of the old one before and after them.
"""

import collections
import dataclasses
import math

# Time constant of the average over which the rate of bad answers of the old
# version is measured, and how long a measured rate counts.
RATE_AVERAGE_MS = 300
RATE_VALID_MS = 1500


@dataclasses.dataclass(frozen=True)
class Tally:
    """Number of answers, and of the bad ones among them."""

    answers: int = 0
    bad: int = 0

    def __add__(self, other):
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def __sub__(self, other):
        return Tally(self.answers - other.answers, self.bad - other.bad)


@dataclasses.dataclass(frozen=True)
class Evidence:
    """Answers since the order, as reported by all hosts.

    :param old: :class:`Tally` of the old version by route.
    :param new: :class:`Tally` of the new version by route and endpoint.
    """

    old: dict[str, Tally]
    new: dict[tuple[str, str], Tally]

    def count_by_route(self):
        """Return the number of answers of both versions by route."""
        counts = {route: tally.answers for route, tally in self.old.items()}
        for (route, _), tally in self.new.items():
            counts[route] = counts.get(route, 0) + tally.answers
        return counts

    def count_new(self):
        """Return the number of answers of the new version."""
        return sum(tally.answers for tally in self.new.values())


@dataclasses.dataclass
class OldRates:
    """Rate of bad answers of the old version on one route.

    :param seen: all answers so far; those of the first call are not recent.
    :param recent: moving sums of answers, and of the bad ones among them.
    :param history: pairs of a time and the rate measured then.
    """

    seen: Tally
    recent: tuple[float, float] = (0.0, 0.0)
    history: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def update(self, tally, elapsed_ms, now_ms, settings):
        """Take new answers into account.

        :param tally: all answers up to now.
        :param elapsed_ms: time since the last call.
        """
        added = tally - self.seen
        self.seen = tally
        decay = math.exp(-elapsed_ms / RATE_AVERAGE_MS)
        answers = self.recent[0] * decay + added.answers
        bad = self.recent[1] * decay + added.bad
        self.recent = (answers, bad)
        # The usual rate is assumed of answers that are missing.
        missing = max(0.0, settings.min_answers - answers)
        rate = (bad + missing * settings.base_bad_rate) / (answers + missing)
        self.history.append((now_ms, rate))
        while self.history[0][0] < now_ms - RATE_VALID_MS:
            self.history.popleft()

    def get_highest(self):
        """Return the highest rate measured recently, or of all answers."""
        overall = self.seen.bad / max(1, self.seen.answers)
        return max([overall, *(rate for _, rate in self.history)])


class EvidenceSums:
    """Cumulative sums of the log-likelihood ratio of answers.

    ``total`` and ``by_route`` restart at zero, so that good answers do not
    hide that a version turns bad later.  ``balance`` and ``route_balances``
    do not; they are negative if the answers speak for the new version.

    :param limit: what the answers of one endpoint can contribute.
    """

    def __init__(self, limit):
        self.limit = limit
        self.total = 0.0
        self.by_route = {}
        self.balance = 0.0
        self.route_balances = {}
        self.by_endpoint = {}

    def copy(self):
        """Return an independent copy."""
        other = EvidenceSums(self.limit)
        other.total = self.total
        other.by_route = dict(self.by_route)
        other.balance = self.balance
        other.route_balances = dict(self.route_balances)
        other.by_endpoint = dict(self.by_endpoint)
        return other

    def add(self, route, endpoint, gain):
        """Add the log-likelihood ratio of some answers of an endpoint."""
        delta = self._limit_gain(None, endpoint, gain)
        self.balance += delta
        self.total = max(0.0, self.total + delta)
        delta = self._limit_gain(route, endpoint, gain)
        known = self.by_route.get(route, 0.0)
        self.by_route[route] = max(0.0, known + delta)
        balance = self.route_balances.get(route, 0.0)
        self.route_balances[route] = balance + delta

    def get_highest(self):
        """Return the strongest evidence, in total or on one route."""
        return max([self.total, *self.by_route.values()])

    def list_exhausted(self):
        """Return the ids of endpoints that cannot contribute any more."""
        return {
            endpoint
            for (route, endpoint), score in self.by_endpoint.items()
            if route is None and score >= self.limit
        }

    def _limit_gain(self, route, endpoint, gain):
        """Return what remains of a gain under the limit of its endpoint."""
        known = self.by_endpoint.get((route, endpoint), 0.0)
        score = min(self.limit, known + gain)
        self.by_endpoint[route, endpoint] = max(0.0, score)
        return score - known


@dataclasses.dataclass(frozen=True)
class UnjudgedAnswers:
    """Answers of an endpoint of the new version, not judged yet."""

    at_ms: float
    route: str
    endpoint: str
    tally: Tally


class BadVersionTest:
    """A sequential test of the new version against the old one.

    The rate of the old version is measured at the same time, since trouble
    that both versions share is no evidence.

    :param settings: :class:`RolloutSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        limit = settings.evidence_threshold * settings.endpoint_fraction
        self.judged = EvidenceSums(limit)
        self.provisional = self.judged
        self._seen = {}
        self._old_rates = {}
        self._unjudged = collections.deque()
        self._updated_ms = None

    def update(self, evidence, now_ms, judge_delay_ms):
        """Take new answers into account.

        :param evidence: the :class:`Evidence`; its tallies only increase.
        :param judge_delay_ms: how long to wait for the old version's answers
            of the same time; 0 if it gets no calls any more.
        """
        self._update_old_rates(evidence.old, now_ms)
        for key, tally in evidence.new.items():
            added = tally - self._seen.get(key, Tally())
            if added.answers > 0:
                self._seen[key] = tally
                self._unjudged.append(UnjudgedAnswers(now_ms, *key, added))
        while (
            self._unjudged
            and self._unjudged[0].at_ms <= now_ms - judge_delay_ms
        ):
            self._judge(self._unjudged.popleft(), self.judged)
        self.provisional = self.judged
        if self._unjudged:
            self.provisional = self.judged.copy()
            for answers in self._unjudged:
                self._judge(answers, self.provisional)

    @property
    def score(self):
        """The strongest evidence judged, as a fraction of the threshold."""
        return self.judged.get_highest() / self.settings.evidence_threshold

    @property
    def suspicion(self):
        """The same with all answers, by the rates known now."""
        highest = self.provisional.get_highest()
        return highest / self.settings.evidence_threshold

    @property
    def balance(self):
        """Log-likelihood ratio of all answers together."""
        return self.provisional.balance

    def list_suspects(self):
        """Return the ids of endpoints whose own evidence is exhausted."""
        return self.provisional.list_exhausted()

    def _update_old_rates(self, old, now_ms):
        """Record the old version's rates of bad answers."""
        elapsed_ms = 0
        if self._updated_ms is not None:
            elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        for route, tally in old.items():
            rates = self._old_rates.setdefault(route, OldRates(tally))
            rates.update(tally, elapsed_ms, now_ms, self.settings)

    def _judge(self, answers, sums):
        """Add the log-likelihood ratio of some answers to sums."""
        rates = self._old_rates.get(answers.route)
        highest = rates.get_highest() if rates else 0.0
        good_rate = min(0.6, max(self.settings.base_bad_rate, highest))
        bad_rate = good_rate + max(self.settings.added_bad_rate, good_rate)
        bad_rate = min(0.95, bad_rate)
        tally = answers.tally
        gain = tally.bad * math.log(bad_rate / good_rate) + (
            tally.answers - tally.bad
        ) * math.log((1 - bad_rate) / (1 - good_rate))
        sums.add(answers.route, answers.endpoint, gain)
