"""Inactivity timeout of a stream."""

import asyncio


class Watchdog:
    """Calls a function after a time without activity.

    A reset only stores the time: the timer is rescheduled when it
    expires and not for each token, which would cost more.

    :param timeout_s: seconds without activity until the timeout.
    :param on_timeout: called once, without arguments, on the timeout.
    """

    def __init__(self, timeout_s, on_timeout):
        self.loop = asyncio.get_running_loop()
        self.timeout_s = timeout_s
        self.on_timeout = on_timeout
        self.last_activity_s = self.loop.time()
        self.timer = self.loop.call_later(timeout_s, self.check)

    def reset(self):
        """Record activity."""
        self.last_activity_s = self.loop.time()

    def check(self):
        """Call ``on_timeout`` if the time has passed, else reschedule."""
        left = self.last_activity_s + self.timeout_s - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        else:
            self.on_timeout()

    def stop(self):
        """Cancel the timer."""
        self.timer.cancel()
