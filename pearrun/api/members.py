"""Membership: which daemons are alive, told through the platform log.

Every daemon appends a beat to the ``members`` stream and reads the
beats of all others, in every failure domain.  No clocks are compared
and no coordination service is asked: a daemon counts how many of *its
own* beats it has read back since it last read one from another
daemon.  While the log is down nobody's beats land, so nobody is taken
for dead; a daemon that was paused reads the beats it missed before it
judges anyone.

Being taken for dead is only ever a hint to seal a journal; whether a
host may go on accepting is decided by the seal (see
``docs/survival.md``).
"""

import asyncio
import dataclasses

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.states import MemberState

STREAM = 'members'
MAX_INITIAL_RECORDS = 2000
MAX_HEARTBEATS_PER_S = 40


@dataclasses.dataclass
class Member:
    """One run of a daemon, as its last beat described it.

    ``missed`` counts this daemon's own beats since then; ``replaced``
    says that a later run of the same host has announced itself.
    ``suspects`` are the requests under which endpoints crashed.
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
    def from_heartbeat(cls, beat):
        """Build a member from a beat's map."""
        return cls(
            name=str(beat['name']),
            stream=str(beat['stream']),
            zone=str(beat['zone']),
            url=str(beat['url']),
            state=MemberState(beat['state']),
            config_version=int(beat['config_version']),
            leaving=tuple(beat['leaving']),
            suspects=list(beat.get('suspects', ())),
        )

    def to_heartbeat(self):
        """Return the member as a beat's JSON-ready map."""
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
    """Beats and follows the ``members`` stream.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    :param describe: returns this daemon's own :class:`Member`.
    :param on_leaving: called with each endpoint id that another
        daemon reports as leaving.
    :param on_suspects: called with what another daemon tells of requests
        under which endpoints crashed.
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
        self.reading = asyncio.Lock()
        self.own_heartbeats = 0
        self.first_asked = {}

    @property
    def orphan_beats(self):
        """Own beats without one from a member before it is dead."""
        return self.settings.host.orphan_beats

    def is_dead(self, member):
        """Say whether a member's requests are to be taken over."""
        return (
            member.state == MemberState.LEFT
            or member.replaced
            or member.missed >= self.orphan_beats
        )

    def is_writer_dead(self, stream):
        """Say whether the writer of a journal stream is dead.

        A writer never heard of is dead once ``orphan_beats`` of this
        daemon's own beats have passed since it was first asked for.
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
        """Return the members that are not taken for dead."""
        return [m for m in self.members.values() if not self.is_dead(m)]

    def find(self, stream):
        """Return the member writing a journal stream, or ``None``."""
        return self.members.get(stream)

    def remove(self, stream):
        """Drop a member whose journal has been emptied."""
        self.members.pop(stream, None)

    def receive(self, beat, own_stream=None):
        """Take one beat, read from the log, into account.

        :param own_stream: this daemon's own journal stream, when the
            caller has it at hand.
        """
        member = Member.from_heartbeat(beat)
        own_stream = own_stream or self.describe().stream
        is_own = member.stream == own_stream
        counts = is_own and not beat.get('extra', False)
        self.own_heartbeats += counts
        for other in self.members.values():
            if other.name == member.name and other.stream != member.stream:
                other.replaced = True
            if counts and other.stream != own_stream:
                other.missed += 1
        self.members[member.stream] = member
        if not is_own and self.on_leaving is not None:
            for endpoint in member.leaving:
                self.on_leaving(endpoint)
        if not is_own and self.on_suspects is not None and member.suspects:
            self.on_suspects(member.suspects)

    async def send_heartbeat(self, extra=False):
        """Append one beat; a beat that does not land is skipped.

        :param extra: it is sent between times, to tell some news, and
            does not count when others' silence is measured.
        """
        beat = dict(self.describe().to_heartbeat(), extra=extra)
        try:
            await self.log.append(STREAM, beat)
        except exceptions.PearrunError:
            return False
        return True

    @property
    def pause_ms(self):
        """Time between beats: longer the more daemons are alive.

        All of them together append at most :data:`MAX_HEARTBEATS_PER_S`.
        """
        crowded_ms = 1000 * len(self.list_live()) // MAX_HEARTBEATS_PER_S
        return max(self.settings.host.beat_ms, crowded_ms)

    async def run_heartbeats(self):
        """Beat for the daemon's whole life."""
        while True:
            await self.send_heartbeat()
            try:
                async with asyncio.timeout(to_seconds(self.pause_ms)):
                    await self.send_requested_heartbeats()
            except TimeoutError:
                continue

    async def send_requested_heartbeats(self):
        """Send an extra beat whenever there is news, until cancelled."""
        while True:
            await self.heartbeat_requested.wait()
            self.heartbeat_requested.clear()
            await self.send_heartbeat(extra=True)

    async def poll_once(self):
        """Read the beats that are new on the log, each once.

        :raises JournalUnavailableError: the log service is down.
        """
        async with self.reading:
            if self.next_offset is None:
                first, head = await self.log.bounds(STREAM)
                self.next_offset = max(first, head - MAX_INITIAL_RECORDS)
            records, self.next_offset = await self.log.read_all(
                STREAM, self.next_offset
            )
            own_stream = self.describe().stream
            for record in records:
                self.receive(record.value, own_stream)
