"""What an endpoint's response head says about a call."""

import enum


class ResponseKind(enum.Enum):
    """How a response is to be handled.

    A ``STRAY`` response belongs to another request; an ``UNSEALED`` one
    lacks the ``Pearrun-Runner-Seal`` header.
    """

    ANSWER = 'answer'
    NOT_RUN = 'not_run'
    WRONG_ENDPOINT = 'wrong_endpoint'
    STRAY = 'stray'
    UNSEALED = 'unsealed'
