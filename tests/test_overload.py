"""More calls than the engines can serve: how many are served in time."""

import dataclasses
import random

import pytest

from pearrun.decisions import admission

TARGET_MS = 800
DEADLINE_MS = 12_000
# Callers give up a stream that has not begun after four times its target.
ABANDON_MS = 4 * TARGET_MS
# About a tenth of the prompts drawn below are larger.
LARGE_TOKENS = 8500


@dataclasses.dataclass
class Played:
    """What became of the calls."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    abandoned: int = 0
    refused: int = 0
    large: int = 0
    large_refused: int = 0


def play(times, settings, engines=10, tokens_per_ms=40, seconds=40, seed=1):
    """Offer calls to engines that read one prompt after the other.

    :param times: calls asked for, as a multiple of what can be read.
    """
    rng = random.Random(seed)
    free_at = [0.0] * engines
    played = Played()
    mean_tokens = 4000
    rate_per_ms = times * engines * tokens_per_ms / mean_tokens
    now = 0.0
    while now < seconds * 1000:
        now += rng.expovariate(rate_per_ms)
        tokens = min(30_000, rng.lognormvariate(7.9, 0.9))
        index = min(range(engines), key=free_at.__getitem__)
        queued_ms = max(0, free_at[index] - now) * rng.uniform(0.7, 1.3)
        expected_ms = queued_ms + tokens / tokens_per_ms
        first_at = max(now, free_at[index]) + tokens / tokens_per_ms
        played.asked += 1
        is_large = tokens >= LARGE_TOKENS
        played.large += is_large
        if not admission.should_admit(
            expected_ms, queued_ms, DEADLINE_MS, TARGET_MS, settings
        ):
            played.refused += 1
            played.large_refused += is_large
            continue
        free_at[index] = first_at
        wait_ms = first_at - now
        if wait_ms > ABANDON_MS:
            played.abandoned += 1
        elif wait_ms > TARGET_MS:
            played.late += 1
        else:
            played.in_time += 1
    return played


@pytest.mark.parametrize('times', [1.2, 1.6, 2.5])
def test_engines_that_are_too_few_still_serve_in_time(times):
    """Admitted by the callers' deadlines alone, next to none were."""
    played = play(times, admission.AdmissionSettings())
    capacity_share = 1 / times
    assert played.in_time >= 0.6 * capacity_share * played.asked
    assert played.abandoned == 0
    by_deadline = admission.AdmissionSettings(target_share=1e9)
    assert play(times, by_deadline).in_time < 0.3 * played.in_time


def test_the_largest_prompts_are_refused_no_more_than_others():
    played = play(1.6, admission.AdmissionSettings())
    share = played.refused / played.asked
    assert played.large_refused <= 1.15 * share * played.large


def test_nothing_is_refused_while_the_engines_are_enough():
    played = play(0.6, admission.AdmissionSettings())
    assert played.refused <= 0.02 * played.asked
