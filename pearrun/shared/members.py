"""Entry hosts as this host knows them."""

import dataclasses

from pearrun.ids import HostName

# Where hosts list themselves on the store.
MEMBER_TOPIC = 'hosts'


@dataclasses.dataclass(frozen=True)
class Member:
    """One entry host.

    :param address: ``IP:PORT`` of its peer link.
    :param started_ms: when it started; tells its runs apart.
    :param link_mbps: speed of its network link, in megabits a second.
    """

    name: HostName
    address: str
    zone: str
    started_ms: int
    link_mbps: float = 0.0


class Members:
    """All entry hosts, as listed on the store.

    ``changes`` grows with each change of the list; ``listed`` says whether
    it was read.  ``heard`` holds the names of hosts that reported since
    their links were up.  ``last_heard_ms`` says when a host last reported,
    or was listed.  ``heard_elsewhere``
    says how many hosts another zone's hub has heard there.
    """

    def __init__(self, clock, own_name):
        self.clock = clock
        self.own_name = own_name
        self.members = {}
        self.changes = 0
        self.listed = False
        self.heard = set()
        self.last_heard_ms = {}
        self.heard_elsewhere = {}

    def put(self, member):
        """Add a host or take its newest entry."""
        self.changes += self.members.get(member.name) != member
        self.members[member.name] = member
        self.last_heard_ms[member.name] = self.clock.now()

    def note_heard(self, name):
        """Note that a host has reported."""
        self.heard.add(name)
        self.last_heard_ms[name] = self.clock.now()

    def list_silent(self, silent_ms):
        """Return the other hosts that have not reported for a time.

        :returns: names; none while less than half of the others are
            heard, since then it is this host that is cut off.
        """
        silent = [
            member.name
            for member in self.others()
            if self.clock.since(self.last_heard_ms[member.name]) > silent_ms
        ]
        if len(silent) * 2 > len(self.others()):
            return []
        return silent

    def remove(self, name):
        """Forget a host that has left."""
        self.heard.discard(name)
        self.last_heard_ms.pop(name, None)
        self.changes += name in self.members
        return self.members.pop(name, None)

    def others(self):
        """Return the other hosts."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own_name
        ]

    def count_heard(self):
        """Return how many of the other hosts have reported.

        Hosts of other zones may do so through a hub.
        """
        direct = self.heard & set(self.members)
        count = sum(
            self.members[name].zone not in self.heard_elsewhere
            for name in direct
        )
        return count + sum(self.heard_elsewhere.values())

    def count_heard_in(self, zone):
        """Return how many of the other hosts of a zone have reported."""
        return sum(
            member.zone == zone and member.name in self.heard
            for member in self.others()
        )

    def count(self):
        """Return how many hosts there are, this one included."""
        return len(self.members) + (self.own_name not in self.members)
