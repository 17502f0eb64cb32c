"""Header names of the platform's protocol.

Names that received messages are searched for are in lower case.
"""

ATTEMPT_ID = b'pearrun-attempt-id'
DEADLINE_MS = b'pearrun-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
# Attempt id of the request that brought a resumed stream's first event.
RESUMES = b'resumes'
# The endpoint's signature over its response.
SEAL = b'pearrun-runner-seal'
CUSTOMER = b'pearrun-tenant'
EXPECTED_ENDPOINT = b'pearrun-expect-runner'
NOT_RUN = b'pearrun-not-run'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = b'pearrun-token-count'
PROMPT_PARTS = b'pearrun-prompt-prefix'
LENGTH_HINT = b'pearrun-length-hint'
URGENCY = b'pearrun-urgency'
AUTHORIZATION = b'authorization'
RETRY_AFTER = b'Retry-After'
# The same in received messages.
RECEIVED_RETRY_AFTER = b'retry-after'
# Requests per second that an endpoint accepts from all hosts together.
RATE_LIMIT = b'server-limit'
# Refusals in a second beyond which a brittle endpoint crashes.
BRITTLE = b'server-brittle'
# "1" in the answers of an endpoint that is about to end.
LEAVING = b'server-leaving'
# Headers of an answer that concern its endpoint.
NOTICES = frozenset((RECEIVED_RETRY_AFTER, RATE_LIMIT, BRITTLE, LEAVING))
# Number of times that the store has come back from a copy, in its responses.
STORE_ERA = b'store-era'
DUTY_HOLDER = 'Pearrun-Duty-Holder'
FENCING_TOKEN = 'Pearrun-Fence-Token'

# Headers of requests to endpoints that only this host may set, or that are
# meant for this host; values sent by a caller are dropped.
RESERVED = frozenset(
    (
        CUSTOMER,
        EXPECTED_ENDPOINT,
        URGENCY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
        NOT_RUN,
        b'pearrun-expect-version',
        b'pearrun-hold',
        b'pearrun-pin-ms',
        b'pearrun-kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'content-length',
        b'expect',
    )
)
