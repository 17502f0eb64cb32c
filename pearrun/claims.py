"""Claims on idempotency keys, agreed through the platform log.

A non-idempotent call (a renewal charge, an alarm acknowledgement)
must run at most once, whichever entry host a retry reaches.  Each key
has its own stream, ``key.<service>.<digest>``.  A daemon claims the
key by appending at offset 0 with compare-and-append; only one append
can land there.  The winner writes the answer at offset 1 when the
call is done; any other daemon reads it from there and never runs the
call itself.  When the answer to the claim is lost, the daemon reads
offset 0 back to learn whether the claim is its own.
"""

import asyncio
import dataclasses
import hashlib

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds

CLAIMED = 'claimed'
ANSWERED = 'answered'
POLL_MS = 50


@dataclasses.dataclass(frozen=True)
class Claim:
    """Who holds a key, and its answer once known."""

    request_id: str
    won: bool
    answer: str | None = None


def stream_of(key):
    """Return the stream name that holds a scoped key's claim."""
    digest = hashlib.blake2b(key.encode('utf-8'), digest_size=12)
    return f'key.{digest.hexdigest()}'


class KeyClaims:
    """Claims keys and publishes answers on the log service.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    """

    def __init__(self, log, settings):
        self.log = log
        self.settings = settings
        self.clock = Clock()

    async def claim(self, key, request_id):
        """Claim a key for a request.

        :returns: a :class:`Claim`; ``won`` is true when this request
            may run the call.
        :raises JournalUnavailableError: the log cannot say; the call
            must not run (the caller gets Retry-After).
        """
        value = {'kind': CLAIMED, 'id': request_id}
        stream = stream_of(key)
        try:
            await self.log.append(stream, value, expected_offset=0)
            return Claim(request_id, won=True)
        except exceptions.ConfigConflictError:
            pass
        except exceptions.AmbiguousAppendError:
            pass
        return await self.read(stream, request_id)

    async def read(self, stream, request_id):
        """Read a key's stream: who claimed it, and any answer."""
        records, _ = await self.log.read(stream, 0, 2)
        if not records:
            raise exceptions.JournalUnavailableError(
                'claim outcome unknown', retry_after_s=1
            )
        owner = records[0].value.get('id')
        answer = None
        if len(records) > 1:
            answer = records[1].value.get('text')
        return Claim(owner, won=owner == request_id, answer=answer)

    async def answer(self, key, text):
        """Publish the answer of a claimed key, best effort."""
        value = {'kind': ANSWERED, 'text': text}
        try:
            await self.log.append(stream_of(key), value, expected_offset=1)
        except exceptions.PearrunError:
            return False
        return True

    async def wait_answer(self, key, owner, timeout_ms):
        """Wait for another daemon's answer to a key.

        :returns: the answer text.
        :raises CapacityError: none came within ``timeout_ms``; the
            call is still the owner's, so the caller comes back later.
        """
        started = self.clock.now()
        stream = stream_of(key)
        while self.clock.since(started) < timeout_ms:
            claim = await self.read(stream, owner)
            if claim.answer is not None:
                return claim.answer
            await asyncio.sleep(to_seconds(POLL_MS))
        raise exceptions.CapacityError(
            f'key is being served by request {owner}', retry_after_s=1
        )
