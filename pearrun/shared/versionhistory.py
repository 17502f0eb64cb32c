"""Which software versions the endpoints of each service had lately.

Load pattern: a caller resumes a stream whose origin is lost or that it does
not name.  Only if a single version can have begun it does the stream go on.
"""

import dataclasses

from pearrun.ids import ServiceName
from pearrun.ids import Version

# A list of endpoints that is read again after a longer time may lack versions
# that have come and gone since.
MAX_GAP_MS = 3000
# Departed versions are forgotten after this time.
KEPT_MS = 600_000


@dataclasses.dataclass(frozen=True)
class DepartedVersion:
    """A version of a service of which an endpoint has left.

    :param at_ms: when one last left; in messages, how long ago.
    """

    service: ServiceName
    version: Version
    at_ms: int


class VersionHistory:
    """The versions of all services, as far back as they are known.

    :param fleet: the :class:`Fleet`.

    ``since_ms`` is the time from which on no version is missing; ``None``
    before the first list of endpoints was read.  ``position`` is the position
    in the log of endpoints' entries up to which this host has read.
    """

    def __init__(self, clock, fleet):
        self.clock = clock
        self.fleet = fleet
        self.since_ms = None
        self.position = None
        self._merged_ms = None
        self._departed = {}

    def note_snapshot(self, read_ms):
        """Record that the list of endpoints was read anew.

        :param read_ms: when the read began.
        """
        known_ms = self.fleet.listed_ms or self._merged_ms
        if known_ms is None or read_ms - known_ms > MAX_GAP_MS:
            self.since_ms = read_ms

    def note_departed(self, record):
        """Record that an endpoint has left.

        :param record: its :class:`EndpointRecord`.
        """
        self._put(record.service, record.version, self.clock.now())

    def merge(self, since_ms, departed):
        """Add what another host knows from before this host's start.

        :param since_ms: from when on it knows all versions.
        :param departed: :class:`DepartedVersion` objects with times.
        """
        for item in departed:
            self._put(item.service, item.version, item.at_ms)
        if self.since_ms is None:
            self._merged_ms = self.clock.now()
            self.since_ms = since_ms
        self.since_ms = min(self.since_ms, since_ms)

    def is_complete(self):
        """Return whether this host knows all versions up to now."""
        listed_ms = self.fleet.listed_ms
        return (
            self.since_ms is not None
            and listed_ms is not None
            and self.clock.since(listed_ms) <= MAX_GAP_MS
        )

    def list_departed(self):
        """Return the :class:`DepartedVersion` objects that are kept.

        Versions whose endpoints are listed are among them: they may have
        left when another host reads the list.
        """
        now = self.clock.now()
        listed = {
            (endpoint.record.service, endpoint.record.version): now
            for endpoint in self.fleet.endpoints.values()
        }
        known = {**self._departed, **listed}
        return tuple(
            DepartedVersion(service, version, at_ms)
            for (service, version), at_ms in known.items()
            if now - at_ms < KEPT_MS
        )

    def has_listed(self, service, version):
        """Return whether this host knows of an endpoint of a version."""
        return (service, version) in self._departed or any(
            endpoint.record.service == service
            and endpoint.record.version == version
            for endpoint in self.fleet.endpoints.values()
        )

    def find_only(self, service, window_ms):
        """Return the only version that a service had for some time.

        :returns: the version; ``None`` if there were several, or none, or
            this host does not know all.
        """
        now = self.clock.now()
        if self.since_ms is None or now - self.since_ms < window_ms:
            return None
        versions = {
            endpoint.record.version
            for endpoint in self.fleet.endpoints.values()
            if endpoint.record.service == service
        }
        versions.update(
            version
            for (name, version), at_ms in self._departed.items()
            if name == service and now - at_ms < window_ms
        )
        return versions.pop() if len(versions) == 1 else None

    def _put(self, service, version, at_ms):
        key = (service, version)
        self._departed[key] = max(at_ms, self._departed.get(key, at_ms))
