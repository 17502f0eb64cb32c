"""The daemon ``pearrund``: one per entry host.

It wires the parts together: intake routes, the dispatcher, the
router, the acceptance journal, the config follower, the host watcher
and the peer links, and runs them on one uvloop event loop.
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
flags.DEFINE_string('log_level', 'INFO', 'Lowest log level written.')


class Daemon:
    """The parts of one daemon, built from its whole settings.

    :param settings: a checked :class:`Settings`.
    :param path: the file they came from, read again on SIGHUP.
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
        self.departure = None
        self.hosts = None
        self.orders = None
        self.recovery = None
        self.tasks = []

    def build(self):
        """Build the parts that need a running event loop."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2)
        self.session = aiohttp.ClientSession(
            timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
        )
        settings = self.settings
        log = LogClient(self.session, settings.platform)
        self.config = ConfigFollower(log, settings, self.on_config)
        self.peers = Peers(settings, self.router, self.config)
        pace = TokenBucket(settings.platform.appends_per_s, self.count_daemons)
        self.journal = Journal(log, settings, self.on_sealed, pace)
        self.membership = Membership(
            log,
            settings,
            self.describe,
            self.hear_leaving,
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
        self.departure = GracefulShutdown(
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
            self.announce_leaving,
            self.departure.handle_reclaim_notice,
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
        """Open connections and start the background tasks."""
        self.build()
        work = {
            'journal': self.journal.run(),
            'progress': self.dispatcher.saver.keep_saving(
                self.dispatcher.list_running
            ),
            'config': self.config.follow(),
            'beats': self.membership.run_heartbeats(),
            'recovery': self.watch_members(),
            'cloud': self.hosts.watch_cloud(),
            'loads': self.hosts.watch_loads(),
            'orders': self.orders.watch(),
        }
        for url in self.peers.links:
            work[url] = self.peers.maintain_link(url)
        self.tasks = [
            asyncio.create_task(coroutine, name=name)
            for name, coroutine in work.items()
        ]
        if self.path is not None:
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGHUP, self.reload
            )
        logger.info('daemon started', name=self.settings.host.name)

    def reload(self):
        """Read the settings file again and take its endpoints over.

        A bad file changes nothing: the last good settings stay.  The
        ``host`` and ``platform`` branches need a restart.
        """
        try:
            settings = settings_module.load(self.path)
        except exceptions.SettingsError as exc:
            logger.error(
                'bad settings; the last good ones stay',
                code=exc.code,
                error=exc.message,
            )
            return
        if settings.host != self.settings.host or (
            settings.platform != self.settings.platform
        ):
            logger.warning('host and platform settings need a restart')
        self.router.update_endpoints(settings.endpoints)
        self.config.apply(settings.team_tree())
        logger.info('settings read again', endpoints=len(settings.endpoints))

    async def watch_members(self):
        """Recover dead hosts' requests once a configuration is known."""
        while self.config.tree.version == 0:
            await asyncio.sleep(to_seconds(self.settings.host.members_poll_ms))
        await self.recovery.watch()

    async def stop(self):
        """Leave, then close everything."""
        await self.departure.stop()
        for task in self.tasks:
            task.cancel()
        await self.session.close()

    def describe(self):
        """Return this daemon as a :class:`Member`, for its beats."""
        listen = self.settings.host.listen
        return Member(
            name=self.settings.host.name,
            stream=self.journal.stream,
            zone=self.settings.host.zone,
            url=f'http://{listen.host}:{listen.port}',
            state=self.departure.state,
            config_version=self.config.tree.version,
            leaving=tuple(self.router.leaving()),
            suspects=self.crashes.describe(),
        )

    def on_config(self):
        """Act on a newer team tree being in force."""
        self.membership.heartbeat_requested.set()

    def count_daemons(self):
        """Return how many daemons share the log's append rate."""
        return len(self.membership.list_live())

    def announce_leaving(self, endpoint_id):
        """Tell every daemon that an endpoint takes no new work.

        Peers of the zone hear it over their links, the other zones
        through the next beat, which is sent at once.
        """
        self.peers.broadcast_leaving(endpoint_id)
        self.membership.heartbeat_requested.set()

    def hear_leaving(self, endpoint_id):
        """Note an endpoint that another daemon reports as leaving."""
        self.router.mark(endpoint_id, EndpointState.LEAVING)

    def on_sealed(self):
        """Act on another host having taken over this host's journal.

        A host that is leaving has asked for it.
        """
        self.dispatcher.on_sealed()
        self.membership.heartbeat_requested.set()

    def status(self):
        """Return what an operator sees, JSON-ready."""
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
                'open': len(self.journal.open),
                'appends': self.journal.appends,
                'adopted': self.recovery.adopted,
            },
            'members': [
                dict(m.to_heartbeat(), missed=m.missed)
                for m in self.membership.members.values()
            ],
        }


def build_app(settings, path=None):
    """Build the daemon's sanic app from its whole settings.

    :param path: the file they came from, read again on SIGHUP.
    """
    app = Sanic('pearrund')
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

    intake.install_routes(app, daemon)
    return app


def main(argv):
    """Load settings and serve until stopped."""
    del argv
    if not FLAGS.settings:
        raise absl_app.UsageError('--settings is required')
    logs.configure('pearrund', log_format=FLAGS.log_format)
    try:
        settings = settings_module.load(FLAGS.settings)
    except exceptions.SettingsError as exc:
        logger.error('bad settings', code=exc.code, error=exc.message)
        raise SystemExit(2) from exc
    logs.configure(
        'pearrund', settings.host.zone, FLAGS.log_format, FLAGS.log_level
    )
    app = build_app(settings, FLAGS.settings)
    listen = settings.host.listen
    grace_s = to_seconds(settings.host.drain_timeout_ms)
    web.serve(app, listen.host, listen.port, grace_s)


def run():
    """Entry point of the ``pearrund`` script."""
    absl_app.run(main)
