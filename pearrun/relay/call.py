"""A request together with its route and customer."""

import dataclasses
import functools

from pearrun.fingerprints import make_fingerprint
from pearrun.http1.messages import Request
from pearrun.ids import RequestId
from pearrun.shared.configuration import CallKind
from pearrun.shared.configuration import Customer
from pearrun.shared.configuration import Route
from pearrun.shared.prompts import Prompt


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
    def is_resumption(self):
        """Whether the caller has received the beginning of the stream."""
        if self.route.kind is not CallKind.STREAM:
            return False
        return self.last_event_id is not None or bool(self.resumes)

    @functools.cached_property
    def fingerprint(self):
        """The fingerprint, which is equal for retries of the same request."""
        request = self.request
        customer = self.customer.name if self.customer else ''
        return make_fingerprint(
            request.method,
            (request.get(b'host') or '').encode(),
            request.target,
            customer.encode(),
            request.body,
        )
