"""Whether a stream that a caller resumes may go on, and at which version.

Load pattern: hosts are killed with the streams that they forward while
endpoints of several versions serve a service.  The callers resume at other
hosts, some of which have just started, are cut off or have an old list.  A
version that is not known for sure is never assumed.
"""

import dataclasses
import enum

from pearrun.ids import ServiceName
from pearrun.ids import Version

# Longest time that callers are assumed to wait if a route has no timeout.
DEFAULT_WAIT_MS = 30_000
# Longer waits than this are not taken into account.
MAX_WAIT_MS = 600_000
# Waits are rounded up to a multiple, so that few changes have to be saved.
WAIT_STEP_MS = 1000


class StreamRefusal(enum.Enum):
    """Why a stream does not go on."""

    VERSION_UNKNOWN = 'stream version unknown'
    VERSION_MISSING = 'no endpoint of the stream version'


@dataclasses.dataclass(frozen=True)
class StreamVersion:
    """The service and the software version that began a stream."""

    service: ServiceName
    version: Version


class CallerWaits:
    """How long callers wait for the streams of each service at most.

    A stream that is resumed had its first event no longer ago than that.  It
    may outlast the route's timeout: that ends the answer of one attempt only.

    ``is_complete`` is false until the waits of streams are known that began
    before this host's start.
    """

    def __init__(self):
        self.is_complete = False
        self._longest_ms = {}
        self._unsaved = set()

    def note(self, service, wait_ms):
        """Record how long a caller waits after a stream's first event.

        :param service: the service that began the stream.
        """
        rounded_ms = -(-wait_ms // WAIT_STEP_MS) * WAIT_STEP_MS
        longest_ms = min(MAX_WAIT_MS, rounded_ms)
        if longest_ms > self._longest_ms.get(service, 0):
            self._longest_ms[service] = longest_ms
            self._unsaved.add(service)

    def get_ms(self, service, route):
        """Return the longest time since a stream's first event.

        :param route: the route of the call that resumes it.
        """
        timeout_ms = route.timeout_ms or DEFAULT_WAIT_MS
        return max(timeout_ms, self._longest_ms.get(service, 0))

    def list_unsaved(self):
        """Return pairs of a service and its longest wait that has changed."""
        return [(name, self._longest_ms[name]) for name in self._unsaved]

    def mark_saved(self, pairs):
        """Record that waits were saved; see :meth:`list_unsaved`."""
        for service, wait_ms in pairs:
            if self._longest_ms[service] == wait_ms:
                self._unsaved.discard(service)

    def mark_unsaved(self):
        """Mark all waits as changed."""
        self._unsaved.update(self._longest_ms)


def belongs_to(origin, call):
    """Return whether a stream began with the customer and route of a call.

    :param origin: the :class:`StreamOrigin`.
    """
    customer = call.customer_name
    services = {target.name for target in call.route.targets}
    return origin.customer == customer and origin.service in services


def find_only_service(route):
    """Return the service that serves all calls of a route.

    :returns: its name; ``None`` if several do.
    """
    names = {target.name for target in route.targets}
    return names.pop() if len(names) == 1 else None
