"""Whether a new version of a service is worse than the old one.

Load pattern: few calls reach the new version, while both versions suffer from
the same trouble: crashed or slow endpoints, partitions, bursts.  A bad version
fails part of its answers or sends them several times later, perhaps only after
some time or on one route.
"""

import dataclasses
import math

# Factor by which a rate of bad answers fades with each newer measurement.
RATE_DECAY = 0.85


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


class BadVersionTest:
    """A sequential test of the new version against the old one.

    Cumulative sums of the log-likelihood ratio of each answer, in total and
    by route, restart at zero, so that good answers do not hide that a version
    turns bad later.  The rate of the old version is measured at the same
    time, since trouble that both versions share is no evidence.

    :param settings: :class:`RolloutSettings`.

    ``balance`` is the log-likelihood ratio of all answers together; negative
    if they speak for the new version.
    """

    def __init__(self, settings):
        self.settings = settings
        self.balance = 0.0
        self.total = 0.0
        self.by_route = {}
        self._seen = {}
        self._old_seen = {}
        self._old_pending = {}
        self._old_rates = {}
        self._by_endpoint = {}

    def update(self, evidence):
        """Take new answers into account.

        :param evidence: the :class:`Evidence`; its tallies only increase.
        """
        self._update_old_rates(evidence.old)
        gains = {}
        for key, tally in evidence.new.items():
            added = tally - self._seen.get(key, Tally())
            if added.answers <= 0:
                continue
            self._seen[key] = tally
            route, endpoint = key
            gain = self._rate_answers(route, added)
            gains.setdefault(None, []).append((endpoint, gain))
            gains.setdefault(route, []).append((endpoint, gain))
        for route, items in gains.items():
            delta = sum(self._limit(route, *item) for item in items)
            if route is None:
                self.balance += delta
                self.total = max(0.0, self.total + delta)
            else:
                known = self.by_route.get(route, 0.0)
                self.by_route[route] = max(0.0, known + delta)

    @property
    def score(self):
        """The strongest evidence, as a fraction of the threshold."""
        highest = max([self.total, *self.by_route.values()])
        return highest / self.settings.evidence_threshold

    def list_suspects(self):
        """Return the ids of endpoints whose own evidence is exhausted."""
        limit = self.settings.evidence_threshold
        limit *= self.settings.endpoint_fraction
        return {
            endpoint
            for (route, endpoint), score in self._by_endpoint.items()
            if route is None and score >= limit
        }

    def _update_old_rates(self, old):
        """Record the old version's rate of bad answers, in total and now."""
        for route, tally in old.items():
            added = tally - self._old_seen.get(route, Tally())
            if not added.answers:
                continue
            self._old_seen[route] = tally
            pending = self._old_pending.get(route, Tally()) + added
            if pending.answers >= self.settings.min_answers:
                # Trouble that begins now counts at once, and fades slowly.
                recent = self._old_rates.get(route, 0.0) * RATE_DECAY
                rate = pending.bad / pending.answers
                self._old_rates[route] = max(rate, recent)
                pending = Tally()
            self._old_pending[route] = pending

    def _get_base_rate(self, route):
        tally = self._old_seen.get(route, Tally())
        overall = tally.bad / max(1, tally.answers)
        rate = max(overall, self._old_rates.get(route, 0.0))
        return min(0.6, max(self.settings.base_bad_rate, rate))

    def _rate_answers(self, route, added):
        """Return the log-likelihood ratio of some answers."""
        good_rate = self._get_base_rate(route)
        bad_rate = good_rate + max(self.settings.added_bad_rate, good_rate)
        bad_rate = min(0.95, bad_rate)
        return added.bad * math.log(bad_rate / good_rate) + (
            added.answers - added.bad
        ) * math.log((1 - bad_rate) / (1 - good_rate))

    def _limit(self, route, endpoint, gain):
        """Return what remains of a gain under the limit of its endpoint."""
        limit = self.settings.evidence_threshold
        limit *= self.settings.endpoint_fraction
        known = self._by_endpoint.get((route, endpoint), 0.0)
        score = min(limit, known + gain)
        self._by_endpoint[route, endpoint] = max(0.0, score)
        return score - known
