"""Links between entry hosts: websockets that carry CBOR bundles.

Every host sends on connections of its own and receives on those that
others opened, so that a path which is cut in one direction only stops
that direction's reports.  Whom it sends to is planned in
:mod:`pearrun.decisions.topology`.
"""

import asyncio
import dataclasses

from loguru import logger
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions import topology
from pearrun.shared import reports

# How often it is looked whether the links have to be planned anew, and how
# often they are in any case.
PLAN_MS = 200
REPLAN_MS = 1000
CONNECT_MS = 800
# A link whose other end answers no ping for this long is dialled again,
# since a silent connection may never come back while a new one works.
PING_MS = 1000
SILENCE_MS = 1500
REDIAL_MS = 200
# How long the end of a link waits for the other end's: a host that stops is
# killed soon after, and must not wait for one that is cut off.
CLOSE_MS = 100
# A report larger than this is no report.
MAX_MESSAGE_BYTES = 1024 * 1024
# A host that could not be reached is no hub for this long, then for twice
# as long each time, unless it was started anew: ended processes are back
# in a second or two, lost hosts never.
DOWN_MS = 3000
LONGEST_DOWN_MS = 60_000
# For so long after its own start a host takes those it cannot reach to be
# starting too, and dials them again soon: hosts that have lost power together
# would else all choose other hubs.
STARTING_MS = 1000
STARTING_REDIAL_MS = 50
# How often a peer with an older configuration is sent ours.
CONFIG_COPY_MS = 1000


@dataclasses.dataclass
class Down:
    """For how long a host is taken to be down.

    :param length_ms: the time before; doubled each time.
    """

    until_ms: int = 0
    length_ms: int = DOWN_MS // 2


class PeerLinks:
    """The links of one host.

    :param host: shared objects of this host.
    :param own: this host's :class:`Member`.
    :param board: takes other hosts' messages; see :class:`ReportBoard`.
    :param reporter: makes what is sent; see :class:`Reporter`.
    """

    def __init__(self, host, own, board, reporter):
        self.host = host
        self.own = own
        self.board = board
        self.reporter = reporter
        self.links = {}
        self.copied_ms = {}
        self.down = {}
        self.roles = None
        self.begun_ms = host.clock.now()
        self.planned = None
        self.planned_ms = 0

    async def run(self):
        """Listen, and keep the planned links."""
        settings = self.host.settings
        async with serve(
            self._receive,
            settings.ip,
            settings.first_port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=to_seconds(PING_MS),
            ping_timeout=to_seconds(SILENCE_MS),
            close_timeout=to_seconds(CLOSE_MS),
        ):
            try:
                while True:
                    self._plan()
                    await asyncio.sleep(to_seconds(PLAN_MS))
            finally:
                for link in self.links.values():
                    link.cancel()

    def _plan(self):
        """Plan the links; begin those that are new, end the others.

        While all that the plan follows from is as it was, this is done less
        often: to rank all hosts takes time.
        """
        now = self.host.clock.now()
        members = self.host.members.members
        down = self._find_down()
        asked = self.board.is_asked()
        holder = self.board.find_holder()
        basis = (self.host.members.changes, down, asked, holder)
        if basis == self.planned and now - self.planned_ms < REPLAN_MS:
            return
        self.planned = basis
        self.planned_ms = now
        plan = topology.plan_links(self.own, members.values(), down, asked)
        self._take_plan(plan)
        names = set(plan.targets)
        if not plan.mesh:
            names.add(holder)
        wanted = {
            member
            for name, member in members.items()
            if name in names and name != self.own.name
        }
        for member in set(self.links) - wanted:
            self.links.pop(member).cancel()
        for member in wanted - set(self.links):
            self.links[member] = asyncio.create_task(self._keep_link(member))

    def _take_plan(self, plan):
        self.reporter.plan = plan
        self.board.is_hub = plan.is_hub
        self.host.feed.through_hubs = not plan.mesh
        self.host.feed.followed = not plan.is_reader
        roles = (plan.mesh, plan.is_hub, plan.is_reader)
        if roles != self.roles:
            self.roles = roles
            logger.bind(
                mesh=plan.mesh,
                is_hub=plan.is_hub,
                is_reader=plan.is_reader,
                targets=len(plan.targets),
            ).info('role among hosts')

    def _find_down(self):
        now = self.host.clock.now()
        listed = self.host.members.members
        return {
            member.name
            for member, down in self.down.items()
            if now < down.until_ms and listed.get(member.name) == member
        }

    def _note_down(self, member):
        """Note that a host could not be reached."""
        now = self.host.clock.now()
        down = self.down.setdefault(member, Down())
        if now >= down.until_ms:
            down.length_ms = min(LONGEST_DOWN_MS, down.length_ms * 2)
            down.until_ms = now + down.length_ms

    async def _keep_link(self, member):
        """Keep one outgoing link up while it is planned."""
        while True:
            try:
                async with connect(
                    f'ws://{member.address}/',
                    compression=None,
                    open_timeout=to_seconds(CONNECT_MS),
                    ping_interval=to_seconds(PING_MS),
                    ping_timeout=to_seconds(SILENCE_MS),
                    close_timeout=to_seconds(CLOSE_MS),
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                ) as link:
                    logger.bind(peer=member.name).info('peer link up')
                    self.down.pop(member, None)
                    await self._send_rounds(link, member)
            except ConnectionRefusedError:
                # Its process is not running; a cut path would be silent.
                self.board.forget(member.name)
            except (OSError, TimeoutError, websockets.WebSocketException) as e:
                logger.bind(peer=member.name, cause=repr(e)).info(
                    'peer link down'
                )
            if self.host.clock.since(self.begun_ms) < STARTING_MS:
                await asyncio.sleep(to_seconds(STARTING_REDIAL_MS))
                continue
            self._note_down(member)
            await asyncio.sleep(to_seconds(REDIAL_MS))

    async def _send_rounds(self, link, member):
        told_usage = None
        known = self.reporter.encode_known()
        if known:
            await link.send(self.reporter.bundle(known))
        while True:
            made = await self.reporter.next_round()
            messages = self.reporter.select(made, member, told_usage)
            if made.usage in messages:
                told_usage = made.usage
            if self._needs_config(member):
                copy = reports.ConfigCopy(
                    self.own.name, self.host.config.current.raw
                )
                messages.append(reports.encode(copy))
            if messages:
                await link.send(self.reporter.bundle(messages))

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
        """Take one peer's bundles until its link ends."""
        try:
            async for data in link:
                delay_ms = round(link.latency * 1000)
                self.board.take_encoded(data, delay_ms)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code).warning(exc.message)
        except websockets.ConnectionClosedError as exc:
            logger.info(f'peer link ended: {exc}')
