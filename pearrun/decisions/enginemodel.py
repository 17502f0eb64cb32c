"""Learns the prefill speed of the engines of a service.

Load pattern: the engines of one customer process twice as many prompt tokens
per millisecond as those of another, and the configuration does not say so.
The time to the first token grows linearly with the number of prompt tokens
that an engine has to process first, so a linear regression over (tokens,
time) yields the fixed latency and the prefill speed.  Older samples are
weighted down exponentially, so that the model follows changes of the engines.

The regression sums of several hosts can be added up, because the few samples
per second of a single host are too few for a model of its own.  A prior
stands in for samples until some have arrived.  Outliers, such as responses of
a paused or faulty endpoint, are ignored.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class EngineModelSettings:
    """Prior and decay of the learnt model.

    :param tokens_per_ms: prefill speed of the prior: that of a slow engine.
    :param base_ms: time to the first token without prompt tokens, in the
        prior.
    :param prior_weight: weight of the prior, in samples.
    :param decay: factor applied to the weight of past samples for each new
        one; at 0.995 a weight halves after 138 further samples, which is some
        seconds of one host's share of a service.
    :param outlier_factor: a sample is ignored if its time exceeds the
        prediction times this factor plus ``outlier_ms``.
    :param outlier_ms: see ``outlier_factor``.
    :param max_prior_factor: the learnt speed stays within this factor of the
        prior, in either direction.
    """

    tokens_per_ms: float = 55.0
    base_ms: float = 30.0
    prior_weight: float = 8.0
    decay: float = 0.995
    outlier_factor: float = 4.0
    outlier_ms: float = 200.0
    max_prior_factor: float = 8.0


# Prompt length of the second support point of the prior, beside zero: about
# that of a long prompt.
PRIOR_TOKENS = 8000.0


@dataclasses.dataclass(frozen=True)
class RegressionSums:
    """Weighted sums over samples of tokens (x) and time (y).

    :param weight: number of samples, older ones weighted less.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def combine(self, other):
        """Return the sums over both sets of samples."""
        return RegressionSums(
            self.weight + other.weight,
            self.x + other.x,
            self.y + other.y,
            self.xx + other.xx,
            self.xy + other.xy,
        )

    def scale(self, factor):
        """Return the sums with every weight multiplied by a factor."""
        return RegressionSums(
            self.weight * factor,
            self.x * factor,
            self.y * factor,
            self.xx * factor,
            self.xy * factor,
        )


EMPTY_SUMS = RegressionSums()


@dataclasses.dataclass(frozen=True)
class EngineModel:
    """Expected performance of the engines of a service.

    :param base_ms: time to the first token without prompt tokens.
    :param answers: number of samples behind the model, without the prior.
    """

    tokens_per_ms: float
    base_ms: float
    answers: float = 0.0

    def predict_ms(self, tokens):
        """Return the predicted time to the first token in milliseconds."""
        return self.base_ms + tokens / self.tokens_per_ms


def make_sums(tokens, waited_ms, weight=1.0):
    """Return the :class:`RegressionSums` of one sample."""
    x, y = float(tokens), float(waited_ms)
    return RegressionSums(
        weight, weight * x, weight * y, weight * x * x, weight * x * y
    )


@functools.lru_cache(8)
def make_prior(settings):
    """Return the :class:`RegressionSums` of the prior."""
    half = settings.prior_weight / 2
    far_ms = settings.base_ms + PRIOR_TOKENS / settings.tokens_per_ms
    near = make_sums(0, settings.base_ms, half)
    return near.combine(make_sums(PRIOR_TOKENS, far_ms, half))


def fit_model(sums, settings):
    """Fit the regression line to the samples and the prior.

    :param sums: :class:`RegressionSums` of the samples.
    :returns: an :class:`EngineModel`.
    """
    total = sums.combine(make_prior(settings))
    mean_x = total.x / total.weight
    mean_y = total.y / total.weight
    variance = total.xx / total.weight - mean_x * mean_x
    covariance = total.xy / total.weight - mean_x * mean_y
    slowest = settings.tokens_per_ms / settings.max_prior_factor
    fastest = settings.tokens_per_ms * settings.max_prior_factor
    ms_per_token = covariance / variance if variance > 0 else 0.0
    ms_per_token = max(1 / fastest, min(1 / slowest, ms_per_token))
    base_ms = max(0.0, mean_y - ms_per_token * mean_x)
    return EngineModel(1 / ms_per_token, base_ms, sums.weight)


def is_outlier(model, tokens, waited_ms, settings):
    """Return whether a sample took too long to reflect the prefill speed.

    :param model: the :class:`EngineModel` that predicts its time.
    """
    expected_ms = model.predict_ms(tokens)
    limit_ms = expected_ms * settings.outlier_factor + settings.outlier_ms
    return waited_ms > limit_ms


def add_sums(reports):
    """Sum up the :class:`RegressionSums` of several hosts by service."""
    sums = {}
    for report in reports:
        for name, host_sums in report.items():
            sums[name] = sums.get(name, EMPTY_SUMS).combine(host_sums)
    return sums
