"""Answers that a host forwards to another one over a tunnel."""

import h11
from loguru import logger

from pearrun.http1.client import make_response_parser
from pearrun.http1.messages import ResponseHead


class TunnelAnswer:
    """The answer on a tunnel, as seen by the host that forwards it.

    To the endpoint that host is the caller, so that the notices in the answer
    bind it too.  A tunnel carries one request on a new connection: the first
    head is that of the answer.

    :param host: the :class:`HostContext`.
    :param endpoint_id: the endpoint.
    """

    def __init__(self, host, endpoint_id):
        self.host = host
        self.endpoint_id = endpoint_id
        self._parser = make_response_parser()

    def feed(self, data):
        """Examine bytes that the endpoint has sent."""
        if self._parser is None:
            return
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            self._parser = None
            logger.bind(endpoint=self.endpoint_id, cause=repr(exc)).info(
                'tunnelled answer not understood'
            )
            return
        if event is h11.NEED_DATA:
            return
        self._parser = None
        if isinstance(event, h11.Response):
            head = ResponseHead(
                event.status_code, list(event.headers.raw_items())
            )
            notice = self.host.codec.decode_notice(head)
            if head.status != 421:
                self.host.apply_notice(self.endpoint_id, notice)
