"""Which hosts a host tells what it knows.

Load pattern: hosts tell each other several times a second what they
sent where and what they admitted.  While there are few, each tells all
others.  With n hosts that is n * (n - 1) messages a round, too many for a
large fleet.  It has hubs, some in each zone: a host tells its zone's hubs,
these tell each other sums for their zones, and tell the hosts of their zone
the sums of all zones, their own included.  Nothing is elected:
every host ranks the hosts of a zone alike, leaves out those it cannot
reach, and a host that is told as a hub acts as one.

In fleets of either kind one host of a zone reads the store's list of
endpoints for the others: every call to the store has its price.
"""

import dataclasses

from pearrun.ids import HostName

# Up to this many hosts every host tells all others.
MESH_HOSTS = 16
# So many, so that the loss of one leaves its zone's hosts in touch.
HUBS_EACH_ZONE = 2


@dataclasses.dataclass(frozen=True)
class LinkPlan:
    """Whom a host tells what it knows.

    :param mesh: whether every host tells all others.
    :param is_hub: whether this host passes on what others tell it.
    :param is_reader: whether it reads the store's list of endpoints; the
        other hosts of its zone are told.
    :param targets: names of the hosts it tells.
    """

    mesh: bool
    is_hub: bool
    is_reader: bool
    targets: frozenset[HostName]


def plan_links(own, members, down, asked):
    """Plan the links of one host.

    :param own: this host's :class:`Member`.
    :param members: all hosts' :class:`Member`, with or without its own.
    :param down: names of hosts that it could not reach lately.
    :param asked: whether other hosts tell this one as a hub.
    :returns: a :class:`LinkPlan`.
    """
    others = [member for member in members if member.name != own.name]
    hubs = choose_hubs([own, *others], down)
    own_hubs = hubs[own.zone]
    is_reader = own_hubs[0] == own.name
    if len(others) < MESH_HOSTS:
        names = frozenset(member.name for member in others)
        return LinkPlan(True, False, is_reader, names)
    is_hub = asked or own.name in own_hubs
    targets = set(own_hubs)
    if is_hub:
        targets.update(m.name for m in others if m.zone == own.zone)
        targets.update(*hubs.values())
    targets.discard(own.name)
    return LinkPlan(False, is_hub, is_reader, frozenset(targets))


def choose_hubs(members, down):
    """Choose the hubs of every zone.

    :returns: lists of names by zone, the first one's first.
    """
    hubs = {}
    for member in sorted(members, key=rank):
        chosen = hubs.setdefault(member.zone, [])
        if member.name not in down and len(chosen) < HUBS_EACH_ZONE:
            chosen.append(member.name)
    return hubs


def rank(member):
    """Return the key by which hubs are chosen, the same on every host.

    Hosts with fast links go first, since a hub sends to its whole zone;
    then those that have run for longest, so that restarts move few hubs.
    """
    return -member.link_mbps, member.started_ms, member.name
