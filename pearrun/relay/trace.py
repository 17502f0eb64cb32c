"""Trace of one call, for its log line and the metrics."""

import dataclasses
import enum

from loguru import logger

from pearrun.ids import EndpointId
from pearrun.ids import Version

# Bounds the length of log lines.
MAX_LOGGED_PARTS = 8


class Ending(enum.Enum):
    """How a call ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    BROKEN_OFF = 'broken_off'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass
class Attempt:
    """One attempt to send a call to an endpoint.

    :param after_ms: milliseconds from the call's arrival to this attempt.
    :param outcome: why the attempt failed; empty if it succeeded.
    :param proxy: the host through which it was sent; empty if directly.
    :param version: version of the endpoint's software.
    :param notice: the notice in the answer that the endpoint leaves, or how
        long a rest it wants; empty if there is none.
    """

    endpoint_id: EndpointId
    after_ms: int
    outcome: str = ''
    proxy: str = ''
    version: Version = Version('')
    notice: str = ''


class CallTrace:
    """Collects the attempts and the result of one call.

    :param call: the :class:`Call`.
    :param started_ms: monotonic time at which the call arrived.

    ``runs`` counts the attempts in which an endpoint ran the call or may
    have run it; ``interruptions`` those whose response broke off;
    ``outcome_pending`` is true while an attempt whose request
    was written has no outcome yet; ``endpoint_limit`` is the rate limit, in
    calls per second, that the last answering endpoint advertised;
    ``stream_version`` is the version that began the stream;
    ``quarantine`` is the fingerprint of the verdict that refused the call;
    ``retry`` is the last :class:`RetryDecision`.
    """

    def __init__(self, call, started_ms):
        self.call = call
        self.started_ms = started_ms
        self.attempts = []
        self.runs = 0
        self.interruptions = 0
        self.outcome_pending = False
        self.error_response = None
        self.first_byte_ms = None
        self.expected_ms = 0.0
        self.reason = ''
        self.fingerprint = None
        self.part_ids = None
        self.quarantine = None
        self.retry = None
        self.endpoint_limit = None
        self.stream_version = None
        self.ending = None
        self.status = 0

    @property
    def may_have_run(self):
        """Whether an endpoint has run the call or may have run it."""
        return self.runs > 0 or self.outcome_pending

    def record_attempt(self, selected, now_ms):
        """Record an attempt to send the call to an endpoint."""
        after_ms = now_ms - self.started_ms
        endpoint = selected.endpoint
        self.attempts.append(
            Attempt(endpoint.id, after_ms, version=endpoint.record.version)
        )

    def identify(self):
        """Log what the call has in common with others."""
        self.fingerprint = self.call.fingerprint
        self.part_ids = self.call.prompt.shared_part_ids[:MAX_LOGGED_PARTS]

    def record_proxy(self, proxy):
        """Record that the attempt is sent through another host."""
        self.attempts[-1].proxy = proxy

    def record_notice(self, notice):
        """Record the notices in the answer about its endpoint.

        :param notice: the :class:`EndpointNotice`.
        """
        self.attempts[-1].notice = notice.describe()

    def record_written(self):
        """Record that the request was written: it may run from now on."""
        self.outcome_pending = True

    def record_not_run(self, reason):
        """Record that the endpoint has not run the call, and why."""
        self.outcome_pending = False
        self._set_outcome(reason)

    def record_run(self, reason, interrupted=False):
        """Record that the call ran or may have run, and why it failed.

        :param interrupted: whether part of the response was forwarded.
        """
        self.runs += 1
        self.interruptions += interrupted
        self.outcome_pending = False
        self._set_outcome(reason)

    def _set_outcome(self, reason):
        self.reason = reason
        self.attempts[-1].outcome = reason

    def record_first_byte(self, now_ms):
        """Record when the first byte is forwarded; later calls do nothing."""
        if self.first_byte_ms is None:
            self.first_byte_ms = now_ms - self.started_ms

    def end(self, ending, status):
        """Record how the call ended."""
        self.ending = ending
        self.status = status

    def log(self, host, now_ms):
        """Log the call: its attempts, limits and result."""
        call = self.call
        ending = self.ending.value if self.ending else 'error'
        logger.bind(
            request_id=call.id,
            route=call.route.name,
            customer=call.customer_name,
            ending=ending,
            status=self.status,
            reason=self.reason,
            tries=[dataclasses.astuple(item) for item in self.attempts],
            target_ms=call.route.latency_target_ms,
            expected_ms=round(self.expected_ms),
            first_ms=self.first_byte_ms,
            total_ms=now_ms - self.started_ms,
            left_ms=call.timeout_at_ms - now_ms,
            stream_version=self.stream_version,
            resumes=call.resumes,
            last_event_id=call.last_event_id,
            tokens=call.prompt.tokens,
            units=round(call.units),
            quota_left=host.quotas.get_level(call),
            config=host.config.version,
            list_age_ms=host.list_age_ms(now_ms),
            answer_age_ms=host.selection.answer_age_ms(),
            fingerprint=self.fingerprint,
            parts=self.part_ids,
            quarantine=self.quarantine,
            endpoint_limit=self.endpoint_limit,
            retry=describe_retry(self.retry),
        ).info('call')


def describe_retry(decision):
    """Return the fields of a :class:`RetryDecision` for a log line."""
    if decision is None:
        return None
    return {
        'granted': decision.granted,
        'left': round(decision.left, 1),
        'share': round(decision.share, 1),
        'hosts': decision.hosts,
    }
