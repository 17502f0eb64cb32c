"""The operator's configuration as typed, indexed data."""

import dataclasses
import enum

from pearrun.ids import CustomerId
from pearrun.ids import RouteName
from pearrun.ids import ServiceName


class CallKind(enum.Enum):
    """Whether calls of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One of the services among which a route splits its calls."""

    name: ServiceName
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Maps a host name and path prefix to services."""

    name: RouteName
    host: str
    path_prefix: str
    kind: CallKind
    timeout_ms: int
    latency_target_ms: int
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def retryable(self):
        """Whether a call may be executed more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Concurrency of the model engines of a service.

    :param slots: requests that an engine processes at the same time.
    """

    slots: int


@dataclasses.dataclass(frozen=True)
class ScaleLimits:
    """How many endpoints may be ordered in each zone, and at what price.

    :param smallest: minimum number of endpoints in a zone, reclaimable and
        on-demand ones together.
    :param largest: maximum number of endpoints in a zone, of both kinds.
    :param boot_ms: milliseconds until an ordered endpoint serves.
    :param reclaimable_price: price of a reclaimable endpoint as a fraction of
        the price of an on-demand one; ``None`` if none can be ordered.
    :param zone_prices: price of an endpoint per second, by zone.
    """

    smallest: int
    largest: int
    boot_ms: int
    reclaimable_price: float | None
    zone_prices: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of interchangeable endpoints."""

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    scale: ScaleLimits | None = None


@dataclasses.dataclass(frozen=True)
class Customer:
    """A caller with its API keys and its quota.

    :param rate_per_s: units refilled per second; 0 means no limit.
    :param burst: capacity of the token bucket, in units.
    :param counts_tokens: whether a unit is a token rather than a call.
    :param plain_tokens: tokens charged for a call that states no count.
    """

    name: CustomerId
    keys: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: int = 0


class Configuration:
    """One version of the operator's configuration.

    :param version: increases with every change.
    :param raw: the encoded form, which is forwarded to peers.
    :param has_customers: whether calls need an API key.
    """

    def __init__(self, version, routes, services, customers, limits, raw):
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.customers = {customer.name: customer for customer in customers}
        self.limits = limits
        self.raw = raw
        self.has_customers = bool(customers)
        self._by_key = {
            key: customer for customer in customers for key in customer.keys
        }
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for group in self._by_host.values():
            group.sort(key=lambda route: -len(route.path_prefix))

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix.

        :param host: the host name without its port.
        :param path: the path without its query.
        :returns: a :class:`Route` or ``None``.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_customer(self, key):
        """Return the customer that owns an API key, or ``None``."""
        return self._by_key.get(key)
