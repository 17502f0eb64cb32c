"""What a server does with the body of a request whose head it has read."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A response to a request whose body is not needed for it."""

    status: int
    headers: list
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class BodyWanted:
    """The handler needs the body of a request.

    :param timeout_ms: how long receiving it may take; ``None`` for as long as
        its parts keep coming.
    """

    timeout_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class BodyUnwanted:
    """The handler does not use the body of a request."""
