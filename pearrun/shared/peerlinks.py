"""Links between entry hosts: WebSocket connections that carry CBOR bundles.

A host sends only on connections that it has opened, and receives only on
those that its peers have opened.  A network path that fails in one direction
therefore stops the reports of that direction only.
:mod:`pearrun.decisions.topology` decides which hosts a host sends to.
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
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.tunnelmessages import TUNNEL_PATH

# How often the inputs of the link plan are checked for changes, and how often
# the plan is computed even if they have not changed.
PLAN_CHECK_INTERVAL_MS = 200
REPLAN_INTERVAL_MS = 1000
CONNECT_TIMEOUT_MS = 800
# A link is reopened if its peer does not answer a ping for this long: a
# stalled connection may never recover although a new one would work.
PING_INTERVAL_MS = 1000
PING_TIMEOUT_MS = 1500
REDIAL_DELAY_MS = 200
# The same for a hub that is excluded.  It has to be short: while the hubs of
# two failure domains cannot reach each other after a partition, their hosts do
# not hear of the lease holder, nor it of their usage.
EXCLUDED_REDIAL_DELAY_MS = 1000
# How long closing a link waits for the peer's close frame: a stopping host is
# killed soon, and must not wait for a peer that is cut off.
CLOSE_TIMEOUT_MS = 100
# Larger messages are rejected as invalid.
MAX_MESSAGE_BYTES = 1024 * 1024
# A host that could not be reached is excluded as a hub for this long.  The
# period is doubled each time and ends early if the host is restarted: a
# restarted process is back in a second or two, a lost host never.
MIN_DOWN_MS = 3000
MAX_DOWN_MS = 60_000
# For this long after its own start a host assumes that unreachable peers are
# starting too, and retries them sooner: otherwise, after a common power loss,
# all hosts would choose other hubs.
STARTUP_MS = 1000
STARTUP_REDIAL_DELAY_MS = 50
# How often the inputs are checked until the list of hosts has been read: hosts
# reject calls of large customers until they have heard of each other.
STARTUP_PLAN_CHECK_INTERVAL_MS = 50
# Header of the handshake by which a host says that it knows the messages about
# streams; older builds close a link on a message that they do not know.
STREAMS_HEADER = 'Pearrun-Streams'
# The same for the messages about endpoints that leave.
DEPARTURES_HEADER = 'Pearrun-Departures'
# How often this host's configuration is sent to a peer that has an older one.
CONFIG_COPY_INTERVAL_MS = 1000


@dataclasses.dataclass
class DownPeriod:
    """The period for which a host is considered down.

    :param until_ms: its end, by this host's clock.
    :param length_ms: its length, doubled for the next one; at first half of
        the shortest.
    """

    until_ms: int = 0
    length_ms: int = MIN_DOWN_MS // 2


class PeerLinks:
    """The peer links of one host.

    :param host: shared objects of this host.
    :param own: this host's :class:`Member`.
    :param receiver: the :class:`ReportReceiver`.
    :param reporter: the :class:`Reporter`.
    :param tunnel_server: the :class:`TunnelServer`.
    """

    def __init__(self, host, own, receiver, reporter, tunnel_server):
        self.host = host
        self.own = own
        self.receiver = receiver
        self.reporter = reporter
        self.tunnel_server = tunnel_server
        self.links = {}
        self.config_sent_ms = {}
        self.down = {}
        self.excluded = frozenset()
        self.connect = connect
        self.roles = None
        self.started_ms = host.clock.now()
        self.plan_inputs = None
        self.planned_ms = 0

    async def run(self):
        """Accept links from peers and maintain the planned outgoing links."""
        settings = self.host.settings
        async with serve(
            self._accept,
            settings.ip,
            settings.first_port,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=to_seconds(PING_INTERVAL_MS),
            ping_timeout=to_seconds(PING_TIMEOUT_MS),
            close_timeout=to_seconds(CLOSE_TIMEOUT_MS),
            process_response=announce_messages,
        ):
            try:
                while True:
                    self._update_links()
                    interval_ms = STARTUP_PLAN_CHECK_INTERVAL_MS
                    if self.host.members.listed:
                        interval_ms = PLAN_CHECK_INTERVAL_MS
                    await asyncio.sleep(to_seconds(interval_ms))
            finally:
                for link in self.links.values():
                    link.cancel()

    def _update_links(self):
        """Plan the links, open those that are new and close obsolete ones.

        Unless an input of the plan has changed, it is computed less often,
        since ranking all hosts takes time.
        """
        now = self.host.clock.now()
        members = self.host.members.members
        down = self._find_down()
        used_as_hub = self.receiver.is_used_as_hub()
        holder = self.receiver.find_holder()
        inputs = (self.host.members.changes, down, used_as_hub, holder)
        if (
            inputs == self.plan_inputs
            and now - self.planned_ms < REPLAN_INTERVAL_MS
        ):
            return
        self.plan_inputs = inputs
        self.planned_ms = now
        plan = topology.plan_links(
            self.own, members.values(), down, used_as_hub
        )
        self._apply_plan(plan)
        names = set(plan.targets)
        self.excluded = frozenset()
        if down:
            # Excluded hubs are still dialled.  They become hubs again as soon
            # as they are reached.
            all_up = topology.plan_links(
                self.own, members.values(), frozenset(), used_as_hub
            )
            self.excluded = all_up.targets - plan.targets
            names |= self.excluded
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
            self.links[member] = asyncio.create_task(
                self._maintain_link(member)
            )

    def _apply_plan(self, plan):
        """Set this host's roles from a :class:`LinkPlan`."""
        self.reporter.plan = plan
        self.receiver.is_hub = plan.is_hub
        self.host.origins.is_hub = plan.is_hub
        self.host.feed.through_hubs = not plan.mesh
        self.host.feed.has_reader = not plan.is_reader
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
        """Return the names of the hosts that are considered down."""
        now = self.host.clock.now()
        listed = self.host.members.members
        return {
            member.name
            for member, down in self.down.items()
            if now < down.until_ms and listed.get(member.name) == member
        }

    def _note_down(self, member):
        """Record that a host could not be reached."""
        now = self.host.clock.now()
        down = self.down.setdefault(member, DownPeriod())
        if now >= down.until_ms:
            down.length_ms = min(MAX_DOWN_MS, down.length_ms * 2)
            down.until_ms = now + down.length_ms

    async def _maintain_link(self, member):
        """Open an outgoing link, and reopen it whenever it ends."""
        while True:
            try:
                async with self.connect(
                    f'ws://{member.address}/',
                    compression=None,
                    open_timeout=to_seconds(CONNECT_TIMEOUT_MS),
                    ping_interval=to_seconds(PING_INTERVAL_MS),
                    ping_timeout=to_seconds(PING_TIMEOUT_MS),
                    close_timeout=to_seconds(CLOSE_TIMEOUT_MS),
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                ) as link:
                    logger.bind(peer=member.name).info('peer link up')
                    self.down.pop(member, None)
                    await self._serve_link(link, member)
            except ConnectionRefusedError:
                self.receiver.note_refused(member.name)
            except (OSError, TimeoutError, websockets.WebSocketException) as e:
                logger.bind(peer=member.name, cause=repr(e)).info(
                    'peer link down'
                )
            if self.host.clock.since(self.started_ms) < STARTUP_MS:
                await asyncio.sleep(to_seconds(STARTUP_REDIAL_DELAY_MS))
                continue
            delay_ms = REDIAL_DELAY_MS
            if member.name in self.excluded:
                delay_ms = EXCLUDED_REDIAL_DELAY_MS
            self._note_down(member)
            await asyncio.sleep(to_seconds(delay_ms))

    async def _serve_link(self, link, member):
        """Send reports and origins of streams over a link until it ends."""
        if not knows_streams(link):
            await self._send_rounds(link, member)
            return
        with self.host.origins.open_outbox() as outbox:
            sender = asyncio.create_task(
                self._send_origins(link, member, outbox)
            )
            try:
                await self._send_rounds(link, member)
            finally:
                sender.cancel()
                (cause,) = await asyncio.gather(sender, return_exceptions=True)
                if isinstance(cause, Exception):
                    logger.bind(peer=member.name, cause=repr(cause)).info(
                        'origins of streams not sent'
                    )

    async def _send_origins(self, link, member, outbox):
        """Send the origins of streams over a link as they come."""
        while True:
            origins = await outbox.take()
            if self.reporter.takes_origins(member):
                messages = self.reporter.encode_origins(origins)
                await link.send(self.reporter.bundle(messages))

    async def _send_rounds(self, link, member):
        """Send each report round over a link until it ends."""
        sent_usage = None
        initial = self.reporter.encode_initial(
            knows_streams(link), knows_departures(link)
        )
        if initial:
            await link.send(self.reporter.bundle(initial))
        while True:
            current = await self.reporter.wait_for_round()
            messages = self.reporter.select_messages(
                current, member, sent_usage
            )
            if current.usage in messages:
                sent_usage = current.usage
            unknown = set()
            if not knows_streams(link):
                unknown.update(current.origins)
            if not knows_departures(link):
                unknown.update(current.departures)
            messages = [m for m in messages if m not in unknown]
            if self._needs_config(member):
                copy = reports.ConfigCopy(
                    self.own.name, self.host.config.current.raw
                )
                messages.append(reportcodec.encode(copy))
            if messages:
                await link.send(self.reporter.bundle(messages))

    def _needs_config(self, member):
        """Return whether to send this host's configuration to a peer now.

        A peer that reaches the store reads a new version itself.  A copy is
        sent only to one that still has an older version after
        ``CONFIG_COPY_INTERVAL_MS``.
        """
        peer_version = self.receiver.get_config_version(member.name)
        now = self.host.clock.now()
        last_ms = self.config_sent_ms.get(member.name)
        if peer_version is None or peer_version >= self.host.config.version:
            self.config_sent_ms.pop(member.name, None)
            return False
        if last_ms is None or now - last_ms < CONFIG_COPY_INTERVAL_MS:
            self.config_sent_ms.setdefault(member.name, now)
            return False
        self.config_sent_ms[member.name] = now
        return True

    async def _accept(self, link):
        """Serve a connection that another host has opened."""
        if link.request.path == TUNNEL_PATH:
            await self.tunnel_server.handle(link)
        else:
            await self._receive(link)

    async def _receive(self, link):
        """Process the bundles of one peer until its link ends."""
        try:
            async for data in link:
                delay_ms = round(link.latency * 1000)
                self.receiver.receive(data, delay_ms)
        except exceptions.WireFormatError as exc:
            logger.bind(code=exc.code).warning(exc.message)
        except websockets.ConnectionClosedError as exc:
            logger.info(f'incoming peer link closed: {exc}')


def announce_messages(connection, request, response):
    """Add the headers that name the messages which older builds lack."""
    del connection, request
    response.headers[STREAMS_HEADER] = '1'
    response.headers[DEPARTURES_HEADER] = '1'


def knows_streams(link):
    """Return whether the host at a link's other end knows streams."""
    return STREAMS_HEADER in link.response.headers


def knows_departures(link):
    """Return whether the host at a link's other end knows departures."""
    return DEPARTURES_HEADER in link.response.headers
