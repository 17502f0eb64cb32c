"""The entry host's program: starts its parts, follows signals."""

import asyncio
import os
import signal

from loguru import logger

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions.lease import LeaseView
from pearrun.decisions.lease import TAKEOVER_DELAY_MS
from pearrun.decisions.lease import TAKEOVER_MARGIN_MS
from pearrun.http1.limits import ServerLimits
from pearrun.http1.server import Server
from pearrun.platform import settings as settings_module
from pearrun.platform import statelog
from pearrun.platform.codec import EndpointCodec
from pearrun.platform.decoding import decode_configuration
from pearrun.platform.dutycalls import DutyClient
from pearrun.platform.endpointlist import EndpointFollower
from pearrun.platform.following import ConfigFollower
from pearrun.platform.front import Front
from pearrun.platform.front import Readiness
from pearrun.platform.leaselog import LeaseLog
from pearrun.platform.membership import MemberFollower
from pearrun.platform.quarantinelog import QuarantineFollower
from pearrun.platform.store import StoreClient
from pearrun.platform.usagelog import UsageLog
from pearrun.relay.relay import Relay
from pearrun.shared import reports
from pearrun.shared.duties import Duties
from pearrun.shared.host import HostContext
from pearrun.shared.members import Member
from pearrun.shared.peerlinks import PeerLinks
from pearrun.shared.reportboard import ReportBoard
from pearrun.shared.reporter import Reporter
from pearrun.shared.scaler import Scaler

METRICS_PORT = 9464
# After the stop signal callers are still sent here until the platform
# has asked twice, once a second; then no new connection comes.
LEAVE_MS = 2600
# Time before the kill at which work still running is broken off.
STOP_MARGIN_MS = 700
# How often the end of the last request is looked for, and the settings
# file for a change.
STOP_POLL_MS = 50
SETTINGS_POLL_MS = 1000


class Daemon:
    """All parts of one entry host.

    :param settings: the host's whole :class:`HostSettings`.
    :param log_writer: counts the log lines that were dropped.
    :param load_settings: reads the settings file again.
    """

    def __init__(
        self, settings, log_writer, load_settings=settings_module.load
    ):
        self.load_settings = load_settings
        self.last_bad_settings = None
        self.settings = settings
        self.log_writer = log_writer
        self.clock = Clock()
        self.host = HostContext(settings, EndpointCodec(), self.clock)
        self.store = StoreClient(settings.store)
        self.relay = Relay(self.host)
        self.front = Server(Front(self.host, self.relay).handle, self.limits)
        self.ready = Server(Readiness(self.host).handle)
        self.metrics = Server(self.serve_metrics)
        self.started_ms = self.clock.wall()
        self.reports = ReportBoard(self.host, decode_configuration)
        self.reporter = Reporter(self.host, self.started_ms, self.reports)
        self.host.forget_host = self.reports.forget
        self.host.selection.tell_others = self.reporter.tell_at_once
        self.host.quarantine.tell_others = self.reporter.tell_at_once
        self.duties = self.make_duties()
        self.members = MemberFollower(
            self.host, self.store, self.own_entry(), self.holds_lease
        )
        self.stop = asyncio.Event()
        self.tasks = []

    def own_entry(self):
        """Return this host's entry on the list of hosts."""
        settings = self.settings
        return Member(
            name=settings.name,
            address=f'{settings.ip}:{settings.first_port}',
            zone=settings.zone,
            started_ms=self.started_ms,
            link_mbps=settings.link_mbps,
        )

    def make_links(self):
        """Return the :class:`PeerLinks`."""
        return PeerLinks(
            self.host, self.own_entry(), self.reports, self.reporter
        )

    def make_duties(self):
        """Return the :class:`Duties`; ``None`` where there are none."""
        settings = self.settings
        if settings.duties is None:
            return None
        takeover_delay_ms = max(
            TAKEOVER_DELAY_MS, settings.lease_ms + TAKEOVER_MARGIN_MS
        )
        view = LeaseView(
            f'{settings.name}/{self.started_ms}', takeover_delay_ms
        )
        calls = DutyClient(settings.duties.address, settings.name)
        scaler = Scaler(self.host, calls)
        log = LeaseLog(self.store, view, self.clock)
        saved = UsageLog(self.store)
        duties = Duties(self.host, log, calls, self.reports, scaler, saved)
        self.reporter.make_notice = self.make_duty_notice
        return duties

    def make_duty_notice(self):
        """Return what the others are told of the lease, if it is here."""
        if not self.duties.holds():
            return None
        view = self.duties.view
        return reports.DutyNotice(self.settings.name, view.fencing, view.end)

    def holds_lease(self):
        """Say whether this host performs the duties now."""
        return self.duties is not None and self.duties.holds()

    def limits(self):
        """Return the limits on callers that are in force."""
        config = self.host.config.current
        return config.limits if config else ServerLimits()

    async def run(self):
        """Serve until the stop signal, then finish what was begun."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.stop.wait()
        await self.leave()

    async def start(self):
        """Begin to serve."""
        logger.bind(ip=self.settings.ip, pid=os.getpid()).info('start')
        for part in self.parts():
            self.tasks.append(asyncio.create_task(watch(part)))
        await self.front.listen(self.settings.front_address)
        await self.ready.listen(self.settings.ready_address)
        await self.metrics.listen(f'{self.settings.ip}:{METRICS_PORT}')

    def parts(self):
        """Return the coroutines that run for the process's whole life."""
        parts = [
            ConfigFollower(self.host, self.store).run(),
            EndpointFollower(self.host, self.store).run(),
            self.members.run(),
            QuarantineFollower(self.host, self.store).run(),
            self.reporter.run(),
            self.make_links().run(),
            self.watch_settings(),
            statelog.log_state(self),
        ]
        if self.duties is not None:
            parts.append(self.duties.run())
        return parts

    async def leave(self):
        """Finish what was begun, refuse nothing, and end in time."""
        began_ms = self.clock.now()
        self.host.stopping = True
        self.front.closing = True
        logger.bind(requests=self.front.busy).info('stopping')
        last_ms = began_ms + self.settings.stop_ms - STOP_MARGIN_MS
        await asyncio.sleep(to_seconds(LEAVE_MS))
        # From here on no request is read that could not be finished.
        self.front.close()
        while self.front.busy and self.clock.now() < last_ms:
            await asyncio.sleep(to_seconds(STOP_POLL_MS))
        logger.bind(
            requests=self.front.busy, after_ms=self.clock.since(began_ms)
        ).info('stop')
        await self.members.leave()
        await self.end()

    async def end(self):
        """Close everything at once."""
        for server in (self.front, self.ready, self.metrics):
            server.close()
            server.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reload(self):
        """Read the settings file again; keep the old ones if it is bad."""
        try:
            settings = self.load_settings()
        except exceptions.SettingsError as exc:
            if exc.message != self.last_bad_settings:
                self.last_bad_settings = exc.message
                logger.bind(code=exc.code).error(
                    f'settings left aside: {exc.message}'
                )
            return
        self.last_bad_settings = None
        if settings == self.settings:
            return
        self.settings = settings
        self.host.settings = settings
        self.store.use(settings.store)
        logger.info('settings reloaded')

    async def watch_settings(self):
        """Reload the settings file when it changes without a signal."""
        while True:
            await asyncio.sleep(to_seconds(SETTINGS_POLL_MS))
            self.reload()

    async def serve_metrics(self, request, caller):
        """Answer with this host's metrics as text."""
        text = self.host.counters.render(self.gauges(), self.store.calls)
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        await caller.reply(200, headers, text.encode())

    def gauges(self):
        """Return present values by name."""
        now = self.clock.now()
        return {
            'ready': int(self.host.is_ready()),
            'requests_open': self.front.busy,
            'connections_open': len(self.front.connections),
            'config_version': self.host.config.version,
            'config_age_ms': self.host.config.age_ms(),
            'endpoints': len(self.host.fleet.endpoints),
            'endpoint_list_age_ms': self.host.list_age_ms(now) or -1,
            'hosts': self.host.count_hosts(),
            'endpoint_crashes_total': self.host.crashes.total,
            'lease_held': int(self.duties is not None and self.duties.held),
            'quarantined': len(self.host.quarantine.known.quarantined),
            'quarantine_refusals_total': self.host.quarantine.refused,
            'store_calls_total': self.store.calls.total(),
            'store_failures_total': self.store.failures,
            'log_lines_dropped_total': self.log_writer.dropped_total,
        }


async def watch(part):
    """Run a part; end the process if it fails, so that it is restarted."""
    try:
        await part
    except asyncio.CancelledError:
        raise
    except Exception:
        logger.exception('part failed')
        os.kill(os.getpid(), signal.SIGTERM)
