"""Usage counts of all hosts, as last reported by each of them."""

import collections

# Past windows kept; a report is due two windows after the end of its window.
KEPT_WINDOWS = 8


class UsageTable:
    """Counts by window and by run, which is a host's name and start time.

    What a host had reported before it was killed stays in the table: its
    next run counts from zero under another start time.  ``current_windows``
    holds, by run, the window in which it made its latest report: its counts
    of earlier windows are complete.
    """

    def __init__(self):
        self.windows = {}
        self.current_windows = {}
        self._changed = set()

    def put(self, host, started_ms, usage, current_window=-1):
        """Merge the counts of a host's run, which only increase.

        Lower counts, from delayed reports or restored from the store, have
        no effect.

        :param usage: counts by customer, by window number.
        :param current_window: the window in which the host reported them; -1
            if they may be incomplete.
        """
        run = (host, started_ms)
        self._note_current_window(run, current_window)
        for window, counts in usage.items():
            known = self.windows.setdefault(window, {}).setdefault(run, {})
            for name, count in counts.items():
                if count > known.get(name, 0):
                    known[name] = count
                    self._changed.add(run)
        newest = max(self.windows, default=0)
        for old in [w for w in self.windows if w < newest - KEPT_WINDOWS]:
            del self.windows[old]

    def _note_current_window(self, run, window):
        if window > self.current_windows.get(run, -1):
            self.current_windows[run] = window
            for old in [
                key
                for key, latest in self.current_windows.items()
                if latest < window - KEPT_WINDOWS
            ]:
                del self.current_windows[old]

    def has_complete(self, run, window):
        """Return whether all of a run's counts in a window are known."""
        return self.current_windows.get(run, -1) > window

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
