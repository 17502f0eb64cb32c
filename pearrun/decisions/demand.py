"""Measures the demand on a service from its arriving calls.

Load pattern: waves, bursts and a surge of a single customer, while endpoints
are reclaimed or stop responding.  The number of calls in progress does not
measure demand: calls accumulate when endpoints are too few or unreachable, so
that an estimate based on it rises although demand does not.  Demand is
therefore measured from arrivals: the call rate, the typical duration of
completed calls, and the prompt tokens.
"""

import collections
import dataclasses

# Averaging window.  Long prompts are rare, so the sum of tokens varies widely
# over shorter windows.
WINDOW_MS = 3000
# Arrivals are summed up in intervals of this length.
INTERVAL_MS = 250
# Decay factor of the moving average of call durations, per completed call.
# The weight of a call halves after 69 further calls, so a few delayed calls
# have little effect.
DECAY = 0.99
# Assumed call duration before the first call completes: about that of the
# shorter generations.
INITIAL_ANSWER_MS = 1000.0
# Weight of the assumed duration, in completed calls.  Small, since each host
# of a large fleet sees only a few calls.
INITIAL_WEIGHT = 2
# A latency target is considered if at least this fraction of the calls has it.
MIN_TARGET_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand on a service; hosts are summed up field by field.

    :param busy: expected number of concurrent calls, if each takes as long as
        completed calls did.
    :param tokens_per_s: prompt tokens per second.
    :param squares_per_s: sum of the squared prompt lengths per second;
        together with ``tokens_per_s`` it gives the mean remaining time of a
        prompt that is being processed when a call arrives.
    :param target_ms: the shortest latency target that a relevant part of the
        calls has; 0 if none.
    """

    busy: float = 0.0
    tokens_per_s: float = 0.0
    squares_per_s: float = 0.0
    target_ms: int = 0


NO_DEMAND = Demand()


@dataclasses.dataclass
class Interval:
    """Arrivals within one time interval."""

    started_ms: int
    calls: int = 0
    tokens: float = 0.0
    squares: float = 0.0
    targets: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class DemandMeter:
    """Measures the demand on one service through one host.

    ``answer_ms`` is the moving average of the durations of completed calls.
    """

    def __init__(self):
        self.answer_ms = INITIAL_ANSWER_MS
        self._answers = 0
        self._intervals = collections.deque()

    def note_call(self, tokens, target_ms, now_ms):
        """Record an arriving call, whether or not it can be served.

        :param tokens: prompt tokens that an endpoint has to process for it.
        :param target_ms: the latency target of its route.
        """
        if (
            not self._intervals
            or now_ms - self._intervals[-1].started_ms >= INTERVAL_MS
        ):
            self._intervals.append(Interval(now_ms))
        interval = self._intervals[-1]
        interval.calls += 1
        interval.tokens += tokens
        interval.squares += float(tokens) * tokens
        interval.targets[target_ms] += 1

    def note_answer(self, duration_ms):
        """Record the duration of a completed call."""
        self._answers += 1
        share = max(1 - DECAY, 1 / (self._answers + INITIAL_WEIGHT))
        self.answer_ms += share * (duration_ms - self.answer_ms)

    def measure(self, now_ms):
        """Return the :class:`Demand` of the last window."""
        while (
            self._intervals
            and now_ms - self._intervals[0].started_ms > WINDOW_MS
        ):
            self._intervals.popleft()
        window_s = WINDOW_MS / 1000.0
        calls = sum(interval.calls for interval in self._intervals)
        return Demand(
            busy=calls / window_s * self.answer_ms / 1000.0,
            tokens_per_s=sum(interval.tokens for interval in self._intervals)
            / window_s,
            squares_per_s=sum(interval.squares for interval in self._intervals)
            / window_s,
            target_ms=self._find_target(calls),
        )

    def _find_target(self, calls):
        targets = collections.Counter()
        for interval in self._intervals:
            targets.update(interval.targets)
        frequent = [
            target_ms
            for target_ms, count in targets.items()
            if target_ms > 0 and count >= calls * MIN_TARGET_SHARE
        ]
        return min(frequent, default=0)


def add_demands(demands):
    """Sum up the :class:`Demand` of several hosts."""
    demands = list(demands)
    targets = [demand.target_ms for demand in demands if demand.target_ms]
    return Demand(
        busy=sum(demand.busy for demand in demands),
        tokens_per_s=sum(demand.tokens_per_s for demand in demands),
        squares_per_s=sum(demand.squares_per_s for demand in demands),
        target_ms=min(targets, default=0),
    )
