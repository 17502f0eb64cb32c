"""Usage counts of all hosts, as last reported by each of them."""

import collections

# Past windows kept; a report is due two windows after the end of its window.
KEPT_WINDOWS = 8


class UsageTable:
    """Counts by window and by run, which is a host's name and start time.

    What a host had reported before it was killed stays in the table: its
    next run counts from zero under another start time.
    """

    def __init__(self):
        self.windows = {}
        self._changed = set()

    def put(self, host, started_ms, usage):
        """Merge the counts of a host's run, which only increase.

        Lower counts, from delayed reports or restored from the store, have
        no effect.

        :param usage: counts by customer, by window number.
        """
        run = (host, started_ms)
        for window, counts in usage.items():
            known = self.windows.setdefault(window, {}).setdefault(run, {})
            for name, count in counts.items():
                if count > known.get(name, 0):
                    known[name] = count
                    self._changed.add(run)
        newest = max(self.windows, default=0)
        for old in [w for w in self.windows if w < newest - KEPT_WINDOWS]:
            del self.windows[old]

    def take_changed(self):
        """Return the runs whose counts have changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def mark_changed(self, runs):
        """Mark runs as changed, so that they are saved next time."""
        self._changed |= runs

    def list_runs(self):
        """Return all runs that have counts."""
        return {run for by_run in self.windows.values() for run in by_run}

    def get_counts(self, run, first_window):
        """Return a run's counts by customer, by window number.

        :param first_window: number of the first window to include.
        """
        return {
            window: by_run[run]
            for window, by_run in self.windows.items()
            if window >= first_window and by_run.get(run)
        }

    def sum_window(self, window):
        """Return the sum of all hosts' counts in a window, by customer."""
        total = collections.Counter()
        for counts in self.windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
