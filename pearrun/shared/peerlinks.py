"""Links between entry hosts: websockets that carry CBOR messages.

Every host sends its reports on connections of its own to every other
host, and receives theirs on the connections they opened, so that a
path which is cut in one direction only stops that direction's reports.
"""

import asyncio

from loguru import logger
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.shared import reports

# How often the list of hosts is compared with the links.
MATCH_MS = 200
CONNECT_MS = 800
# A link whose other end answers no ping for this long is dialled again,
# since a silent connection may never come back while a new one works.
PING_MS = 1000
SILENCE_MS = 1500
REDIAL_MS = 200
# A report larger than this is no report.
MAX_MESSAGE_BYTES = 1024 * 1024
# How often a peer with an older configuration is sent ours.
CONFIG_COPY_MS = 1000


class PeerLinks:
    """The links of one host.

    :param host: shared objects of this host.
    :param board: takes other hosts' reports; see :class:`ReportBoard`.
    """

    def __init__(self, host, board):
        self.host = host
        self.board = board
        self.links = {}
        self.copied_ms = {}

    async def run(self):
        """Listen, and keep a link to every other host."""
        settings = self.host.settings
        async with serve(
            self._receive,
            settings.ip,
            settings.first_port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=to_seconds(PING_MS),
            ping_timeout=to_seconds(SILENCE_MS),
        ):
            try:
                while True:
                    self._match_members()
                    await asyncio.sleep(to_seconds(MATCH_MS))
            finally:
                for link in self.links.values():
                    link.cancel()

    def _match_members(self):
        """Begin links to hosts that came, end those to hosts that left."""
        wanted = {
            member.address: member for member in self.host.members.others()
        }
        for address in set(self.links) - set(wanted):
            self.links.pop(address).cancel()
        for address in set(wanted) - set(self.links):
            self.links[address] = asyncio.create_task(
                self._keep_link(wanted[address])
            )

    async def _keep_link(self, member):
        """Keep one outgoing link up while the host is a member."""
        while True:
            try:
                async with connect(
                    f'ws://{member.address}/',
                    compression=None,
                    open_timeout=to_seconds(CONNECT_MS),
                    ping_interval=to_seconds(PING_MS),
                    ping_timeout=to_seconds(SILENCE_MS),
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                ) as link:
                    logger.bind(peer=member.name).info('peer link up')
                    await self._send_reports(link, member)
            except ConnectionRefusedError:
                # Its process is not running; a cut path would be silent.
                self.board.forget(member.name)
            except (OSError, TimeoutError, websockets.WebSocketException) as e:
                logger.bind(peer=member.name, cause=repr(e)).info(
                    'peer link down'
                )
            await asyncio.sleep(to_seconds(REDIAL_MS))

    async def _send_reports(self, link, member):
        while True:
            await link.send(await self.board.next_report())
            if self._needs_config(member):
                copy = reports.ConfigCopy(
                    self.host.settings.name, self.host.config.current.raw
                )
                await link.send(reports.encode(copy))

    def _needs_config(self, member):
        """Say whether a peer's configuration is older than ours.

        A peer that reaches the store has the newest one after the first
        report that follows it; only one that does not is sent ours.
        """
        known = self.board.config_version(member.name)
        now = self.host.clock.now()
        last_ms = self.copied_ms.get(member.name)
        if known is None or known >= self.host.config.version:
            self.copied_ms.pop(member.name, None)
            return False
        if last_ms is None or now - last_ms < CONFIG_COPY_MS:
            self.copied_ms.setdefault(member.name, now)
            return False
        self.copied_ms[member.name] = now
        return True

    async def _receive(self, link):
        """Take one peer's messages until its link ends."""
        try:
            async for data in link:
                self.board.take(reports.decode(data))
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code).warning(exc.message)
        except websockets.ConnectionClosedError as exc:
            logger.info(f'peer link ended: {exc}')
