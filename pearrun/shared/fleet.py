"""Endpoints as this host knows them, with their state and load."""

import dataclasses

from pearrun.decisions.avoidance import Pause
from pearrun.ids import EndpointId
from pearrun.ids import ServiceName
from pearrun.ids import ZoneName
from pearrun.states import EndpointState


@dataclasses.dataclass(frozen=True)
class EndpointRecord:
    """What the platform says of one endpoint.

    :param reclaimable: whether the platform may take it away.
    :param leaves_ms: milliseconds until a reclaim; ``None`` if unknown.
    """

    id: EndpointId
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: EndpointState
    reclaimable: bool = False
    leaves_ms: int | None = None


@dataclasses.dataclass
class Endpoint:
    """One endpoint and this host's own work on it."""

    record: EndpointRecord
    calls: int = 0
    reading_tokens: int = 0
    failures: int = 0
    pause: Pause = dataclasses.field(default_factory=Pause)

    @property
    def id(self):
        """The endpoint's id, new at each of its starts."""
        return self.record.id


class Fleet:
    """All endpoints, by service.

    ``version`` grows with every change; ``listed_ms`` is when the list
    was last known to be complete.
    """

    def __init__(self):
        self.endpoints = {}
        self.version = 0
        self.listed_ms = None

    def put(self, record):
        """Add an endpoint or update what is known of it.

        :returns: whether its state changed.
        """
        known = self.endpoints.get(record.id)
        self.version += 1
        if known is None:
            self.endpoints[record.id] = Endpoint(record)
            return True
        changed = known.record.state is not record.state
        known.record = record
        return changed

    def remove(self, endpoint_id):
        """Forget an endpoint that has left.

        :returns: its :class:`Endpoint`, or ``None`` if it was unknown.
        """
        self.version += 1
        return self.endpoints.pop(endpoint_id, None)

    def of_service(self, service):
        """Return a service's endpoints that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.record.service == service
            and endpoint.record.state is EndpointState.LIVE
        ]
