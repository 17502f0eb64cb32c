"""What an endpoint's response head says of a call."""

import enum


class Verdict(enum.Enum):
    """How a response is to be taken."""

    ANSWER = 'answer'
    NOT_RUN = 'not_run'
    WRONG_ENDPOINT = 'wrong_endpoint'
    STRAY = 'stray'
    UNSEALED = 'unsealed'
