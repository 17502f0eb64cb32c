"""What of the usage counts is saved on the store, and when.

Load pattern: all hosts of a fleet lose power at once, and what they counted
since the last report of usage is in their memory alone.  The holder of the
lease saves the counts as they change, one call for all hosts; its successor,
or the first holder after such a loss, takes them up again.  Counts are saved
by run of a host and only grow within one, so that taking them up twice, or
beside what a host still reports itself, counts nothing twice.
"""

import dataclasses

from loguru import logger

from pearrun import exceptions

# How often the holder saves what has changed.  With the rounds of reports
# before it, a loss of all hosts costs some 0.2 s of counts; a usage report
# may be off by a twentieth of a window of 5 s.
SAVE_MS = 200


@dataclasses.dataclass(frozen=True)
class SavedRun:
    """Counts of one run of a host.

    :param windows: counts by customer, by window number; none of them any
        more where the run's entry is to be removed.
    """

    host: str
    started_ms: int
    windows: dict[int, dict[str, int]]

    @property
    def key(self):
        """The run, as a :class:`UsageBoard` names it."""
        return self.host, self.started_ms


class UsageSaving:
    """Saves a board's counts, and takes up those saved before.

    :param board: the :class:`UsageBoard`.
    :param log: the :class:`UsageLog`.
    """

    def __init__(self, board, log):
        self.board = board
        self.log = log
        self.term = None
        self._saved = set()

    async def take_up(self, term):
        """Take up what was saved before a term, once.

        :raises StoreError: the store did not answer.
        """
        if self.term is term:
            return
        runs = await self.log.read()
        for run in runs:
            self.board.put(run.host, run.started_ms, run.windows)
        self._saved = {run.key for run in runs}
        self.board.mark_changed(self.board.list_runs())
        self.term = term
        logger.bind(runs=len(runs), fencing=term.fencing).info(
            'saved usage counts taken up'
        )

    async def save(self, least_window):
        """Save what has changed; remove runs with nothing left to report.

        :param least_window: the first window that is not agreed yet.
        :raises StoreError: the store did not answer; what was to be saved
            is saved with the next call.
        """
        changed = self.board.take_changed()
        runs = self._select(changed, least_window)
        if not runs:
            return
        try:
            await self.log.write(runs)
        except exceptions.PearrunError:
            self.board.mark_changed(changed)
            raise
        for run in runs:
            if run.windows:
                self._saved.add(run.key)
            else:
                self._saved.discard(run.key)

    def _select(self, changed, least_window):
        """Return the :class:`SavedRun` objects to write now.

        Those that have changed, and those that have nothing left.
        """
        runs = [
            SavedRun(*key, self.board.counts_of(key, least_window))
            for key in changed | self._saved
        ]
        return [
            run for run in runs if bool(run.windows) == (run.key in changed)
        ]
