"""HTTP messages exchanged between connections and handlers."""

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
    """A complete request.

    :param headers: pairs of bytes, in their original order and case.
    :param has_body: whether the request has a body, which may be empty.
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
        :returns: the first value as text; ``None`` if it is absent.
        """
        return get_header(self.headers, name)

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition(b'?')[0]


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response, without its body."""

    status: int
    headers: Headers

    def get(self, name):
        """Return a header's value; see :meth:`Request.get`."""
        return get_header(self.headers, name)

    @property
    def is_framed(self):
        """Whether the end of the body shows in the body itself.

        Otherwise the body ends with its connection.
        """
        codings = self.get(b'transfer-encoding') or ''
        is_chunked = 'chunked' in codings.lower()
        return is_chunked or self.get(b'content-length') is not None


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response."""

    head: ResponseHead
    body: bytes


def get_header(headers, name):
    """Return the first value of a header as text.

    :param headers: pairs of bytes.
    :param name: the name in lower case, as bytes.
    :returns: the value; ``None`` if it is absent.
    """
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value.decode('latin-1')
    return None


def get_all_headers(headers, name):
    """Return all values of a header as text, in their order.

    :param headers: pairs of bytes.
    :param name: the name in lower case, as bytes.
    """
    return [
        value.decode('latin-1')
        for key, value in headers
        if key.lower() == name
    ]


def drop_hop_by_hop(headers, extra=frozenset()):
    """Return the end-to-end headers.

    Hop-by-hop headers and those listed in ``Connection`` are dropped.

    :param headers: pairs of bytes.
    :param extra: further names to drop, in lower case.
    """
    listed = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b'connection'
        for token in value.split(b',')
    }
    dropped = HOP_BY_HOP | listed | extra
    return [
        (key, value) for key, value in headers if key.lower() not in dropped
    ]
