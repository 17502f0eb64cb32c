"""What the soak does to a site, one type each."""

import dataclasses
import enum

from pearrun.standins.link import LinkMode


@dataclasses.dataclass(frozen=True)
class StopHost:
    """SIGTERM to an entry host; it is started again when it has ended."""

    host: str


@dataclasses.dataclass(frozen=True)
class KillHost:
    """SIGKILL to an entry host; it is started again."""

    host: str


@dataclasses.dataclass(frozen=True)
class PauseHost:
    """SIGSTOP to an entry host, SIGCONT after ``for_ms``."""

    host: str
    for_ms: int


@dataclasses.dataclass(frozen=True)
class HangUpHost:
    """SIGHUP to an entry host."""

    host: str


@dataclasses.dataclass(frozen=True)
class BreakLink:
    """A link carries bytes otherwise for ``for_ms``."""

    link: str
    mode: LinkMode
    for_ms: int


@dataclasses.dataclass(frozen=True)
class FailStore:
    """The store answers with an error, or not at all, for ``for_ms``.

    :param status: the error's status; 0 for no answers.
    """

    status: int
    for_ms: int


@dataclasses.dataclass(frozen=True)
class LoseStoreAnswers:
    """Some appends happen and are not answered."""

    count: int


@dataclasses.dataclass(frozen=True)
class ForgetHistory:
    """The store drops its history; the newest records stay."""


class EndpointFault(enum.Enum):
    """Faults of one endpoint; the values are fields of RunnerFaults."""

    FULL = 'full'
    RESET = 'reset_before'
    TORN = 'torn'
    TRUNCATED = 'truncate'
    EXTRA = 'extra'
    STRAY = 'stray_first'


@dataclasses.dataclass(frozen=True)
class SpoilEndpoint:
    """An endpoint's answers go wrong for ``for_ms``."""

    endpoint: str
    fault: EndpointFault
    for_ms: int


@dataclasses.dataclass(frozen=True)
class ReplaceEndpoint:
    """An endpoint leaves and another one comes.

    :param announced: whether it says so and finishes its work; otherwise
        it breaks off and its entry goes a little later.
    :param same_address: whether the other one gets its address.
    """

    endpoint: str
    announced: bool
    same_address: bool


@dataclasses.dataclass(frozen=True)
class CrashEndpoint:
    """A request crashed an endpoint; another one comes a little later."""


@dataclasses.dataclass(frozen=True)
class ChangeRoutes:
    """A newer configuration adds a route and drops the one before."""


# Faults that are planned work: no call may be lost for them.
PLANNED = (StopHost, HangUpHost, ChangeRoutes)


@dataclasses.dataclass(frozen=True)
class TimedFault:
    """A fault and when it begins, in milliseconds from the start."""

    at_ms: int
    fault: object

    @property
    def end_ms(self):
        """When the fault itself is over."""
        return self.at_ms + getattr(self.fault, 'for_ms', 0)
