"""Counts of calls begun by endpoints, by customer and time window."""

# Past windows kept; a report is due two windows after the end of its window.
KEPT_WINDOWS = 8


class UsageCounts:
    """Usage counts of this host; ``changes`` increases with each call.

    :param wall_ms: function that returns the corrected wall-clock time.
    :param window_ms: length of a window in milliseconds.
    """

    def __init__(self, wall_ms, window_ms):
        self.wall_ms = wall_ms
        self.window_ms = window_ms
        self.windows = {}
        self.changes = 0

    def get_current_window(self):
        """Return the number of the current window."""
        return self.wall_ms() // self.window_ms

    def count(self, call):
        """Count a call that an endpoint has started to execute."""
        if call.customer is None:
            return
        window = self.get_current_window()
        counts = self.windows.get(window)
        if counts is None:
            counts = self.windows[window] = {}
            for old in [w for w in self.windows if w < window - KEPT_WINDOWS]:
                del self.windows[old]
        name = call.customer.name
        counts[name] = counts.get(name, 0) + 1
        self.changes += 1
