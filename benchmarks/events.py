"""Events of a simulation, in the order of their times."""

import heapq
import itertools


class EventQueue:
    """Base of simulations; ``now_ms`` is the present simulated time."""

    def __init__(self):
        self.now_ms = 0.0
        self._events = []
        self._order = itertools.count()

    def schedule(self, delay_ms, action, *args):
        """Schedule an action.

        :param delay_ms: time from now until it runs.
        """
        due_ms = self.now_ms + delay_ms
        event = (due_ms, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run_until(self, end_ms):
        """Run the actions that are due before ``end_ms``."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
