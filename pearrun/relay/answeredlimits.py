"""Limits that endpoints name in their answers."""

from loguru import logger

from pearrun import exceptions
from pearrun.relay.responsekinds import ResponseKind

# Responses that the expected endpoint is known to have sent for this call.
LIMITING_KINDS = (ResponseKind.ANSWER, ResponseKind.NOT_RUN)


class AnsweredLimits:
    """Records the limits in the answers to one call.

    :param host: the :class:`HostContext`.
    :param trace: the call's :class:`CallTrace`.
    """

    def __init__(self, host, trace):
        self.host = host
        self.trace = trace

    def note_answer(self, head, kind, endpoint, sent_ms):
        """Record the limits that a response names, if they are valid.

        :param head: the :class:`ResponseHead`.
        :param kind: its :class:`ResponseKind`.
        :param endpoint: the :class:`Endpoint`.
        :param sent_ms: when the call was sent there.
        """
        if kind not in LIMITING_KINDS:
            return
        for note in (self._note_rate_limit, self._note_brittleness):
            try:
                note(head, kind, endpoint, sent_ms)
            except exceptions.WireFormatError as exc:
                logger.bind(endpoint=endpoint.id, code=exc.code).warning(
                    exc.message
                )

    def _note_rate_limit(self, head, kind, endpoint, sent_ms):
        """Record the rate limit that the endpoint advertises, if any.

        A refusal may lack the limit although the endpoint still has one.
        """
        limit = self.host.codec.decode_rate_limit(head)
        self.trace.endpoint_limit = limit
        if limit is not None:
            self.host.counters.limited_answers += 1
            self.host.limits.note_advertised(endpoint.id, limit)
        elif kind is ResponseKind.ANSWER:
            self.host.limits.note_unlimited(endpoint.id, sent_ms)

    def _note_brittleness(self, head, kind, endpoint, sent_ms):
        """Record whether the endpoint is brittle, and a refusal if so."""
        brittle = self.host.codec.decode_brittleness(head)
        service_name = endpoint.record.service
        if brittle is not None:
            self.host.brittle.note_brittle(service_name, brittle)
        elif kind is ResponseKind.ANSWER:
            self.host.brittle.note_sound(service_name, sent_ms)
        if kind is ResponseKind.NOT_RUN and head.status == 503:
            self.host.brittle.note_refused(endpoint)
