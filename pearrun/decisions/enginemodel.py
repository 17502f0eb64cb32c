"""How fast the engines of a service read prompts, learnt from their answers.

Load pattern: engines of one customer read twice as many tokens in a
millisecond as another's, and nothing in the configuration says so.  The
time to a first token grows with the prompt tokens that an engine has to
read before it; a straight line through (tokens, time) gives the fixed part
and the reading speed.  Old answers weigh less and less, so that the line
follows a change of the engines.

A first guess stands in for answers until some have come.  What is far off
the line, such as the answer of a paused or faulty endpoint, is left out.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineModelSettings:
    """First guess and memory of the learnt line.

    :param tokens_per_ms: prompt tokens read in a millisecond, as guessed:
        the slower of two engines that were measured (55 and 112).
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
    guess_weight: float = 20.0
    keep: float = 0.995
    outlier_times: float = 4.0
    outlier_ms: float = 200.0
    most_times: float = 8.0


# Tokens at which the guess is taken to be known, besides at none: about a
# long prompt.
GUESS_TOKENS = 8000.0


class EngineModel:
    """The line through what answers showed of a service's engines."""

    def __init__(self, settings=None):
        self.settings = settings or EngineModelSettings()
        self.answers = 0
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self._add_guess()
        self._fit()

    def note_first(self, tokens, waited_ms):
        """Note the time to a first token.

        :param tokens: prompt tokens that were to be read until then, those
            of calls before it included.
        :param waited_ms: milliseconds from its sending.
        """
        settings = self.settings
        expected_ms = self.expect_ms(tokens)
        most_ms = expected_ms * settings.outlier_times + settings.outlier_ms
        if waited_ms > most_ms:
            return
        self.answers += 1
        self._decay()
        self._add(1.0, float(tokens), float(waited_ms))
        self._fit()

    def expect_ms(self, tokens):
        """Return the expected time to a first token, in milliseconds."""
        return self.base_ms + tokens / self.tokens_per_ms

    def _add_guess(self):
        settings = self.settings
        half = settings.guess_weight / 2
        self._add(half, 0.0, settings.base_ms)
        far_ms = settings.base_ms + GUESS_TOKENS / settings.tokens_per_ms
        self._add(half, GUESS_TOKENS, far_ms)

    def _add(self, weight, x, y):
        self._weight += weight
        self._x += weight * x
        self._y += weight * y
        self._xx += weight * x * x
        self._xy += weight * x * y

    def _decay(self):
        keep = self.settings.keep
        self._weight *= keep
        self._x *= keep
        self._y *= keep
        self._xx *= keep
        self._xy *= keep

    def _fit(self):
        settings = self.settings
        slowest = settings.tokens_per_ms / settings.most_times
        fastest = settings.tokens_per_ms * settings.most_times
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        spread = self._xx / self._weight - mean_x * mean_x
        common = self._xy / self._weight - mean_x * mean_y
        ms_per_token = common / spread if spread > 0 else 0.0
        ms_per_token = max(1 / fastest, min(1 / slowest, ms_per_token))
        self.tokens_per_ms = 1 / ms_per_token
        self.base_ms = max(0.0, mean_y - ms_per_token * mean_x)
