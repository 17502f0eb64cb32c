"""Network link stand-in: a TCP proxy whose connections can be broken.

It listens on ``listen_port`` and forwards to ``target``.  On another
port, ``POST /admin/link`` ``{mode}`` sets the mode:

- ``open``: bytes are forwarded;
- ``cut``: new connections are refused, open ones are reset;
- ``silent``: open connections drop all further bytes without closing,
  as when a NAT or firewall has lost their state; new ones work;
- ``one_way``: bytes to the target are forwarded, those to the client
  are dropped;
- ``slow``: bytes are forwarded after a delay.
"""

import asyncio
import dataclasses
import enum

from sanic import response
from sanic import Sanic

CHUNK_BYTES = 65_536
# Delay of a slow link: several times the few milliseconds that
# connections within a region take.
SLOW_DELAY_S = 0.06


class LinkMode(enum.Enum):
    """How the link treats connections."""

    OPEN = 'open'
    CUT = 'cut'
    SILENT = 'silent'
    ONE_WAY = 'one_way'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True)
class LinkConfig:
    """Addresses of a link.

    :param target: ``IP:PORT`` that it forwards to.
    """

    listen_port: int
    target: str


class Connection:
    """A connection through the link.

    :param client_writer: the stream writer towards the client.
    :param target_writer: the stream writer towards the target.
    """

    def __init__(self, link, client_writer, target_writer):
        self.link = link
        self.client_writer = client_writer
        self.target_writer = target_writer
        self.silent = False

    def drops_bytes(self, writer):
        """Return whether bytes to one end are being dropped."""
        one_way = self.link.mode is LinkMode.ONE_WAY
        return self.silent or (one_way and writer is self.client_writer)

    async def forward(self, reader, writer):
        """Forward bytes in one direction until either end closes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.link.mode is LinkMode.SLOW:
                    await asyncio.sleep(SLOW_DELAY_S)
                if self.drops_bytes(writer):
                    # TCP delivers no bytes after a gap, so once some
                    # are dropped, all later ones are dropped too.
                    self.silent = True
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()

    def reset(self):
        """Reset the connection at both ends."""
        self.client_writer.transport.abort()
        self.target_writer.transport.abort()


class Link:
    """State of the link stand-in."""

    def __init__(self, config):
        self.config = config
        self.mode = LinkMode.OPEN
        self.connections = set()
        self.server = None

    async def start(self):
        """Start listening."""
        self.server = await asyncio.start_server(
            self.accept, '127.0.0.1', self.config.listen_port
        )

    async def accept(self, reader, writer):
        """Forward one connection until it ends."""
        host, port = self.config.target.split(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(self, writer, target_writer)
        self.connections.add(connection)
        await asyncio.gather(
            connection.forward(reader, target_writer),
            connection.forward(target_reader, writer),
        )
        self.connections.discard(connection)

    def close(self):
        """Stop listening and reset all connections."""
        self.server.close()
        for connection in list(self.connections):
            connection.reset()

    async def set_mode(self, mode):
        """Set the mode and apply it to open connections."""
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
