"""Ending a stream that has fallen silent."""

import asyncio


class Watchdog:
    """Calls back once nothing has been heard for a while.

    A token costs one attribute store; the timer is set again only when
    it fires, not for each token.

    :param timeout_s: seconds of silence that are too long.
    :param on_timeout: called once, without arguments, when they passed.
    """

    def __init__(self, timeout_s, on_timeout):
        self.loop = asyncio.get_running_loop()
        self.timeout_s = timeout_s
        self.on_timeout = on_timeout
        self.last_activity_s = self.loop.time()
        self.timer = self.loop.call_later(timeout_s, self.check)

    def reset(self):
        """Note that something was heard."""
        self.last_activity_s = self.loop.time()

    def check(self):
        """Call back if the silence was too long, else look again later."""
        left = self.last_activity_s + self.timeout_s - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        else:
            self.on_timeout()

    def stop(self):
        """Stop watching."""
        self.timer.cancel()
