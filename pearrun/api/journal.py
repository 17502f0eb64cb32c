"""The acceptance journal: this host's requests on the platform log.

A request is accepted only once its entry is on the log service, so
the promise to answer it outlives this host.  Each daemon run writes a
stream of its own, and is its only writer; every append names the
offset it expects.  Two things follow:

- An append whose answer was lost is sent again at the same offset.
  If the first one did land, the second gets a conflict and the record
  read back says whose it is.  So an unknown outcome becomes known.
- Another host can close the stream by appending a ``Sealed`` entry at
  its head.  From then on every append of the old writer conflicts: a
  host that was paused and wakes up cannot accept anything more.

Entries that arrive while an append is under way go out together in
the next one (group commit), since the log takes only several hundred
appends a second.
"""

import asyncio
import collections
import dataclasses
import uuid

from loguru import logger

from pearrun import exceptions
from pearrun.api import entries
from pearrun.clock import Clock
from pearrun.clock import to_seconds

STREAM_PREFIX = 'requests.'
MAX_BATCH = 256
MAX_WAITING = 10_000
RETRIES_PER_TIMEOUT = 40
LINGER_MS = 50
RUN_DIGITS = 8


@dataclasses.dataclass
class Pending:
    """One entry waiting to be written.

    ``durable`` entries are tried until they land; the others fail as
    soon as the log refuses them or ``give_up_ms`` has passed.
    """

    entry: object
    durable: bool
    give_up_ms: int
    landed: asyncio.Future


def new_stream(host):
    """Return a journal stream name for one run of a daemon.

    :param host: the daemon's :class:`HostSettings`.
    """
    return f'{STREAM_PREFIX}{host.name}.{uuid.uuid4().hex[:RUN_DIGITS]}'


def new_request_id(stream):
    """Return a request id that names the journal holding it."""
    return f'{stream.removeprefix(STREAM_PREFIX)}.{uuid.uuid4().hex[:16]}'


def get_journal_stream(request_id):
    """Return the journal stream that first accepted a request."""
    return STREAM_PREFIX + request_id.rpartition('.')[0]


def _retrieve(future):
    """Mark a future's failure as seen, for writers who do not wait."""
    if not future.cancelled():
        future.exception()


class Journal:
    """Writes this daemon's journal stream.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's whole :class:`Settings`.
    :param on_sealed: called without arguments when another host has
        sealed the stream and a new one has been opened.
    :param pace: a :class:`Pace` to keep to, or ``None``.
    """

    def __init__(self, log, settings, on_sealed=None, pace=None):
        self.log = log
        self.settings = settings
        self.on_sealed = on_sealed
        self.pace = pace
        self.clock = Clock()
        self.retry_s = to_seconds(
            max(1, settings.platform.timeout_ms // RETRIES_PER_TIMEOUT)
        )
        self.stream = new_stream(settings.host)
        self.next_offset = 0
        self.waiting = collections.deque()
        self.wake = asyncio.Event()
        self.linger = None
        self.sending = []
        self.lost = set()
        self.open = set()
        self.appends = 0
        self.failing = False

    async def accept(self, entry):
        """Record a request; only then may the caller be told.

        :param entry: an :class:`entries.Accepted`.
        :raises JournalUnavailableError: not recorded, and never run.
        :raises AmbiguousAppendError: it cannot be told whether the
            record landed; a ``Withdrawn`` entry follows it, and this
            host does not run the request.
        :raises StreamSealedError: not recorded, and never run.
        """
        await self.write(entry, durable=False)

    @property
    def is_full(self):
        """Whether too much waits for the log to take on more."""
        return len(self.waiting) >= MAX_WAITING

    async def write(self, entry, durable=True):
        """Write one entry and wait until it is on the log."""
        landed = self.enqueue(entry, durable)
        self.wake.set()
        await landed

    def enqueue(self, entry, durable=True):
        """Queue one entry, to go out within :data:`LINGER_MS`.

        Entries nobody waits for travel with those somebody does, so
        that they cost no append of their own on a busy host.

        :returns: the future of its landing.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        future.add_done_callback(_retrieve)
        if isinstance(entry, (entries.Finished, entries.Withdrawn)):
            self.open.discard(entry.id)
        give_up = self.clock.now() + self.settings.platform.timeout_ms
        self.waiting.append(Pending(entry, durable, give_up, future))
        if self.linger is None or self.linger.when() < loop.time():
            self.linger = loop.call_later(to_seconds(LINGER_MS), self.wake.set)
        return future

    async def run(self):
        """Write batches for the daemon's whole life."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.waiting:
                if self.pace is not None:
                    await asyncio.sleep(to_seconds(self.pace.take()))
                self.drop_overdue()
                count = min(MAX_BATCH, len(self.waiting))
                batch = [self.waiting.popleft() for _ in range(count)]
                self.sending = batch
                if batch:
                    await self.land(batch)
                self.sending = []

    def drop_overdue(self):
        """Refuse acceptances that waited too long to be sent at all."""
        now = self.clock.now()
        for pending in list(self.waiting):
            if pending.durable or now < pending.give_up_ms:
                continue
            self.waiting.remove(pending)
            if not pending.landed.done():
                pending.landed.set_exception(
                    exceptions.JournalUnavailableError(
                        'log service too slow; not recorded, not run',
                        retry_after_s=1,
                    )
                )

    async def land(self, batch):
        """Append one batch, until it landed or was given up."""
        nonce = uuid.uuid4().hex
        value = {
            'batch': nonce,
            'entries': [entries.to_value(p.entry) for p in batch],
        }
        ambiguous = False
        while True:
            try:
                self.appends += 1
                await self.log.append(
                    self.stream, value, expected_offset=self.next_offset
                )
                return self.landed(batch)
            except exceptions.ConfigConflictError:
                if await self.settle(nonce, batch):
                    return None
                continue
            except exceptions.AmbiguousAppendError as exc:
                ambiguous = True
                failure = exc
            except (
                exceptions.JournalUnavailableError,
                exceptions.RateLimitedError,
            ) as exc:
                failure = exc
            if not ambiguous and not isinstance(
                failure, exceptions.RateLimitedError
            ):
                return await self.refuse(batch, failure)
            if self.clock.now() >= min(p.give_up_ms for p in batch):
                if ambiguous:
                    self.lost.add(nonce)
                    failure = exceptions.AmbiguousAppendError(
                        'the log service did not say whether the request '
                        'was recorded; this host will not run it',
                        retry_after_s=1,
                    )
                return await self.refuse(batch, failure)
            await asyncio.sleep(self.retry_s)

    def landed(self, batch):
        """Note a landed batch and wake its writers."""
        self.failing = False
        self.next_offset += 1
        for pending in batch:
            match pending.entry:
                case entries.Accepted(id=request_id):
                    self.open.add(request_id)
                case (
                    entries.Finished(id=request_id)
                    | entries.Withdrawn(id=request_id)
                ):
                    self.open.discard(request_id)
            if not pending.landed.done():
                pending.landed.set_result(None)

    async def refuse(self, batch, failure):
        """Fail the batch's acceptances; keep its durable entries."""
        self.failing = True
        kept = [p for p in batch if p.durable]
        refused = [p for p in batch if not p.durable]
        for pending in refused:
            if not pending.landed.done():
                pending.landed.set_exception(failure)
            if isinstance(failure, exceptions.AmbiguousAppendError):
                self.enqueue(entries.Withdrawn(pending.entry.id))
        for pending in reversed(kept):
            pending.give_up_ms += self.settings.platform.timeout_ms
            self.waiting.appendleft(pending)
        if self.waiting:
            await asyncio.sleep(self.retry_s)

    async def settle(self, nonce, batch):
        """Learn from the log why an append conflicted.

        :returns: true when the batch is dealt with; false when it is
            to be appended again, at the moved ``next_offset``.
        """
        try:
            records, _ = await self.log.read(self.stream, self.next_offset, 1)
        except exceptions.ExpiredOffsetError:
            # Whatever stood at our offset, a seal or a batch whose
            # answer was lost, is gone: assume the worst of both.
            self.reopen(
                batch,
                exceptions.AmbiguousAppendError(
                    'journal position expired', retry_after_s=1
                ),
            )
            return True
        except exceptions.JournalUnavailableError:
            await asyncio.sleep(self.retry_s)
            return False
        if not records:
            await asyncio.sleep(self.retry_s)
            return False
        value = records[0].value
        if value['batch'] == nonce:
            self.landed(batch)
            return True
        if value['batch'] in self.lost:
            self.lost.remove(value['batch'])
            self.next_offset += 1
            return False
        self.reopen(
            batch,
            exceptions.StreamSealedError(
                "another host has taken over this host's requests; not run",
                retry_after_s=1,
            ),
        )
        return True

    def reopen(self, batch, failure):
        """Open a new stream after another host sealed this one."""
        logger.warning('journal sealed by another host', stream=self.stream)
        for pending in [*batch, *self.waiting]:
            if not pending.landed.done():
                pending.landed.set_exception(failure)
        self.waiting.clear()
        self.lost.clear()
        self.open.clear()
        self.stream = new_stream(self.settings.host)
        self.next_offset = 0
        if self.on_sealed is not None:
            self.on_sealed()

    async def flush(self):
        """Wait until every durable entry written so far has landed."""
        durable = [p.landed for p in self.waiting if p.durable]
        durable += [p.landed for p in self.sending if p.durable]
        if durable:
            self.wake.set()
            await asyncio.wait(durable)
