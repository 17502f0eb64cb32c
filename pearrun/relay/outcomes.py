"""Outcomes of one attempt to send a call to an endpoint."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Answered:
    """The endpoint's response was forwarded completely."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint has not run the call and will not.

    :param delivered: whether the call reached the endpoint; a retry then
        counts against the retry budget.
    """

    reason: str
    delivered: bool = True


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The call may have run; nothing was forwarded to the caller."""

    reason: str


@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """The endpoint returned a server error; another endpoint may succeed.

    :param head: the endpoint's :class:`ResponseHead`.
    """

    head: object
    body: bytes


@dataclasses.dataclass(frozen=True)
class Interrupted:
    """The response broke off after part of it was forwarded."""

    reason: str
