"""One life of a host's process, for counts that grow within it."""

import dataclasses

from pearrun.ids import HostName
from pearrun.ids import ZoneName


@dataclasses.dataclass(frozen=True)
class Run:
    """Who counts: a host since its start, or a hub for its zone.

    :param whole_zone: whether a hub counts all hosts of its zone.
    """

    host: HostName
    started_ms: int
    zone: ZoneName
    whole_zone: bool = False
