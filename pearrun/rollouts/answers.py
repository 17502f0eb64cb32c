"""Answers of the old and the new version of a service, counted by a host."""

import collections
import dataclasses

from pearrun.decisions.versiontest import Tally

# Endpoint id under which the answers of the old version are counted.
OLD_VERSION = ''
# An answer is slow if it took this many times as long as expected.
SLOW_FACTOR = 2.5
# Added to that time: delays of short answers by the network and the host.
SLOW_MARGIN_MS = 20
# Answers of a route before their mean times are compared with.
MIN_SAMPLES = 5
# Weight of the latest answer in the mean times of a route.
MEAN_WEIGHT = 0.05
# Events of a stream before its pace is compared.
MIN_PACE_EVENTS = 4


@dataclasses.dataclass(frozen=True)
class AnswerTimes:
    """Times of one answer, in milliseconds.

    :param waited_ms: time to the first byte; ``None`` if there was none.
    :param expected_ms: expected time to the first byte.
    :param total_ms: time to the last byte.
    :param pace_ms: mean time between the events of a stream; ``None`` if it
        had too few.
    """

    waited_ms: float | None
    expected_ms: float
    total_ms: float
    pace_ms: float | None = None


@dataclasses.dataclass
class RouteTimes:
    """Mean times of the answers of the version in force on a route."""

    samples: int = 0
    waited_ms: float = 0.0
    total_ms: float = 0.0
    pace_ms: float = 0.0

    def add(self, times):
        """Add the :class:`AnswerTimes` of a successful answer."""
        self.samples += 1
        weight = max(MEAN_WEIGHT, 1 / self.samples)
        self.waited_ms += weight * (times.waited_ms - self.waited_ms)
        self.total_ms += weight * (times.total_ms - self.total_ms)
        if times.pace_ms is not None:
            self.pace_ms += weight * (times.pace_ms - self.pace_ms)

    def is_slow(self, times):
        """Return whether an answer came several times later than usual."""
        if times.waited_ms is None:
            return False
        expected_ms = times.expected_ms
        if self.samples >= MIN_SAMPLES:
            expected_ms = max(expected_ms, self.waited_ms)
        elif not expected_ms:
            return False
        if times.waited_ms > SLOW_FACTOR * expected_ms + SLOW_MARGIN_MS:
            return True
        if times.pace_ms is None or not self.pace_ms:
            return False
        return times.pace_ms > SLOW_FACTOR * self.pace_ms


class AnswerCounts:
    """Counts of good and bad answers of one service since an order."""

    def __init__(self):
        self.tallies = collections.defaultdict(Tally)
        self.times = collections.defaultdict(RouteTimes)
        self.waiting = {}

    def restart(self):
        """Start counting for a new order."""
        self.tallies.clear()
        self.waiting.clear()

    def note_sent(self, call_id, route, endpoint_id, expected_ms, now_ms):
        """Record a call to the new version, which waits for its answer."""
        self.waiting[call_id] = (route, endpoint_id, expected_ms, now_ms)

    def sum_with_overdue(self, now_ms):
        """Return the tallies, with calls that wait too long as bad ones.

        :returns: :class:`Tally` by route and endpoint id.
        """
        tallies = dict(self.tallies)
        for route, endpoint_id, expected_ms, sent_ms in self.waiting.values():
            waited_ms = now_ms - sent_ms
            times = AnswerTimes(waited_ms, expected_ms, waited_ms)
            if self.times[route].is_slow(times):
                key = (route, endpoint_id)
                tallies[key] = tallies.get(key, Tally()) + Tally(1, 1)
        return tallies

    def note_current(self, route, failed, times):
        """Record an answer of the version in force.

        :param times: the :class:`AnswerTimes`.
        """
        known = self.times[route]
        bad = failed or known.is_slow(times)
        self.tallies[route, OLD_VERSION] += Tally(1, int(bad))
        if not failed and times.waited_ms is not None:
            known.add(times)

    def note_new(self, route, endpoint_id, failed, times):
        """Record an answer of an endpoint of the new version."""
        bad = failed or self.times[route].is_slow(times)
        self.tallies[route, endpoint_id] += Tally(1, int(bad))
