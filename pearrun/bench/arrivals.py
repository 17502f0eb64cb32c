"""Drawing a round's requests: when each arrives and what it asks."""

import dataclasses
import random

from pearrun.bench.plan import Mix
from pearrun.standins import text

CROWDING = 3


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a round.

    ``at_s`` counts from the round's start; ``key`` is the
    ``Idempotency-Key``, unique over the whole experiment.
    """

    at_s: float
    mix: Mix
    prompt: str
    key: str

    @property
    def expected(self):
        """The whole answer the stand-ins must give."""
        if self.mix.once:
            return f'acknowledged {self.prompt}'
        return text.generate_answer(self.prompt, 0, self.mix.tokens)


def draw_time(rng, arrivals):
    """Draw when a request arrives, in seconds from the round's start."""
    if rng.random() < arrivals.burst_share:
        return rng.betavariate(1, CROWDING) * arrivals.burst_s
    return rng.uniform(0, arrivals.round_s)


def draw_prompt(rng, mix, name):
    """Draw a prompt: its group's shared words, then its own."""
    group = rng.randrange(mix.groups)
    shared = min(mix.shared_words, mix.words - 1)
    words = [f'{mix.service}-{group}-{i}' for i in range(shared)]
    words += [f'{name}-{i}' for i in range(mix.words - shared)]
    return ' '.join(words)


def draw_round(plan, number, label):
    """Draw a round's arrivals, in the order of time.

    Rounds of one number have the same arrivals and mix whatever their
    label, so that policies are compared on the same demand.

    :param plan: a :class:`Plan`.
    :param number: the round's number.
    :param label: makes the keys of this round unique.
    """
    rng = random.Random(f'{plan.seed}/{number}')
    weights = [m.weight for m in plan.mix]
    drawn = []
    for index in range(plan.arrivals.requests):
        [mix] = rng.choices(plan.mix, weights)
        name = f'r{number}q{index}'
        drawn.append(
            Arrival(
                at_s=draw_time(rng, plan.arrivals),
                mix=mix,
                prompt=draw_prompt(rng, mix, name),
                key=f'{label}-{name}',
            )
        )
    return sorted(drawn, key=lambda a: a.at_s)
