"""Usage counts of all hosts, as each of them reported them last."""

# Windows kept: a report is due two windows after the window's end.
KEPT_WINDOWS = 8


class UsageBoard:
    """Counts by window and by run of a host.

    A host that was killed keeps what it had reported: its next run
    counts from zero under another start time.
    """

    def __init__(self):
        self.windows = {}

    def put(self, host, started_ms, usage):
        """Take a host's counts, which only grow within one run.

        :param usage: counts by customer, by window number.
        """
        for window, counts in usage.items():
            self.windows.setdefault(window, {})[host, started_ms] = counts
        newest = max(self.windows, default=0)
        for old in [w for w in self.windows if w < newest - KEPT_WINDOWS]:
            del self.windows[old]

    def total(self, window):
        """Return the sum of all hosts' counts, by customer."""
        total = {}
        for counts in self.windows.get(window, {}).values():
            for name, count in counts.items():
                total[name] = total.get(name, 0) + count
        return total
