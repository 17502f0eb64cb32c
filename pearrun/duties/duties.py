"""Duties that one elected host performs for the cluster: usage and scaling.

Each duty runs in its own task, so that slow responses of the platform delay
neither the renewal of the lease nor the other duties.
"""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions import usagewindow
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import RecordKind
from pearrun.duties.term import Term
from pearrun.usage.saver import SAVE_INTERVAL_MS
from pearrun.usage.saver import UsageSaver

# Interval between checks of the lease and between runs of each duty.
TICK_MS = 250
# If the lease holder has sent no notice for this long, which is three rounds
# of reports, a host starts to monitor the lease log.  A successor can claim
# the lease only seconds later, and must still report a usage window that
# ended meanwhile in time.
HOLDER_TIMEOUT_MS = 700
# Pause after saving usage counts failed: the store may be unavailable.
SAVE_RETRY_MS = 500
# Additional delay before hosts that are not hubs start to monitor the log, in
# a fleet that has hubs.
NON_HUB_DELAY_MS = 2000
# Minimum interval between reads of the log while monitoring it.
MONITOR_INTERVAL_MS = 900
# How long after its due time a report is still retried.
LATE_REPORT_MS = 4000


class Duties:
    """Competes for the lease and performs the duties while holding it.

    :param host: shared objects of this host.
    :param lease_log: the :class:`LeaseLog`.
    :param duty_client: the :class:`DutyClient`.
    :param reports: the :class:`ReportReceiver`, which knows the holder's
        latest notice.
    :param scaler: the :class:`Scaler`, or ``None``.
    :param usage_log: the :class:`UsageLog`.
    :param conductor: the :class:`Conductor`.
    """

    def __init__(
        self,
        host,
        lease_log,
        duty_client,
        reports,
        scaler,
        usage_log,
        conductor,
    ):
        self.host = host
        self.log = lease_log
        self.usage_log = usage_log
        self.usage_saver = UsageSaver(host.usage_table, usage_log)
        self.view = lease_log.view
        self.clock = host.clock
        self.duty_client = duty_client
        self.reports = reports
        self.scaler = scaler
        self.conductor = conductor
        self.started_ms = self.clock.now()
        self.delivered = set()
        self.last_read_ms = None
        self.was_holder = False
        self.term = None
        self.term_since_ms = 0
        self.window_settings = usagewindow.WindowSettings()

    async def run(self):
        """Run the lease task and the duties until the process ends."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._repeat(self.maintain_lease, TICK_MS))
            tasks.create_task(self._repeat(self.save_usage, SAVE_INTERVAL_MS))
            tasks.create_task(self._repeat(self.report_usage, TICK_MS))
            tasks.create_task(self._repeat(self.scale, TICK_MS))
            tasks.create_task(self._repeat(self.roll_out, TICK_MS))

    async def _repeat(self, step, pause_ms):
        while True:
            await self.try_step(step)
            await asyncio.sleep(to_seconds(pause_ms))

    async def try_step(self, step):
        """Call one of the steps below.

        After an error the lease log is read again, since the local view of
        it may be out of date.
        """
        try:
            await step()
        except exceptions.StoreConflictError:
            await self._try_read_log()
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(f'lease: {exc.message}')
            await self._try_read_log()

    def holds(self):
        """Return whether this host holds the lease and may act."""
        return self.left_ms() > 0

    def left_ms(self):
        """Return the remaining milliseconds of the lease; 0 if not held."""
        return Term(self.view, self.clock).left_ms()

    async def maintain_lease(self):
        """Renew the lease, or claim it once no other host can hold it."""
        if self.host.stopping or self.host.config.current is None:
            return
        if self.scaler is not None:
            self.scaler.update_needs()
        now = self.clock.boot()
        if self.view.holder == self.view.run and self.view.valid_until_ms:
            if self.view.should_renew(now):
                await self.log.write(self._record(RecordKind.RENEW))
            self._log_lease_change()
            return
        self._log_lease_change()
        await self._monitor()

    async def _monitor(self):
        """Claim the lease once no other host can hold it."""
        notice = self.reports.get_last_notice()
        if notice is not None:
            self.view.note_announced_end(notice.log_end, self.clock.boot())
        now = self.clock.now()
        # No other host can claim yet: its own notices may come back from hubs.
        is_sole = self.view.is_sole(self.clock.boot())
        if now < self._monitor_from_ms() and not is_sole:
            self.view.unchanged_since_ms = None
            return
        if not self._is_read_due(now):
            return
        self.last_read_ms = now
        await self.log.read()
        if self.view.may_claim(self.clock.boot()):
            if self.view.history_lost_ms is not None:
                await self._restore_closed()
            await self.log.write(self._record(RecordKind.CLAIM))
            self._log_lease_change()

    async def _restore_closed(self):
        """Read which windows were committed in the lost part of the log.

        Holders write it before they commit.  It is read after the log, whose
        end the claim depends on: a window that is committed later makes the
        claim fail.
        """
        closed = await self.usage_log.read_closed()
        notice = self.reports.get_last_notice()
        if closed is None or (notice and notice.fencing > closed.fencing):
            # The last holder has not written it; all windows that ended
            # before the loss may have been committed.
            return
        self.view.note_closed(closed.window)
        logger.bind(window=closed.window, fencing=closed.fencing).info(
            'last committed window restored'
        )

    def _monitor_from_ms(self):
        """Return when to start monitoring the log if no notices arrive.

        In a large fleet the hubs start first.  If all hosts read the log
        after the holder is lost, every read is charged, although only one
        host takes over.
        """
        notice_ms = self.reports.get_last_notice_ms()
        is_delayed = self.host.feed.through_hubs and not self.reports.is_hub
        if not is_delayed:
            return 0 if notice_ms is None else notice_ms + HOLDER_TIMEOUT_MS
        since_ms = self.started_ms if notice_ms is None else notice_ms
        return since_ms + HOLDER_TIMEOUT_MS + NON_HUB_DELAY_MS

    def _is_read_due(self, now):
        """Return whether to read the log: initially, and before a claim."""
        if self.view.is_sole(self.clock.boot()):
            return True
        if (
            self.last_read_ms is not None
            and now - self.last_read_ms < MONITOR_INTERVAL_MS
        ):
            return False
        if self.view.unchanged_since_ms is None:
            return True
        return self.view.may_claim(self.clock.boot())

    async def _try_read_log(self):
        try:
            await self.log.read()
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(f'lease log: {exc.message}')

    def _record(self, kind):
        """Return a record that also tells which windows are closed.

        The record of a committed window may be deleted before others have
        read it.
        """
        return LeaseRecord(kind, self.view.run, self._find_last_closed())

    def _log_lease_change(self):
        holds = self.holds()
        if holds != self.was_holder:
            self.was_holder = holds
            logger.bind(
                fencing=self.view.fencing,
                log_end=self.view.end,
                closed_window=self._find_last_closed(),
                history_lost=self.view.history_lost_ms is not None,
            ).info('lease taken' if holds else 'lease lost')

    def _find_term(self):
        """Return the current :class:`Term`, or ``None`` if not the holder."""
        if self.host.stopping or not self.holds():
            return None
        if self.term is None or self.term.fencing != self.view.fencing:
            self.term = Term(self.view, self.clock)
            self.term_since_ms = self.clock.now()
        return self.term

    async def save_usage(self):
        """Save changed usage counts while holding the lease."""
        term = self._find_term()
        if term is None:
            return
        try:
            if self.usage_saver.term is not term:
                await self.usage_saver.restore(term)
                await self.usage_log.close_window(
                    self._find_last_closed(), term.fencing
                )
            await self.usage_saver.save(self.view.last_committed_window + 1)
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(f'usage not saved: {exc.message}')
            await asyncio.sleep(to_seconds(SAVE_RETRY_MS))

    async def report_usage(self):
        """Commit and report ended usage windows while holding the lease."""
        term = self._find_term()
        if term is None:
            return
        if self.usage_saver.term is term:
            # The counts that a former holder saved have been restored; without
            # them the report would be incomplete.
            await self._commit_usage(term)
        await self._deliver_usage(term)

    async def scale(self):
        """Order endpoints while holding the lease."""
        term = self._find_term()
        if term is not None and self.scaler is not None:
            await self.scaler.act(term)

    async def roll_out(self):
        """Conduct roll-outs while holding the lease."""
        term = self._find_term()
        if term is None:
            return
        try:
            await self.conductor.act(term)
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).info(
                f'roll-out state not written: {exc.message}'
            )

    async def _commit_usage(self, term):
        """Write the final counts of ended windows to the lease log.

        A successor reads them there and reports exactly the same counts.
        """
        settings = self.host.settings.usage
        wall = self.host.corrected_clock.wall()
        last = wall // settings.window_ms - 1
        table = self.host.usage_table
        oldest = (
            last - (settings.due_ms + LATE_REPORT_MS) // settings.window_ms
        )
        for window in range(oldest, last + 1):
            closed = window <= self._find_last_closed()
            if closed or not self._has_counts(window):
                continue
            missing = self._list_missing(window)
            if not usagewindow.is_final(
                wall - (window + 1) * settings.window_ms,
                settings.due_ms,
                bool(missing),
                self.window_settings,
            ):
                # Windows are committed in order: a later one closes this one.
                return
            if missing:
                logger.bind(window=window, hosts=missing).warning(
                    'usage committed without the counts of some hosts'
                )
            counts = table.sum_window(window)
            for name in self.host.config.current.customers:
                counts.setdefault(name, 0)
            await self.usage_log.close_window(window, term.fencing)
            # Readers of the log rely on every commit being a holder's.
            term.check()
            await self.log.write(
                LeaseRecord(RecordKind.USAGE, self.view.run, window, counts)
            )
            logger.bind(
                window=window,
                total=sum(counts.values()),
                fencing=term.fencing,
                log_end=self.view.end,
            ).info('usage committed')

    def _list_missing(self, window):
        """Return the hosts whose counts in a window are still expected.

        A refused connection does not tell that a host has ended: those to a
        partitioned failure domain may be refused too.

        :returns: names of hosts, without those that have been silent for
            long.
        """
        members = self.host.members
        table = self.host.usage_table
        missing = []
        for member in members.members.values():
            run = (member.name, member.started_ms)
            if table.has_complete(run, window):
                continue
            heard_ms = max(
                members.last_seen_ms[member.name], self.term_since_ms
            )
            if self.clock.since(heard_ms) <= self.window_settings.silent_ms:
                missing.append(member.name)
        return missing

    def _find_last_closed(self):
        """Return the last window that some holder has, or may have, committed.

        A second report with different counts is worse than no report.

        :returns: the window's number; -1 if there is none.
        """
        view = self.view
        if view.history_lost_ms is None:
            return view.last_committed_window
        lost_wall_ms = self.host.corrected_clock.wall() - (
            self.clock.boot() - view.history_lost_ms
        )
        last_ended = lost_wall_ms // self.host.settings.usage.window_ms - 1
        return max(view.last_committed_window, last_ended)

    def _has_counts(self, window):
        """Return whether the known counts reach back to a window."""
        windows = self.host.usage_table.windows
        return bool(windows) and window >= min(windows)

    async def _deliver_usage(self, term):
        settings = self.host.settings.usage
        wall = self.host.corrected_clock.wall()
        for window, counts in sorted(self.view.committed_counts.items()):
            end_ms = (window + 1) * settings.window_ms
            if wall > end_ms + settings.due_ms + LATE_REPORT_MS:
                self.delivered.discard(window)
                continue
            if window in self.delivered or not term.holds():
                continue
            try:
                await self.duty_client.report_usage(term, window, counts)
            except exceptions.DutyCallError as exc:
                logger.bind(
                    code=exc.code, window=window, fencing=term.fencing
                ).warning(f'usage report failed: {exc.message}')
                return
            self.delivered.add(window)
            logger.bind(
                window=window,
                counts=counts,
                fencing=term.fencing,
                after_ms=wall - end_ms,
            ).info('usage reported')
