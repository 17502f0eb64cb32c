"""A request together with its route and customer."""

import dataclasses
import functools

from pearrun.fingerprints import make_fingerprint
from pearrun.fingerprints import make_part_fingerprint
from pearrun.http1.messages import Request
from pearrun.ids import RequestId
from pearrun.shared.configuration import CallKind
from pearrun.shared.configuration import Customer
from pearrun.shared.configuration import Route
from pearrun.shared.prompts import Prompt

# Parts of a prompt beyond this number are not examined as causes of crashes,
# since the number of parts is chosen by the caller.
MAX_FINGERPRINTED_PARTS = 16


@dataclasses.dataclass(frozen=True)
class Call:
    """A request whose route and customer are known.

    :param deadline_ms: monotonic time at which the caller gives up.
    :param timeout_at_ms: monotonic time by which a response is due: the
        earlier of the caller's deadline and the route's timeout.
    :param priority: 0 is the most urgent.
    :param units: quota units that the call consumes.
    :param last_event_id: id of the last event that the caller has
        received; the stream resumes after it.
    :param resumes: id of the request that brought the stream's first event.
    """

    id: RequestId
    request: Request
    route: Route
    customer: Customer | None
    deadline_ms: int
    timeout_at_ms: int
    priority: int
    units: float
    prompt: Prompt
    last_event_id: str | None = None
    resumes: RequestId | None = None

    @property
    def customer_name(self):
        """Name of the customer; empty if there is none."""
        return self.customer.name if self.customer else ''

    @property
    def is_resumption(self):
        """Whether the caller has received the beginning of the stream."""
        if self.route.kind is not CallKind.STREAM:
            return False
        return self.last_event_id is not None or bool(self.resumes)

    @functools.cached_property
    def fingerprint(self):
        """The fingerprint, which is equal for retries of the same request."""
        request = self.request
        return make_fingerprint(
            request.method,
            (request.get(b'host') or '').encode(),
            request.target,
            self.customer_name.encode(),
            request.body,
        )

    @functools.cached_property
    def part_fingerprints(self):
        """Fingerprints of the prompt parts that other calls may share."""
        ids = self.prompt.shared_part_ids[:MAX_FINGERPRINTED_PARTS]
        return tuple(make_part_fingerprint(part_id) for part_id in ids)

    @property
    def fingerprints(self):
        """Fingerprints of everything that may crash an endpoint."""
        return (self.fingerprint, *self.part_fingerprints)
