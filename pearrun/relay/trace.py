"""What happened to one call, for its log line and the metrics."""

import dataclasses
import enum

from loguru import logger


class Ending(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    BROKEN_OFF = 'broken_off'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass
class Send:
    """One send of a call to an endpoint."""

    endpoint_id: str
    at_ms: int
    expected_ms: float


class CallTrace:
    """Collects the decisions on one call.

    :param call: the :class:`Call`.
    :param begun_ms: monotonic time.
    """

    def __init__(self, call, begun_ms):
        self.call = call
        self.begun_ms = begun_ms
        self.sends = []
        self.runs = 0
        self.may_have_run = False
        self.failed_answer = None
        self.first_event_ms = None
        self.expected_ms = 0.0
        self.reason = ''
        self.ending = None
        self.status = 0

    def note_send(self, selected, now_ms):
        """Note that the call is sent to an endpoint."""
        self.sends.append(
            Send(selected.endpoint.id, now_ms, selected.expected_ms)
        )

    def note_first(self, now_ms):
        """Note the first byte of an answer."""
        if self.first_event_ms is None:
            self.first_event_ms = now_ms - self.begun_ms

    def end(self, ending, status):
        """Note how the call ended."""
        self.ending = ending
        self.status = status

    def log(self, host, now_ms):
        """Write the call's line: inputs, their age, and the outcome."""
        call = self.call
        ending = self.ending.value if self.ending else 'error'
        logger.bind(
            request_id=call.id,
            route=call.route.name,
            customer=call.customer.name if call.customer else '',
            ending=ending,
            status=self.status,
            reason=self.reason,
            endpoints=','.join(send.endpoint_id for send in self.sends),
            expected_ms=round(self.expected_ms),
            first_ms=self.first_event_ms,
            total_ms=now_ms - self.begun_ms,
            left_ms=call.timeout_at_ms - now_ms,
            tokens=call.prompt.tokens,
            units=round(call.units),
            quota_left=host.quotas.level(call),
            config=host.config.version,
            list_age_ms=host.list_age_ms(now_ms),
        ).info('call')
