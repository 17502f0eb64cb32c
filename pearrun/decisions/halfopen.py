"""When a quarantine that refuses all calls of a route is tested.

Load pattern: all endpoints of a service crash together for a reason of their
own, shortly after the hosts that knew of earlier answers were lost.  A prompt
part that all calls share has all of these crashes.  While it is quarantined no
call is served whose answer could clear it.

A route that is refused as a whole loses nothing by a single call that may
crash an endpoint.  Tests get rarer the longer endpoints crash.
"""

import collections

# Consecutive refused calls of a route on one host, after which no other calls
# are to be expected.
MIN_REFUSED = 10
# Minimum time from the last crash until the next test: endpoints that crashed
# may be starting.
MIN_GAP_MS = 2000


class RouteRefusals:
    """Counts the consecutive calls of each route that were refused."""

    def __init__(self):
        self._refused = collections.Counter()

    def note_refused(self, route):
        """Record that a call was refused because of a quarantine."""
        self._refused[route] += 1

    def note_admitted(self, route):
        """Record that a call was not refused."""
        self._refused.pop(route, None)

    def is_test_due(self, route, verdict, suspect, now_ms):
        """Return whether a call that would be refused should be sent.

        :param verdict: the :class:`Verdict` for which it would be refused.
        :param suspect: the :class:`Suspect` that stands for the verdict.
        """
        if not verdict.has_parts_only or not suspect.crashes:
            return False
        if self._refused[route] < MIN_REFUSED:
            return False
        crashing_ms = suspect.last_crash_ms - suspect.first_crash_ms
        gap_ms = max(MIN_GAP_MS, crashing_ms)
        return now_ms - suspect.last_crash_ms >= gap_ms
