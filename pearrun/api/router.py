"""Routing: which endpoint serves a request.

Three policies, chosen by data class and dispatched with ``match``:

- :class:`AffinityPolicy` (the default): rendezvous hashing of the
  prompt's first block, so requests that share a prefix land where
  that prefix is cached; it gives way to the least loaded endpoint
  when the favourite is ``slack`` requests busier.
- :class:`LeastLoadedPolicy` and :class:`RoundRobinPolicy`: baselines.
"""

import dataclasses
import itertools

import xxhash

from pearrun import exceptions
from pearrun.api.structures import Endpoint
from pearrun.clock import Clock
from pearrun.clock import Millis
from pearrun.states import EndpointState
from pearrun.states import RoutingKind

PREFIX_CHARS = 256
STATE_ORDER = {
    EndpointState.LIVE: 0,
    EndpointState.LEAVING: 1,
    EndpointState.GONE: 2,
}


@dataclasses.dataclass(frozen=True)
class AffinityPolicy:
    """Prefix-cache affinity, bounded by load.

    ``reach`` is the prompt length, in characters, from which on the
    favourite is sought in all zones: reading a long prompt again costs
    more than a hop between zones.  ``None`` keeps to the own zone.
    """

    slack: int = 4
    reach: int | None = None


@dataclasses.dataclass(frozen=True)
class LeastLoadedPolicy:
    """Fewest requests in flight."""


@dataclasses.dataclass(frozen=True)
class RoundRobinPolicy:
    """Each endpoint in turn."""


def compute_seed(key):
    """Return the seed with which a key's scores are drawn."""
    return xxhash.xxh3_64_intdigest(key.encode('utf-8', 'surrogatepass'))


def compute_rendezvous_score(name, key):
    """Return the rendezvous-hash weight of a name for a key."""
    return compute_score(name, compute_seed(key))


def compute_score(name, seed):
    """Return the rendezvous-hash weight of a name for a key's seed."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def choose_by_affinity(pool, prompt, slack):
    """Return the prompt's favourite endpoint, unless it is too busy.

    The endpoints are ranked by rendezvous hash of the prompt's start;
    the first one that is at most ``slack`` requests busier than the
    lightest is taken, so that a hot prefix spreads over few endpoints.
    """
    seed = compute_seed(prompt[:PREFIX_CHARS])
    limit = min(e.load for e in pool) + slack
    near = [e for e in pool if e.load <= limit]
    return max(near, key=lambda e: compute_score(e.id, seed))


def build_policy(service):
    """Return the routing policy that a service's settings ask for.

    :param service: a :class:`ServiceSettings`.
    """
    match service.routing:
        case RoutingKind.AFFINITY:
            return AffinityPolicy(
                service.affinity_slack, service.affinity_reach
            )
        case RoutingKind.ZONE_AFFINITY:
            return AffinityPolicy(service.affinity_slack)
        case RoutingKind.LEAST_LOADED:
            return LeastLoadedPolicy()
        case RoutingKind.ROUND_ROBIN:
            return RoundRobinPolicy()


class Router:
    """Keeps the endpoints and picks one per request.

    :param endpoints: :class:`Endpoint` objects, all zones.
    :param zone: this daemon's failure domain; its endpoints go first.
    :param policy: one of the policy data classes.
    :param max_load: load of an endpoint from which on it takes no new
        requests; ``None`` for no limit.
    """

    def __init__(self, endpoints, zone, policy=None, max_load=None):
        self.endpoints = {e.id: e for e in endpoints}
        self.zone = zone
        self.max_load = max_load
        self.policy = policy or AffinityPolicy()
        self.round_robin_counter = itertools.count()
        self.pools = {}
        self.clock = Clock()
        self.last_used_ms = Millis(0)

    @classmethod
    def from_settings(cls, settings, policy=None):
        """Build a router from a daemon's whole :class:`Settings`."""
        return cls(
            [Endpoint.from_settings(e) for e in settings.endpoints],
            settings.host.zone,
            policy,
            settings.host.max_load_per_endpoint,
        )

    def list_candidates(self, service, exclude=(), all_zones=False):
        """Return the live endpoints that may serve a service.

        :param service: the service name.
        :param exclude: endpoint ids to leave out.
        :param everywhere: take those of all zones; else only the own
            zone's, or all if it has none.
        :returns: a list of :class:`Endpoint`, sorted by id.
        """
        if service not in self.pools:
            self.pools[service] = self.build_pool(service)
        live, local = self.pools[service]
        if exclude:
            live = [e for e in live if e.id not in exclude]
            local = [e for e in local if e.id not in exclude]
        return live if all_zones else local or live

    def build_pool(self, service):
        """Return a service's live endpoints: of all zones, and its own."""
        live = sorted(
            (
                e
                for e in self.endpoints.values()
                if service in e.services and e.state == EndpointState.LIVE
            ),
            key=lambda e: e.id,
        )
        return live, [e for e in live if e.zone == self.zone]

    def admit(self, service):
        """Check that a new request of a service can be taken on.

        :param service: the service name.
        :raises NoEndpointError: no live endpoint serves it.
        :raises OverloadedError: all of them are at their limit.
        """
        pool = self.list_candidates(service)
        if not pool:
            raise exceptions.NoEndpointError(
                f'no live endpoint serves {service!r}', retry_after_s=1
            )
        if self.max_load is None:
            return
        if min(e.load for e in pool) >= self.max_load:
            raise exceptions.OverloadedError(
                f'every endpoint of {service!r} is at its limit',
                retry_after_s=1,
            )

    def choose(self, service, prompt, exclude=(), policy=None):
        """Pick an endpoint for a request.

        :param service: the service name.
        :param prompt: the prompt text (its start is the affinity key).
        :param exclude: endpoint ids to leave out (already failed).
        :param policy: a policy data class; the router's own by default.
        :returns: an :class:`Endpoint`.
        :raises NoEndpointError: no live endpoint serves the service.
        """
        self.last_used_ms = self.clock.now()
        policy = policy or self.policy
        reach = getattr(policy, 'reach', None)
        all_zones = reach is not None and len(prompt) >= reach
        pool = self.list_candidates(service, exclude, all_zones)
        if not pool:
            raise exceptions.NoEndpointError(
                f'no live endpoint serves {service!r}', retry_after_s=1
            )
        match policy:
            case AffinityPolicy(slack=slack):
                return choose_by_affinity(pool, prompt, slack)
            case LeastLoadedPolicy():
                return min(pool, key=lambda e: e.load)
            case RoundRobinPolicy():
                return pool[next(self.round_robin_counter) % len(pool)]
        raise TypeError(f'unknown policy {self.policy!r}')

    def update_endpoints(self, settings):
        """Take over the endpoints of newly read settings.

        New ones join; ones no longer listed get no new work.  One that
        stays keeps its state and load, and one that was leaving stays
        so: a replacement host comes with a new id.

        :param settings: a list of :class:`EndpointSettings`.
        """
        listed = {e.id: e for e in settings}
        for endpoint_id in self.endpoints:
            if endpoint_id not in listed:
                self.mark(endpoint_id, EndpointState.LEAVING)
        for endpoint_id, wanted in listed.items():
            known = self.endpoints.get(endpoint_id)
            if known is None:
                self.endpoints[endpoint_id] = Endpoint.from_settings(wanted)
            else:
                known.services = frozenset(wanted.services)
        self.pools.clear()

    def leaving(self):
        """Return the ids of endpoints that take no new work."""
        return [
            e.id
            for e in self.endpoints.values()
            if e.state != EndpointState.LIVE
        ]

    def mark(self, endpoint_id, state):
        """Move an endpoint forward: live, then leaving, then gone.

        A lagging host list must not bring a leaving endpoint back, so
        a state never moves backwards; unknown ids are ignored.

        :returns: ``True`` when the state changed.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        if STATE_ORDER[state] <= STATE_ORDER[endpoint.state]:
            return False
        endpoint.state = state
        self.pools.clear()
        return True
