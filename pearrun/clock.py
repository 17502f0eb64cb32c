"""Clocks and durations in milliseconds."""

import dataclasses
import time
from typing import NewType

Millis = NewType('Millis', int)


@dataclasses.dataclass(frozen=True)
class Clock:
    """Reads time in whole milliseconds.

    Monotonic time is used for timeouts and latencies; wall-clock time only
    for records that leave the process.
    """

    def now(self) -> Millis:
        """Return monotonic time.

        :returns: milliseconds since an arbitrary point.
        """
        return Millis(time.monotonic_ns() // 1_000_000)

    def boot(self) -> Millis:
        """Return monotonic time that includes time in suspend.

        :returns: milliseconds since the host started.
        """
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000)

    def wall(self) -> Millis:
        """Return wall-clock time.

        :returns: milliseconds since the Unix epoch.
        """
        return Millis(time.time_ns() // 1_000_000)

    def since(self, start: Millis) -> Millis:
        """Return the milliseconds elapsed since ``start``.

        :param start: an earlier result of :meth:`now`.
        :returns: elapsed milliseconds, never negative.
        """
        return Millis(max(0, self.now() - start))


def to_seconds(value: Millis) -> float:
    """Convert milliseconds to seconds, the unit of library calls.

    :param value: a duration in milliseconds.
    :returns: the same duration in seconds.
    """
    return value / 1000.0
