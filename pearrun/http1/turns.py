"""Spreads work of the same kind over turns of the event loop."""

import asyncio
import collections
import time

# Longest step after which the next one follows without a pause.
SHORT_STEP_S = 0.005
# Longest pause after a step.
MAX_PAUSE_S = 0.05


class Turns:
    """Lets one of several tasks do a step of work in a turn of the loop.

    What else is due runs in between: a client that causes much work takes
    longer, and the others do not wait for it.  After a long step the next one
    waits as long as that took, so that it takes half of the time at most.
    """

    def __init__(self):
        self._waiting = collections.deque()
        self._scheduled = False
        self._released_s = None

    async def wait(self):
        """Wait until it is this task's turn."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if not self._scheduled:
            self._schedule(0.0)
        await future

    def _schedule(self, delay_s):
        self._scheduled = True
        loop = asyncio.get_running_loop()
        if delay_s:
            loop.call_later(delay_s, self._release)
        else:
            loop.call_soon(self._release)

    def _release(self):
        """Give the next task its turn, unless the last step was long."""
        self._scheduled = False
        now_s = time.monotonic()
        step_s = 0.0
        if self._released_s is not None:
            step_s = now_s - self._released_s
            self._released_s = None
        if step_s > SHORT_STEP_S:
            self._schedule(min(step_s, MAX_PAUSE_S))
            return
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                self._released_s = now_s
                # Runs after the step, which the future has scheduled.
                self._schedule(0.0)
                return
