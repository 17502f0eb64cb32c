"""Retry budget: how many retries a host may send.

Load pattern: endpoints fail or reject many calls at once, and every host
retries its share of them, which would multiply the load.  All hosts together
may retry a fixed ratio of the calls plus a fixed slack.  Each host applies the
ratio to its own calls and takes an equal part of the slack, so the total limit
holds without communication, even in a network partition.
"""

import collections
import dataclasses

# Fraction of the ratio and of the slack that is used.  The windows of the
# hosts are not aligned: calls of one host may fall into a window in which
# those of another host no longer count.
SAFETY_FACTOR = 0.7


@dataclasses.dataclass(frozen=True)
class RetryDecision:
    """Whether one retry is allowed, and from what that follows.

    :param left: retries that this host had left.
    :param share: its share of the slack.
    :param hosts: number of hosts that share the slack.
    """

    granted: bool
    left: float
    share: float
    hosts: int


class RetryBudget:
    """Retries to one service within a sliding window.

    :param settings: has ``ratio``, ``slack`` and ``window_ms``.
    """

    def __init__(self, settings):
        self.settings = settings
        self._calls = collections.deque()
        self._retries = collections.deque()

    def count_call(self, now_ms):
        """Count a call received from a caller; retries are not counted."""
        self._calls.append(now_ms)
        self._drop_old(now_ms)

    def take(self, now_ms, hosts):
        """Request one retry from the budget.

        :param hosts: number of hosts that share the slack.
        :returns: the :class:`RetryDecision`; a granted retry is counted.
        """
        self._drop_old(now_ms)
        slack = self.settings.slack / max(1, hosts)
        allowed = SAFETY_FACTOR * (
            self.settings.ratio * len(self._calls) + slack
        )
        left = allowed - len(self._retries)
        granted = left >= 1
        if granted:
            self._retries.append(now_ms)
        return RetryDecision(granted, left, SAFETY_FACTOR * slack, hosts)

    def _drop_old(self, now_ms):
        oldest_ms = now_ms - self.settings.window_ms
        for times in (self._calls, self._retries):
            while times and times[0] < oldest_ms:
                times.popleft()
