"""The daemon ``pearrund``: one per entry host.

Creates and connects the parts of the daemon (HTTP routes, dispatcher,
router, request journal, config follower, host watcher and peer links)
and runs them on one uvloop event loop.
"""

import asyncio
import signal

from absl import app as absl_app
from absl import flags
import aiohttp
from loguru import logger
from sanic import Sanic

from pearrun import exceptions
from pearrun import logs
from pearrun.api import intake
from pearrun.api import routes
from pearrun.api import settings as settings_module
from pearrun.api import web
from pearrun.api.claims import KeyClaims
from pearrun.api.config import ConfigFollower
from pearrun.api.crashes import JobCrashTracker
from pearrun.api.dispatcher import Dispatcher
from pearrun.api.hosts import HostWatcher
from pearrun.api.journal import Journal
from pearrun.api.logservice import LogClient
from pearrun.api.lookup import Lookup
from pearrun.api.members import Member
from pearrun.api.members import Membership
from pearrun.api.orders import OrderReconciler
from pearrun.api.peers import Peers
from pearrun.api.recovery import Recovery
from pearrun.api.router import Router
from pearrun.api.runner import Runner
from pearrun.api.shutdown import GracefulShutdown
from pearrun.api.tokenbucket import TokenBucket
from pearrun.clock import to_seconds
from pearrun.metrics import MetricsTable
from pearrun.states import EndpointState

FLAGS = flags.FLAGS
flags.DEFINE_string('settings', None, 'Path of the YAML settings file.')
flags.DEFINE_enum('log_format', 'text', ['text', 'json'], 'Log format.')
flags.DEFINE_string('log_level', 'INFO', 'Minimum log level.')


class Daemon:
    """The parts of one daemon, built from its settings.

    :param settings: a validated :class:`Settings`.
    :param path: the settings file, reloaded on SIGHUP.
    """

    def __init__(self, settings, path=None):
        self.settings = settings
        self.path = path
        self.router = Router.from_settings(settings)
        self.peers = None
        self.metrics = MetricsTable()
        self.crashes = JobCrashTracker()
        self.session = None
        self.journal = None
        self.config = None
        self.membership = None
        self.dispatcher = None
        self.lookup = None
        self.shutdown = None
        self.hosts = None
        self.orders = None
        self.recovery = None
        self.tasks = []

    def build(self):
        """Create the parts that need a running event loop."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2)
        self.session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
        )
        settings = self.settings
        log = LogClient(self.session, settings.platform)
        self.config = ConfigFollower(log, settings, self.on_config_change)
        self.peers = Peers(settings, self.router, self.config)
        rate_limiter = TokenBucket(
            settings.platform.appends_per_s, self.count_daemons
        )
        self.journal = Journal(log, settings, self.on_sealed, rate_limiter)
        self.membership = Membership(
            log,
            settings,
            self.describe,
            self.on_endpoint_leaving,
            self.crashes.receive,
        )
        self.crashes.quarantine.notify_peers = (
            self.membership.heartbeat_requested.set
        )
        runner = Runner(
            settings,
            self.session,
            self.router,
            KeyClaims(log),
            self.journal,
            self.membership,
            self.metrics,
            self.crashes,
        )
        self.dispatcher = Dispatcher(
            settings,
            self.router,
            self.journal,
            self.config,
            runner,
            self.metrics,
            self.crashes,
        )
        self.lookup = Lookup(
            settings,
            log,
            self.session,
            self.dispatcher,
            self.membership,
            self.journal,
        )
        self.shutdown = GracefulShutdown(
            settings,
            self.dispatcher,
            self.journal,
            self.lookup,
            self.membership,
        )
        self.hosts = HostWatcher(
            self.session,
            settings,
            self.router,
            self.announce_endpoint_leaving,
            self.shutdown.handle_reclaim_notice,
        )
        self.orders = OrderReconciler(
            self.session,
            settings,
            self.router,
            self.config,
            self.membership,
        )
        self.recovery = Recovery(
            log,
            settings,
            self.membership,
            self.journal,
            self.dispatcher.adopt,
        )

    async def start(self):
        """Create the parts and start the background tasks."""
        self.build()
        coroutines = {
            'journal': self.journal.run(),
            'progress': self.dispatcher.saver.save_periodically(
                self.dispatcher.list_running
            ),
            'config': self.config.follow(),
            'beats': self.membership.run_heartbeats(),
            'recovery': self.watch_for_failover(),
            'cloud': self.hosts.watch_cloud(),
            'loads': self.hosts.watch_loads(),
            'orders': self.orders.watch(),
        }
        for url in self.peers.links:
            coroutines[url] = self.peers.maintain_link(url)
        self.tasks = [
            asyncio.create_task(coroutine, name=name)
            for name, coroutine in coroutines.items()
        ]
        if self.path is not None:
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGHUP, self.reload
            )
        logger.info('daemon started', name=self.settings.host.name)

    def reload(self):
        """Reload the settings file and apply its endpoints and teams.

        If the file is invalid, the previous settings stay in use.
        Changes to ``host`` and ``platform`` need a restart.
        """
        try:
            settings = settings_module.load(self.path)
        except exceptions.SettingsError as exc:
            logger.error(
                'invalid settings; previous settings kept',
                code=exc.code,
                error=exc.message,
            )
            return
        if settings.host != self.settings.host or (
            settings.platform != self.settings.platform
        ):
            logger.warning('changed host or platform settings need a restart')
        self.router.update_endpoints(settings.endpoints)
        self.config.apply(settings.get_team_tree())
        logger.info('settings reloaded', endpoints=len(settings.endpoints))

    async def watch_for_failover(self):
        """Run failover for dead hosts once a configuration is known."""
        while self.config.tree.version == 0:
            await asyncio.sleep(to_seconds(self.settings.host.members_poll_ms))
        await self.recovery.watch()

    async def stop(self):
        """Finish or hand over all requests, then stop the daemon."""
        await self.shutdown.stop()
        for task in self.tasks:
            task.cancel()
        await self.session.close()

    def describe(self):
        """Return this daemon's :class:`Member` record for its heartbeats."""
        listen = self.settings.host.listen
        return Member(
            name=self.settings.host.name,
            stream=self.journal.stream,
            zone=self.settings.host.zone,
            url=f'http://{listen.host}:{listen.port}',
            state=self.shutdown.state,
            config_version=self.config.tree.version,
            leaving=tuple(self.router.list_leaving()),
            suspects=self.crashes.describe(),
        )

    def on_config_change(self):
        """Announce the newly applied configuration version at once."""
        self.membership.heartbeat_requested.set()

    def count_daemons(self):
        """Return the number of daemons that share the append rate limit."""
        return len(self.membership.list_live())

    def announce_endpoint_leaving(self, endpoint_id):
        """Announce to all daemons that an endpoint gets no new requests.

        Peers in this zone are notified over their peer links, daemons
        in other zones by a heartbeat, which is sent at once.
        """
        self.peers.broadcast_leaving(endpoint_id)
        self.membership.heartbeat_requested.set()

    def on_endpoint_leaving(self, endpoint_id):
        """Mark an endpoint as leaving, because another daemon reports it."""
        self.router.mark(endpoint_id, EndpointState.LEAVING)

    def on_sealed(self):
        """Handle the takeover of this host's journal by another host.

        This is expected while the host is shutting down, since it then
        asks for the takeover.
        """
        self.dispatcher.on_sealed()
        self.membership.heartbeat_requested.set()

    def describe_status(self):
        """Return the body of ``/v1/status``, JSON-serializable."""
        return {
            'name': self.settings.host.name,
            'zone': self.settings.host.zone,
            'config_version': self.config.tree.version,
            'accepting': self.dispatcher.accepting,
            'running': len(self.dispatcher.running),
            'endpoints': [
                {
                    'id': e.id,
                    'zone': e.zone,
                    'state': e.state.value,
                    'in_flight': e.in_flight,
                    'reported_load': e.reported_load,
                }
                for e in self.router.endpoints.values()
            ],
            'peers': self.peers.to_body(),
            'journal': {
                'stream': self.journal.stream,
                'open': len(self.journal.open_requests),
                'appends': self.journal.appends,
                'adopted': self.recovery.adopted,
            },
            'members': [
                dict(m.to_heartbeat(), missed=m.missed)
                for m in self.membership.members.values()
            ],
        }


def build_app(settings, path=None):
    """Build the daemon's sanic app from its settings.

    :param settings: a validated :class:`Settings`.
    :param path: the settings file, reloaded on SIGHUP.
    """
    app = Sanic('pearrund', request_class=intake.BoundedRequest)
    intake.install(app, settings.host.intake)
    app.config.WEBSOCKET_PING_INTERVAL = None
    daemon = Daemon(settings, path)
    app.ctx.daemon = daemon
    web.install_error_handler(app)

    @app.before_server_start
    async def start(app):
        await daemon.start()

    @app.before_server_stop
    async def stop(app):
        await daemon.stop()

    routes.install_routes(app, daemon)
    return app


def main(argv):
    """Load the settings file and serve until stopped."""
    del argv
    if not FLAGS.settings:
        raise absl_app.UsageError('--settings is required')
    logs.configure('pearrund', log_format=FLAGS.log_format)
    try:
        settings = settings_module.load(FLAGS.settings)
    except exceptions.SettingsError as exc:
        logger.error('invalid settings', code=exc.code, error=exc.message)
        raise SystemExit(2) from exc
    logs.configure(
        'pearrund', settings.host.zone, FLAGS.log_format, FLAGS.log_level
    )
    app = build_app(settings, FLAGS.settings)
    listen = settings.host.listen
    grace_s = to_seconds(settings.host.drain_timeout_ms)
    web.serve(app, listen.host, listen.port, grace_s, intake.BoundedProtocol)


def run():
    """Entry point of the ``pearrund`` script."""
    absl_app.run(main)
