"""One send of a call to one endpoint."""

from pearrun import exceptions
from pearrun.decisions.evidence import is_call_stable
from pearrun.relay.events import EventCutter
from pearrun.relay.outcomes import Answered
from pearrun.relay.outcomes import Cut
from pearrun.relay.outcomes import FailedAnswer
from pearrun.relay.outcomes import NotRun
from pearrun.relay.outcomes import Unknown
from pearrun.relay.verdicts import Verdict
from pearrun.shared.configuration import CallKind
from pearrun.shared.crashes import BrokenCall

# Answers of plain services are read whole up to this size before they
# are passed on, so that a broken one can still become an error.
WHOLE_ANSWER_BYTES = 256 * 1024
# Bodies of refusals are a few bytes.
REFUSAL_BYTES = 16 * 1024
# Stray responses read past before the connection is given up.
MOST_STRAYS = 3


class Exchange:
    """Sends a call to an endpoint and passes its answer on.

    :param host: shared objects of this host.
    :param service: the endpoint's :class:`Service`.
    :param caller: the :class:`ServerConnection` to answer on.
    """

    def __init__(self, host, call, service, caller, trace):
        self.host = host
        self.call = call
        self.service = service
        self.caller = caller
        self.trace = trace
        self.connection = None
        self.selected = None
        self.reading = False
        self.sent_ms = 0
        self.passed_ms = None

    async def run(self, selected, resume):
        """Send the call.

        :param selected: the :class:`Selected` endpoint.
        :param resume: the :class:`Resume` point; moved on as events
            are passed on.
        :returns: one of the types in :mod:`pearrun.relay.outcomes`.
        """
        self.selected = selected
        endpoint = selected.endpoint
        pool = self.host.pools.get(endpoint.record, self.service)
        try:
            connection = await pool.take()
        except exceptions.OverloadedError as exc:
            return NotRun(exc.message, arrived=False)
        except exceptions.EndpointUnreachableError as exc:
            silent = isinstance(exc, exceptions.EndpointSilentError)
            self._note_failure(refused=True, silent=silent)
            if isinstance(exc, exceptions.EndpointDownError):
                self.host.crashes.note_down(endpoint.id)
            return NotRun(exc.message, arrived=False)
        self.connection = connection
        head = None
        self.host.selection.begin(selected, self.call)
        self.reading = True
        try:
            outcome, head = await self._exchange(resume)
        finally:
            self._mark_read()
            self.host.selection.end(selected)
            if head is None:
                pool.discard(connection)
            else:
                pool.give_back(connection, head)
        return outcome

    async def _exchange(self, resume):
        """Send and receive.

        :returns: ``(outcome, head)``; the head is ``None`` where the
            connection must not be used again.
        """
        record = self.selected.endpoint.record
        request = self.call.request
        headers = self.host.codec.encode_headers(
            self.call, record, self.host.clock.now(), resume.last_event_id
        )
        try:
            self.connection.send(
                request.method, request.target, headers, request.body
            )
        except exceptions.EndpointUnreachableError as exc:
            return NotRun(exc.message, arrived=False), None
        self.sent_ms = self.host.clock.now()
        self.trace.note_written()
        try:
            head, verdict = await self._read_own_head()
        except exceptions.BackendError as exc:
            self._note_broken(exc)
            return Unknown(exc.message), None
        self.host.selection.note_answer(self.selected.endpoint)
        match verdict:
            case Verdict.NOT_RUN | Verdict.WRONG_ENDPOINT:
                return await self._take_refusal(head, verdict)
            case Verdict.UNSEALED:
                self._note_failure()
                return Unknown(f'unsealed answer {head.status}'), None
        self.host.usage.count(self.call)
        if self.call.route.kind is CallKind.STREAM and head.status < 300:
            return await self._pass_stream(head, resume)
        return await self._pass_answer(head)

    async def _read_own_head(self):
        """Read heads until one answers this call.

        :raises BackendError: none did.
        """
        for _ in range(MOST_STRAYS):
            head = await self.connection.read_head()
            verdict = self.host.codec.judge(head, self.call)
            if verdict is not Verdict.STRAY:
                return head, verdict
            await self.connection.read_body(WHOLE_ANSWER_BYTES)
            self.connection.expect_another()
        raise exceptions.MismatchedAnswerError('only answers to other calls')

    async def _take_refusal(self, head, verdict):
        status = head.status
        if verdict is Verdict.WRONG_ENDPOINT:
            self.host.crashes.note_down(self.selected.endpoint.id)
            self.host.drop_endpoint(self.selected.endpoint, 'wrong endpoint')
        try:
            _, complete = await self.connection.read_body(REFUSAL_BYTES)
        except exceptions.ConnectionBrokenError:
            complete = False
        reason = f'endpoint refused with {status}'
        return NotRun(reason), head if complete else None

    async def _pass_answer(self, head):
        """Pass on an answer that is not a stream."""
        try:
            body, complete = await self.connection.read_body(
                WHOLE_ANSWER_BYTES
            )
        except exceptions.ConnectionBrokenError as exc:
            self._note_broken(exc)
            return Unknown(exc.message), None
        if head.status >= 500 and complete:
            return FailedAnswer(head, body), head
        self._note_answered()
        self._note_first()
        headers = self.host.codec.forward_headers(head)
        if complete:
            await self.caller.reply(head.status, headers, body)
            return Answered(head.status), head
        return await self._pass_rest(head, headers, body)

    async def _pass_rest(self, head, headers, body):
        """Pass on a long answer as it comes."""
        self.caller.start(head.status, headers)
        await self.caller.write(body)
        try:
            while (chunk := await self.connection.read_chunk()) is not None:
                await self.caller.write(chunk)
        except exceptions.ConnectionBrokenError as exc:
            self._note_broken(exc)
            return Cut(exc.message), None
        self.caller.finish()
        return Answered(head.status), head

    async def _pass_stream(self, head, resume):
        """Pass on whole events as they come."""
        cutter = EventCutter(resume.last_event_id)
        passed = False
        try:
            while (chunk := await self.connection.read_chunk()) is not None:
                events = cutter.feed(chunk)
                if not events:
                    continue
                if self.reading:
                    self._learn_first(resume)
                self._mark_read()
                self._note_first()
                self._start_stream(head)
                resume.last_event_id = cutter.last_id
                passed = True
                await self.caller.write(events)
            if cutter.rest:
                raise exceptions.ConnectionBrokenError('torn event')
        except exceptions.ConnectionBrokenError as exc:
            self._note_broken(exc)
            if passed or self.caller.head_sent:
                return Cut(exc.message), None
            return Unknown(exc.message), None
        self._note_answered()
        self._start_stream(head)
        self.caller.finish()
        return Answered(head.status), head

    def _start_stream(self, head):
        """Send the head, once: a resumed stream keeps its first one."""
        if not self.caller.head_sent:
            headers = self.host.codec.forward_headers(head)
            self.caller.start(head.status, headers)

    def _learn_first(self, resume):
        """Learn from a first event; a resumed call reads more than known."""
        if resume.last_event_id is None:
            waited_ms = self.host.clock.since(self.sent_ms)
            self.host.selection.note_first(self.selected, waited_ms)

    def _mark_read(self):
        if self.reading:
            self.reading = False
            self.host.selection.mark_read(self.selected)

    def _note_first(self):
        """Note that this endpoint's answer begins to be passed on."""
        now = self.host.clock.now()
        if self.passed_ms is None:
            self.passed_ms = now
        self.trace.note_first(now)

    def _note_answered(self):
        """Note that the endpoint answered, and how long it took."""
        took_ms = self.host.clock.since(self.sent_ms)
        self.host.selection.note_success(self.selected.endpoint)
        self.host.demands.note_answer(self.service.name, took_ms)

    def _note_broken(self, exc):
        silent = exceptions.is_silence(exc)
        self._note_failure(silent=silent)
        if silent:
            # The idle connections may have gone silent with this one, and
            # each would cost a call that may not be repeated.
            self.host.pools.close_idle(self.selected.endpoint.id)
            return
        self.trace.fingerprint = self.call.fingerprint
        now = self.host.clock.now()
        ran_ms = now - self.sent_ms
        answered_ms = 0 if self.passed_ms is None else now - self.passed_ms
        ran_well = is_call_stable(ran_ms, answered_ms)
        broken = BrokenCall(
            self.call.fingerprint, ran_ms, now, ran_well, self.call.id
        )
        self.host.crash_check.note_broken(self.selected.endpoint, broken)

    def _note_failure(self, refused=False, silent=False):
        endpoint = self.selected.endpoint
        pause_ms = self.host.selection.note_failure(endpoint, refused, silent)
        if pause_ms:
            self.host.log_avoided(endpoint, pause_ms)
