"""Entry hosts as this host knows them."""

import dataclasses

from pearrun.ids import HostName


@dataclasses.dataclass(frozen=True)
class Member:
    """One entry host.

    :param address: ``IP:PORT`` of its peer link.
    :param started_ms: when it started; tells its runs apart.
    """

    name: HostName
    address: str
    zone: str
    started_ms: int


class Members:
    """All entry hosts, as listed on the store.

    ``listed`` says whether the list was read; ``heard`` holds the names
    of hosts that reported since their links were up.
    """

    def __init__(self, clock, own_name):
        self.clock = clock
        self.own_name = own_name
        self.members = {}
        self.listed = False
        self.heard = set()

    def put(self, member):
        """Add a host or take its newest entry."""
        self.members[member.name] = member

    def remove(self, name):
        """Forget a host that has left."""
        self.heard.discard(name)
        return self.members.pop(name, None)

    def others(self):
        """Return the other hosts."""
        return [
            member
            for member in self.members.values()
            if member.name != self.own_name
        ]

    def count_heard(self):
        """Return how many of the other hosts have reported."""
        return len(self.heard & set(self.members))

    def count(self):
        """Return how many hosts there are, this one included."""
        return 1 + len(self.others())
