"""The faults and operations that a soak injects, one type each."""

import dataclasses
import enum

from pearrun.standins.link import LinkMode


@dataclasses.dataclass(frozen=True)
class StopHost:
    """SIGTERM to an entry host, which is restarted after it has exited."""

    host: str


@dataclasses.dataclass(frozen=True)
class KillHost:
    """SIGKILL to an entry host, which is then restarted."""

    host: str


@dataclasses.dataclass(frozen=True)
class PauseHost:
    """SIGSTOP to an entry host, SIGCONT after ``duration_ms``."""

    host: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class ReloadHost:
    """SIGHUP to an entry host, which makes it reload its settings."""

    host: str


@dataclasses.dataclass(frozen=True)
class DisruptLink:
    """A network link is in a faulty mode for ``duration_ms``."""

    link: str
    mode: LinkMode
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class FailStore:
    """The store responds with errors, or not at all, for ``duration_ms``.

    :param status: status code of the errors; 0 for no responses.
    """

    status: int
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class LoseStoreResponses:
    """The store performs the next ``count`` appends but does not respond."""

    count: int


@dataclasses.dataclass(frozen=True)
class LoseTopic:
    """The store loses the calls to a topic and serves all others.

    :param duration_ms: how long new calls are lost, too; 0 for only those in
        progress.
    """

    topic: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class CompactStore:
    """The store deletes its history; the newest record of each key stays."""


@dataclasses.dataclass(frozen=True)
class RestoreStore:
    """The store is away for ``duration_ms`` and comes back from a copy.

    :param age_ms: age of the copy when the store goes away.
    :param status: status code of the errors meanwhile; 0 for no responses.
    """

    age_ms: int
    status: int
    duration_ms: int


class EndpointFault(enum.Enum):
    """Faults of one endpoint; the values are fields of RunnerFaults."""

    FULL = 'full'
    RESET_BEFORE_RESPONSE = 'reset_before'
    PARTIAL_EVENT = 'torn'
    TRUNCATED_RESPONSE = 'truncate'
    EXTRA_RESPONSE = 'extra'
    STRAY_RESPONSE_FIRST = 'stray_first'


@dataclasses.dataclass(frozen=True)
class DisruptEndpoint:
    """An endpoint has a fault for ``duration_ms``.

    :param endpoint: name of the replica that the endpoint runs as.
    """

    endpoint: str
    fault: EndpointFault
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class LimitEndpoint:
    """An endpoint advertises a rate limit for ``duration_ms``.

    :param endpoint: name of the replica that the endpoint runs as.
    :param rate_limit: calls per second, as the header's value.
    """

    endpoint: str
    rate_limit: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class LeaveEndpoint:
    """An endpoint says in its answers that it leaves, and ends later.

    The store does not learn it, and the endpoint goes on sending heartbeats.

    :param endpoint: name of the replica that the endpoint runs as.
    """

    endpoint: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class RestEndpoint:
    """An endpoint refuses all calls for ``duration_ms`` and asks for rest.

    :param endpoint: name of the replica that the endpoint runs as.
    :param rest: seconds, as the header's value.
    """

    endpoint: str
    rest: str
    duration_ms: int


@dataclasses.dataclass(frozen=True)
class ReplaceEndpoint:
    """An endpoint ends and another one replaces it.

    :param endpoint: name of the replica that the endpoint runs as.
    :param drained: whether the endpoint announces that it is draining and
        finishes its calls; if not, it ends at once and its entry is removed
        from the store a little later.
    :param same_address: whether its replacement has the same address.
    """

    endpoint: str
    drained: bool
    same_address: bool


@dataclasses.dataclass(frozen=True)
class CrashEndpoint:
    """A request crashed an endpoint, which is replaced a little later."""


@dataclasses.dataclass(frozen=True)
class ChangeRoutes:
    """A new configuration adds a route and removes the previous one."""


# Planned operations: no call may be lost because of them.
PLANNED_OPERATIONS = (StopHost, ReloadHost, ChangeRoutes)


@dataclasses.dataclass(frozen=True)
class TimedFault:
    """A fault and its start time.

    :param start_ms: milliseconds since the start of the run in a
        :class:`Plan`; monotonic time in an :class:`Evidence`.
    """

    start_ms: int
    fault: object

    @property
    def end_ms(self):
        """The time at which the fault itself ends."""
        return self.start_ms + getattr(self.fault, 'duration_ms', 0)
