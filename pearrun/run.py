"""One run of a host's process, the scope of counters that only grow."""

import dataclasses

from pearrun.ids import HostName
from pearrun.ids import ZoneName


@dataclasses.dataclass(frozen=True)
class Run:
    """Origin of reports: one run of a host, for itself or as a hub.

    :param started_ms: when the process started, in Unix milliseconds.
    :param whole_zone: whether it reports, as a hub, sums for its zone.
    """

    host: HostName
    started_ms: int
    zone: ZoneName
    whole_zone: bool = False
