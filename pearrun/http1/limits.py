"""Limits of requests, and the error that rejects requests beyond them."""

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
    :param retry_after_s: seconds after which a retry may be accepted;
        ``None`` if it would not be.
    """

    def __init__(self, status, reason, retry_after_s=None):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
