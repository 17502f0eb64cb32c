"""Runtime state of the daemon: endpoints and jobs."""

import asyncio
import dataclasses
import functools

from pearrun.clock import Millis
from pearrun.fingerprints import make_fingerprint
from pearrun.ids import CustomerId
from pearrun.ids import EndpointId
from pearrun.ids import IdempotencyKey
from pearrun.ids import RequestId
from pearrun.ids import ServiceName
from pearrun.ids import ZoneName
from pearrun.states import BackendKind
from pearrun.states import EndpointState
from pearrun.states import RequestState

INTERVAL_WEIGHT = 0.2


@dataclasses.dataclass
class Endpoint:
    """A back end and its state as known to this daemon.

    ``reclaim_at_ms`` is the monotonic time at which its host is
    reclaimed; it is set on a reclaim notice.
    """

    id: EndpointId
    zone: ZoneName
    url: str
    kind: BackendKind
    services: frozenset
    state: EndpointState = EndpointState.LIVE
    in_flight: int = 0
    reported_load: int = 0
    reclaim_at_ms: Millis | None = None

    @classmethod
    def from_settings(cls, settings):
        """Build an endpoint from its :class:`EndpointSettings`."""
        return cls(
            id=settings.id,
            zone=settings.zone,
            url=settings.url,
            kind=settings.kind,
            services=frozenset(settings.services),
        )

    @property
    def load(self):
        """This daemon's requests in flight there, plus the reported load."""
        return self.in_flight + self.reported_load


def fingerprint_request(service, customer, prompt, max_tokens, seed):
    """Return the fingerprint of a request to a service."""
    parts = (service, customer, prompt, str(max_tokens), str(seed))
    return make_fingerprint(
        *(part.encode('utf-8', 'surrogatepass') for part in parts)
    )


@dataclasses.dataclass
class Job:
    """An accepted request and its answer so far.

    ``started`` says that an endpoint may have run it, ``attempts`` is
    the number of its runs so far, ``readers`` the number of callers
    that are reading the answer, and ``token_ms`` an exponential moving
    average of the time between tokens.  ``saved`` is the number of
    tokens in the log, ``saved_ms`` the time when the acceptance was last
    written there, and ``saving`` the write in progress.  ``handed_over``
    says that another host continues the job, and ``durable`` that its
    acceptance is in the log.
    """

    id: RequestId
    customer: CustomerId
    service: ServiceName
    prompt: str
    max_tokens: int
    seed: int
    accepted_ms: Millis
    idempotency_key: IdempotencyKey | None = None
    state: RequestState = RequestState.ACCEPTED
    tokens: list = dataclasses.field(default_factory=list)
    finish_reason: str | None = None
    failure: Exception | None = None
    endpoint: EndpointId | None = None
    started: bool = False
    attempts: int = 0
    readers: int = 0
    token_ms: float = 50.0
    saved: int = 0
    saved_ms: Millis = Millis(0)
    saving: asyncio.Future | None = None
    handed_over: bool = False
    durable: bool = False
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    @functools.cached_property
    def fingerprint(self):
        """Fingerprint of the request; its repeats by one customer share it."""
        return fingerprint_request(
            self.service,
            self.customer,
            self.prompt,
            self.max_tokens,
            self.seed,
        )

    @property
    def fingerprints(self):
        """Fingerprints of everything that may crash an endpoint."""
        return (self.fingerprint,)

    @property
    def finished(self):
        """Whether the job has reached a final state."""
        return self.state in (
            RequestState.DONE,
            RequestState.FAILED,
            RequestState.CANCELLED,
        )

    @property
    def ended_here(self):
        """Whether nothing more will happen to the job on this host."""
        return self.finished or self.handed_over

    def text(self):
        """Return the answer so far as text."""
        return ' '.join(self.tokens)

    def get_log_fields(self):
        """Return the fields of every log line about the job."""
        return {
            'request_id': self.id,
            'customer': self.customer,
            'service': self.service,
        }

    def update_token_interval(self, interval_ms):
        """Add the time between two tokens to the moving average."""
        self.token_ms += INTERVAL_WEIGHT * (interval_ms - self.token_ms)

    async def publish(self, **changes):
        """Update fields and wake all tasks that wait for the job."""
        async with self.changed:
            for name, value in changes.items():
                setattr(self, name, value)
            self.changed.notify_all()

    async def add_token(self, token):
        """Append one streamed token and wake the readers."""
        async with self.changed:
            self.tokens.append(token)
            self.changed.notify_all()

    async def wait_for_tokens(self, count):
        """Wait until there are more than ``count`` tokens or the job ends."""
        async with self.changed:
            await self.changed.wait_for(
                lambda: len(self.tokens) > count or self.ended_here
            )

    def to_body(self):
        """Return the job's status, JSON-serializable."""
        return {
            'id': self.id,
            'state': self.state.value,
            'customer': self.customer,
            'service': self.service,
            'tokens': len(self.tokens),
            'attempts': self.attempts,
            'text': self.text(),
            'finish_reason': self.finish_reason,
            'error': self.failure.to_body() if self.failure else None,
        }
