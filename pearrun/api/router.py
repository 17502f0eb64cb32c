"""Routing: selection of the endpoint that serves a request.

There are three policies, one data class each:

- :class:`AffinityPolicy` (the default): rendezvous hashing of the
  prompt's start, so that requests with a common prefix are routed to
  the endpoint that has the prefix cached; an endpoint that has over
  ``slack`` requests more than the least loaded one is passed over.
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

    ``slack`` is how many requests more than the least loaded endpoint the
    chosen one may have.  ``reach`` is the minimum prompt length, in
    characters, at which endpoints of all zones are considered: the
    prefill of a long prompt costs more than a hop between zones.
    ``None`` restricts the choice to the daemon's own zone.
    """

    slack: int = 4
    reach: int | None = None


@dataclasses.dataclass(frozen=True)
class LeastLoadedPolicy:
    """The endpoint with the lowest load."""


@dataclasses.dataclass(frozen=True)
class RoundRobinPolicy:
    """All endpoints in rotation."""


def compute_seed(key):
    """Return the hash of a key, which seeds its rendezvous scores."""
    return xxhash.xxh3_64_intdigest(key.encode('utf-8', 'surrogatepass'))


def compute_rendezvous_score(name, key):
    """Return the rendezvous-hash score of a name for a key."""
    return compute_score(name, compute_seed(key))


def compute_score(name, seed):
    """Return the rendezvous-hash score of a name for a key's seed."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed)


def choose_by_affinity(pool, prompt, slack):
    """Return the highest-scoring endpoint whose load is within bounds.

    The endpoints are ranked by rendezvous hash of the prompt's start.
    The first one with at most ``slack`` requests more than the least
    loaded one is chosen, so that a hot prefix uses few endpoints.
    """
    seed = compute_seed(prompt[:PREFIX_CHARS])
    limit = min(e.load for e in pool) + slack
    eligible = [e for e in pool if e.load <= limit]
    return max(eligible, key=lambda e: compute_score(e.id, seed))


def build_policy(service):
    """Return the routing policy configured for a service.

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
    """Holds the endpoints and selects one for each request.

    :param endpoints: :class:`Endpoint` objects of all zones.
    :param zone: this daemon's failure domain; its endpoints are
        preferred.
    :param policy: an instance of one of the policy data classes.
    :param max_load: load at which an endpoint accepts no new requests;
        ``None`` for no limit.
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
        """Build a router from a daemon's complete :class:`Settings`."""
        return cls(
            [Endpoint.from_settings(e) for e in settings.endpoints],
            settings.host.zone,
            policy,
            settings.host.max_load_per_endpoint,
        )

    def list_candidates(self, service, exclude=(), all_zones=False):
        """Return the live endpoints of a service.

        :param service: the service name.
        :param exclude: endpoint ids to exclude.
        :param all_zones: whether to include all zones; if false, other
            zones are included only if this daemon's has no such endpoint.
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
        """Return a service's live endpoints.

        :returns: those of all zones, and those of this daemon's zone.
        """
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
        """Check that a new request for a service can be accepted.

        :param service: the service name.
        :raises NoEndpointError: no live endpoint serves it.
        :raises OverloadedError: all of them have reached ``max_load``.
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
                f'all endpoints of {service!r} are at their load limit',
                retry_after_s=1,
            )

    def choose(self, service, prompt, exclude=(), policy=None):
        """Select an endpoint for a request.

        :param service: the service name.
        :param prompt: the prompt text; its start is the affinity key.
        :param exclude: endpoint ids to exclude, such as failed ones.
        :param policy: a policy; the router's own by default.
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
        """Apply the endpoints of reloaded settings.

        New endpoints are added; those no longer listed get no new
        requests.  The others keep their state and load.  One that is
        leaving stays so, because a replacement host has a new id.

        :param settings: a list of :class:`EndpointSettings`.
        """
        listed = {e.id: e for e in settings}
        for endpoint_id in self.endpoints:
            if endpoint_id not in listed:
                self.mark(endpoint_id, EndpointState.LEAVING)
        for endpoint_id, new_settings in listed.items():
            current = self.endpoints.get(endpoint_id)
            if current is None:
                self.endpoints[endpoint_id] = Endpoint.from_settings(
                    new_settings
                )
            else:
                current.services = frozenset(new_settings.services)
        self.pools.clear()

    def list_leaving(self):
        """Return the ids of endpoints that accept no new requests."""
        return [
            e.id
            for e in self.endpoints.values()
            if e.state != EndpointState.LIVE
        ]

    def mark(self, endpoint_id, state):
        """Advance an endpoint's state: live, then leaving, then gone.

        A state is never reverted, because the host list lags behind and
        could otherwise make a leaving endpoint live again.  Unknown ids
        are ignored.

        :returns: whether the state changed.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return False
        if STATE_ORDER[state] <= STATE_ORDER[endpoint.state]:
            return False
        endpoint.state = state
        self.pools.clear()
        return True
