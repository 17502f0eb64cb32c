"""States and kinds of requests, endpoints, services and daemons."""

import enum


class RequestState(enum.Enum):
    """State of a request, as reported to its caller."""

    ACCEPTED = 'accepted'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndpointState(enum.Enum):
    """State of an endpoint; only live ones receive new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class BackendKind(enum.Enum):
    """What an endpoint runs: a model engine or a plain service."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Priority(enum.Enum):
    """Priority of a service's requests; the lowest value runs first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class RoutingKind(enum.Enum):
    """How a service's requests are distributed over its endpoints."""

    AFFINITY = 'affinity'
    ZONE_AFFINITY = 'zone_affinity'
    LEAST_LOADED = 'least_loaded'
    ROUND_ROBIN = 'round_robin'


class MemberState(enum.Enum):
    """State of a daemon, as reported in its heartbeats."""

    LIVE = 'live'
    STOPPING = 'stopping'
    LEFT = 'left'
