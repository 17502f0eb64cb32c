"""Which calls are refused at once, and when their callers may return.

Load pattern: more calls than the endpoints can serve, for seconds (a
burst) or for longer (too few endpoints to be had).  A call that would wait
for most of its latency target before its own prompt is read, or whose first
token is not expected inside the time its caller has left, is refused at
once: its prompt would delay the calls behind it past their targets too,
until none is served in time, and waiting would cost its caller the time to
come back.  The time that its own prompt takes does not count against the
target, so that the largest calls are refused no more than others.
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class AdmissionSettings:
    """Limits of admission.

    :param share: part of the time left in which a first token must be
        expected; the rest is for the answer itself and for errors of
        the estimate.
    :param target_share: part of its latency target that a call may wait for
        others; its own prompt takes the rest.
    :param least_return_ms: shortest time after which to come back.
    :param longest_return_ms: longest one; callers honour a third of
        the time they have left.
    :param least_away: with ``most_away`` the range of the longest time to
        stay away, as parts of the latency target; the rest is for the
        answer.
    """

    share: float = 0.6
    target_share: float = 0.7
    least_return_ms: int = 150
    longest_return_ms: int = 2000
    least_away: float = 0.2
    most_away: float = 0.5


def admits(expected_ms, queued_ms, left_ms, target_ms, settings):
    """Say whether a call can be served in its time.

    :param expected_ms: expected time to its first token.
    :param queued_ms: it without the time in which its own prompt is read.
    :param left_ms: time until its answer is due.
    :param target_ms: its latency target; 0 for none.
    """
    if expected_ms > left_ms * settings.share:
        return False
    if not target_ms:
        return True
    return queued_ms <= target_ms * settings.target_share


def return_after_ms(expected_ms, left_ms, target_ms, settings):
    """Return when a refused caller had best come back.

    The time is drawn from a range around half of the expected wait, so
    that callers refused together do not return together.  It ends while
    the target may still be met: a caller who is away for longer is late
    whatever becomes of the load.

    :param expected_ms: time until a call may pass.
    :param left_ms: time until its answer is due.
    :param target_ms: its latency target, from its first try; 0 for none.
    """
    wanted = random.uniform(0.3, 0.8) * expected_ms
    longest = min(settings.longest_return_ms, left_ms / 3)
    if target_ms:
        share = random.uniform(settings.least_away, settings.most_away)
        longest = min(longest, share * target_ms)
    return int(max(settings.least_return_ms, min(wanted, longest)))
