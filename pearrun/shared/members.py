"""Membership list of the entry hosts."""

import dataclasses

from pearrun.ids import HostName

# Store topic on which hosts register themselves.
MEMBER_TOPIC = 'hosts'
# Number of hosts assumed at least until the list has been read.
ASSUMED_HOSTS = 10


@dataclasses.dataclass(frozen=True)
class Member:
    """One entry host.

    :param address: ``IP:PORT`` of its peer link.
    :param started_ms: when its process started; distinguishes its runs.
    :param link_mbps: speed of its network link, in megabits per second; 0
        if unknown.
    """

    name: HostName
    address: str
    zone: str
    started_ms: int
    link_mbps: float = 0.0


class Members:
    """All entry hosts, as registered on the store.

    ``changes`` counts the changes of the list; ``listed`` says whether the
    list has been read.  ``reporting`` holds the names of hosts from which a
    report was received and whose process is not known to have ended since.
    ``last_seen_ms`` holds, by host, the time of its last report or
    registration.  ``remote_zone_counts`` holds, for each other zone, the
    number of hosts that the zone's hub receives reports from.
    """

    def __init__(self, clock, own_name):
        self.clock = clock
        self.own_name = own_name
        self.members = {}
        self.changes = 0
        self.listed = False
        self.reporting = set()
        self.last_seen_ms = {}
        self.remote_zone_counts = {}

    def put(self, member):
        """Add a host, or replace its entry by a newer one."""
        self.changes += self.members.get(member.name) != member
        self.members[member.name] = member
        self.last_seen_ms[member.name] = self.clock.now()

    def note_report(self, name):
        """Record that a report from a host was received."""
        self.reporting.add(name)
        self.last_seen_ms[name] = self.clock.now()

    def list_silent(self, silent_ms, zone=None):
        """Return the other hosts that have not reported for some time.

        :param zone: the zone whose hosts are considered; ``None`` for all.
        :returns: names of hosts.  If more than half of the others are silent,
            this host is assumed to be disconnected, and the list is empty.
        """
        others = [
            member
            for member in self.others()
            if zone is None or member.zone == zone
        ]
        silent = [
            member.name
            for member in others
            if self.clock.since(self.last_seen_ms[member.name]) > silent_ms
        ]
        return [] if len(silent) * 2 > len(others) else silent

    def remove(self, name):
        """Remove a host that has left.

        :returns: its :class:`Member`, or ``None`` if it was unknown.
        """
        self.reporting.discard(name)
        self.last_seen_ms.pop(name, None)
        self.changes += name in self.members
        return self.members.pop(name, None)

    def others(self):
        """Return the :class:`Member` objects of the other hosts."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own_name
        ]

    def count_reporting(self):
        """Return how many of the other hosts have reported.

        Hosts of other zones may be counted by a hub of their zone.
        """
        direct = self.reporting & set(self.members)
        count = sum(
            self.members[name].zone not in self.remote_zone_counts
            for name in direct
        )
        return count + sum(self.remote_zone_counts.values())

    def count_reporting_in(self, zone):
        """Return how many of the other hosts of a zone have reported."""
        return sum(
            member.zone == zone and member.name in self.reporting
            for member in self.others()
        )

    def count(self):
        """Return the number of hosts, including this one."""
        return len(self.members) + (self.own_name not in self.members)

    def count_sharing(self):
        """Return among how many hosts to divide a limit that they share.

        Before the list has been read, this is an estimate from the reports
        received so far.
        """
        if self.listed:
            return self.count()
        return max(ASSUMED_HOSTS, 1 + len(self.reporting))
