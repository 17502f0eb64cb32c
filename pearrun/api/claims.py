"""Claims on idempotency keys, arbitrated by the platform log.

A non-idempotent call (a renewal charge, an alarm acknowledgement)
must run at most once, whichever entry hosts receive it and whichever
host takes over its request.  Each key has its own stream,
``key.<digest>``.  The record at offset 0 is the claim: a daemon
appends it with compare-and-append right before it calls the service,
so only one daemon can succeed.  The record at offset 1 is the outcome:
the answer, or ``unknown`` when the daemon with the claim is dead and
may have made the call.  A call whose outcome is ``unknown`` is never
repeated.

A claim identifies the attempt that wrote it, not the request: when
another host takes a request over, that is another attempt, which must
not mistake the first one's claim for its own.
"""

import asyncio
import dataclasses
import hashlib
import uuid

from pearrun import exceptions
from pearrun.backoff import Backoff
from pearrun.clock import Clock
from pearrun.clock import to_seconds

CLAIMED = 'claimed'
ANSWERED = 'answered'
UNKNOWN = 'unknown'
OUTCOME_POLL_MS = 50
MAX_CLAIM_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Claim:
    """A key's claim, and the outcome of its call once known.

    ``holder`` is the journal stream of the daemon that has the claim,
    and ``digest`` the hash of the prompt.  ``won`` is true if the claim
    belongs to the attempt given to :meth:`KeyClaims.claim` or
    :meth:`KeyClaims.read`.
    """

    holder: str
    won: bool
    digest: str = ''
    answer: str | None = None
    unknown: bool = False


def get_claim_stream(key):
    """Return the name of the stream that holds a scoped key's claim."""
    return f'key.{compute_digest(key)}'


def compute_digest(text):
    """Return a short hash of a text."""
    return hashlib.blake2b(text.encode('utf-8'), digest_size=12).hexdigest()


def generate_attempt_id():
    """Return a unique id for one run of a request."""
    return uuid.uuid4().hex


class KeyClaims:
    """Claims keys and publishes outcomes through the log service.

    :param log: a :class:`LogClient`.
    """

    def __init__(self, log):
        self.log = log
        self.clock = Clock()

    async def claim(self, key, holder, digest='', attempt=None):
        """Claim a key, right before its call is made.

        When the response to an append is lost, the append is repeated:
        the second one conflicts if the first one succeeded, and the
        record at offset 0 identifies the attempt with the claim.

        :param key: the scoped idempotency key.
        :param holder: this daemon's journal stream.
        :param digest: hash of the prompt, to detect a key that is reused
            for another request.
        :param attempt: a unique id; the same one when a failed claim is
            retried for the same run of the request.
        :returns: a :class:`Claim`; ``won`` is true when the caller may
            make the call.
        :raises JournalUnavailableError: it is unknown whether the claim
            was written; this attempt must not make the call.
        """
        attempt = attempt or generate_attempt_id()
        value = {
            'kind': CLAIMED,
            'attempt': attempt,
            'holder': holder,
            'digest': digest,
        }
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                await self.log.append(
                    get_claim_stream(key), value, expected_offset=0
                )
                return Claim(holder, won=True, digest=digest)
            except exceptions.ConfigConflictError:
                return await self.read(key, attempt)
            except exceptions.AmbiguousAppendError:
                continue
        raise exceptions.JournalUnavailableError(
            'the log did not confirm the claim', retry_after_s=1
        )

    async def read(self, key, attempt=None):
        """Read a key's claim and outcome.

        :returns: a :class:`Claim`, or ``None`` if there is no claim.
        :raises OutcomeUnknownError: the claim is older than the log's
            retention.
        """
        try:
            records, _ = await self.log.read(get_claim_stream(key), 0, 2)
        except exceptions.ExpiredOffsetError as exc:
            raise exceptions.OutcomeUnknownError(
                'this Idempotency-Key is older than the retention of the log'
            ) from exc
        if not records:
            return None
        value = records[0].value
        outcome = records[1].value if len(records) > 1 else {}
        return Claim(
            holder=value['holder'],
            won=attempt is not None and value['attempt'] == attempt,
            digest=value['digest'],
            answer=outcome.get('text'),
            unknown=outcome.get('kind') == UNKNOWN,
        )

    async def publish(self, key, kind, text=None):
        """Publish a claimed key's outcome; retry until it is in the log.

        The first outcome in the log is final; later ones are dropped.
        """
        value = {'kind': kind, 'text': text}
        backoff = Backoff()
        while True:
            try:
                await self.log.append(
                    get_claim_stream(key), value, expected_offset=1
                )
                return
            except exceptions.ConfigConflictError:
                return
            except exceptions.PearrunError:
                await backoff.pause()

    async def wait_for_outcome(self, key, timeout_ms, is_dead):
        """Wait for the outcome of a call that another daemon makes.

        :param timeout_ms: how long to wait while the holder is alive.
        :param is_dead: returns whether a holder is dead; if it is, the
            call may or may not have run, and ``unknown`` is published.
        :returns: the answer text.
        :raises OutcomeUnknownError: the call may have run.
        :raises CapacityError: no outcome within ``timeout_ms``; the
            client may retry later.
        """
        started = self.clock.now()
        while self.clock.since(started) < timeout_ms:
            claim = await self.read(key)
            if claim.answer is not None:
                return claim.answer
            if claim.unknown:
                raise exceptions.OutcomeUnknownError(
                    'the call may have run; it is not repeated'
                )
            if is_dead(claim.holder):
                await self.publish(key, UNKNOWN)
                continue
            await asyncio.sleep(to_seconds(OUTCOME_POLL_MS))
        failure = exceptions.CapacityError(
            'another host is making this call', retry_after_s=1
        )
        failure.not_run = False
        raise failure
