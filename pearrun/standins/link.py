"""Link stand-in: a TCP connection path that tests can break.

It listens on ``listen_port`` and passes bytes on to ``target``.
``POST /admin/link`` ``{mode}`` on its own port sets what it does:

- ``open``: bytes pass;
- ``cut``: new connections are refused and open ones are reset;
- ``silent``: connections that are open now never pass another byte,
  as when something in between has forgotten them; new ones work;
- ``one_way``: bytes reach the target, nothing comes back;
- ``slow``: bytes pass late.
"""

import asyncio
import dataclasses
import enum

from sanic import response
from sanic import Sanic

CHUNK = 65_536
# How late bytes pass on a slow link: several times the few ms that
# connections within a region take.
SLOW_S = 0.06


class LinkMode(enum.Enum):
    """What the link does to connections."""

    OPEN = 'open'
    CUT = 'cut'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True)
class LinkConfig:
    """Where a link listens and leads to."""

    listen_port: int
    target: str


class Connection:
    """One connection through the link."""

    def __init__(self, link, near, far):
        self.link = link
        self.near = near
        self.far = far
        self.silent = False

    def holds_back(self, writer):
        """Say whether bytes to an end are dropped now."""
        one_way = self.link.mode is LinkMode.ONE_WAY
        return self.silent or (one_way and writer is self.near)

    async def pump(self, reader, writer):
        """Pass bytes one way until an end closes."""
        try:
            while data := await reader.read(CHUNK):
                if self.link.mode is LinkMode.SLOW:
                    await asyncio.sleep(SLOW_S)
                if self.holds_back(writer):
                    # What is lost once never comes: later bytes would
                    # not follow on from what arrived.
                    self.silent = True
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()

    def reset(self):
        """Break the connection at once."""
        self.near.transport.abort()
        self.far.transport.abort()


class Link:
    """State of the link stand-in."""

    def __init__(self, config):
        self.config = config
        self.mode = LinkMode.OPEN
        self.connections = set()
        self.server = None

    async def start(self):
        """Begin to listen."""
        self.server = await asyncio.start_server(
            self.accept, '127.0.0.1', self.config.listen_port
        )

    async def accept(self, reader, writer):
        """Carry one connection."""
        host, port = self.config.target.split(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(self, writer, far_writer)
        self.connections.add(connection)
        await asyncio.gather(
            connection.pump(reader, far_writer),
            connection.pump(far_reader, writer),
        )
        self.connections.discard(connection)

    def close(self):
        """Stop listening and break every connection."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()

    async def set_mode(self, mode):
        """Change what happens to connections."""
        if mode == LinkMode.CUT and self.mode != LinkMode.CUT:
            self.server.close()
        if mode != LinkMode.CUT and self.mode == LinkMode.CUT:
            await self.start()
        self.mode = mode
        for connection in list(self.connections):
            match mode:
                case LinkMode.CUT:
                    connection.reset()
                case LinkMode.SILENT:
                    connection.silent = True


def build_app(config):
    """Build the link stand-in's sanic app."""
    app = Sanic('pearrun-link')
    link = Link(config)

    @app.before_server_start
    async def start(app):
        await link.start()

    @app.post('/admin/link')
    async def set_mode(request):
        await link.set_mode(LinkMode((request.json or {})['mode']))
        return response.json({'mode': link.mode.value})

    @app.get('/healthz')
    async def health(request):
        return response.json({'ok': True})

    return app
