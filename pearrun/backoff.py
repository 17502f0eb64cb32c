"""Pauses between tries: exponential, capped, with full jitter."""

import asyncio
import dataclasses
import random

from pearrun.clock import to_seconds


@dataclasses.dataclass
class Backoff:
    """Spaces out the tries of one piece of work.

    The jitter keeps a burst of requests that failed together from
    coming back together.
    """

    base_ms: int = 20
    cap_ms: int = 1000
    attempts: int = 0

    def next_ms(self):
        """Return the next pause in milliseconds, and count a try."""
        ceiling = min(self.cap_ms, self.base_ms * 2 ** min(self.attempts, 16))
        self.attempts += 1
        return random.uniform(ceiling / 2, ceiling)

    async def pause(self):
        """Sleep for the next pause."""
        await asyncio.sleep(to_seconds(self.next_ms()))
