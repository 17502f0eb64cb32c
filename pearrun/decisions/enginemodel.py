"""How fast the engines of a service read prompts, learnt from their answers.

Load pattern: engines of one customer read twice as many tokens in a
millisecond as another's, and nothing in the configuration says so.  The
time to a first token grows with the prompt tokens that an engine has to
read before it; a straight line through (tokens, time) gives the fixed part
and the reading speed.  Old answers weigh less and less, so that the line
follows a change of the engines.

The sums that a line is drawn through can be added up over hosts: each has
seen a few answers a second, too few for a line of its own.
A first guess stands in for answers until some have come.  What is far off
the line, such as the answer of a paused or faulty endpoint, is left out.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class EngineModelSettings:
    """First guess and memory of the learnt line.

    :param tokens_per_ms: prompt tokens read in a millisecond, as guessed:
        that of a slow engine.
    :param base_ms: milliseconds to a first token with nothing to read.
    :param guess_weight: answers that the guess counts for.
    :param keep: part of the weight of past answers left by each new one; at
        0.995 an answer counts for half after 138 others, some seconds of
        one host's share of a service.
    :param outlier_times: an answer is left out beyond so many times what
        was expected of it and ``outlier_ms`` more.
    :param outlier_ms: see there.
    :param most_times: the learnt speed stays within this factor of the
        guess, either way.
    """

    tokens_per_ms: float = 55.0
    base_ms: float = 30.0
    guess_weight: float = 8.0
    keep: float = 0.995
    outlier_times: float = 4.0
    outlier_ms: float = 200.0
    most_times: float = 8.0


# Tokens at which the guess is taken to be known, besides at none: about a
# long prompt.
GUESS_TOKENS = 8000.0


@dataclasses.dataclass(frozen=True)
class LineSums:
    """Sums over answers, of the tokens read (x) and the time taken (y).

    :param weight: answers, older ones counting for less.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def plus(self, other):
        """Return the sums over both sets of answers."""
        return LineSums(
            self.weight + other.weight,
            self.x + other.x,
            self.y + other.y,
            self.xx + other.xx,
            self.xy + other.xy,
        )

    def times(self, factor):
        """Return the sums with every answer counting by a factor."""
        return LineSums(
            self.weight * factor,
            self.x * factor,
            self.y * factor,
            self.xx * factor,
            self.xy * factor,
        )


NO_ANSWERS = LineSums()


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """What is expected of a service's engines.

    :param base_ms: milliseconds to a first token with nothing to read.
    :param answers: answers that the model rests on, the guess left out.
    """

    tokens_per_ms: float
    base_ms: float
    answers: float = 0.0

    def expect_ms(self, tokens):
        """Return the expected time to a first token, in milliseconds."""
        return self.base_ms + tokens / self.tokens_per_ms


def make_sums(tokens, waited_ms, weight=1.0):
    """Return the :class:`LineSums` of one answer."""
    x, y = float(tokens), float(waited_ms)
    return LineSums(
        weight, weight * x, weight * y, weight * x * x, weight * x * y
    )


@functools.lru_cache(8)
def make_guess(settings):
    """Return the :class:`LineSums` that stand in for answers."""
    half = settings.guess_weight / 2
    far_ms = settings.base_ms + GUESS_TOKENS / settings.tokens_per_ms
    near = make_sums(0, settings.base_ms, half)
    return near.plus(make_sums(GUESS_TOKENS, far_ms, half))


def fit(sums, settings):
    """Draw the line through answers and the guess.

    :param sums: :class:`LineSums` of the answers.
    :returns: an :class:`EngineModel`.
    """
    total = sums.plus(make_guess(settings))
    mean_x = total.x / total.weight
    mean_y = total.y / total.weight
    spread = total.xx / total.weight - mean_x * mean_x
    common = total.xy / total.weight - mean_x * mean_y
    slowest = settings.tokens_per_ms / settings.most_times
    fastest = settings.tokens_per_ms * settings.most_times
    ms_per_token = common / spread if spread > 0 else 0.0
    ms_per_token = max(1 / fastest, min(1 / slowest, ms_per_token))
    base_ms = max(0.0, mean_y - ms_per_token * mean_x)
    return EngineModel(1 / ms_per_token, base_ms, sums.weight)


def is_outlier(model, tokens, waited_ms, settings):
    """Say whether an answer is too late to tell of the reading speed.

    :param model: what was expected.
    """
    expected_ms = model.expect_ms(tokens)
    most_ms = expected_ms * settings.outlier_times + settings.outlier_ms
    return waited_ms > most_ms


def add_sums(reports):
    """Add up several hosts' :class:`LineSums` by service."""
    sums = {}
    for report in reports:
        for name, line in report.items():
            sums[name] = sums.get(name, NO_ANSWERS).plus(line)
    return sums
