"""Calls that endpoints began to run, by customer and time window."""

# Windows kept: a report is due two windows after the window's end.
KEPT_WINDOWS = 8


class UsageCounts:
    """Counts of this host; ``changes`` grows with each of them.

    :param wall_ms: returns the corrected time of day.
    :param window_ms: length of a window.
    """

    def __init__(self, wall_ms, window_ms):
        self.wall_ms = wall_ms
        self.window_ms = window_ms
        self.windows = {}
        self.changes = 0

    def window_now(self):
        """Return the number of the present window."""
        return self.wall_ms() // self.window_ms

    def count(self, call):
        """Count a call that an endpoint began to run."""
        if call.customer is None:
            return
        window = self.window_now()
        counts = self.windows.get(window)
        if counts is None:
            counts = self.windows[window] = {}
            for old in [w for w in self.windows if w < window - KEPT_WINDOWS]:
                del self.windows[old]
        name = call.customer.name
        counts[name] = counts.get(name, 0) + 1
        self.changes += 1
