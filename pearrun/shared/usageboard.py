"""Usage counts of all hosts, as each of them reported them last."""

import collections

# Windows kept: a report is due two windows after the window's end.
KEPT_WINDOWS = 8


class UsageBoard:
    """Counts by window and by run of a host: its name and start time.

    A host that was killed keeps what it had reported: its next run
    counts from zero under another start time.
    """

    def __init__(self):
        self.windows = {}
        self._changed = set()

    def put(self, host, started_ms, usage):
        """Take a host's counts, which only grow within one run.

        What comes late, or was saved before, does not lower them.

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
        """Have runs count as changed once more: they could not be saved."""
        self._changed |= runs

    def list_runs(self):
        """Return all runs that counted anything."""
        return {run for by_run in self.windows.values() for run in by_run}

    def counts_of(self, run, least_window):
        """Return a run's counts by customer, by window number.

        :param least_window: windows before this one are left out.
        """
        return {
            window: by_run[run]
            for window, by_run in self.windows.items()
            if window >= least_window and by_run.get(run)
        }

    def total(self, window):
        """Return the sum of all hosts' counts, by customer."""
        total = collections.Counter()
        for counts in self.windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
