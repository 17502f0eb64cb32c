"""The daemon ``pearrund``: one per entry host.

It wires the parts together: intake routes, the dispatcher, the
router, the acceptance journal, the config follower, the host watcher
and the peer links, and runs them on one uvloop event loop.
"""

import asyncio

from absl import app as absl_app
from absl import flags
import aiohttp
from loguru import logger
from sanic import Sanic

from pearrun import exceptions
from pearrun import intake
from pearrun import logs
from pearrun import settings as settings_module
from pearrun import web
from pearrun.claims import KeyClaims
from pearrun.clock import to_seconds
from pearrun.config import ConfigFollower
from pearrun.dispatcher import Dispatcher
from pearrun.hosts import HostWatcher
from pearrun.journal import Journal
from pearrun.logservice import LogClient
from pearrun.peers import Peers
from pearrun.router import Router

FLAGS = flags.FLAGS
flags.DEFINE_string('settings', None, 'Path of the YAML settings file.')
flags.DEFINE_enum('log_format', 'text', ['text', 'json'], 'Log format.')
flags.DEFINE_string('log_level', 'INFO', 'Lowest log level written.')

DRAIN_TIMEOUT_MS = 20_000


class Daemon:
    """The parts of one daemon, built from its whole settings.

    :param settings: a checked :class:`Settings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.router = Router.from_settings(settings)
        self.peers = Peers(settings, self.router)
        self.session = None
        self.dispatcher = None
        self.hosts = None
        self.config = None
        self.tasks = []

    async def start(self):
        """Open connections and start the background tasks."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2)
        self.session = aiohttp.ClientSession(timeout=timeout)
        log = LogClient(self.session, self.settings.platform)
        self.config = ConfigFollower(log, self.settings)
        journal = Journal(log, self.settings)
        claims = KeyClaims(log, self.settings)
        self.dispatcher = Dispatcher(
            self.settings,
            self.session,
            self.router,
            journal,
            self.config,
            claims,
        )
        self.hosts = HostWatcher(
            self.session, self.settings, self.router, self.peers
        )
        self.tasks = [
            asyncio.create_task(self.config.follow(), name='config'),
            asyncio.create_task(self.hosts.watch(), name='hosts'),
        ]
        for url in self.settings.host.peers:
            self.tasks.append(
                asyncio.create_task(self.peers.keep_link(url), name=url)
            )
        logger.info('daemon started', name=self.settings.host.name)

    async def stop(self):
        """Finish in-flight work, then close everything."""
        logger.info('daemon stopping; finishing in-flight requests')
        try:
            await asyncio.wait_for(
                self.dispatcher.drain(), to_seconds(DRAIN_TIMEOUT_MS)
            )
        except TimeoutError:
            logger.warning('drain timed out')
        for task in self.tasks:
            task.cancel()
        await self.session.close()

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
        }


def build_app(settings):
    """Build the daemon's sanic app from its whole settings."""
    app = Sanic('pearrund')
    app.config.WEBSOCKET_PING_INTERVAL = None
    daemon = Daemon(settings)
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
    app = build_app(settings)
    web.serve(app, settings.host.listen.host, settings.host.listen.port)


def run():
    """Entry point of the ``pearrund`` script."""
    absl_app.run(main)
