"""The duties that one host performs for all: usage and scaling.

Each goes on by itself: calls that the platform answers slowly keep neither
the lease from being renewed nor another duty from being done.
"""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import RecordKind
from pearrun.shared.term import Term
from pearrun.shared.usagesaving import SAVE_MS
from pearrun.shared.usagesaving import UsageSaving

# How often the lease and the duties are looked at.
TICK_MS = 250
# Without news of a holder for this long, a host begins to watch the log:
# three rounds of reports.  A successor may claim seconds after it began, and
# has to report the window that ended meanwhile in time.
HOLDER_SILENT_MS = 700
# Pause after counts could not be saved: the store may be away.
SAVE_AGAIN_MS = 500
# So much later hosts that are no hubs begin, in a fleet that has some.
STAND_BACK_MS = 2000
# A watcher reads the log at most this often.
WATCH_MS = 900
# Time after a window's end at which all hosts' reports of it are in.
SETTLE_MS = 1500
# How long after its due time a report is still tried.
LATE_MS = 4000


class Duties:
    """Holds the lease when it can, and performs the duties.

    :param host: shared objects of this host.
    :param lease_log: the :class:`LeaseLog`.
    :param calls: the :class:`DutyClient`.
    :param reports: the :class:`ReportBoard`, for news of the holder.
    :param scaler: the :class:`Scaler`, or ``None``.
    :param usage_log: the :class:`UsageLog`.
    """

    def __init__(self, host, lease_log, calls, reports, scaler, usage_log):
        self.host = host
        self.log = lease_log
        self.saving = UsageSaving(host.board, usage_log)
        self.view = lease_log.view
        self.clock = host.clock
        self.calls = calls
        self.reports = reports
        self.scaler = scaler
        self.started_ms = self.clock.now()
        self.delivered = set()
        self.read_ms = None
        self.held = False
        self.term = None

    async def run(self):
        """Look at the lease and the duties for the process's whole life."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._repeat(self._tick, TICK_MS))
            tasks.create_task(self._repeat(self._save_usage, SAVE_MS))
            tasks.create_task(self._repeat(self._report_usage, TICK_MS))
            tasks.create_task(self._repeat(self._scale, TICK_MS))

    async def _repeat(self, step, pause_ms):
        """Do a step again and again.

        What the lease's log said before an error may be out of date.
        """
        while True:
            try:
                await step()
            except exceptions.StoreConflictError:
                await self._read_quietly()
            except exceptions.PearrunError as exc:
                logger.bind(code=exc.code).info(f'lease: {exc.message}')
                await self._read_quietly()
            await asyncio.sleep(to_seconds(pause_ms))

    def holds(self):
        """Say whether this host may act now."""
        return self.left_ms() > 0

    def left_ms(self):
        """Return how long the lease still holds; 0 without it."""
        return Term(self.view, self.clock).left_ms()

    async def _tick(self):
        if self.host.stopping or self.host.config.current is None:
            return
        if self.scaler is not None:
            self.scaler.watch()
        now = self.clock.boot()
        if self.view.holder == self.view.run and self.view.valid_until_ms:
            if self.view.should_renew(now):
                await self.log.write(
                    self._record(RecordKind.RENEW, self.view.agreed_until)
                )
            self._note_held()
            return
        self._note_held()
        await self._watch()

    async def _watch(self):
        """Claim the lease once nobody else can hold it."""
        notice = self.reports.last_notice()
        if notice is not None:
            self.view.note_announced_end(notice.log_end, self.clock.boot())
        now = self.clock.now()
        if now < self._watch_from_ms():
            self.view.unchanged_since_ms = None
            return
        if not self._is_read_due(now):
            return
        self.read_ms = now
        await self.log.read()
        if self.view.may_claim(self.clock.boot()):
            await self.log.write(self._record(RecordKind.CLAIM))
            self._note_held()

    def _watch_from_ms(self):
        """Return when to begin to watch the log, without further news.

        In a large fleet the hubs come first: if all hosts read the log of a
        lost holder, each read costs, and one of them succeeds it.
        """
        heard_ms = self.reports.heard_duty_ms()
        stands_back = self.host.feed.through_hubs and not self.reports.is_hub
        if not stands_back:
            return 0 if heard_ms is None else heard_ms + HOLDER_SILENT_MS
        since_ms = self.started_ms if heard_ms is None else heard_ms
        return since_ms + HOLDER_SILENT_MS + STAND_BACK_MS

    def _is_read_due(self, now):
        """Say whether the log is to be read: first, and before a claim."""
        if self.read_ms is not None and now - self.read_ms < WATCH_MS:
            return False
        if self.view.unchanged_since_ms is None:
            return True
        return self.view.may_claim(self.clock.boot())

    async def _read_quietly(self):
        try:
            await self.log.read()
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(f'lease log: {exc.message}')

    def _record(self, kind, window=0, counts=None):
        return LeaseRecord(kind, self.view.run, window, counts)

    def _note_held(self):
        holds = self.holds()
        if holds != self.held:
            self.held = holds
            logger.bind(fencing=self.view.fencing, log_end=self.view.end).info(
                'lease taken' if holds else 'lease lost'
            )

    def _find_term(self):
        """Return the :class:`Term` of this host; ``None`` without one."""
        if self.host.stopping or not self.holds():
            return None
        if self.term is None or self.term.fencing != self.view.fencing:
            self.term = Term(self.view, self.clock)
        return self.term

    async def _save_usage(self):
        term = self._find_term()
        if term is None:
            return
        try:
            await self.saving.take_up(term)
            await self.saving.save(self.view.agreed_until + 1)
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(f'usage not saved: {exc.message}')
            await asyncio.sleep(to_seconds(SAVE_AGAIN_MS))

    async def _report_usage(self):
        term = self._find_term()
        if term is None:
            return
        if self.saving.term is term:
            # Else counts that a former holder saved would be left out.
            await self._agree_usage()
        await self._deliver_usage(term)

    async def _scale(self):
        term = self._find_term()
        if term is not None and self.scaler is not None:
            await self.scaler.act(term)

    async def _agree_usage(self):
        """Fix the counts of windows that have ended, in the log.

        A successor finds them there and repeats exactly the same.
        """
        settings = self.host.settings.usage
        wall = self.host.time.wall()
        last = (wall - SETTLE_MS) // settings.window_ms - 1
        board = self.host.board
        oldest = last - (settings.due_ms + LATE_MS) // settings.window_ms
        for window in range(oldest, last + 1):
            if self._may_be_agreed(window) or not self._covers(window):
                continue
            counts = board.total(window)
            for name in self.host.config.current.customers:
                counts.setdefault(name, 0)
            await self.log.write(
                self._record(RecordKind.USAGE, window, counts)
            )

    def _may_be_agreed(self, window):
        """Say whether a holder agreed on a window, or may have.

        A second report with other counts is worse than none.
        """
        view = self.view
        if window <= view.agreed_until:
            return True
        if view.history_lost_ms is None:
            return False
        lost_wall_ms = self.host.time.wall() - (
            self.clock.boot() - view.history_lost_ms
        )
        end_ms = (window + 1) * self.host.settings.usage.window_ms
        return end_ms <= lost_wall_ms

    def _covers(self, window):
        """Say whether calls of a window can have been counted."""
        windows = self.host.board.windows
        return bool(windows) and window >= min(windows)

    async def _deliver_usage(self, term):
        settings = self.host.settings.usage
        wall = self.host.time.wall()
        for window, counts in sorted(self.view.reported.items()):
            end_ms = (window + 1) * settings.window_ms
            if wall > end_ms + settings.due_ms + LATE_MS:
                self.delivered.discard(window)
                continue
            if window in self.delivered or not term.holds():
                continue
            try:
                await self.calls.report_usage(term, window, counts)
            except exceptions.DutyCallError as exc:
                logger.bind(
                    code=exc.code, window=window, fencing=term.fencing
                ).warning(f'usage report not taken: {exc.message}')
                return
            self.delivered.add(window)
            logger.bind(
                window=window,
                counts=counts,
                fencing=term.fencing,
                after_ms=wall - end_ms,
            ).info('usage reported')
