"""Takes one call to an endpoint and the answer back to its caller."""

import asyncio
import random

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions import admission
from pearrun.decisions.budget import RetryBudget
from pearrun.relay.exchange import Exchange
from pearrun.relay.outcomes import Answered
from pearrun.relay.outcomes import Cut
from pearrun.relay.outcomes import FailedAnswer
from pearrun.relay.outcomes import NotRun
from pearrun.relay.outcomes import Unknown
from pearrun.relay.trace import CallTrace
from pearrun.relay.trace import Ending
from pearrun.shared.configuration import CallKind

# Most endpoints that one call is offered to when each says that it has
# not run it; more would spend the shared budget on one call.
MOST_OFFERS = 4
# Reason in the log line of a call that is kept from endpoints.
QUARANTINED = 'quarantined'
# How soon callers may come back when no endpoint is known: endpoints are
# listed again within about 2 s, so a part of that.
NO_ENDPOINT_RETURN_MS = 500
# Times the wait for the next call to pass that a customer over its quota
# is told to stay away: some calls wait for the same units.
QUOTA_SPREAD = 3.0


class Relay:
    """Relays calls.

    :param host: shared objects of this host; see :class:`HostContext`.
    """

    def __init__(self, host):
        self.host = host
        self.clock = host.clock
        self.admission = admission.AdmissionSettings()
        self.budgets = {}

    async def relay(self, call, caller):
        """Serve a call to its end.

        :param call: the :class:`Call`.
        :param caller: the :class:`ServerConnection` to answer on.
        """
        trace = CallTrace(call, self.clock.now())
        try:
            await self._relay(call, caller, trace)
        except asyncio.CancelledError:
            trace.end(Ending.CALLER_LEFT, 0)
            raise
        finally:
            self.host.counters.count_call(trace, self.clock.now())
            trace.log(self.host, self.clock.now())

    async def _relay(self, call, caller, trace):
        left_ms = self.host.quarantine.left_ms(call)
        if left_ms:
            await self._refuse_quarantined(call, caller, trace, left_ms)
            return
        if not self.host.quotas.admit(call):
            trace.reason = 'quota'
            await self._refuse(
                call, caller, trace, 429, self._quota_return(call)
            )
            return
        service = self._choose_service(call)
        if service is None:
            trace.reason = 'no service'
            await self._refuse(call, caller, trace, 503, NO_ENDPOINT_RETURN_MS)
            return
        self._budget(service.name).count_call(self.clock.now())
        left_ms = call.timeout_at_ms - self.clock.now()
        try:
            async with asyncio.timeout(to_seconds(max(0, left_ms))):
                await self._serve(call, service, caller, trace)
        except TimeoutError:
            await self._time_out(call, caller, trace)

    async def _serve(self, call, service, caller, trace):
        """Send the call until it is answered or given up."""
        tried = set()
        unreached = set()
        resume = Resume(call.last_event_id)
        while True:
            selected = self._choose(call, service, trace, tried, unreached)
            if selected is None:
                await self._give_up(call, caller, trace, 'no endpoint')
                return
            trace.expected_ms = selected.expected_ms
            if not trace.tries:
                self.host.demands.note_call(
                    service.name,
                    selected.fresh_tokens,
                    call.route.latency_target_ms,
                )
            if not trace.tries and not self._admits(call, selected):
                trace.reason = 'overload'
                return_ms = self._return_after(call, selected.expected_ms)
                await self._refuse(call, caller, trace, 503, return_ms)
                return
            trace.note_send(selected, self.clock.now())
            exchange = Exchange(self.host, call, service, caller, trace)
            outcome = await exchange.run(selected, resume)
            arrived = not isinstance(outcome, NotRun) or outcome.arrived
            (tried if arrived else unreached).add(selected.endpoint.id)
            if not await self._go_on(call, service, caller, trace, outcome):
                return
            if self.host.quarantine.left_ms(call):
                await self._give_up(call, caller, trace, QUARANTINED)
                return

    def _choose(self, call, service, trace, tried, unreached):
        """Choose the next endpoint for a call.

        A call that has run elsewhere, and can no longer be refused, goes
        back to endpoints that took no connection: one that was slow to
        accept may still save it.  One that has not run is refused at once.
        """
        selection = self.host.selection
        selected = selection.choose(call, service, tried | unreached)
        if selected is None and unreached and trace.may_have_run:
            return selection.choose(call, service, tried)
        return selected

    async def _go_on(self, call, service, caller, trace, outcome):
        """Act on how a send ended.

        :returns: whether the call is to be sent again.
        """
        match outcome:
            case Answered(status):
                self.host.quarantine.note_answered(call)
                trace.end(Ending.ANSWERED, status)
                return False
            case NotRun(reason, arrived):
                trace.note_not_run(reason)
                offered = len(trace.tries) >= MOST_OFFERS
                if not offered and (not arrived or self._may_repeat(service)):
                    return True
            case Unknown(reason) | Cut(reason):
                trace.note_run(reason)
                if self._may_run_again(call, service, trace):
                    return True
            case FailedAnswer(head):
                self.host.quarantine.note_answered(call)
                trace.note_run(f'endpoint answered {head.status}')
                if self._may_run_again(call, service, trace):
                    trace.failed_answer = outcome
                    return True
                await self._pass_failure(caller, trace, outcome)
                return False
        await self._give_up(call, caller, trace, trace.reason)
        return False

    def _may_run_again(self, call, service, trace):
        return (
            call.route.repeatable
            and trace.runs < call.route.max_attempts
            and len(trace.tries) < MOST_OFFERS
            and self._may_repeat(service)
        )

    def _may_repeat(self, service):
        hosts = self.host.count_hosts()
        return self._budget(service.name).take(self.clock.now(), hosts)

    def _budget(self, service_name):
        if service_name not in self.budgets:
            settings = self.host.settings.retry
            self.budgets[service_name] = RetryBudget(settings)
        return self.budgets[service_name]

    def _choose_service(self, call):
        targets = call.route.targets
        services = self.host.config.current.services
        weights = [target.weight for target in targets]
        if len(targets) == 1:
            return services.get(targets[0].name)
        chosen = random.choices(targets, weights)[0]
        return services.get(chosen.name)

    def _admits(self, call, selected):
        if call.route.kind is not CallKind.STREAM:
            return True
        left_ms = call.timeout_at_ms - self.clock.now()
        return admission.should_admit(
            selected.expected_ms,
            selected.queued_ms,
            left_ms,
            call.route.latency_target_ms,
            self.admission,
        )

    def _quota_return(self, call):
        """Return when a caller over its quota had best come back.

        Its own calls refused meanwhile come back too, so the time until
        the first of them passes is drawn out.
        """
        wait_ms = QUOTA_SPREAD * self.host.quotas.wait_ms(call)
        return self._return_after(call, wait_ms)

    def _return_after(self, call, wait_ms):
        """Return when a caller who would wait for so long had best return."""
        left_ms = call.timeout_at_ms - self.clock.now()
        return admission.compute_retry_after_ms(
            wait_ms, left_ms, call.route.latency_target_ms, self.admission
        )

    # endings

    async def _give_up(self, call, caller, trace, reason):
        trace.reason = reason
        if caller.head_sent:
            # A stream that was begun must not look complete.
            trace.end(Ending.BROKEN_OFF, 0)
            caller.abort()
        elif trace.failed_answer is not None:
            await self._pass_failure(caller, trace, trace.failed_answer)
        elif trace.may_have_run:
            trace.end(Ending.FAILED, 502)
            await self._reply_error(
                caller, exceptions.OutcomeUnknownError(reason), 502
            )
        else:
            await self._refuse(call, caller, trace, 503, NO_ENDPOINT_RETURN_MS)

    async def _time_out(self, call, caller, trace):
        trace.reason = trace.reason or 'timeout'
        if caller.head_sent:
            trace.end(Ending.BROKEN_OFF, 0)
            caller.abort()
            return
        if not trace.may_have_run:
            await self._refuse(call, caller, trace, 503, NO_ENDPOINT_RETURN_MS)
            return
        trace.end(Ending.TIMED_OUT, 504)
        error = exceptions.OutcomeUnknownError('no answer in time')
        await self._reply_error(caller, error, 504)

    async def _refuse(self, call, caller, trace, status, return_ms):
        trace.end(Ending.REFUSED, status)
        left_ms = max(0, call.timeout_at_ms - self.clock.now())
        return_ms = min(return_ms, left_ms / 3)
        error = exceptions.CapacityError(trace.reason or 'refused')
        error.retry_after_s = round(return_ms / 1000.0, 3)
        await self._reply_error(caller, error, status)

    async def _refuse_quarantined(self, call, caller, trace, left_ms):
        """Refuse a call that would crash the endpoint that runs it.

        Its caller is told the whole time: to come back sooner is useless.
        """
        self.host.quarantine.refused += 1
        trace.reason = QUARANTINED
        trace.fingerprint = call.fingerprint
        trace.end(Ending.REFUSED, 503)
        error = exceptions.QuarantinedError(
            'endpoints crashed under this request', to_seconds(left_ms)
        )
        await self._reply_error(caller, error, 503)

    async def _reply_error(self, caller, error, status):
        body, headers = self.host.codec.encode_error(error)
        await caller.reply(status, headers, body)

    async def _pass_failure(self, caller, trace, failed):
        trace.end(Ending.ANSWERED, failed.head.status)
        headers = self.host.codec.forward_headers(failed.head)
        await caller.reply(failed.head.status, headers, failed.body)


class Resume:
    """Where a stream goes on at its next endpoint.

    :param last_event_id: the last event the caller has, or ``None``.
    """

    def __init__(self, last_event_id):
        self.last_event_id = last_event_id
