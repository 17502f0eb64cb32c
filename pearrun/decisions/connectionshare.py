"""Divides the connections that an endpoint accepts among the hosts.

Load pattern: usually the hosts have equal parts of the traffic, but for some
seconds one host may get most of it, and its equal share of the connections to
each endpoint would not be enough.  Hosts that hear of each other know how many
calls the others have there, and use a part of what is left.  In a partition
each host keeps to its equal share.
"""

# Fraction of an endpoint's connection limit that all hosts together may use;
# the rest is reserved for new hosts and for connections being closed.
USED_SHARE = 0.8
# Connections that a host may open however many hosts there are.
MIN_CONNECTIONS = 2
# Connections of the other hosts for each of their calls: idle ones stay open
# for some seconds, and reports are a moment old.
CONNECTIONS_PER_CALL = 2
# Fraction of the unused connections that one host takes, since one host of
# each failure domain may get much traffic at the same time.
SPARE_SHARE = 0.25


def compute_equal_share(max_connections, hosts):
    """Return how many connections each host may open in any case.

    :param max_connections: connections that the endpoint accepts.
    :param hosts: number of hosts.
    """
    return max(
        MIN_CONNECTIONS, int(max_connections * USED_SHARE / max(1, hosts))
    )


def compute_share(max_connections, hosts, others_calls):
    """Return how many connections a host with much traffic may open.

    :param max_connections: connections that the endpoint accepts.
    :param hosts: number of hosts.
    :param others_calls: calls of the other hosts at the endpoint; ``None`` if
        that is unknown.
    """
    equal = compute_equal_share(max_connections, hosts)
    if others_calls is None:
        return equal
    used = CONNECTIONS_PER_CALL * others_calls
    unused = max(0.0, max_connections * USED_SHARE - used)
    return max(equal, int(unused * SPARE_SHARE))
