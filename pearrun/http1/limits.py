"""What a caller may send, and how requests that break it are refused."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class RejectedError(Exception):
    """A request is answered with an error before it reaches a handler."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


def has_framing(head):
    """Say whether a request declares a body."""
    names = {name for name, _ in head.headers}
    return b'content-length' in names or b'transfer-encoding' in names


def check_size(head, limits):
    """Refuse heads larger than allowed.

    h11 limits only heads that arrive in several parts.

    :raises RejectedError: the head is too large.
    """
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) + 4 for name, value in head.headers)
    if size > limits.max_header_bytes:
        raise RejectedError(431, 'head too large')


def check_framing(head, limits):
    """Refuse requests whose end two readers could see differently.

    :raises RejectedError: both framings are declared, or the body is
        larger than allowed.
    """
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise RejectedError(400, 'both length and chunked framing')
    for name, value in head.headers:
        if name == b'content-length' and int(value) > limits.max_body_bytes:
            raise RejectedError(413, 'body too large')
