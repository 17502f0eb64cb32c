"""Kinds of responses from endpoints."""

import enum


class ResponseKind(enum.Enum):
    """Kind of a response, by its status and headers.

    With ``NOT_RUN`` the endpoint states that it has not run the call;
    ``WRONG_ENDPOINT`` means that another endpoint than expected has
    received it.  A ``STRAY`` response belongs to another request; an
    ``UNSEALED`` one lacks the endpoint's signature.  Any other response is
    an ``ANSWER``.
    """

    ANSWER = 'answer'
    NOT_RUN = 'not_run'
    WRONG_ENDPOINT = 'wrong_endpoint'
    STRAY = 'stray'
    UNSEALED = 'unsealed'
