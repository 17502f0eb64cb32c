"""Messages between entry hosts; see :mod:`pearrun.shared.reportcodec`."""

import dataclasses

from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import RegressionSums
from pearrun.decisions.evidence import Suspect
from pearrun.ids import EndpointId
from pearrun.ids import HostName
from pearrun.ids import ServiceName
from pearrun.rollouts import orders
from pearrun.rollouts.evidence import RolloutNote
from pearrun.run import Run
from pearrun.shared.endpointlimits import LimitReport
from pearrun.shared.loads import Load
from pearrun.shared.paths import PathFailure
from pearrun.shared.prompts import PromptPlacement
from pearrun.shared.quotas import AdmittedUnits
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.versionhistory import DepartedVersion

ENDPOINT_TOPIC = 'servers'


@dataclasses.dataclass(frozen=True)
class DutyNotice:
    """Notice that a host holds the lease for the cluster-wide duties.

    :param fencing: fencing token of the lease.
    :param log_end: position after the last record of the lease log.
    :param age_ms: time since the holder created the notice.
    :param rollouts: its decisions on roll-outs.
    """

    holder: HostName
    fencing: int
    log_end: int
    age_ms: int = 0
    rollouts: tuple[orders.RolloutNotice, ...] = ()


@dataclasses.dataclass(frozen=True)
class HostReport:
    """State of a host, or of all hosts of a hub's zone, sent in each round.

    :param run: the :class:`Run` that reports.
    :param number: sequence number among the reports of a run.
    :param hosts: number of hosts that it covers.
    :param wall_ms: the sender's uncorrected wall-clock time.
    :param config_version: version of the configuration in force.
    :param config_age_ms: how long ago that version was confirmed as the
        latest.
    :param loads: :class:`Load` by endpoint id.
    :param demands: :class:`Demand` by service.
    :param engines: :class:`RegressionSums` by service.
    :param admitted: :class:`AdmittedUnits` by customer.
    :param placed: prompts sent to endpoints since the last report.
    :param duty: the notice of the lease, if one is known.
    """

    run: Run
    number: int
    hosts: int
    wall_ms: int
    config_version: int
    config_age_ms: int
    loads: dict[EndpointId, Load]
    admitted: dict[str, AdmittedUnits]
    placed: tuple[PromptPlacement, ...] = ()
    duty: DutyNotice | None = None
    demands: dict[ServiceName, Demand] = dataclasses.field(
        default_factory=dict
    )
    engines: dict[ServiceName, RegressionSums] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Coverage:
    """Which report of each host is included in a hub's sums for its zone.

    :param hub: the hub, whose sums follow in the same bundle.
    :param numbers: start time and report number by host.
    """

    hub: HostName
    numbers: dict[HostName, tuple[int, int]]


@dataclasses.dataclass(frozen=True)
class UsageNote:
    """A host's call counts per customer, by usage window number.

    :param current_window: the window in which the note was created.
    """

    run: Run
    counts: dict[int, dict[str, int]]
    current_window: int = -1


@dataclasses.dataclass(frozen=True)
class TopicFeed:
    """Changes of a topic, as read from the store.

    :param start: :data:`Position` of the first record.
    :param next: position after the last record.
    :param records: pairs of a key and its entry, ``None`` for a deleted
        key.
    :param age_ms: how long ago the read was sent to the store.
    :param topic: the topic's name.
    """

    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]
    age_ms: int
    topic: str = ENDPOINT_TOPIC


@dataclasses.dataclass(frozen=True)
class HostEnded:
    """Notice that a host's process has ended."""

    host: HostName


@dataclasses.dataclass(frozen=True)
class SuspectNote:
    """Requests that were running when endpoints crashed.

    :param host: the sender.
    :param suspects: :class:`Suspect` objects with ages at the time of
        sending, in milliseconds, instead of times.
    """

    host: HostName
    suspects: tuple[Suspect, ...]


@dataclasses.dataclass(frozen=True)
class PathNote:
    """Paths on which endpoints could not be reached.

    :param host: the sender.
    :param failures: :class:`PathFailure` objects with ages in milliseconds.
    """

    host: HostName
    failures: tuple[PathFailure, ...]


@dataclasses.dataclass(frozen=True)
class LimitNote:
    """Rate limits that endpoints have advertised or lifted.

    :param host: the sender.
    :param reports: :class:`LimitReport` objects with ages in milliseconds.
    """

    host: HostName
    reports: tuple[LimitReport, ...]


@dataclasses.dataclass(frozen=True)
class DepartureNote:
    """Endpoints that have announced that they leave.

    :param host: the sender.
    """

    host: HostName
    endpoint_ids: tuple[EndpointId, ...]


@dataclasses.dataclass(frozen=True)
class OriginNote:
    """Where streams began.

    :param host: the sender.
    :param origins: :class:`StreamOrigin` objects with the time left.
    """

    host: HostName
    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True)
class VersionNote:
    """Versions that services had before the receiver's start.

    :param host: the sender.
    :param since_ms: how long it has known all versions, in milliseconds.
    :param departed: :class:`DepartedVersion` objects with ages.
    """

    host: HostName
    since_ms: int
    departed: tuple[DepartedVersion, ...]


@dataclasses.dataclass(frozen=True)
class ConfigCopy:
    """The sender's configuration, as encoded in the store."""

    host: HostName
    raw: bytes


Message = (
    HostReport
    | Coverage
    | UsageNote
    | RolloutNote
    | TopicFeed
    | HostEnded
    | SuspectNote
    | PathNote
    | LimitNote
    | DepartureNote
    | OriginNote
    | VersionNote
    | ConfigCopy
)


def convert_times(items, now_ms):
    """Convert times to ages for a message, or the ages of a message to times.

    :param items: objects with ``at_ms``.
    :returns: a tuple of their copies.
    """
    return tuple(
        dataclasses.replace(item, at_ms=now_ms - item.at_ms) for item in items
    )


@dataclasses.dataclass(frozen=True)
class Bundle:
    """Messages sent together over a link.

    :param sender: the host at the link's other end.
    :param from_hub: whether the sender acts as a hub.
    :param messages: pairs of a :class:`Message` and its encoded form.
    """

    sender: HostName
    from_hub: bool
    messages: list[tuple[Message, bytes]]
