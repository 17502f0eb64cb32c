"""How many repeated sends a host may make.

Load pattern: endpoints fail or refuse many calls at once, and every
host repeats its share of them, which would multiply the load.  The
allowance of all hosts together is a ratio of the calls plus a fixed
slack; a host uses its own calls' ratio and an equal part of the slack,
so the sum holds without the hosts' talking, cut off or not.
"""

import collections

# Part of the ratio and of the slack that is used: calls of one host may
# fall into a window in which another host's calls do not count any more.
SAFETY = 0.7


class RetryBudget:
    """Repeated sends to one service within a sliding window.

    :param settings: has ``ratio``, ``slack`` and ``window_ms``.
    """

    def __init__(self, settings):
        self.settings = settings
        self._calls = collections.deque()
        self._repeats = collections.deque()

    def count_call(self, now_ms):
        """Count a call of a caller."""
        self._calls.append(now_ms)
        self._drop_old(now_ms)

    def take(self, now_ms, hosts):
        """Ask for one repeated send.

        :param hosts: how many hosts share the slack.
        :returns: whether it may be made; if so it is counted.
        """
        self._drop_old(now_ms)
        slack = self.settings.slack / max(1, hosts)
        allowed = SAFETY * (self.settings.ratio * len(self._calls) + slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _drop_old(self, now_ms):
        oldest = now_ms - self.settings.window_ms
        for times in (self._calls, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
