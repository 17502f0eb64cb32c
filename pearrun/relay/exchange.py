"""One attempt to send a call to one endpoint."""

import asyncio

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions.evidence import is_call_stable
from pearrun.relay.answernotices import AnswerNotices
from pearrun.relay.endpointfailures import EndpointFailures
from pearrun.relay.events import EventSplitter
from pearrun.relay.outcomes import Answered
from pearrun.relay.outcomes import ErrorResponse
from pearrun.relay.outcomes import Interrupted
from pearrun.relay.outcomes import NotRun
from pearrun.relay.outcomes import OutcomeUnknown
from pearrun.relay.responsekinds import ResponseKind
from pearrun.rollouts.answers import AnswerTimes
from pearrun.rollouts.answers import MIN_PACE_EVENTS
from pearrun.shared.configuration import CallKind
from pearrun.shared.crashdetector import BrokenCall
from pearrun.shared.pools import TCP_USER_TIMEOUT_MS
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.tunneltransport import TunnelledConnection

# Response bodies of services that do not stream are buffered up to this
# size before they are forwarded, so that an incomplete one can still be
# replaced by an error.
MAX_BUFFERED_BYTES = 256 * 1024
# Maximum number of bytes read of a refusal's body, which is usually a few
# bytes long.
MAX_REFUSAL_BYTES = 16 * 1024
# Responses to other requests that are skipped before the connection is
# closed.
MAX_STRAY_RESPONSES = 3
# How long a call that must not be repeated waits for a silent endpoint, which
# may have paused for a second or two.
ONE_RUN_USER_TIMEOUT_MS = 3000
# A stream whose events have been arriving for this long shows that no part of
# its prompt crashes endpoints.
BEGUN_MS = 250


class Exchange:
    """Sends a call to an endpoint and forwards its response.

    :param host: the :class:`HostContext`.
    :param call: the :class:`Call`.
    :param service: the endpoint's :class:`Service`.
    :param caller: the :class:`ServerConnection` to respond on.
    :param trace: the call's :class:`CallTrace`.
    """

    def __init__(self, host, call, service, caller, trace):
        self.host = host
        self.call = call
        self.service = service
        self.caller = caller
        self.trace = trace
        self.failures = EndpointFailures(host)
        self.notices = AnswerNotices(host, trace)
        self.connection = None
        self.selected = None
        self.prompt_pending = False
        self.sent_ms = 0
        self.forwarding_since_ms = None
        self.is_resumed = False
        self.path_failed = False
        self.chunks = 0
        self.begun_noted = False

    async def run(self, selected, resume):
        """Send the call.

        :param selected: the :class:`Selected` endpoint.
        :param resume: the :class:`ResumePoint`; advanced as events are
            forwarded.
        :returns: one of the types in :mod:`pearrun.relay.outcomes`.
        """
        self.selected = selected
        endpoint = selected.endpoint
        pool = self.host.pools.get(endpoint.record, self.service)
        try:
            connection = await pool.acquire(self.call.id)
        except exceptions.OverloadedError as exc:
            self.host.close_stalled()
            return NotRun(exc.message, delivered=False)
        except exceptions.EndpointUnreachableError as exc:
            self.failures.note_unreachable(endpoint, exc)
            return NotRun(exc.message, delivered=False)
        if not self.host.fleet.accepts_calls(endpoint.id):
            pool.discard(connection)
            return NotRun('endpoint has left', delivered=False)
        if not self.host.gate.may_send(endpoint.id):
            pool.put_back(connection)
            return NotRun('endpoint rests', delivered=False)
        self.connection = connection
        if isinstance(connection, TunnelledConnection):
            self.trace.record_proxy(connection.proxy)
        head = None
        self.host.selection.begin(selected, self.call)
        self.prompt_pending = True
        self.is_resumed = resume.last_event_id is not None
        try:
            outcome, head = await self._exchange(resume)
            self._count_answer(outcome)
        except asyncio.CancelledError:
            self._count_abandoned()
            raise
        finally:
            self._mark_prompt_read()
            self.host.rollouts.note_first_byte(self.call, endpoint.record)
            self.host.selection.end(selected)
            if head is None:
                pool.discard(connection)
            else:
                pool.release(connection, head)
        return outcome

    def _count_answer(self, outcome):
        """Count the answer as evidence on the endpoint's version."""
        if isinstance(outcome, NotRun) or self.path_failed:
            return
        if self.failures.is_retiring(self.selected.endpoint):
            return
        failed = not isinstance(outcome, Answered)
        self._note_answer(failed, self.host.clock.since(self.sent_ms))

    def _count_abandoned(self):
        """Count a call without an answer as bad if it has waited for long."""
        if not self.sent_ms or self.forwarding_since_ms is not None:
            return
        waited_ms = self.host.clock.since(self.sent_ms)
        if waited_ms >= self.call.route.latency_target_ms:
            self._note_answer(True, waited_ms)

    def _note_answer(self, failed, total_ms):
        waited_ms = None
        pace_ms = None
        if self.forwarding_since_ms is not None and not self.is_resumed:
            waited_ms = self.forwarding_since_ms - self.sent_ms
            if self.chunks >= MIN_PACE_EVENTS:
                pace_ms = (total_ms - waited_ms) / (self.chunks - 1)
        times = AnswerTimes(
            waited_ms, self.selected.expected_ms, total_ms, pace_ms
        )
        self.host.rollouts.note_answer(
            self.selected.endpoint.record, self.call.route.name, failed, times
        )

    async def _exchange(self, resume):
        """Send the request and receive the response.

        :returns: ``(outcome, head)``; the head is ``None`` if the
            connection must not be reused.
        """
        record = self.selected.endpoint.record
        request = self.call.request
        headers = self.host.codec.encode_headers(
            self.call, record, self.host.clock.now(), resume.last_event_id
        )
        self._set_user_timeout()
        try:
            self.connection.send(
                request.method, request.target, headers, request.body
            )
        except exceptions.EndpointUnreachableError as exc:
            return NotRun(exc.message, delivered=False), None
        self.sent_ms = self.host.clock.now()
        self.trace.record_written()
        self.host.rollouts.note_sent(self.call, self.selected)
        watch = self._watch_silence()
        try:
            head, kind = await self._read_matching_head()
        except exceptions.BackendError as exc:
            self._record_broken(exc)
            return OutcomeUnknown(exc.message), None
        finally:
            if watch is not None:
                watch.cancel()
        self.host.selection.note_answer(self.selected.endpoint)
        match kind:
            case ResponseKind.NOT_RUN | ResponseKind.WRONG_ENDPOINT:
                return await self._read_refusal(head, kind)
            case ResponseKind.UNSEALED:
                self.failures.note_failure(self.selected.endpoint)
                return OutcomeUnknown(f'unsealed response {head.status}'), None
        self.host.usage.count(self.call)
        if self.call.route.kind is CallKind.STREAM and head.status < 300:
            return await self._forward_stream(head, resume)
        return await self._forward_response(head)

    def _set_user_timeout(self):
        """Set for how long a silent endpoint is waited for.

        A call that must not be repeated has nothing to gain from an early
        end: the endpoint may go on and answer it.
        """
        if isinstance(self.connection, TunnelledConnection):
            return
        if not self.connection.closed:
            self.connection.set_user_timeout(
                TCP_USER_TIMEOUT_MS
                if self.call.route.retryable
                else ONE_RUN_USER_TIMEOUT_MS
            )

    def _watch_silence(self):
        """Check the endpoint if a call that waits long gets no answer.

        :returns: a timer handle; ``None`` if the connection itself fails
            soon enough.
        """
        is_direct = not isinstance(self.connection, TunnelledConnection)
        if self.call.route.retryable or not is_direct:
            return None
        return asyncio.get_running_loop().call_later(
            to_seconds(TCP_USER_TIMEOUT_MS), self._check_silence
        )

    def _check_silence(self):
        endpoint = self.selected.endpoint
        answered_ms = endpoint.answered_ms
        if answered_ms is None or answered_ms < self.sent_ms:
            self.host.reachability.check_silence(
                endpoint.record,
                lambda: self.failures.note_silence(endpoint),
            )

    async def _read_matching_head(self):
        """Read response heads until one belongs to this call.

        :returns: ``(head, kind)``.
        :raises BackendError: the connection broke, or only responses to other
            calls were received.
        """
        for _ in range(MAX_STRAY_RESPONSES):
            head = await self.connection.read_head()
            kind = self.host.codec.classify_response(head, self.call)
            self.notices.note_answer(
                head, kind, self.selected.endpoint, self.sent_ms
            )
            if kind is not ResponseKind.STRAY:
                return head, kind
            await self.connection.read_body(MAX_BUFFERED_BYTES)
            self.connection.skip_response()
        raise exceptions.MismatchedAnswerError(
            'only responses to other requests received'
        )

    async def _read_refusal(self, head, kind):
        status = head.status
        if kind is ResponseKind.WRONG_ENDPOINT:
            self.host.crashes.note_down(self.selected.endpoint.id)
            self.host.drop_endpoint(self.selected.endpoint, 'wrong endpoint')
        try:
            _, complete = await self.connection.read_body(MAX_REFUSAL_BYTES)
        except exceptions.ConnectionBrokenError:
            complete = False
        reason = f'endpoint refused with {status}'
        return NotRun(reason), head if complete else None

    async def _forward_response(self, head):
        """Forward a response that is not a stream."""
        try:
            body, complete = await self.connection.read_body(
                MAX_BUFFERED_BYTES
            )
        except exceptions.ConnectionBrokenError as exc:
            self._record_broken(exc)
            return OutcomeUnknown(exc.message), None
        if head.status >= 500 and complete:
            return ErrorResponse(head, body), head
        self._record_success()
        self._record_first_byte()
        headers = self.host.codec.forward_headers(head)
        if complete:
            await self.caller.reply(head.status, headers, body)
            return Answered(head.status), head
        return await self._forward_large_body(head, headers, body)

    async def _forward_large_body(self, head, headers, body):
        """Forward a response that is too large to buffer, as it arrives.

        :param body: the part of the body that was read already.
        """
        self.caller.start(head.status, headers)
        await self.caller.write(body)
        try:
            while (chunk := await self.connection.read_chunk()) is not None:
                await self.caller.write(chunk)
        except exceptions.ConnectionBrokenError as exc:
            self._record_broken(exc)
            return Interrupted(exc.message), None
        self.caller.finish()
        return Answered(head.status), head

    async def _forward_stream(self, head, resume):
        """Forward complete events as they arrive."""
        splitter = EventSplitter(resume.last_event_id)
        forwarded = False
        try:
            while (chunk := await self.connection.read_chunk()) is not None:
                events = splitter.feed(chunk)
                if not events:
                    continue
                if self.prompt_pending:
                    self._record_prompt_time(resume)
                self._mark_prompt_read()
                self._record_first_byte()
                self.chunks += 1
                if resume.version is None:
                    await self._publish_origin(resume)
                self._start_stream(head)
                resume.last_event_id = splitter.last_event_id
                forwarded = True
                await self.caller.write(events)
                self._note_begun()
            if splitter.incomplete:
                raise exceptions.ConnectionBrokenError(
                    'stream ended inside an event'
                )
            if not forwarded and not head.is_framed:
                # An endpoint whose process ends closes its connections too.
                raise exceptions.ConnectionBrokenError(
                    'connection closed before the first event'
                )
        except exceptions.ConnectionBrokenError as exc:
            self._record_broken(exc)
            if forwarded or self.caller.head_sent:
                return Interrupted(exc.message), None
            return OutcomeUnknown(exc.message), None
        self._record_success()
        self._start_stream(head)
        self.caller.finish()
        return Answered(head.status), head

    async def _publish_origin(self, resume):
        """Record where the stream began, before its first event is sent."""
        record = self.selected.endpoint.record
        resume.version = self.trace.stream_version = record.version
        call = self.call
        if not call.route.retryable:
            return
        self.host.origins.publish(
            StreamOrigin(
                call.id,
                record.service,
                record.version,
                call.customer_name,
                call.deadline_ms,
            )
        )
        # Lets the links send the origin first.
        await asyncio.sleep(0)

    def _note_begun(self):
        """Record once that the endpoint survived the prompt's parts."""
        answering_ms = self.host.clock.since(self.forwarding_since_ms)
        if not self.begun_noted and answering_ms >= BEGUN_MS:
            self.begun_noted = True
            self.host.quarantine.note_begun(self.call)

    def _start_stream(self, head):
        """Send the response head unless an earlier attempt has sent it."""
        if not self.caller.head_sent:
            headers = self.host.codec.forward_headers(head)
            self.caller.start(head.status, headers)

    def _record_prompt_time(self, resume):
        """Record the time to the first event, except for resumed streams.

        On resume the endpoint also reads the tokens generated so far, and
        their number is not known here.
        """
        if resume.last_event_id is None:
            waited_ms = self.host.clock.since(self.sent_ms)
            self.host.selection.note_first_token(self.selected, waited_ms)

    def _mark_prompt_read(self):
        if self.prompt_pending:
            self.prompt_pending = False
            self.host.selection.end_prefill(self.selected)

    def _record_first_byte(self):
        """Record when forwarding of this endpoint's response begins."""
        now = self.host.clock.now()
        if self.forwarding_since_ms is None:
            self.forwarding_since_ms = now
            self.host.rollouts.note_first_byte(
                self.call, self.selected.endpoint.record
            )
        self.trace.record_first_byte(now)

    def _record_success(self):
        """Record that the endpoint responded, and after how long."""
        took_ms = self.host.clock.since(self.sent_ms)
        self.host.selection.note_success(self.selected.endpoint)
        self.host.demands.note_answer(self.service.name, took_ms)

    def _record_broken(self, exc):
        """Record that the connection broke before the response ended."""
        endpoint = self.selected.endpoint
        if self._is_proxy_lost():
            self.path_failed = True
            return
        if exceptions.is_peer_silent(exc):
            self.failures.note_silence(endpoint)
        else:
            self.failures.note_broken(
                endpoint,
                self._describe_broken_call(),
                forwarding=self.forwarding_since_ms is not None,
            )
        self.path_failed = self.failures.is_path_suspect(endpoint)

    def _is_proxy_lost(self):
        """Return whether the connection to another host broke."""
        connection = self.connection
        if not isinstance(connection, TunnelledConnection):
            return False
        if connection.proxy_lost:
            record = self.selected.endpoint.record
            self.host.tunnels.note_broken(record, connection.proxy)
        return connection.proxy_lost

    def _describe_broken_call(self):
        """Return the :class:`BrokenCall` for the crash detector."""
        self.trace.identify()
        now = self.host.clock.now()
        ran_ms = now - self.sent_ms
        answered_ms = (
            0
            if self.forwarding_since_ms is None
            else now - self.forwarding_since_ms
        )
        call_was_stable = is_call_stable(ran_ms, answered_ms)
        parts = () if self.begun_noted else self.call.part_fingerprints
        return BrokenCall(
            self.call.fingerprint,
            ran_ms,
            now,
            call_was_stable,
            self.call.id,
            parts,
        )
