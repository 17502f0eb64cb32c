"""Runtime records the daemon keeps: endpoints and jobs."""

import asyncio
import dataclasses

from pearrun.clock import Millis
from pearrun.ids import CustomerId
from pearrun.ids import EndpointId
from pearrun.ids import IdempotencyKey
from pearrun.ids import RequestId
from pearrun.ids import ServiceName
from pearrun.ids import ZoneName
from pearrun.states import BackendKind
from pearrun.states import EndpointState
from pearrun.states import RequestState


@dataclasses.dataclass
class Endpoint:
    """A back end as this daemon sees it now."""

    id: EndpointId
    zone: ZoneName
    url: str
    kind: BackendKind
    services: frozenset
    state: EndpointState = EndpointState.LIVE
    in_flight: int = 0
    reported_load: int = 0

    @property
    def load(self):
        """Requests this daemon has running there, plus reported load."""
        return self.in_flight + self.reported_load


@dataclasses.dataclass
class Job:
    """One accepted request and what has been answered so far."""

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
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )

    @property
    def finished(self):
        """Whether the job has reached a final state."""
        return self.state in (
            RequestState.DONE,
            RequestState.FAILED,
            RequestState.CANCELLED,
        )

    def text(self):
        """Return the answer so far as text."""
        return ' '.join(self.tokens)

    async def publish(self, **changes):
        """Update fields and wake everyone waiting on the job."""
        async with self.changed:
            for name, value in changes.items():
                setattr(self, name, value)
            self.changed.notify_all()

    async def add_token(self, token):
        """Append one streamed token and wake the readers."""
        async with self.changed:
            self.tokens.append(token)
            self.changed.notify_all()

    async def wait_beyond(self, count):
        """Wait until more than ``count`` tokens exist or the job ends."""
        async with self.changed:
            await self.changed.wait_for(
                lambda: len(self.tokens) > count or self.finished
            )

    async def wait_finished(self):
        """Wait until the job reaches a final state."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.finished)

    def to_body(self):
        """Return the job's status, JSON-ready."""
        return {
            'id': self.id,
            'state': self.state.value,
            'customer': self.customer,
            'service': self.service,
            'tokens': len(self.tokens),
            'text': self.text(),
            'finish_reason': self.finish_reason,
            'error': self.failure.to_body() if self.failure else None,
        }
