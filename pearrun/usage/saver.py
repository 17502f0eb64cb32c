"""Persistence of usage counts in the store.

Load pattern: all hosts of a fleet lose power at once, while the counts since
the last usage report exist only in their memory.  The lease holder therefore
saves changed counts, with one store call for all hosts, and its successor, or
the first holder after such an outage, restores them.  Counts are saved per run
of a host and only increase within a run, so that restoring them twice, or in
addition to what a host still reports itself, counts nothing twice.
"""

import dataclasses

from loguru import logger

from pearrun import exceptions

# Interval between saves of changed counts.  Including the report rounds that
# precede a save, the loss of all hosts loses about 0.2 s of counts; a usage
# report may deviate by a twentieth of a window of 5 s.
SAVE_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True)
class SavedRun:
    """Counts of one run of a host.

    :param windows: counts by customer, by window number; empty if the run's
        entry is to be removed.
    """

    host: str
    started_ms: int
    windows: dict[int, dict[str, int]]

    @property
    def key(self):
        """The key of the run in a :class:`UsageTable`."""
        return self.host, self.started_ms


class UsageSaver:
    """Saves the counts of a usage table and restores saved ones.

    :param table: the :class:`UsageTable`.
    :param log: the :class:`UsageLog`.
    """

    def __init__(self, table, log):
        self.table = table
        self.log = log
        self.term = None
        self._saved = set()

    async def restore(self, term):
        """Restore the counts that were saved before a term, once per term.

        :raises StoreError: the store did not answer.
        """
        if self.term is term:
            return
        runs = await self.log.read()
        for run in runs:
            self.table.put(run.host, run.started_ms, run.windows)
        self._saved = {run.key for run in runs}
        self.table.mark_changed(self.table.list_runs())
        self.term = term
        logger.bind(runs=len(runs), fencing=term.fencing).info(
            'saved usage counts restored'
        )

    async def save(self, first_window):
        """Save changed runs; remove runs with nothing left to report.

        :param first_window: the first window that is not committed yet.
        :raises StoreError: the store did not answer; the same changes are
            saved with the next call.
        """
        changed = self.table.take_changed()
        runs = self._select(changed, first_window)
        if not runs:
            return
        try:
            await self.log.write(runs)
        except exceptions.PearrunError:
            self.table.mark_changed(changed)
            raise
        for run in runs:
            if run.windows:
                self._saved.add(run.key)
            else:
                self._saved.discard(run.key)

    def _select(self, changed, first_window):
        """Return the :class:`SavedRun` objects to write now.

        These are the runs that have changed, and saved runs whose counts
        have all been reported.
        """
        runs = [
            SavedRun(*key, self.table.get_counts(key, first_window))
            for key in changed | self._saved
        ]
        return [
            run for run in runs if bool(run.windows) == (run.key in changed)
        ]
