"""What happened to one call, for its log line and the metrics."""

import dataclasses
import enum

from loguru import logger

from pearrun.ids import EndpointId


class Ending(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    BROKEN_OFF = 'broken_off'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass
class Try:
    """One send of a call to an endpoint.

    :param after_ms: milliseconds since the call came.
    :param outcome: why it brought no answer; empty where it did.
    """

    endpoint_id: EndpointId
    after_ms: int
    outcome: str = ''


class CallTrace:
    """Collects the decisions on one call.

    :param call: the :class:`Call`.
    :param begun_ms: monotonic time.
    """

    def __init__(self, call, begun_ms):
        self.call = call
        self.begun_ms = begun_ms
        self.tries = []
        self.runs = 0
        self.unanswered = False
        self.failed_answer = None
        self.first_event_ms = None
        self.expected_ms = 0.0
        self.reason = ''
        self.fingerprint = None
        self.ending = None
        self.status = 0

    @property
    def may_have_run(self):
        """Whether an endpoint has run the call, or may have."""
        return self.runs > 0 or self.unanswered

    def note_send(self, selected, now_ms):
        """Note that the call is sent to an endpoint."""
        after_ms = now_ms - self.begun_ms
        self.tries.append(Try(selected.endpoint.id, after_ms))

    def note_written(self):
        """Note that an endpoint may have the call from now on."""
        self.unanswered = True

    def note_not_run(self, reason):
        """Note that the endpoint has not run the call, and why."""
        self.unanswered = False
        self._note_outcome(reason)

    def note_run(self, reason):
        """Note that the call ran, or may have, and why it has no answer."""
        self.runs += 1
        self.unanswered = False
        self._note_outcome(reason)

    def _note_outcome(self, reason):
        self.reason = reason
        self.tries[-1].outcome = reason

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
            tries=[dataclasses.astuple(item) for item in self.tries],
            target_ms=call.route.latency_target_ms,
            expected_ms=round(self.expected_ms),
            first_ms=self.first_event_ms,
            total_ms=now_ms - self.begun_ms,
            left_ms=call.timeout_at_ms - now_ms,
            tokens=call.prompt.tokens,
            units=round(call.units),
            quota_left=host.quotas.get_level(call),
            config=host.config.version,
            list_age_ms=host.list_age_ms(now_ms),
            fingerprint=self.fingerprint,
        ).info('call')
