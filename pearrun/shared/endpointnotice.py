"""The notices in an answer about the endpoint that sent it."""

import dataclasses
import enum

from pearrun.decisions.brittleness import Brittleness
from pearrun.exceptions import WireFormatError


class NoticeField(enum.Enum):
    """Kinds of notices in an answer about its endpoint."""

    REST = 'rest'
    LEAVING = 'leaving'
    RATE_LIMIT = 'rate limit'
    BRITTLENESS = 'brittleness'


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """The state of an endpoint as given in one of its answers.

    :param is_leaving: whether its process is about to end.
    :param rest_ms: for how long it wants no calls from the host that it
        refused; ``None`` if it gives no time.
    :param rate_limit: calls per second that it accepts from all hosts
        together; ``None`` for no limit.
    :param brittleness: the :class:`Brittleness`; ``None`` if it is not
        brittle.
    :param errors: the :class:`WireFormatError` of each invalid field, which
        is absent then.
    """

    is_leaving: bool = False
    rest_ms: int | None = None
    rate_limit: float | None = None
    brittleness: Brittleness | None = None
    errors: dict[NoticeField, WireFormatError] = dataclasses.field(
        default_factory=dict
    )

    def describe(self):
        """Return a short text for log lines; empty if there is nothing."""
        parts = []
        if self.is_leaving:
            parts.append('leaving')
        if self.rest_ms is not None:
            parts.append(f'rest {self.rest_ms} ms')
        return ', '.join(parts)


NO_NOTICE = EndpointNotice()
