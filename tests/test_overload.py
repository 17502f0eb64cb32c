"""Admission under overload: how many calls are served in time."""

import dataclasses
import random

import pytest

from pearrun.decisions import admission

TARGET_MS = 800
DEADLINE_MS = 12_000
# Callers abandon a stream without a first token after four times its target.
ABANDON_MS = 4 * TARGET_MS
# About a tenth of the prompts drawn below are larger.
LARGE_TOKENS = 8500


@dataclasses.dataclass
class Outcome:
    """Number of calls by result."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    abandoned: int = 0
    rejected: int = 0
    large: int = 0
    large_rejected: int = 0


def simulate(
    overload, settings, engines=10, tokens_per_ms=40, seconds=40, seed=1
):
    """Send calls to engines that process one prompt at a time.

    :param overload: offered load as a multiple of the capacity.
    """
    rng = random.Random(seed)
    free_at = [0.0] * engines
    outcome = Outcome()
    mean_tokens = 4000
    rate_per_ms = overload * engines * tokens_per_ms / mean_tokens
    now = 0.0
    while now < seconds * 1000:
        now += rng.expovariate(rate_per_ms)
        tokens = min(30_000, rng.lognormvariate(7.9, 0.9))
        index = min(range(engines), key=free_at.__getitem__)
        queued_ms = max(0, free_at[index] - now) * rng.uniform(0.7, 1.3)
        expected_ms = queued_ms + tokens / tokens_per_ms
        first_at = max(now, free_at[index]) + tokens / tokens_per_ms
        outcome.offered += 1
        is_large = tokens >= LARGE_TOKENS
        outcome.large += is_large
        if not admission.should_admit(
            expected_ms, queued_ms, DEADLINE_MS, TARGET_MS, settings
        ):
            outcome.rejected += 1
            outcome.large_rejected += is_large
            continue
        free_at[index] = first_at
        wait_ms = first_at - now
        if wait_ms > ABANDON_MS:
            outcome.abandoned += 1
        elif wait_ms > TARGET_MS:
            outcome.late += 1
        else:
            outcome.in_time += 1
    return outcome


@pytest.mark.parametrize('overload', [1.2, 1.6, 2.5])
def test_overloaded_engines_still_serve_in_time(overload):
    """Admission by deadline alone serves almost no call in time."""
    outcome = simulate(overload, admission.AdmissionSettings())
    capacity_share = 1 / overload
    assert outcome.in_time >= 0.6 * capacity_share * outcome.offered
    assert outcome.abandoned == 0
    by_deadline = admission.AdmissionSettings(target_share=1e9)
    assert simulate(overload, by_deadline).in_time < 0.3 * outcome.in_time


def test_large_prompts_are_not_rejected_more_than_others():
    outcome = simulate(1.6, admission.AdmissionSettings())
    share = outcome.rejected / outcome.offered
    assert outcome.large_rejected <= 1.15 * share * outcome.large


def test_almost_nothing_is_rejected_with_sufficient_engines():
    outcome = simulate(0.6, admission.AdmissionSettings())
    assert outcome.rejected <= 0.02 * outcome.offered
