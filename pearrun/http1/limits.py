"""Limits of requests, and checks that reject requests beyond them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """Limits of a request's size and of the time to receive it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RejectedError(Exception):
    """A request is rejected before it reaches the handler.

    :param status: the HTTP status of the response.
    :param reason: a short text for the log.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


def declares_body(head):
    """Return whether a request head declares a body."""
    names = {name for name, _ in head.headers}
    return b'content-length' in names or b'transfer-encoding' in names


def check_size(head, limits):
    """Reject request heads that are too large.

    h11 checks its limit only on heads that arrive in several parts.

    :raises RejectedError: the head is too large.
    """
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size > limits.max_header_bytes:
        raise RejectedError(431, 'head too large')


def check_framing(head, limits):
    """Reject requests with ambiguous framing or too large a body.

    With both framing headers, two parsers could disagree on where the
    request ends (request smuggling).

    :raises RejectedError: both framing headers are present, or the body
        is too large.
    """
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise RejectedError(400, 'both Content-Length and Transfer-Encoding')
    for name, value in head.headers:
        if name == b'content-length' and int(value) > limits.max_body_bytes:
            raise RejectedError(413, 'body too large')
