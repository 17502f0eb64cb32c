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
    """How long callers wait in all for the streams of each route.

    A stream that is resumed began no longer ago than that.  It may outlast
    the route's timeout: that ends the answer of one attempt only.
    """

    def __init__(self):
        self._longest_ms = {}

    def note(self, route, wait_ms):
        """Record how long the caller of a new stream waits."""
        known_ms = self._longest_ms.get(route.name, 0)
        self._longest_ms[route.name] = min(MAX_WAIT_MS, max(known_ms, wait_ms))

    def get_ms(self, route):
        """Return the longest time since a stream of a route has begun."""
        timeout_ms = route.timeout_ms or DEFAULT_WAIT_MS
        return max(timeout_ms, self._longest_ms.get(route.name, 0))


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
