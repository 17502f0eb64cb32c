"""Records the notices in answers about the endpoints that sent them."""

from loguru import logger

from pearrun.relay.responsekinds import ResponseKind
from pearrun.shared.endpointnotice import NoticeField

# Responses that the expected endpoint is known to have sent for this call.
LIMITING_KINDS = (ResponseKind.ANSWER, ResponseKind.NOT_RUN)


class AnswerNotices:
    """Records the notices in the answers to one call.

    :param host: the :class:`HostContext`.
    :param trace: the call's :class:`CallTrace`.
    """

    def __init__(self, host, trace):
        self.host = host
        self.trace = trace

    def note_answer(self, head, kind, endpoint, sent_ms):
        """Record the notices in a response about its endpoint.

        :param head: the :class:`ResponseHead`.
        :param kind: its :class:`ResponseKind`.
        :param endpoint: the :class:`Endpoint`.
        :param sent_ms: when the call was sent there.
        """
        notice = self.host.codec.decode_notice(head)
        for error in notice.errors.values():
            logger.bind(endpoint=endpoint.id, code=error.code).warning(
                error.message
            )
        self.trace.record_notice(notice)
        self.host.counters.count_notice(notice)
        if kind is not ResponseKind.WRONG_ENDPOINT:
            # Any other response on the connection is from the same process.
            self.host.apply_notice(endpoint.id, notice)
        if kind is ResponseKind.ANSWER:
            self.host.rests.note_accepted(endpoint.id, sent_ms)
        if kind in LIMITING_KINDS:
            self._note_rate_limit(notice, kind, endpoint, sent_ms)
            self._note_brittleness(notice, head, kind, endpoint, sent_ms)

    def _note_rate_limit(self, notice, kind, endpoint, sent_ms):
        """Record the rate limit that the endpoint advertises, if any.

        A refusal may lack the limit although the endpoint still has one.
        """
        if NoticeField.RATE_LIMIT in notice.errors:
            return
        self.trace.endpoint_limit = notice.rate_limit
        if notice.rate_limit is not None:
            self.host.limits.note_advertised(endpoint.id, notice.rate_limit)
        elif kind is ResponseKind.ANSWER:
            self.host.limits.note_unlimited(endpoint.id, sent_ms)

    def _note_brittleness(self, notice, head, kind, endpoint, sent_ms):
        """Record whether the endpoint is brittle, and a refusal if so."""
        if NoticeField.BRITTLENESS in notice.errors:
            return
        service_name = endpoint.record.service
        if notice.brittleness is not None:
            self.host.brittle.note_brittle(service_name, notice.brittleness)
        elif kind is ResponseKind.ANSWER:
            self.host.brittle.note_sound(service_name, sent_ms)
        if kind is ResponseKind.NOT_RUN and head.status == 503:
            self.host.brittle.note_refused(endpoint)
