"""Random generation of a round's requests and their arrival times."""

import dataclasses
import random

from pearrun.bench.plan import RequestKind
from pearrun.standins import text

# Second shape parameter of the beta distribution of arrivals in a burst; the
# larger it is, the more of them arrive near the start.
BURST_BETA = 3


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a round.

    :param at_s: its arrival time, in seconds from the round's start.
    :param key: its ``Idempotency-Key``, unique within the experiment.
    """

    at_s: float
    request_kind: RequestKind
    prompt: str
    key: str

    @property
    def expected(self):
        """The complete answer that the stand-ins should give."""
        if self.request_kind.once:
            return f'acknowledged {self.prompt}'
        return text.generate_answer(self.prompt, 0, self.request_kind.tokens)


def draw_time(rng, arrivals):
    """Draw an arrival time, in seconds from the round's start."""
    if rng.random() < arrivals.burst_share:
        return rng.betavariate(1, BURST_BETA) * arrivals.burst_s
    return rng.uniform(0, arrivals.round_s)


def draw_prompt(rng, request_kind, name):
    """Draw a prompt that begins with the words shared by its group.

    :param name: makes the other words unique.
    """
    group = rng.randrange(request_kind.groups)
    shared = min(request_kind.shared_words, request_kind.words - 1)
    words = [f'{request_kind.service}-{group}-{i}' for i in range(shared)]
    words += [f'{name}-{i}' for i in range(request_kind.words - shared)]
    return ' '.join(words)


def draw_round(plan, number, label):
    """Draw the arrivals of a round, sorted by time.

    Rounds with the same number differ only in the keys of their
    requests, so that policies are compared under the same load.

    :param plan: the :class:`Plan`.
    :param number: the round's number.
    :param label: makes the keys of this round unique.
    :returns: a list of :class:`Arrival`.
    """
    rng = random.Random(f'{plan.seed}/{number}')
    weights = [kind.weight for kind in plan.mix]
    drawn = []
    for index in range(plan.arrivals.requests):
        [request_kind] = rng.choices(plan.mix, weights)
        name = f'r{number}q{index}'
        drawn.append(
            Arrival(
                at_s=draw_time(rng, plan.arrivals),
                request_kind=request_kind,
                prompt=draw_prompt(rng, request_kind, name),
                key=f'{label}-{name}',
            )
        )
    return sorted(drawn, key=lambda a: a.at_s)
