"""Peer links: CBOR over websockets between daemons of a failure domain.

The zone's daemons form a ring, sorted by address.  Each one connects to
its next :data:`MAX_LINKS` neighbours, with one task per link, so that
the cost of links does not grow with the zone.  The task sends a
heartbeat every ``heartbeat_ms``; if nothing arrives for
``peer_timeout_ms``, it reconnects, because the connection may be dead
although a new one works.  Updates are forwarded around the ring.
Messages are CBOR maps with a ``type`` key:

- ``{"type": "heartbeat", "from": name, "version": n}``: the peer
  answers with its team tree if that is newer, else with a message of
  type ``alive`` that has its own version.
- ``{"type": "leaving", "from": name, "endpoint": id}``: forwarded by
  each daemon that has not yet marked the endpoint as leaving.
- ``{"type": "config", "from": name, "yaml": text}``: the active team
  tree, for daemons that cannot reach the platform log.
"""

import asyncio
import contextlib
import dataclasses

import cbor2
from loguru import logger
import websockets

from pearrun.api import config as config_module
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import EndpointState

MAX_LINKS = 3
MAX_QUEUED_MESSAGES = 1000


@dataclasses.dataclass
class PeerLink:
    """State of the link to one peer."""

    url: str
    connected: bool = False
    last_seen_ms: int = 0
    reconnects: int = 0


def choose_neighbours(own_url, urls, count=MAX_LINKS):
    """Return the next ``count`` addresses after ``own_url`` in the ring.

    :param own_url: this daemon's own peer address.
    :param urls: the other daemons' addresses.
    """
    ring = sorted({*urls} - {own_url})
    start = sum(url < own_url for url in ring)
    return (ring[start:] + ring[:start])[:count]


class Peers:
    """The peer links of one daemon.

    :param settings: the daemon's complete :class:`Settings`.
    :param router: the daemon's :class:`Router`; endpoints that peers report
        as leaving are marked there.
    :param config: the daemon's :class:`ConfigFollower`.
    """

    def __init__(self, settings, router, config):
        self.settings = settings
        self.router = router
        self.config = config
        self.clock = Clock()
        listen = settings.host.listen
        own_url = f'ws://{listen.host}:{listen.port}/peer'
        urls = choose_neighbours(own_url, settings.host.peers)
        self.links = {url: PeerLink(url) for url in urls}
        self.outbox = {url: asyncio.Queue(MAX_QUEUED_MESSAGES) for url in urls}

    def encode(self, message):
        """Encode a message as CBOR, stamped with this daemon's name."""
        return cbor2.dumps(dict(message, **{'from': self.settings.host.name}))

    def broadcast_leaving(self, endpoint_id):
        """Notify the neighbours that an endpoint accepts no new requests.

        The message is dropped for a neighbour whose queue is full.
        """
        for queue in self.outbox.values():
            if not queue.full():
                queue.put_nowait({'type': 'leaving', 'endpoint': endpoint_id})

    def build_heartbeat(self):
        """Return a heartbeat message of this daemon."""
        return {'type': 'heartbeat', 'version': self.config.tree.version}

    def receive(self, data):
        """Handle one message from a peer.

        :returns: the answer to send, or ``None``.
        """
        message = cbor2.loads(data)
        match message.get('type'):
            case 'heartbeat':
                return self.answer_heartbeat(message)
            case 'leaving':
                endpoint = message.get('endpoint')
                if self.router.mark(endpoint, EndpointState.LEAVING):
                    logger.info(
                        'peer reported endpoint leaving', endpoint=endpoint
                    )
                    self.broadcast_leaving(endpoint)
            case 'config':
                self.config.receive(message.get('yaml'))
        return None

    def answer_heartbeat(self, message):
        """Return the answer to a peer's heartbeat.

        It is the active team tree if the peer's version is older.
        """
        if message.get('version', 0) < self.config.tree.version:
            text = config_module.tree_to_yaml(self.config.tree)
            return {'type': 'config', 'yaml': text}
        return {'type': 'alive', 'version': self.config.tree.version}

    async def serve(self, websocket):
        """Handle one incoming peer connection until it closes."""
        async for data in websocket:
            response = self.receive(data)
            if response is not None:
                await websocket.send(self.encode(response))

    async def maintain_link(self, url):
        """Connect to a peer, and reconnect on failure, until cancelled."""
        link = self.links[url]
        host = self.settings.host
        while True:
            try:
                async with websockets.connect(
                    url,
                    open_timeout=to_seconds(host.peer_timeout_ms),
                    ping_interval=None,
                    compression=None,
                ) as websocket:
                    link.connected = True
                    link.last_seen_ms = self.clock.now()
                    await self.exchange_messages(websocket, link)
            except (OSError, websockets.WebSocketException, TimeoutError):
                pass
            link.connected = False
            link.reconnects += 1
            await asyncio.sleep(to_seconds(host.heartbeat_ms))

    async def exchange_messages(self, websocket, link):
        """Send heartbeats and queued messages until the link fails.

        :raises TimeoutError: nothing arrived for ``peer_timeout_ms``.
        """
        timeout_ms = self.settings.host.peer_timeout_ms
        listen_task = asyncio.create_task(self.listen(websocket, link))
        try:
            while not listen_task.done():
                message = await self.get_next_message(link)
                await websocket.send(self.encode(message))
                if self.clock.since(link.last_seen_ms) > timeout_ms:
                    raise TimeoutError(f'{link.url} sent no message')
        finally:
            listen_task.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, websockets.WebSocketException
            ):
                await listen_task

    async def get_next_message(self, link):
        """Return the next queued message, or a heartbeat when one is due."""
        pause_s = to_seconds(self.settings.host.heartbeat_ms)
        try:
            async with asyncio.timeout(pause_s):
                return await self.outbox[link.url].get()
        except TimeoutError:
            return self.build_heartbeat()

    async def listen(self, websocket, link):
        """Handle a peer's messages on an outgoing link."""
        async for data in websocket:
            link.last_seen_ms = self.clock.now()
            self.receive(data)

    def to_body(self):
        """Return the state of the links, JSON-serializable."""
        return [dataclasses.asdict(link) for link in self.links.values()]
