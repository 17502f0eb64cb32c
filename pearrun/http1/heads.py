"""Request heads: finding their end in received bytes, and parsing them."""

import re

import h11

from pearrun.http1.limits import RejectedError

HEAD_END = re.compile(rb'\n\r?\n')
# The end of a head may be received in parts.
HEAD_END_BYTES = 3
# No request line begins with a control character or a space.
FIRST_PRINTABLE = 0x21


class HeadReader:
    """Takes request heads from received bytes.

    The size of a head is that of its bytes as received, so that the limit
    holds however the head is parsed.
    """

    def __init__(self):
        self._searched = 0

    def take(self, received, max_bytes):
        """Remove a complete head from received bytes.

        :param received: a bytearray.
        :param max_bytes: maximum size of a head.
        :returns: the head as bytes; ``None`` if it is incomplete.
        :raises RejectedError: the head is too large, or no head at all.
        """
        if received and received[0] < FIRST_PRINTABLE:
            raise RejectedError(400, 'no request line')
        match = HEAD_END.search(received, self._searched)
        size = match.end() if match else len(received)
        if size > max_bytes:
            raise RejectedError(431, 'head too large')
        if match is None:
            self._searched = max(0, len(received) - HEAD_END_BYTES)
            return None
        self._searched = 0
        head = bytes(received[:size])
        del received[:size]
        return head


def parse_head(state, head):
    """Parse a complete request head.

    :param state: a new :class:`h11.Connection`, which frames the response.
    :param head: the head as bytes.
    :returns: a :class:`h11.Request`.
    :raises RejectedError: the head is malformed.
    """
    state.receive_data(head)
    try:
        event = state.next_event()
    except h11.RemoteProtocolError as exc:
        raise RejectedError(exc.error_status_hint, str(exc)) from exc
    except ValueError as exc:
        # A length of more digits than Python converts.
        raise RejectedError(400, str(exc)) from exc
    if not isinstance(event, h11.Request):
        raise RejectedError(400, 'no request')
    return event
