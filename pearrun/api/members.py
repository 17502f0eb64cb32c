"""Membership: failure detection between daemons over the platform log.

Every daemon appends heartbeats to the ``members`` stream and reads
those of all others, in every failure domain.  It needs neither
synchronized clocks nor a coordination service: a daemon counts how
many of *its own* heartbeats it has read back since the last one of
another daemon.  While the log is down, no heartbeats are written, so
nobody is declared dead; a daemon that was paused reads the heartbeats
that it missed before it judges the others.

When a daemon is declared dead, another one seals its journal.  It is
the seal that decides whether the daemon may still accept requests (see
``docs/survival.md``).
"""

import asyncio
import dataclasses

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.states import MemberState

MEMBERS_STREAM = 'members'
MAX_INITIAL_RECORDS = 2000
MAX_HEARTBEATS_PER_S = 40


@dataclasses.dataclass
class Member:
    """One run of a daemon, as described by its last heartbeat.

    ``missed`` counts the observer's own heartbeats since that one.
    ``replaced`` says that a later run of the daemon on the same host has
    sent heartbeats.  ``suspects`` are the requests suspected of
    crashing endpoints, in the form in which heartbeats contain them.
    """

    name: str
    stream: str
    zone: str
    url: str
    state: MemberState
    config_version: int = 0
    leaving: tuple = ()
    suspects: list = dataclasses.field(default_factory=list)
    missed: int = 0
    replaced: bool = False

    @classmethod
    def from_heartbeat(cls, heartbeat):
        """Build a member from a heartbeat's dict."""
        return cls(
            name=str(heartbeat['name']),
            stream=str(heartbeat['stream']),
            zone=str(heartbeat['zone']),
            url=str(heartbeat['url']),
            state=MemberState(heartbeat['state']),
            config_version=int(heartbeat['config_version']),
            leaving=tuple(heartbeat['leaving']),
            suspects=list(heartbeat.get('suspects', ())),
        )

    def to_heartbeat(self):
        """Return the member as a heartbeat's JSON-serializable dict."""
        return {
            'name': self.name,
            'stream': self.stream,
            'zone': self.zone,
            'url': self.url,
            'state': self.state.value,
            'config_version': self.config_version,
            'leaving': list(self.leaving),
            'suspects': self.suspects,
        }


class Membership:
    """Sends heartbeats and follows the ``members`` stream.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's complete :class:`Settings`.
    :param describe: a callable that returns this daemon's own
        :class:`Member`.
    :param on_leaving: called with each endpoint id that another
        daemon reports as leaving.
    :param on_suspects: called with the ``suspects`` of each heartbeat of
        another daemon, if it has any.
    """

    def __init__(
        self, log, settings, describe, on_leaving=None, on_suspects=None
    ):
        self.log = log
        self.settings = settings
        self.describe = describe
        self.on_leaving = on_leaving
        self.on_suspects = on_suspects
        self.members = {}
        self.next_offset = None
        self.heartbeat_requested = asyncio.Event()
        self.read_lock = asyncio.Lock()
        self.own_heartbeats = 0
        self.first_asked = {}

    @property
    def orphan_beats(self):
        """Number of missed heartbeats at which a member is considered dead."""
        return self.settings.host.orphan_beats

    def is_dead(self, member):
        """Return whether a member is dead, so its requests are taken over."""
        return (
            member.state == MemberState.LEFT
            or member.replaced
            or member.missed >= self.orphan_beats
        )

    def is_writer_dead(self, stream):
        """Return whether the writer of a journal stream is dead.

        A writer without any heartbeat is dead once this daemon has read
        back ``orphan_beats`` of its own heartbeats since the first query.
        """
        if stream == self.describe().stream:
            return False
        member = self.members.get(stream)
        if member is not None:
            self.first_asked.pop(stream, None)
            return self.is_dead(member)
        since = self.first_asked.setdefault(stream, self.own_heartbeats)
        return self.own_heartbeats - since >= self.orphan_beats

    def list_live(self):
        """Return the members that are not dead."""
        return [m for m in self.members.values() if not self.is_dead(m)]

    def find(self, stream):
        """Return the member that writes a journal stream, or ``None``."""
        return self.members.get(stream)

    def remove(self, stream):
        """Remove a member whose journal has been emptied."""
        self.members.pop(stream, None)

    def receive(self, heartbeat, own_stream=None):
        """Process one heartbeat that was read from the log.

        :param own_stream: this daemon's own journal stream, if the
            caller knows it.
        """
        member = Member.from_heartbeat(heartbeat)
        own_stream = own_stream or self.describe().stream
        is_own = member.stream == own_stream
        is_scheduled = is_own and not heartbeat.get('extra', False)
        self.own_heartbeats += is_scheduled
        for other in self.members.values():
            if other.name == member.name and other.stream != member.stream:
                other.replaced = True
            if is_scheduled and other.stream != own_stream:
                other.missed += 1
        self.members[member.stream] = member
        if not is_own and self.on_leaving is not None:
            for endpoint in member.leaving:
                self.on_leaving(endpoint)
        if not is_own and self.on_suspects is not None and member.suspects:
            self.on_suspects(member.suspects)

    async def send_heartbeat(self, extra=False):
        """Append one heartbeat; it is not repeated if that fails.

        :param extra: the heartbeat is sent out of schedule to publish a
            change, and does not add to the missed heartbeats of others.
        :returns: whether the heartbeat was appended.
        """
        heartbeat = dict(self.describe().to_heartbeat(), extra=extra)
        try:
            await self.log.append(MEMBERS_STREAM, heartbeat)
        except exceptions.PearrunError:
            return False
        return True

    @property
    def heartbeat_interval_ms(self):
        """Interval between the scheduled heartbeats of this daemon.

        It is ``beat_ms``, or longer if there are so many live daemons that
        together they would append more than
        :data:`MAX_HEARTBEATS_PER_S` heartbeats per second.
        """
        rate_limited_ms = 1000 * len(self.list_live()) // MAX_HEARTBEATS_PER_S
        return max(self.settings.host.beat_ms, rate_limited_ms)

    async def run_heartbeats(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.send_heartbeat()
            try:
                async with asyncio.timeout(
                    to_seconds(self.heartbeat_interval_ms)
                ):
                    await self.send_requested_heartbeats()
            except TimeoutError:
                continue

    async def send_requested_heartbeats(self):
        """Send an extra heartbeat on each request, until cancelled."""
        while True:
            await self.heartbeat_requested.wait()
            self.heartbeat_requested.clear()
            await self.send_heartbeat(extra=True)

    async def poll_once(self):
        """Read and process the new heartbeats in the log.

        :raises JournalUnavailableError: the log service is unavailable.
        """
        async with self.read_lock:
            if self.next_offset is None:
                first, head = await self.log.read_bounds(MEMBERS_STREAM)
                self.next_offset = max(first, head - MAX_INITIAL_RECORDS)
            records, self.next_offset = await self.log.read_all(
                MEMBERS_STREAM, self.next_offset
            )
            own_stream = self.describe().stream
            for record in records:
                self.receive(record.value, own_stream)
