"""Peers: daemons of one failure domain, over websockets with CBOR.

Each daemon keeps one task per peer address.  The task connects, sends
a heartbeat every ``heartbeat_ms`` and reads messages; a connection
that has been silent for ``peer_timeout_ms`` is dropped and dialled
again, since a silent connection may never come back while a new one
works.  Messages are CBOR maps with a ``type`` key:

- ``{"type": "heartbeat", "from": name}``
- ``{"type": "leaving", "from": name, "endpoint": id}``
- ``{"type": "config", "from": name, "yaml": text}``: the team tree in
  force, sent when a link comes up and when it changes, so that a
  daemon that cannot reach the platform's log still gets it.
"""

import asyncio
import dataclasses

import cbor2
from loguru import logger
import websockets

from pearrun import config as config_module
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import EndpointState

HEARTBEAT = 'heartbeat'
LEAVING = 'leaving'
CONFIG = 'config'
MAX_QUEUED = 1000


@dataclasses.dataclass
class PeerLink:
    """What this daemon knows of one peer."""

    url: str
    connected: bool = False
    last_seen_ms: int = 0
    reconnects: int = 0


class Peers:
    """The set of peer links of one daemon.

    :param settings: the daemon's whole :class:`Settings`.
    :param router: the daemon's :class:`Router`, told of leaving
        endpoints that peers report.
    :param config: the daemon's :class:`ConfigFollower`.
    """

    def __init__(self, settings, router, config):
        self.settings = settings
        self.router = router
        self.config = config
        self.clock = Clock()
        self.links = {url: PeerLink(url) for url in settings.host.peers}
        self.outbox = {
            url: asyncio.Queue(MAX_QUEUED) for url in settings.host.peers
        }

    def encode(self, message):
        """Encode a message as CBOR, stamped with this daemon's name."""
        return cbor2.dumps(dict(message, **{'from': self.settings.host.name}))

    def broadcast(self, message):
        """Queue a message for every peer."""
        for queue in self.outbox.values():
            if not queue.full():
                queue.put_nowait(message)

    def describe_config(self):
        """Return the message that carries the tree in force."""
        text = config_module.tree_to_yaml(self.config.tree)
        return {'type': CONFIG, 'yaml': text}

    def broadcast_config(self):
        """Send the tree in force to every peer."""
        self.broadcast(self.describe_config())

    def receive(self, data):
        """Act on one message from a peer."""
        message = cbor2.loads(data)
        match message.get('type'):
            case 'leaving':
                endpoint = message.get('endpoint')
                if self.router.mark(endpoint, EndpointState.LEAVING):
                    logger.info(
                        'peer reports endpoint leaving', endpoint=endpoint
                    )
            case 'config':
                self.config.receive(message.get('yaml'))

    async def serve(self, websocket):
        """Handle one incoming peer connection until it closes."""
        async for data in websocket:
            self.receive(data)

    async def keep_link(self, url):
        """Keep one outgoing link up for the daemon's whole life."""
        link = self.links[url]
        host = self.settings.host
        while True:
            try:
                async with websockets.connect(
                    url, open_timeout=to_seconds(host.peer_timeout_ms)
                ) as websocket:
                    link.connected = True
                    link.last_seen_ms = self.clock.now()
                    if self.config.tree.version > 0:
                        await websocket.send(
                            self.encode(self.describe_config())
                        )
                    await self.talk(websocket, link)
            except (OSError, websockets.WebSocketException, TimeoutError):
                pass
            link.connected = False
            link.reconnects += 1
            await asyncio.sleep(to_seconds(host.heartbeat_ms))

    async def talk(self, websocket, link):
        """Send heartbeats and queued messages; give up when silent."""
        host = self.settings.host
        queue = self.outbox[link.url]
        while True:
            try:
                message = await asyncio.wait_for(
                    queue.get(), to_seconds(host.heartbeat_ms)
                )
            except TimeoutError:
                message = {'type': HEARTBEAT}
            await asyncio.wait_for(
                websocket.send(self.encode(message)),
                to_seconds(host.peer_timeout_ms),
            )
            pong = await websocket.ping()
            await asyncio.wait_for(pong, to_seconds(host.peer_timeout_ms))
            link.last_seen_ms = self.clock.now()

    def to_body(self):
        """Return the links' state, JSON-ready."""
        return [dataclasses.asdict(link) for link in self.links.values()]
