"""What a service's callers ask of its endpoints, measured as it comes.

Load pattern: waves, bursts and one customer's surge, while endpoints are
reclaimed or fall silent.  Calls under way are no measure of it: they pile
up when endpoints are too few or cut off, and a need taken from them rises
just when nothing more is asked.  So what counts is what comes: calls, their
time as answered calls took it, and the tokens to read.
"""

import collections
import dataclasses

# Length over which what comes is averaged: long prompts are few, and the sum
# of their tokens varies much over less.
SPAN_MS = 3000
# What comes is added up in steps of this length.
STEP_MS = 250
# Part of a mean that each further answer leaves of it: an answer counts for
# half after 69 others, so that a few calls held up do not show.
KEEP = 0.99
# Time of an answered call until one was seen: a second, about that of the
# shorter generations.
FIRST_ANSWER_MS = 1000.0
# Answers that it counts for: a host of a large fleet gets few of them.
FIRST_WEIGHT = 2
# A latency target counts if at least this part of the calls bear it.
TARGET_SHARE = 0.1


@dataclasses.dataclass(frozen=True)
class Demand:
    """What is asked of a service; sums over hosts are sums of fields.

    :param busy: calls that are under way at a time if each takes as long as
        answered ones did.
    :param tokens_per_s: prompt tokens to read in a second.
    :param squares_per_s: sum of the squares of the prompts' tokens to read
        in a second; with the former, the mean time that a call finds left
        of a prompt being read.
    :param target_ms: the shortest latency target that matters; 0 if none.
    """

    busy: float = 0.0
    tokens_per_s: float = 0.0
    squares_per_s: float = 0.0
    target_ms: int = 0


NO_DEMAND = Demand()


@dataclasses.dataclass
class Step:
    """What came within one step of time."""

    began_ms: int
    calls: int = 0
    tokens: float = 0.0
    squares: float = 0.0
    targets: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class DemandMeter:
    """Measures what comes through one host for one service."""

    def __init__(self):
        self.answer_ms = FIRST_ANSWER_MS
        self._answers = 0
        self._steps = collections.deque()

    def note_call(self, tokens, target_ms, now_ms):
        """Note a call that came, whether or not it can be served.

        :param tokens: prompt tokens that an endpoint has to read for it.
        :param target_ms: the latency target of its route.
        """
        if not self._steps or now_ms - self._steps[-1].began_ms >= STEP_MS:
            self._steps.append(Step(now_ms))
        step = self._steps[-1]
        step.calls += 1
        step.tokens += tokens
        step.squares += float(tokens) * tokens
        step.targets[target_ms] += 1

    def note_answer(self, took_ms):
        """Note how long a call took that was answered whole."""
        self._answers += 1
        share = max(1 - KEEP, 1 / (self._answers + FIRST_WEIGHT))
        self.answer_ms += share * (took_ms - self.answer_ms)

    def measure(self, now_ms):
        """Return the :class:`Demand` of the last span."""
        while self._steps and now_ms - self._steps[0].began_ms > SPAN_MS:
            self._steps.popleft()
        span_s = SPAN_MS / 1000.0
        calls = sum(step.calls for step in self._steps)
        return Demand(
            busy=calls / span_s * self.answer_ms / 1000.0,
            tokens_per_s=sum(step.tokens for step in self._steps) / span_s,
            squares_per_s=sum(step.squares for step in self._steps) / span_s,
            target_ms=self._find_target(calls),
        )

    def _find_target(self, calls):
        targets = collections.Counter()
        for step in self._steps:
            targets.update(step.targets)
        usual = [
            target_ms
            for target_ms, count in targets.items()
            if target_ms > 0 and count >= calls * TARGET_SHARE
        ]
        return min(usual, default=0)


def add_demands(demands):
    """Add up several hosts' :class:`Demand`."""
    demands = list(demands)
    targets = [demand.target_ms for demand in demands if demand.target_ms]
    return Demand(
        busy=sum(demand.busy for demand in demands),
        tokens_per_s=sum(demand.tokens_per_s for demand in demands),
        squares_per_s=sum(demand.squares_per_s for demand in demands),
        target_ms=min(targets, default=0),
    )
