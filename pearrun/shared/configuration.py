"""The operator's configuration, as typed and indexed data."""

import dataclasses
import enum

from pearrun.ids import CustomerId
from pearrun.ids import RouteName
from pearrun.ids import ServiceName


class CallKind(enum.Enum):
    """What may be repeated of a route's calls."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One of the services that share a route's calls."""

    name: ServiceName
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Where calls with one host name and path prefix go."""

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
    def repeatable(self):
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """What the model engines of a service can hold at once."""

    slots: int


@dataclasses.dataclass(frozen=True)
class ScaleLimits:
    """How many endpoints may be ordered in each zone, and at what price.

    :param smallest: fewest endpoints in a zone, both kinds together.
    :param largest: most endpoints in a zone, both kinds together.
    :param boot_ms: milliseconds until an ordered endpoint serves.
    :param reclaimable_price: price of a reclaimable endpoint as a share
        of the price of another one.
    :param zone_prices: cost of an endpoint's second by zone.
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
    """Who calls, and how much of it is allowed.

    :param rate_per_s: units refilled in a second; 0 means no limit.
    :param burst: units that may be used at once.
    :param counts_tokens: whether a unit is a token, not a call.
    :param plain_tokens: tokens that a call without a count stands for.
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

    :param version: grows with every change.
    :param raw: the encoded form, passed on to peers.
    :param has_customers: whether calls need a key.
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
        """Return the route with the longest prefix of a path.

        :param host: the host name without its port.
        :param path: the path without its query.
        :returns: a :class:`Route` or ``None``.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_customer(self, key):
        """Return the customer that holds a key, or ``None``."""
        return self._by_key.get(key)
