"""Division of an endpoint's rate limit among the hosts.

Load pattern: an overloaded endpoint accepts a few calls per second from all
hosts together, often fewer than there are hosts, while calls arrive at all of
them.  An equal share would be one call in many seconds at each host, and lost
at hosts that have no call for it.  Only a few hosts therefore send to such an
endpoint, at a rate that each can use.  All hosts rank each other for it by
rendezvous hashing, so that they agree without messages.  The hosts of the
endpoint's own failure domain come first: they reach it in a partition.

Only an answer without the limit ends it, so that a few calls have to be sent
however low it is.  Calls are then allowed in steps, since those of all hosts
at once could overload the endpoint again.
"""

import dataclasses

from pearrun.decisions import rendezvous

# A limit of N calls per second is divided among this many hosts more than N.
# One call of each at the same moment then stays within the tolerated excess,
# and a host that is down does not cut the endpoint off.
EXTRA_SENDERS = 2
# Unused calls of a host accumulate for this long.
BURST_MS = 1000
# Lower limits are treated as this one: an endpoint that gets no calls cannot
# say that it is no longer overloaded.
MIN_RATE_PER_S = 0.25
# A limit that no answer has confirmed for this long ends: the answer that
# lifted it may have been lost.  At MIN_RATE_PER_S every sender gets an answer
# within this time.
VALID_MS = 30_000
# After a limit has ended, the rate doubles at this interval, from at least
# MIN_RAMP_RATE_PER_S on, until calls are no longer limited.
RAMP_DOUBLING_MS = 500
RAMP_MS = 3000
MIN_RAMP_RATE_PER_S = 1.0


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """The rate limit of one endpoint.

    :param rate_per_s: calls per second from all hosts together.
    :param at_ms: when an answer last advertised it; if it is lifted, when
        the call was sent whose answer lifted it.
    :param lifted_ms: when this host learned that it is lifted; ``None`` if
        it is not.
    """

    rate_per_s: float
    at_ms: int
    lifted_ms: int | None = None

    @property
    def ended_ms(self):
        """When it ended, or will end if no answer advertises it again."""
        if self.lifted_ms is not None:
            return self.lifted_ms
        return self.at_ms + VALID_MS

    def is_in_force(self, now_ms):
        """Return whether it has not ended."""
        return now_ms < self.ended_ms

    def compute_rate(self, now_ms):
        """Return the calls per second that all hosts may send now.

        :returns: ``None`` if calls are no longer limited.
        """
        ramp_ms = now_ms - self.ended_ms
        if ramp_ms > RAMP_MS:
            return None
        if ramp_ms <= 0:
            return max(MIN_RATE_PER_S, self.rate_per_s)
        initial = max(MIN_RAMP_RATE_PER_S, self.rate_per_s)
        return initial * 2 ** (ramp_ms / RAMP_DOUBLING_MS)


def rank_senders(endpoint_id, zone, members):
    """Rank the hosts that send to a limited endpoint, the first one first.

    :param zone: the endpoint's zone.
    :param members: the :class:`Member` of all hosts.
    :returns: names of hosts.
    """
    key = rendezvous.hash_name(endpoint_id)
    ranked = sorted(
        members,
        key=lambda member: (
            member.zone == zone,
            rendezvous.compute_weight(key, member.name),
        ),
        reverse=True,
    )
    return [member.name for member in ranked]


def count_senders(rate_per_s, hosts):
    """Return how many hosts a limit is divided among.

    :param hosts: the number of hosts.
    """
    return min(hosts, int(rate_per_s) + EXTRA_SENDERS)


@dataclasses.dataclass(frozen=True)
class Share:
    """A host's share of a limit.

    :param calls_per_s: 0 if it sends nothing to the endpoint.
    :param initial_calls: below 1, and different for each sender, so that
        their first calls are not sent at the same moment.
    """

    calls_per_s: float = 0.0
    initial_calls: float = 0.0


NO_SHARE = Share()


def compute_share(rate_per_s, name, ranked):
    """Return a host's :class:`Share` of a limit.

    :param ranked: names of the hosts; see :func:`rank_senders`.
    """
    count = count_senders(rate_per_s, len(ranked))
    senders = ranked[:count]
    if name not in senders:
        return NO_SHARE
    position = senders.index(name) + 1
    return Share(rate_per_s / count, 1.0 - position / count)


class CallAllowance:
    """The calls that one host may send to a limited endpoint.

    :param now_ms: monotonic time.
    """

    def __init__(self, now_ms):
        self.calls = None
        self.updated_ms = now_ms

    def refill(self, share, now_ms):
        """Add the calls that have accrued.

        :param share: the host's :class:`Share` of the limit.
        """
        if self.calls is None:
            self.calls = share.initial_calls
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        capacity = max(1.0, share.calls_per_s * BURST_MS / 1000.0)
        accrued = share.calls_per_s * elapsed_ms / 1000.0
        self.calls = min(capacity, self.calls + accrued)

    def has_call(self):
        """Return whether a call may be sent now."""
        return self.calls is not None and self.calls >= 1.0

    def take(self):
        """Take the call that is being sent."""
        if self.calls is not None:
            self.calls -= 1.0


def count_displaced(rates, usual_per_s):
    """Return how many endpoints are missing because of rate limits.

    :param rates: the limits of a service's limited endpoints, in calls per
        second.
    :param usual_per_s: calls per second of an endpoint if none were limited.
    """
    if usual_per_s <= 0:
        return 0.0
    return sum(max(0.0, 1.0 - rate / usual_per_s) for rate in rates)
