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

    ``listed_ms`` is when the list was last known to be complete.
    """

    def __init__(self):
        self.endpoints = {}
        self.listed_ms = None
        self._live = {}

    def put(self, record):
        """Add an endpoint or update what is known of it.

        :returns: whether its state changed.
        """
        endpoint = self.endpoints.get(record.id)
        if endpoint is None:
            endpoint = self.endpoints[record.id] = Endpoint(record)
            self._index(endpoint)
            return True
        self._drop(endpoint)
        changed = endpoint.record.state is not record.state
        endpoint.record = record
        self._index(endpoint)
        return changed

    def remove(self, endpoint_id):
        """Forget an endpoint that has left.

        :returns: its :class:`Endpoint`, or ``None`` if it was unknown.
        """
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._drop(endpoint)
        return endpoint

    def of_service(self, service):
        """Return a service's endpoints that take new work."""
        return list(self._live.get(service, {}).values())

    def _index(self, endpoint):
        record = endpoint.record
        if record.state is EndpointState.LIVE:
            self._live.setdefault(record.service, {})[record.id] = endpoint

    def _drop(self, endpoint):
        record = endpoint.record
        self._live.get(record.service, {}).pop(record.id, None)
