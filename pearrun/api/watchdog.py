"""Ending a stream that has fallen silent."""

import asyncio


class Watchdog:
    """Calls back once nothing has been heard for a while.

    A token costs one attribute store; the timer is set again only when
    it fires, not for each token.

    :param silence_s: seconds of silence that are too long.
    :param on_silence: called once, without arguments, when they passed.
    """

    def __init__(self, silence_s, on_silence):
        self.loop = asyncio.get_running_loop()
        self.silence_s = silence_s
        self.on_silence = on_silence
        self.heard = self.loop.time()
        self.timer = self.loop.call_later(silence_s, self.check)

    def hear(self):
        """Note that something was heard."""
        self.heard = self.loop.time()

    def check(self):
        """Call back if the silence was too long, else look again later."""
        left = self.heard + self.silence_s - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        else:
            self.on_silence()

    def stop(self):
        """Stop watching."""
        self.timer.cancel()
