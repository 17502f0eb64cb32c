"""States of requests and endpoints."""

import enum


class RequestState(enum.Enum):
    """Where a request stands, as a caller can see it."""

    ACCEPTED = 'accepted'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EndpointState(enum.Enum):
    """Whether an endpoint may receive new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class BackendKind(enum.Enum):
    """What stands behind an endpoint."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Priority(enum.Enum):
    """How urgent a service's requests are; lower value runs first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class RoutingKind(enum.Enum):
    """How a service's requests are spread over its endpoints."""

    AFFINITY = 'affinity'
    ZONE_AFFINITY = 'zone_affinity'
    LEAST_LOADED = 'least_loaded'
    ROUND_ROBIN = 'round_robin'


class MemberState(enum.Enum):
    """What a daemon says of itself in its beats."""

    LIVE = 'live'
    STOPPING = 'stopping'
    LEFT = 'left'
