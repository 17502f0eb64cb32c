"""Endpoints known to this host, with their state and load."""

import collections
import dataclasses
import functools

from pearrun.decisions.avoidance import Pause
from pearrun.ids import EndpointId
from pearrun.ids import EndpointName
from pearrun.ids import ServiceName
from pearrun.ids import Version
from pearrun.ids import ZoneName
from pearrun.states import EndpointState

# Endpoint names whose latest start time is kept, including endpoints that have
# left, since an outdated entry of one may still arrive.  Several times the
# size of a large fleet.
MAX_STARTS = 8192
# Endpoints that leave, kept after they have left: an entry that expired while
# the store was away may return, or one of a copy from which it was restored.
MAX_LEAVING = 8192


@dataclasses.dataclass(frozen=True)
class EndpointRecord:
    """The platform's entry for one process of an endpoint.

    :param name: the endpoint's name, which a later process may reuse.
    :param reclaimable: whether the platform may reclaim it.
    :param leaves_ms: milliseconds until a reclaim; ``None`` if unknown.
    :param started_ms: when its process started, in Unix milliseconds; 0
        if the platform does not report it.
    :param version: version of its software.
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
    version: Version = Version('')

    @functools.cached_property
    def id(self):
        """The id of the endpoint's process; each restart gives a new one.

        Cached prompts, calls, pauses and connections are keyed by the id, so
        that the state of a former process is not attributed to its successor.
        """
        if not self.started_ms:
            return EndpointId(self.name)
        return EndpointId(f'{self.name}@{self.started_ms}')


@dataclasses.dataclass
class Endpoint:
    """One endpoint and the calls that this host has sent to it.

    :param calls: calls in progress.
    :param queued_tokens: prompt tokens of these calls that are not prefilled
        yet.
    :param failures: consecutive failed calls.
    :param answered_ms: when it last answered this host; ``None`` if never.
    """

    record: EndpointRecord
    calls: int = 0
    queued_tokens: int = 0
    failures: int = 0
    answered_ms: int | None = None
    pause: Pause = dataclasses.field(default_factory=Pause)

    @property
    def id(self):
        """The id of the endpoint's process; each restart gives a new one."""
        return self.record.id


class Fleet:
    """All known endpoints, indexed by id and by service.

    ``listed_ms`` is when the list was last known to be complete; ``leaving``
    has the ids of the endpoints that have announced that they leave, and
    ``unlisted`` the names of those whose entries were removed.
    """

    def __init__(self):
        self.endpoints = {}
        self.listed_ms = None
        self.leaving = collections.OrderedDict()
        self.unlisted = collections.OrderedDict()
        self._drained = collections.OrderedDict()
        self._live = {}
        self._starts = collections.OrderedDict()

    def is_outdated(self, record):
        """Return whether the endpoint has restarted since the record."""
        return record.started_ms < self._starts.get(record.name, 0)

    def find(self, name):
        """Return the latest :class:`Endpoint` with a name, or ``None``."""
        started_ms = self._starts.get(name, 0)
        endpoint_id = f'{name}@{started_ms}' if started_ms else name
        return self.endpoints.get(endpoint_id)

    def put(self, record):
        """Add an endpoint, or update its record.

        An endpoint that has announced that it leaves, or was listed as
        leaving, is not live again, whatever the state in the record.

        :returns: whether its state changed.
        """
        if record.state is not EndpointState.LIVE:
            add_bounded(self._drained, record.id)
        elif record.id in self.leaving or record.id in self._drained:
            record = dataclasses.replace(record, state=EndpointState.LEAVING)
        self._record_start(record)
        endpoint = self.endpoints.get(record.id)
        if endpoint is None:
            endpoint = self.endpoints[record.id] = Endpoint(record)
            self._index(endpoint)
            return True
        self._unindex(endpoint)
        changed = endpoint.record.state is not record.state
        endpoint.record = record
        self._index(endpoint)
        return changed

    def mark_leaving(self, endpoint_id):
        """Record that an endpoint has announced that it leaves.

        :returns: whether that was not known.
        """
        if endpoint_id in self.leaving:
            return False
        add_bounded(self.leaving, endpoint_id)
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.put(endpoint.record)
        return True

    def note_unlisted(self, name):
        """Record that an endpoint's entry was removed."""
        add_bounded(self.unlisted, name)

    def accepts_calls(self, endpoint_id):
        """Return whether an endpoint is listed and not leaving."""
        endpoint = self.endpoints.get(endpoint_id)
        return (
            endpoint is not None
            and endpoint.record.state is EndpointState.LIVE
        )

    def remove(self, endpoint_id):
        """Remove an endpoint that has left.

        :returns: its :class:`Endpoint`, or ``None`` if it was unknown.
        """
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._unindex(endpoint)
        return endpoint

    def find_by_service(self, service):
        """Return a service's endpoints that accept new calls."""
        return list(self._live.get(service, {}).values())

    def _record_start(self, record):
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

    def _unindex(self, endpoint):
        record = endpoint.record
        self._live.get(record.service, {}).pop(record.id, None)


def add_bounded(ids, new_id):
    """Add an id to an ordered dictionary; drop the oldest ones."""
    ids[new_id] = None
    while len(ids) > MAX_LEAVING:
        ids.popitem(last=False)
