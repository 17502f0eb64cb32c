"""Entries of a request journal, as they stand on the log service.

A record of a journal stream is a batch, ``{"batch": nonce,
"entries": [entry, ...]}``; each entry is one of the data classes here,
with its kind beside its fields.
"""

import dataclasses

from pearrun.ids import CustomerId
from pearrun.ids import EndpointId
from pearrun.ids import IdempotencyKey
from pearrun.ids import RequestId
from pearrun.ids import ServiceName


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A request whose answer has been promised."""

    id: RequestId
    customer: CustomerId
    service: ServiceName
    prompt: str
    max_tokens: int
    seed: int = 0
    idempotency_key: IdempotencyKey | None = None


@dataclasses.dataclass(frozen=True)
class Progress:
    """Tokens of a running request, from ``start`` on, and where it runs.

    Whoever takes the request over goes on behind them instead of
    generating them again.
    """

    id: RequestId
    start: int
    tokens: tuple
    endpoint: EndpointId | None = None


@dataclasses.dataclass(frozen=True)
class Finished:
    """A request's final state and answer."""

    id: RequestId
    state: str
    tokens: tuple = ()
    finish_reason: str | None = None
    error: dict | None = None


@dataclasses.dataclass(frozen=True)
class Withdrawn:
    """A request that must never be run from this journal."""

    id: RequestId


@dataclasses.dataclass(frozen=True)
class Sealed:
    """The journal is closed: its writer is fenced off.

    ``by`` is the journal stream of the host that takes its requests.
    """

    by: str


@dataclasses.dataclass(frozen=True)
class Emptied:
    """Every unfinished request now stands in the journal ``by``."""

    by: str


KINDS = {
    'accepted': Accepted,
    'progress': Progress,
    'finished': Finished,
    'withdrawn': Withdrawn,
    'sealed': Sealed,
    'emptied': Emptied,
}
NAMES = {kind: name for name, kind in KINDS.items()}


def to_value(entry):
    """Return an entry as a JSON-ready map."""
    return {'kind': NAMES[type(entry)], **dataclasses.asdict(entry)}


def from_value(value):
    """Turn a map read from the log back into an entry."""
    fields = dict(value)
    kind = KINDS[fields.pop('kind')]
    if 'tokens' in fields:
        fields['tokens'] = tuple(fields['tokens'])
    return kind(**fields)
