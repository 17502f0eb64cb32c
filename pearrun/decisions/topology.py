"""Topology of the links on which hosts report to each other.

Load pattern: several times per second, hosts report to each other what they
placed where and what they admitted.  In a small fleet each host reports to
all others (full mesh).  With n hosts that takes n * (n - 1) messages per
round, too many for a large fleet, which therefore uses hubs in each zone.  A
host reports to the hubs of its zone; hubs exchange aggregates of their zones,
and send the aggregates of all zones, including their own, to the hosts of
their zone.  There is no election: every host ranks the hosts of a zone by the
same key and skips those that it cannot reach, and a host that is addressed as
a hub acts as one.

In fleets of either size one host per zone reads the list of endpoints from the
store for the others, because every call to the store has a cost.
"""

import dataclasses

from pearrun.ids import HostName

# Maximum number of hosts for a full mesh.
MAX_MESH_HOSTS = 16
# More than one, so that the hosts of a zone stay connected if a hub fails.
HUBS_PER_ZONE = 2


@dataclasses.dataclass(frozen=True)
class LinkPlan:
    """The hosts to which a host reports.

    :param mesh: whether every host reports to all others.
    :param is_hub: whether this host forwards the reports of others.
    :param is_reader: whether it reads the list of endpoints from the store and
        forwards it to the other hosts of its zone.
    :param targets: names of the hosts to which it reports.
    """

    mesh: bool
    is_hub: bool
    is_reader: bool
    targets: frozenset[HostName]


def plan_links(own, members, down, used_as_hub):
    """Plan the links of one host.

    :param own: this host's :class:`Member`.
    :param members: the :class:`Member` of all hosts, with or without its own.
    :param down: names of hosts that it could not reach recently.
    :param used_as_hub: whether other hosts address this one as a hub.
    :returns: a :class:`LinkPlan`.
    """
    others = [member for member in members if member.name != own.name]
    hubs = choose_hubs([own, *others], down)
    own_hubs = hubs[own.zone]
    is_reader = own_hubs[0] == own.name
    if len(others) < MAX_MESH_HOSTS:
        names = frozenset(member.name for member in others)
        return LinkPlan(True, False, is_reader, names)
    is_hub = used_as_hub or own.name in own_hubs
    targets = set(own_hubs)
    if is_hub:
        targets.update(m.name for m in others if m.zone == own.zone)
        targets.update(*hubs.values())
    targets.discard(own.name)
    return LinkPlan(False, is_hub, is_reader, frozenset(targets))


def choose_hubs(members, down):
    """Choose the hubs of every zone.

    :returns: lists of host names by zone, ordered by rank.
    """
    hubs = {}
    for member in sorted(members, key=make_sort_key):
        chosen = hubs.setdefault(member.zone, [])
        if member.name not in down and len(chosen) < HUBS_PER_ZONE:
            chosen.append(member.name)
    return hubs


def make_sort_key(member):
    """Return the key by which hubs are ranked, the same on every host.

    Hosts with fast links come first, since a hub sends to its whole zone, then
    those with the longest uptime, so that restarts move few hubs.
    """
    return -member.link_mbps, member.started_ms, member.name
