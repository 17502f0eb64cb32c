"""Admission control: which calls to reject, and their Retry-After time.

Load pattern: the endpoints receive more calls than they can serve, either
briefly (a burst) or for longer (no further endpoints are available).  A call
is rejected immediately if it would queue for most of its latency target
before its own prompt is processed, or if its first token is not expected
within the time that the caller has left.  Admitting it would delay the calls
queued behind it beyond their targets as well, until no call is served in
time, and its caller would lose the time for a retry.  The processing time of
the call's own prompt does not count against the target, so large calls are
not rejected more often than others.

An endpoint without calls has nothing to queue behind.  What it is expected to
take besides the call's own prompt was learnt from earlier answers, and only
the answers to further calls can correct it.
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class AdmissionSettings:
    """Admission limits.

    :param deadline_share: fraction of the remaining time within which the
        first token must be expected; the rest is for generating the answer and
        for errors of the estimate.
    :param target_share: fraction of its latency target that a call may queue
        behind others; the rest is for its own prompt.
    :param min_retry_after_ms: lower bound of the Retry-After time.
    :param max_retry_after_ms: upper bound of the Retry-After time; callers
        wait for at most a third of their remaining time.
    :param min_retry_share: with ``max_retry_share``, the range from which a
        further upper bound is drawn, as fractions of the latency target; the
        rest of the target is for the answer.
    """

    deadline_share: float = 0.6
    target_share: float = 0.7
    min_retry_after_ms: int = 150
    max_retry_after_ms: int = 2000
    min_retry_share: float = 0.2
    max_retry_share: float = 0.5


def should_admit(
    expected_ms, queued_ms, remaining_ms, target_ms, settings, is_idle=False
):
    """Return whether a call can be served in time.

    :param expected_ms: expected time to its first token.
    :param queued_ms: the same without the processing time of its own prompt.
    :param remaining_ms: time until its deadline.
    :param target_ms: its latency target; 0 for none.
    :param is_idle: whether the endpoint has no other calls.
    """
    if is_idle:
        expected_ms -= queued_ms
        queued_ms = 0
    if expected_ms > remaining_ms * settings.deadline_share:
        return False
    if not target_ms:
        return True
    return queued_ms <= target_ms * settings.target_share


def compute_retry_after_ms(expected_ms, remaining_ms, target_ms, settings):
    """Return the time after which a rejected caller should retry.

    The time is random, around half of the expected wait, so that callers
    rejected together do not retry together.  It is bounded by a fraction of
    the latency target, because a caller that stays away for longer misses its
    target even if the load drops.

    :param expected_ms: expected time until a call can be admitted.
    :param remaining_ms: time until the call's deadline.
    :param target_ms: its latency target, counted from its first attempt; 0 for
        none.
    """
    wanted = random.uniform(0.3, 0.8) * expected_ms
    longest = min(settings.max_retry_after_ms, remaining_ms / 3)
    if target_ms:
        share = random.uniform(
            settings.min_retry_share, settings.max_retry_share
        )
        longest = min(longest, share * target_ms)
    return int(max(settings.min_retry_after_ms, min(wanted, longest)))
