"""The entry host's daemon: component life cycle and signal handling."""

import asyncio
import os
import signal

from loguru import logger

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.decisions import intake
from pearrun.decisions.lease import LeaseView
from pearrun.decisions.lease import TAKEOVER_DELAY_MS
from pearrun.decisions.lease import TAKEOVER_MARGIN_MS
from pearrun.duties.conductor import Conductor
from pearrun.duties.duties import Duties
from pearrun.duties.scaler import Scaler
from pearrun.http1.limits import ServerLimits
from pearrun.http1.server import Server
from pearrun.http1.server import ServerShare
from pearrun.platform import settings as settings_module
from pearrun.platform import statelog
from pearrun.platform.codec import EndpointCodec
from pearrun.platform.decoding import decode_configuration
from pearrun.platform.dutyclient import DutyClient
from pearrun.platform.endpointlist import EndpointFollower
from pearrun.platform.frontend import Frontend
from pearrun.platform.frontend import ReadinessHandler
from pearrun.platform.frontend import screen_out_body
from pearrun.platform.leaselog import LeaseLog
from pearrun.platform.membership import MemberFollower
from pearrun.platform.operatorlog import ConfigFollower
from pearrun.platform.quarantinelog import QuarantineFollower
from pearrun.platform.rolloutlog import RolloutLog
from pearrun.platform.store import StoreClient
from pearrun.platform.streamlog import StreamLog
from pearrun.platform.usagelog import UsageLog
from pearrun.relay.relay import Relay
from pearrun.shared import reports
from pearrun.shared.host import HostContext
from pearrun.shared.members import Member
from pearrun.shared.peerlinks import PeerLinks
from pearrun.shared.reporter import Reporter
from pearrun.shared.reportreceiver import ReportReceiver
from pearrun.shared.tunnelserver import TunnelServer

METRICS_PORT = 9464
# How long new connections are accepted after the stop signal.  The platform
# checks readiness once a second and routes callers here until two checks have
# failed.
STOP_ACCEPT_MS = 2600
# Requests still running this long before the platform kills the process are
# aborted.
KILL_MARGIN_MS = 700
# How long the answers to calls that have timed out may take to be sent.
EXPIRY_MS = 150
# Interval of checks for requests still running during the shutdown.
STOP_POLL_MS = 50
# Interval of checks for a changed settings file.
SETTINGS_POLL_MS = 1000


class Daemon:
    """Owns and runs all components of one entry host.

    :param settings: the host's :class:`HostSettings`.
    :param log_writer: the :class:`BoundedWriter`, whose count of dropped
        lines is exported as a metric.
    :param load_settings: function that reads the settings file.
    """

    def __init__(
        self, settings, log_writer, load_settings=settings_module.load
    ):
        self.load_settings = load_settings
        self.last_settings_error = None
        self.settings = settings
        self.log_writer = log_writer
        self.clock = Clock()
        self.host = HostContext(settings, EndpointCodec(), self.clock)
        self.store = StoreClient(settings.store)
        self.relay = Relay(self.host)
        self.share = ServerShare(
            intake.derive_settings(settings.memory_mb, settings.descriptors)
        )
        self.host.close_stalled = self.share.close_stalled
        frontend = Frontend(self.host, self.relay)
        self.front = Server(
            frontend.handle,
            self.get_limits,
            self.host.overload.accept,
            frontend.screen,
            self.share,
        )
        self.ready = Server(
            ReadinessHandler(self.host).handle,
            screen=screen_out_body,
            shared=self.share,
        )
        self.metrics = Server(
            self.serve_metrics, screen=screen_out_body, shared=self.share
        )
        self.started_ms = self.clock.wall()
        self.reports = ReportReceiver(self.host, decode_configuration)
        self.reporter = Reporter(self.host, self.started_ms, self.reports)
        self.host.remove_host_reports = self.reports.remove_host
        self.host.selection.notify_peers = self.reporter.trigger_round
        self.host.quarantine.notify_peers = self.reporter.trigger_round
        self.host.paths.notify_peers = self.reporter.trigger_round
        self.host.limits.notify_peers = self.reporter.trigger_round
        self.host.departures.notify_peers = self.reporter.trigger_round
        self.duties = self.make_duties()
        self.members = MemberFollower(
            self.host, self.store, self.make_own_member(), self.holds_lease
        )
        self.tunnel_server = TunnelServer(self.host)
        self.links = PeerLinks(
            self.host,
            self.make_own_member(),
            self.reports,
            self.reporter,
            self.tunnel_server,
        )
        self.stop = asyncio.Event()
        self.tasks = []

    def make_own_member(self):
        """Return this host's entry in the list of hosts."""
        settings = self.settings
        return Member(
            name=settings.name,
            address=f'{settings.ip}:{settings.first_port}',
            zone=settings.zone,
            started_ms=self.started_ms,
            link_mbps=settings.link_mbps,
        )

    def make_duties(self):
        """Return the :class:`Duties`; ``None`` if none are configured."""
        settings = self.settings
        if settings.duties is None:
            return None
        takeover_delay_ms = max(
            TAKEOVER_DELAY_MS, settings.lease_ms + TAKEOVER_MARGIN_MS
        )
        view = LeaseView(
            f'{settings.name}/{self.started_ms}', takeover_delay_ms
        )
        client = DutyClient(settings.duties.address, settings.name)
        scaler = Scaler(self.host, client)
        lease_log = LeaseLog(self.store, view, self.clock)
        usage_log = UsageLog(self.store)
        conductor = Conductor(
            self.host, RolloutLog(self.store), self.reporter.trigger_round
        )
        duties = Duties(
            self.host,
            lease_log,
            client,
            self.reports,
            scaler,
            usage_log,
            conductor,
        )
        self.reporter.make_notice = self.make_duty_notice
        return duties

    def make_duty_notice(self):
        """Return a notice for other hosts that this host holds the lease.

        :returns: a :class:`DutyNotice`; ``None`` if this host does not hold
            the lease.
        """
        if not self.duties.holds():
            return None
        view = self.duties.view
        return reports.DutyNotice(
            self.settings.name,
            view.fencing,
            view.end,
            rollouts=self.duties.conductor.make_notices(),
        )

    def holds_lease(self):
        """Return whether this host holds the lease on the duties."""
        return self.duties is not None and self.duties.holds()

    def get_limits(self):
        """Return the limits on requests and connections in force."""
        config = self.host.config.current
        return config.limits if config else ServerLimits()

    async def run(self):
        """Serve until the stop signal, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.stop.wait()
        await self.shut_down()

    async def start(self):
        """Start the background tasks and listen on all ports."""
        logger.bind(ip=self.settings.ip, pid=os.getpid()).info('start')
        for coroutine in self.make_background_coroutines():
            self.tasks.append(asyncio.create_task(supervise(coroutine)))
        await self.front.listen(self.settings.front_address)
        await self.ready.listen(self.settings.ready_address)
        await self.metrics.listen(f'{self.settings.ip}:{METRICS_PORT}')

    def make_background_coroutines(self):
        """Return the coroutines that run until the process ends."""
        coroutines = [
            ConfigFollower(
                self.host, self.store, RolloutLog(self.store)
            ).run(),
            EndpointFollower(self.host, self.store).run(),
            self.members.run(),
            QuarantineFollower(self.host, self.store).run(),
            StreamLog(self.host, self.store, self.holds_lease).run(),
            self.reporter.run(),
            self.host.overload.run(),
            self.links.run(),
            self.watch_settings(),
            statelog.log_state(self),
        ]
        if self.duties is not None:
            coroutines.append(self.duties.run())
        return coroutines

    async def shut_down(self):
        """Stop accepting connections, finish open requests, then close.

        Requests that arrive before the listening socket closes are served;
        those that have not finished shortly before the platform kills the
        process time out.
        """
        began_ms = self.clock.now()
        self.host.stopping = True
        self.front.closing = True
        logger.bind(requests=self.front.active_requests).info('stopping')
        last_ms = began_ms + self.settings.shutdown_ms - KILL_MARGIN_MS
        await asyncio.sleep(to_seconds(STOP_ACCEPT_MS))
        # No more requests are read: they might not finish before the kill.
        self.front.close()
        await self.wait_for_requests(last_ms)
        # Callers get an answer that says whether their calls may have run.
        self.relay.expire_calls()
        await self.wait_for_requests(last_ms + EXPIRY_MS)
        logger.bind(
            requests=self.front.active_requests,
            after_ms=self.clock.since(began_ms),
        ).info('stop')
        await self.members.deregister()
        await self.end()

    async def wait_for_requests(self, until_ms):
        """Wait until no request is open, or until a deadline."""
        while self.count_open() and self.clock.now() < until_ms:
            await asyncio.sleep(to_seconds(STOP_POLL_MS))

    def count_open(self):
        """Return the number of requests and tunnels that are open."""
        return self.front.active_requests + self.tunnel_server.active

    async def end(self):
        """Abort all connections and cancel all background tasks."""
        for server in (self.front, self.ready, self.metrics):
            server.close()
            server.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reload(self):
        """Reload the settings file; keep the old settings if it is invalid."""
        try:
            settings = self.load_settings()
        except exceptions.SettingsError as exc:
            if exc.message != self.last_settings_error:
                self.last_settings_error = exc.message
                logger.bind(code=exc.code).error(
                    f'invalid settings ignored: {exc.message}'
                )
            return
        self.last_settings_error = None
        if settings == self.settings:
            return
        self.settings = settings
        self.host.settings = settings
        self.store.update_settings(settings.store)
        logger.info('settings reloaded')

    async def watch_settings(self):
        """Reload the settings file periodically, in case a SIGHUP is lost."""
        while True:
            await asyncio.sleep(to_seconds(SETTINGS_POLL_MS))
            self.reload()

    async def serve_metrics(self, request, caller):
        """Respond with this host's metrics in the Prometheus text format."""
        text = self.host.counters.render(
            self.collect_gauges(),
            self.store.calls,
            self.store.get_read_ages(),
        )
        headers = [(b'Content-Type', b'text/plain; version=0.0.4')]
        await caller.reply(200, headers, text.encode())

    def collect_gauges(self):
        """Return the current values of all gauges by name."""
        now = self.clock.now()
        answer_age_ms = self.host.selection.answer_age_ms()
        return {
            'ready': int(self.host.is_ready()),
            'requests_open': self.front.active_requests,
            'connections_open': len(self.front.connections),
            'connections_shed_total': self.host.overload.shed,
            'connections_closed_for_others_total': (
                self.share.intake.closed.total()
            ),
            'connections_stalled_total': self.front.stalled,
            'callers_occupy_bytes': self.share.intake.bytes,
            'large_requests_refused_total': self.share.intake.refused,
            'connections_shed_percent': round(
                100 * self.host.overload.shedder.share
            ),
            'config_version': self.host.config.version,
            'config_age_ms': self.host.config.age_ms(),
            'endpoints': len(self.host.fleet.endpoints),
            'endpoint_list_age_ms': self.host.list_age_ms(now) or -1,
            'endpoint_answer_age_ms': (
                -1 if answer_age_ms is None else answer_age_ms
            ),
            'services_unreachable': len(self.host.reachability.list_lost()),
            'tunnels_open': self.tunnel_server.active,
            'tunnels_served_total': self.tunnel_server.served,
            'tunnels_used_total': self.host.tunnels.opened,
            'stream_origins': len(self.host.origins),
            'hosts': self.host.count_hosts(),
            'endpoint_crashes_total': self.host.crashes.total,
            'lease_held': int(
                self.duties is not None and self.duties.was_holder
            ),
            'rollouts_open': len(self.host.rollouts.list_open()),
            'quarantined': len(self.host.quarantine.known.quarantined),
            'endpoints_limited': self.host.limits.count(),
            'endpoints_resting': self.host.rests.count(),
            'services_brittle': self.host.brittle.count(),
            'retries_refused_total': self.host.retry_budgets.refused.total(),
            'quarantine_refusals_total': self.host.quarantine.refused,
            'store_calls_total': self.store.calls.total(),
            'store_failures_total': self.store.failures,
            'store_era': self.store.era or 0,
            'log_lines_dropped_total': self.log_writer.dropped_total,
        }


async def supervise(coroutine):
    """Run a background coroutine; stop the process if it fails.

    The platform then restarts the process.
    """
    try:
        await coroutine
    except asyncio.CancelledError:
        raise
    except Exception:
        logger.exception('background task failed')
        os.kill(os.getpid(), signal.SIGTERM)
