"""HTTP messages as they pass between connections and handlers."""

import dataclasses

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


@dataclasses.dataclass(frozen=True)
class Request:
    """One request, read whole.

    :param headers: names in their original case, in order.
    :param received_ms: monotonic time at which the head was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''
    has_body: bool = False
    received_ms: int = 0

    def get(self, name):
        """Return a header's value.

        :param name: the header's name in lower case, as bytes.
        :returns: the first value as text; ``None`` without that header.
        """
        return get_header(self.headers, name)

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition(b'?')[0]


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response whose body follows."""

    status: int
    headers: Headers

    def get(self, name):
        """Return a header's value; see :meth:`Request.get`."""
        return get_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class Response:
    """One response, read whole."""

    head: ResponseHead
    body: bytes


def get_header(headers, name):
    """Return the first value of a header as text.

    :param headers: pairs of bytes.
    :param name: the name in lower case, as bytes.
    :returns: the value; ``None`` if it is absent.
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode('latin-1')
    return None


def drop_hop_by_hop(headers, also=frozenset()):
    """Return the headers that concern more than one connection.

    Headers that ``Connection`` names are dropped too.

    :param headers: pairs of bytes.
    :param also: further names to drop, in lower case.
    """
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b'connection'
        for token in value.split(b',')
    }
    dropped = HOP_BY_HOP | named | also
    return [
        (key, value) for key, value in headers if key.lower() not in dropped
    ]
