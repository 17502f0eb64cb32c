"""Endpoints as this host knows them, with their state and load."""

import collections
import dataclasses
import functools

from pearrun.decisions.avoidance import Pause
from pearrun.ids import EndpointId
from pearrun.ids import EndpointName
from pearrun.ids import ServiceName
from pearrun.ids import ZoneName
from pearrun.states import EndpointState

# Starts remembered, also of endpoints that have left, whose entry may come
# once more; several times the endpoints of a large fleet.
MAX_STARTS = 8192


@dataclasses.dataclass(frozen=True)
class EndpointRecord:
    """What the platform says of one start of an endpoint.

    :param name: the platform's name of it, which a later start may bear
        again.
    :param reclaimable: whether the platform may take it away.
    :param leaves_ms: milliseconds until a reclaim; ``None`` if unknown.
    :param started_ms: when its process started, in Unix milliseconds; 0
        where the platform does not say.
    """

    name: EndpointName
    service: ServiceName
    address: str
    zone: ZoneName
    slots: int
    state: EndpointState
    reclaimable: bool = False
    leaves_ms: int | None = None
    started_ms: int = 0

    @functools.cached_property
    def id(self):
        """The id of this start, by which hosts speak of it.

        Cached prompts, calls, pauses and connections are known by it, so
        that nothing believed of one start is taken for another's.
        """
        if not self.started_ms:
            return EndpointId(self.name)
        return EndpointId(f'{self.name}@{self.started_ms}')


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
        """The id of this start of the endpoint."""
        return self.record.id


class Fleet:
    """All endpoints, by service.

    ``listed_ms`` is when the list was last known to be complete.
    """

    def __init__(self):
        self.endpoints = {}
        self.listed_ms = None
        self._live = {}
        self._starts = collections.OrderedDict()

    def is_outdated(self, record):
        """Say whether a record tells of an earlier start than is known."""
        return record.started_ms < self._starts.get(record.name, 0)

    def find(self, name):
        """Return the :class:`Endpoint` of a name, or ``None``."""
        started_ms = self._starts.get(name, 0)
        endpoint_id = f'{name}@{started_ms}' if started_ms else name
        return self.endpoints.get(endpoint_id)

    def put(self, record):
        """Add an endpoint or update what is known of it.

        :returns: whether its state changed.
        """
        self._note_start(record)
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

    def _note_start(self, record):
        if not record.started_ms:
            return
        self._starts[record.name] = record.started_ms
        self._starts.move_to_end(record.name)
        while len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)

    def _index(self, endpoint):
        record = endpoint.record
        if record.state is EndpointState.LIVE:
            self._live.setdefault(record.service, {})[record.id] = endpoint

    def _drop(self, endpoint):
        record = endpoint.record
        self._live.get(record.service, {}).pop(record.id, None)
