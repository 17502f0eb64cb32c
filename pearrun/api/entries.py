"""Entries of a request journal, as stored on the log service.

Each record of a journal stream is a batch, ``{"batch": nonce,
"entries": [entry, ...]}``.  An entry is stored as the fields of one of
the data classes below plus ``kind``, which names the class.
"""

import dataclasses

from pearrun.ids import CustomerId
from pearrun.ids import EndpointId
from pearrun.ids import IdempotencyKey
from pearrun.ids import RequestId
from pearrun.ids import ServiceName


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A request that has been accepted and will be answered."""

    id: RequestId
    customer: CustomerId
    service: ServiceName
    prompt: str
    max_tokens: int
    seed: int = 0
    idempotency_key: IdempotencyKey | None = None


@dataclasses.dataclass(frozen=True)
class Progress:
    """Tokens of a running request from index ``start`` on.

    A daemon that takes the request over resumes after these tokens
    instead of generating them again.  ``endpoint`` is the last one that
    ran the request.
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
    """Cancels the acceptance of a request in this journal.

    A daemon that takes this journal over does not run the request.
    """

    id: RequestId


@dataclasses.dataclass(frozen=True)
class Sealed:
    """Closes the journal and fences off its writer.

    ``by`` is the journal stream of the host that takes the requests over.
    """

    by: str


@dataclasses.dataclass(frozen=True)
class Emptied:
    """Every unfinished request has been copied to the journal ``by``."""

    by: str


CLASSES_BY_KIND = {
    'accepted': Accepted,
    'progress': Progress,
    'finished': Finished,
    'withdrawn': Withdrawn,
    'sealed': Sealed,
    'emptied': Emptied,
}
KINDS_BY_CLASS = {kind: name for name, kind in CLASSES_BY_KIND.items()}


def to_value(entry):
    """Convert an entry to a JSON-serializable dict."""
    return {'kind': KINDS_BY_CLASS[type(entry)], **dataclasses.asdict(entry)}


def from_value(value):
    """Convert a dict read from the log to an entry."""
    fields = dict(value)
    kind = CLASSES_BY_KIND[fields.pop('kind')]
    if 'tokens' in fields:
        fields['tokens'] = tuple(fields['tokens'])
    return kind(**fields)
