"""How one send of a call to an endpoint ended."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Answered:
    """The endpoint's answer was passed on whole."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint has not run the call and will not.

    :param arrived: whether the call reached the endpoint, which counts
        against the budget of repeated sends.
    """

    reason: str
    arrived: bool = True


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The call may have run; nothing was passed on to the caller."""

    reason: str


@dataclasses.dataclass(frozen=True)
class FailedAnswer:
    """The endpoint answered with an error that another one may mend.

    :param head: the endpoint's :class:`ResponseHead`.
    """

    head: object
    body: bytes


@dataclasses.dataclass(frozen=True)
class Cut:
    """A stream broke off after some of it was passed on."""

    reason: str
