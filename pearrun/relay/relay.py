"""Forwards calls to endpoints and responses back to callers."""

import asyncio
import random

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions import admission
from pearrun.decisions.streamversion import StreamRefusal
from pearrun.relay.exchange import Exchange
from pearrun.relay.outcomes import Answered
from pearrun.relay.outcomes import ErrorResponse
from pearrun.relay.outcomes import Interrupted
from pearrun.relay.outcomes import NotRun
from pearrun.relay.outcomes import OutcomeUnknown
from pearrun.relay.resumption import ResumePoint
from pearrun.relay.resumption import Resumption
from pearrun.relay.trace import CallTrace
from pearrun.relay.trace import Ending
from pearrun.shared.configuration import CallKind
from pearrun.shared.endpointgate import WaitReason

# Maximum number of attempts for one call, even if no endpoint has run it; more
# would spend the service's retry budget on one call.
MAX_ATTEMPTS = 4
# Reason in the log line of a call that is refused as quarantined.
QUARANTINED = 'quarantined'
# Retry-After if no endpoint is available.  Endpoints that are missing from the
# list are listed again within about 2 s; this is a fraction of that.
NO_ENDPOINT_RETRY_AFTER_MS = 500
# Retry-After if no endpoint of the version that began a stream is listed: an
# entry that has expired is back within this time.
NO_VERSION_RETRY_AFTER_MS = 2000
# Retry-After if all endpoints rest exceeds the rest by up to this fraction, so
# that callers return one after the other.
REST_RETRY_SPREAD = 0.25
# Factor by which Retry-After exceeds the time until a customer over its
# quota may send the next call: several calls wait for the same units.
QUOTA_RETRY_AFTER_FACTOR = 3.0


class Relay:
    """Forwards calls, with retries within each service's budget.

    :param host: the :class:`HostContext`.
    """

    def __init__(self, host):
        self.host = host
        self.clock = host.clock
        self.admission = admission.AdmissionSettings()
        self.resumption = Resumption(host)
        self._timeouts = set()

    async def relay(self, call, caller):
        """Serve a call until it has ended.

        :param call: the :class:`Call`.
        :param caller: the :class:`ServerConnection` to respond on.
        """
        trace = CallTrace(call, self.clock.now())
        try:
            refusal = self.host.quarantine.admit(call)
            if refusal is None:
                await self._relay(call, caller, trace)
            else:
                await self._refuse_quarantined(call, caller, trace, refusal)
        except asyncio.CancelledError:
            trace.end(Ending.CALLER_LEFT, 0)
            raise
        finally:
            self.host.quarantine.end(call)
            self._record(trace)

    def find_refusal(self, call):
        """Decide on a call before its body was received.

        :returns: the error to refuse it with, which it then was; ``None`` if
            its body is needed.
        """
        if self.host.quotas.may_admit(call):
            return None
        trace = CallTrace(call, self.clock.now())
        trace.reason = 'quota'
        error = self._end_refused(
            call, trace, 429, self._compute_quota_retry_after_ms(call)
        )
        self._record(trace)
        return error

    def _record(self, trace):
        """Count and log a call that has ended."""
        self.host.counters.count_call(trace, self.clock.now())
        trace.log(self.host, self.clock.now())

    async def _relay(self, call, caller, trace):
        if not self.host.quotas.admit(call):
            trace.reason = 'quota'
            await self._refuse(
                call,
                caller,
                trace,
                429,
                self._compute_quota_retry_after_ms(call),
            )
            return
        left_ms = call.timeout_at_ms - self.clock.now()
        timeout = asyncio.timeout(to_seconds(max(0, left_ms)))
        try:
            async with timeout:
                self._timeouts.add(timeout)
                await self._begin(call, caller, trace)
        except TimeoutError:
            await self._time_out(call, caller, trace)
        finally:
            self._timeouts.discard(timeout)

    async def _begin(self, call, caller, trace):
        """Choose the service of a call, and the version of a stream."""
        began = None
        if call.is_resumption:
            began = await self.resumption.find(call)
            if began is None:
                await self._refuse_resumption(call, caller, trace)
                return
            trace.stream_version = began.version
            service = self._get_service(began.service)
        else:
            service = self._choose_service(call)
        if service is None:
            trace.reason = 'no service'
            await self._refuse(
                call, caller, trace, 503, NO_ENDPOINT_RETRY_AFTER_MS
            )
            return
        self.host.retry_budgets.count_call(service.name)
        resume = ResumePoint(call.last_event_id, began and began.version)
        await self._serve(call, service, caller, trace, resume)

    def expire_calls(self):
        """Let all calls in progress time out now."""
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)

    async def _serve(self, call, service, caller, trace, resume):
        """Send the call, with retries, until it succeeds or fails.

        :param resume: the :class:`ResumePoint`.
        """
        tried = set()
        unconnected = set()
        was_lost = self.host.reachability.is_lost(service.name)
        while True:
            is_lost = self.host.reachability.is_lost(service.name)
            if is_lost and not was_lost:
                # Another host may reach what accepted no connection from
                # this one.
                unconnected.clear()
            was_lost = is_lost
            selected = self._choose_endpoint(
                call, service, trace, tried, unconnected, resume.version
            )
            if selected is None:
                await self._fail_unplaced(call, service, caller, trace, resume)
                return
            trace.expected_ms = selected.expected_ms
            if not trace.attempts:
                self.host.demands.note_call(
                    service.name,
                    selected.uncached_tokens,
                    call.route.latency_target_ms,
                )
            if not trace.attempts and not self._should_admit(call, selected):
                trace.reason = 'overload'
                retry_after_ms = self._compute_retry_after_ms(
                    call, selected.expected_ms
                )
                await self._refuse(call, caller, trace, 503, retry_after_ms)
                return
            trace.record_attempt(selected, self.clock.now())
            exchange = Exchange(self.host, call, service, caller, trace)
            self.host.gate.begin_call(selected.endpoint)
            try:
                outcome = await exchange.run(selected, resume)
            finally:
                self.host.gate.end_call(selected.endpoint)
            delivered = not isinstance(outcome, NotRun) or outcome.delivered
            (tried if delivered else unconnected).add(selected.endpoint.id)
            if not await self._handle_outcome(
                call, service, caller, trace, outcome
            ):
                return
            if self.host.quarantine.find_verdict(call):
                await self._fail(call, caller, trace, QUARANTINED)
                return

    def _choose_endpoint(
        self, call, service, trace, tried, unconnected, version
    ):
        """Choose the next endpoint for a call.

        Endpoints that accepted no connection are tried again only if the
        call may have run: such a call can no longer be refused as not run,
        and an endpoint that was slow to accept may still serve it.  Any
        other call is refused at once.

        :param tried: ids of the endpoints that the call was sent to.
        :param unconnected: ids of the endpoints that accepted no connection.
        :param version: the version that began the stream, if it has begun.
        :returns: a :class:`Selected`; ``None`` if no endpoint is left.
        """
        choose = self.host.selection.choose
        selected = choose(call, service, tried | unconnected, version)
        if selected is None and unconnected and trace.may_have_run:
            return choose(call, service, tried, version)
        return selected

    async def _handle_outcome(self, call, service, caller, trace, outcome):
        """Act on the outcome of an attempt.

        :returns: whether to make another attempt.
        """
        match outcome:
            case Answered(status):
                if status < 400:
                    self.host.quarantine.note_answered(call)
                trace.end(Ending.ANSWERED, status)
                return False
            case NotRun(reason, delivered):
                trace.record_not_run(reason)
                exhausted = len(trace.attempts) >= MAX_ATTEMPTS
                if not exhausted and (
                    not delivered or self._take_retry(service, trace)
                ):
                    return True
            case OutcomeUnknown(reason) | Interrupted(reason):
                interrupted = isinstance(outcome, Interrupted)
                trace.record_run(reason, interrupted)
                if self._may_rerun(call, service, trace):
                    return True
            case ErrorResponse(head):
                trace.record_run(f'endpoint answered {head.status}')
                if self._may_rerun(call, service, trace):
                    trace.error_response = outcome
                    return True
                await self._forward_error(caller, trace, outcome)
                return False
        retry_after_ms = self._get_retry_after_ms(service)
        await self._fail(call, caller, trace, trace.reason, retry_after_ms)
        return False

    def _may_rerun(self, call, service, trace):
        """Return whether to resend a call that may have run.

        If so, the retry is taken from the service's budget.
        """
        return (
            call.route.retryable
            and trace.runs < call.route.max_attempts
            and len(trace.attempts) < MAX_ATTEMPTS
            and self._take_retry(service, trace)
        )

    def _take_retry(self, service, trace):
        """Take one retry from the service's budget.

        :returns: whether the budget had one left.
        """
        trace.retry = self.host.retry_budgets.take(service.name)
        return trace.retry.granted

    def _get_service(self, name):
        return self.host.config.current.services.get(name)

    def _choose_service(self, call):
        targets = call.route.targets
        weights = [target.weight for target in targets]
        if len(targets) == 1:
            return self._get_service(targets[0].name)
        chosen = random.choices(targets, weights)[0]
        return self._get_service(chosen.name)

    def _should_admit(self, call, selected):
        if call.route.kind is not CallKind.STREAM or call.is_resumption:
            return True
        left_ms = call.timeout_at_ms - self.clock.now()
        return admission.should_admit(
            selected.expected_ms,
            selected.queued_ms,
            left_ms,
            call.route.latency_target_ms,
            self.admission,
            selected.is_idle,
        )

    def _compute_quota_retry_after_ms(self, call):
        """Return after how many milliseconds to retry a call over its quota.

        The customer's other refused calls are retried too and compete for
        the same units, so this is longer than the wait for one call.
        """
        wait_ms = QUOTA_RETRY_AFTER_FACTOR * self.host.quotas.get_wait_ms(call)
        return self._compute_retry_after_ms(call, wait_ms)

    def _compute_retry_after_ms(self, call, wait_ms):
        """Return after how many milliseconds to retry a refused call.

        :param wait_ms: time until the call could be served.
        """
        left_ms = call.timeout_at_ms - self.clock.now()
        return admission.compute_retry_after_ms(
            wait_ms, left_ms, call.route.latency_target_ms, self.admission
        )

    # results

    async def _fail(
        self,
        call,
        caller,
        trace,
        reason,
        retry_after_ms=NO_ENDPOINT_RETRY_AFTER_MS,
    ):
        """End a call that has failed.

        :param retry_after_ms: the wait to name if it has not run.
        """
        trace.reason = reason
        if caller.head_sent:
            # A stream that has begun must not appear complete.
            trace.end(Ending.BROKEN_OFF, 0)
            caller.abort()
        elif trace.error_response is not None:
            await self._forward_error(caller, trace, trace.error_response)
        elif trace.may_have_run:
            trace.end(Ending.FAILED, 502)
            await self._reply_error(
                caller, exceptions.OutcomeUnknownError(reason), 502
            )
        else:
            await self._refuse(call, caller, trace, 503, retry_after_ms)

    async def _fail_unplaced(self, call, service, caller, trace, resume):
        """End a call for which no endpoint is left."""
        version = resume.version
        if version is not None and not self._is_served(service, version):
            await self._fail_without_version(call, caller, trace)
            return
        wait = self.host.gate.find_wait(service.name, version)
        if wait is None or trace.may_have_run:
            await self._fail(call, caller, trace, 'no endpoint')
            return
        if wait.reason is WaitReason.RESTS:
            await self._refuse_for_rests(call, service, caller, trace, wait)
            return
        if trace.attempts:
            await self._fail(call, caller, trace, 'no endpoint')
            return
        trace.reason = wait.reason.value
        retry_after_ms = self._compute_retry_after_ms(call, wait.wait_ms)
        await self._refuse(call, caller, trace, 503, retry_after_ms)

    async def _refuse_for_rests(self, call, service, caller, trace, wait):
        """Refuse a call since all endpoints of its service rest.

        :param wait: the :class:`EndpointWait`.
        """
        if not trace.attempts:
            self.host.demands.note_call(
                service.name, call.prompt.tokens, call.route.latency_target_ms
            )
        trace.reason = WaitReason.RESTS.value
        retry_after_ms = draw_rest_retry_ms(wait)
        await self._refuse(call, caller, trace, 503, retry_after_ms)

    def _get_retry_after_ms(self, service):
        """Return after how long to retry a call that no endpoint has taken."""
        wait = self.host.gate.find_wait(service.name)
        if wait is None or wait.reason is not WaitReason.RESTS:
            return NO_ENDPOINT_RETRY_AFTER_MS
        return draw_rest_retry_ms(wait)

    def _is_served(self, service, version):
        """Return whether a stream may go on at a version of a service."""
        listed = self.host.fleet.find_by_service(service.name)
        rollouts = self.host.rollouts
        return bool(rollouts.select_version(service.name, listed, version))

    async def _fail_without_version(self, call, caller, trace):
        """End a stream that no endpoint of its version is left for."""
        if trace.attempts:
            reason = StreamRefusal.VERSION_MISSING.value
            await self._fail(call, caller, trace, reason)
            return
        trace.reason = StreamRefusal.VERSION_MISSING.value
        await self._refuse(call, caller, trace, 503, NO_VERSION_RETRY_AFTER_MS)

    async def _refuse_resumption(self, call, caller, trace):
        """Refuse to resume a stream whose version this host does not know."""
        trace.reason = StreamRefusal.VERSION_UNKNOWN.value
        trace.end(Ending.REFUSED, 503)
        error = exceptions.UnknownStreamError(
            'the software version that began this stream is unknown',
            to_seconds(self._limit_wait_ms(call, NO_ENDPOINT_RETRY_AFTER_MS)),
        )
        await self._reply_error(caller, error, 503)

    def _limit_wait_ms(self, call, wait_ms):
        """Return a wait that leaves the caller time for the retry."""
        left_ms = max(0, call.timeout_at_ms - self.clock.now())
        return min(wait_ms, left_ms / 3)

    async def _time_out(self, call, caller, trace):
        trace.reason = trace.reason or 'timeout'
        if caller.head_sent:
            trace.end(Ending.BROKEN_OFF, 0)
            caller.abort()
            return
        if not trace.may_have_run:
            await self._refuse(
                call, caller, trace, 503, NO_ENDPOINT_RETRY_AFTER_MS
            )
            return
        trace.end(Ending.TIMED_OUT, 504)
        error = exceptions.OutcomeUnknownError('no answer in time')
        await self._reply_error(caller, error, 504)

    async def _refuse(self, call, caller, trace, status, retry_after_ms):
        error = self._end_refused(call, trace, status, retry_after_ms)
        await self._reply_error(caller, error, status)

    def _end_refused(self, call, trace, status, retry_after_ms):
        """Record that a call was refused.

        :returns: the :class:`CapacityError` that tells the caller.
        """
        trace.end(Ending.REFUSED, status)
        wait_ms = self._limit_wait_ms(call, retry_after_ms)
        error = exceptions.CapacityError(trace.reason or 'refused')
        error.http_status = status
        error.retry_after_s = round(wait_ms / 1000.0, 3)
        return error

    async def _refuse_quarantined(self, call, caller, trace, refusal):
        """Refuse a call that may crash the endpoint that runs it.

        :param refusal: the :class:`QuarantineRefusal`.
        """
        self.host.quarantine.refused += 1
        trace.reason = QUARANTINED
        trace.identify()
        trace.quarantine = refusal.verdict.fingerprint
        trace.end(Ending.REFUSED, 503)
        error = exceptions.QuarantinedError(
            'endpoints crashed while running this request or one with the '
            'same prompt parts',
            to_seconds(refusal.retry_after_ms),
        )
        await self._reply_error(caller, error, 503)

    async def _reply_error(self, caller, error, status):
        body, headers = self.host.codec.encode_error(error)
        await caller.reply(status, headers, body)

    async def _forward_error(self, caller, trace, response):
        trace.end(Ending.ANSWERED, response.head.status)
        headers = self.host.codec.forward_headers(response.head)
        await caller.reply(response.head.status, headers, response.body)


def draw_rest_retry_ms(wait):
    """Return after how long to retry a call while all endpoints rest.

    A caller that returns before the first rest ends is refused again, here and
    at other hosts, and may have no further retry.

    :param wait: the :class:`EndpointWait`.
    """
    return wait.wait_ms * (1.0 + random.uniform(0.0, REST_RETRY_SPREAD))
