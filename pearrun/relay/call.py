"""One caller's request as the relay sees it."""

import dataclasses
import functools

from pearrun.fingerprints import make_fingerprint
from pearrun.http1.messages import Request
from pearrun.ids import RequestId
from pearrun.shared.configuration import Customer
from pearrun.shared.configuration import Route
from pearrun.shared.prompts import Prompt


@dataclasses.dataclass(frozen=True)
class Call:
    """A request that a route and a customer were found for.

    :param deadline_ms: monotonic time at which the caller gives up.
    :param timeout_at_ms: monotonic time by which an answer is due: the
        earlier of the caller's deadline and the route's timeout.
    :param units: what the call counts against its customer's quota.
    :param last_event_id: the event after which the caller goes on.
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

    @functools.cached_property
    def fingerprint(self):
        """What a repeat of this request by its caller has in common."""
        request = self.request
        customer = self.customer.name if self.customer else ''
        return make_fingerprint(
            request.method,
            (request.get(b'host') or '').encode(),
            request.target,
            customer.encode(),
            request.body,
        )
