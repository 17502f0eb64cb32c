"""Retry budget: how many retries a host may send to a service.

Load pattern: endpoints fail or reject many calls at once, every host retries
its share of them, which would multiply the load, while hosts end, start again
and take over each other's callers.  In any window, all hosts together may
retry a fixed ratio of the calls plus a fixed slack.

Each host has a token bucket, which holds one part of what may be used in a
window and gets another part while the window passes: for each call a fraction
of the ratio, and over time a fraction of its share of the slack.  A host
starts with an empty bucket.  The retries in a window are thus limited by the
calls before it and the calls in it, whichever hosts received them and however
often these were restarted, without communication and also in a network
partition.  Only the slack depends on the number of hosts; until a host knows
that, it has the ratio alone.
"""

import collections
import dataclasses

# Fraction of the ratio and of the slack that a window adds, and the fraction
# that a bucket holds.  Their sum is below 1, so that retries may arrive late
# and hosts may be unknown to others for a moment.
ADDED_SHARE = 0.5
HELD_SHARE = 0.45
# A bucket holds one retry even if its part is smaller, unless a host may use
# less than that in a whole window.
MIN_CAPACITY = 1.0


@dataclasses.dataclass(frozen=True)
class RetryDecision:
    """Whether one retry is allowed, and from what that follows.

    :param left: retries that this host had left.
    :param share: its share of the slack.
    :param hosts: number of hosts that share the slack; ``None`` if unknown.
    """

    granted: bool
    left: float
    share: float
    hosts: int | None


class HostCount:
    """The largest number of hosts listed within a window.

    Hosts that leave the list have spent retries, and hosts that are replaced
    one after the other would all count few others.
    """

    def __init__(self, window_ms):
        self.window_ms = window_ms
        self._largest = 0
        self._listed_ms = 0

    def update(self, listed, now_ms):
        """Return the largest number.

        :param listed: number of hosts that are listed now.
        :param now_ms: monotonic time.
        """
        has_expired = now_ms - self._listed_ms > self.window_ms
        if listed >= self._largest or has_expired:
            self._largest = listed
            self._listed_ms = now_ms
        return self._largest


class RetryBudget:
    """Retries to one service.

    :param settings: has ``ratio``, ``slack`` and ``window_ms``.
    :param started_ms: when this host started, in monotonic time.
    """

    def __init__(self, settings, started_ms):
        self.settings = settings
        self.tokens = 0.0
        self.updated_ms = started_ms
        self._calls = collections.deque()

    def count_call(self, now_ms, hosts):
        """Count a call received from a caller; retries are not counted.

        :param hosts: number of hosts that share the slack; ``None`` if it is
            unknown.
        """
        self._calls.append(now_ms)
        self._refill(now_ms, hosts, ADDED_SHARE * self.settings.ratio)

    def take(self, now_ms, hosts):
        """Request one retry from the budget.

        :param hosts: see :meth:`count_call`.
        :returns: the :class:`RetryDecision`; a granted retry is counted.
        """
        self._refill(now_ms, hosts)
        left = self.tokens
        granted = left >= 1.0
        if granted:
            self.tokens -= 1.0
        return RetryDecision(granted, left, self._get_share(hosts), hosts)

    def _refill(self, now_ms, hosts, earned=0.0):
        """Add the tokens that have accrued.

        Time counts only once the number of hosts is known.

        :param earned: tokens added for a call.
        """
        share = self._get_share(hosts)
        accrued = 0.0
        if hosts is not None:
            windows = (now_ms - self.updated_ms) / self.settings.window_ms
            accrued = ADDED_SHARE * share * windows
            self.updated_ms = now_ms
        capacity = self._compute_capacity(now_ms, share)
        self.tokens = min(capacity, self.tokens + accrued + earned)

    def _compute_capacity(self, now_ms, share):
        oldest_ms = now_ms - self.settings.window_ms
        while self._calls and self._calls[0] < oldest_ms:
            self._calls.popleft()
        usable = self.settings.ratio * len(self._calls) + share
        return max(min(MIN_CAPACITY, usable), HELD_SHARE * usable)

    def _get_share(self, hosts):
        """Return this host's share of the slack."""
        return self.settings.slack / hosts if hosts else 0.0
