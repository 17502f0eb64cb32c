"""Header names of the platform's wire, in lower case."""

ATTEMPT_ID = b'pearrun-attempt-id'
DEADLINE_MS = b'pearrun-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
# The endpoint's signature of its answer.
SEAL = b'pearrun-runner-seal'
CUSTOMER = b'pearrun-tenant'
EXPECTED_ENDPOINT = b'pearrun-expect-runner'
NOT_RUN = b'pearrun-not-run'
# Two numbers: tokens of the prompt, most tokens of the answer.
TOKEN_COUNT = b'pearrun-token-count'
PROMPT_PARTS = b'pearrun-prompt-prefix'
LENGTH_HINT = b'pearrun-length-hint'
URGENCY = b'pearrun-urgency'
AUTHORIZATION = b'authorization'
RETRY_AFTER = b'Retry-After'
DUTY_HOLDER = 'Pearrun-Duty-Holder'
FENCING_TOKEN = 'Pearrun-Fence-Token'

# Headers that only this system sets towards endpoints; what a caller
# sent under these names is dropped.
OWN = frozenset(
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
