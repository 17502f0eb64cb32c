"""Delays between attempts: exponential, capped, with jitter."""

import asyncio
import dataclasses
import random

from pearrun.clock import to_seconds


@dataclasses.dataclass
class Backoff:
    """Delays the repeated attempts of one operation.

    The jitter keeps requests that failed together from being retried
    together.

    :param base_ms: upper bound of the first delay; it doubles with every
        further attempt.
    :param cap_ms: upper bound of all delays.
    :param attempts: attempts made so far.
    """

    base_ms: int = 20
    cap_ms: int = 1000
    attempts: int = 0

    def next_ms(self):
        """Return the next delay in milliseconds and count an attempt."""
        ceiling = min(self.cap_ms, self.base_ms * 2 ** min(self.attempts, 16))
        self.attempts += 1
        return random.uniform(ceiling / 2, ceiling)

    async def pause(self):
        """Sleep for the next delay."""
        await asyncio.sleep(to_seconds(self.next_ms()))
