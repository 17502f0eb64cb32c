"""The request journal: this host's requests, stored in the platform log.

A request is durably accepted once its entry is stored in the log, so
that another host can answer it if this one fails.  Each run of a
daemon has a stream of its own, of which it is the only writer, and
every append states the offset that it expects.  Hence:

- An append whose response was lost is sent again at the same offset.
  If the first one had been applied, the second gets a conflict, and the
  nonce of the record at the offset tells whose it is.  This resolves
  appends of unknown outcome.
- Another host can close the stream by appending a ``Sealed`` entry at
  its end.  Every later append by the old writer then gets a conflict,
  so a host that was paused and resumes cannot accept any more requests.

Entries that arrive while an append is in progress are written together
by the next one (group commit), since the log service accepts only
several hundred appends per second.
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
MAX_BATCH_ENTRIES = 256
MAX_QUEUED_ENTRIES = 10_000
RETRIES_PER_TIMEOUT = 40
LINGER_MS = 50
RUN_ID_DIGITS = 8


@dataclasses.dataclass
class Pending:
    """One entry waiting to be written.

    ``durable`` entries are retried until they are committed.  Others fail
    as soon as the log service rejects them or at ``deadline_ms``.
    """

    entry: object
    durable: bool
    deadline_ms: int
    committed: asyncio.Future


def new_stream(host):
    """Return a new journal stream name for one run of a daemon.

    :param host: the daemon's :class:`HostSettings`.
    """
    return f'{STREAM_PREFIX}{host.name}.{uuid.uuid4().hex[:RUN_ID_DIGITS]}'


def new_request_id(stream):
    """Return a new request id that contains the name of its journal."""
    return f'{stream.removeprefix(STREAM_PREFIX)}.{uuid.uuid4().hex[:16]}'


def get_journal_stream(request_id):
    """Return the journal stream in which a request was first accepted."""
    return STREAM_PREFIX + request_id.rpartition('.')[0]


def _retrieve_exception(future):
    """Retrieve a future's exception, so that asyncio does not log it.

    Not every caller of :meth:`Journal.enqueue` awaits the future.
    """
    if not future.cancelled():
        future.exception()


class Journal:
    """Writes this daemon's journal stream.

    :param log: a :class:`LogClient`.
    :param settings: the daemon's complete :class:`Settings`.
    :param on_sealed: called without arguments after another host has
        sealed the stream and this daemon has started a new one.
    :param rate_limiter: the :class:`TokenBucket` that limits the append
        rate, or ``None``.
    """

    def __init__(self, log, settings, on_sealed=None, rate_limiter=None):
        self.log = log
        self.settings = settings
        self.on_sealed = on_sealed
        self.rate_limiter = rate_limiter
        self.clock = Clock()
        self.retry_s = to_seconds(
            max(1, settings.platform.timeout_ms // RETRIES_PER_TIMEOUT)
        )
        self.stream = new_stream(settings.host)
        self.next_offset = 0
        self.queue = collections.deque()
        self.wake = asyncio.Event()
        self.linger_timer = None
        self.sending = []
        self.unresolved_nonces = set()
        self.open_requests = set()
        self.appends = 0
        self.failing = False

    async def accept(self, entry):
        """Write the acceptance of a request and wait for the commit.

        Only then may the acceptance be reported to the caller.

        :param entry: an :class:`entries.Accepted`.
        :raises JournalUnavailableError: the request is not recorded and
            will not run.
        :raises AmbiguousAppendError: it is unknown whether the entry was
            recorded; a ``Withdrawn`` entry follows it, and this host
            does not run the request.
        :raises StreamSealedError: the request is not recorded and will
            not run under this id.
        """
        await self.write(entry, durable=False)

    @property
    def is_full(self):
        """Whether the queue of unwritten entries is full."""
        return len(self.queue) >= MAX_QUEUED_ENTRIES

    async def write(self, entry, durable=True):
        """Write one entry and wait until it is committed.

        :param durable: see :class:`Pending`.
        """
        committed = self.enqueue(entry, durable)
        self.wake.set()
        await committed

    def enqueue(self, entry, durable=True):
        """Queue one entry for the next batch.

        The writer task is woken when a caller sets ``wake``, as
        :meth:`write` does, and otherwise within :data:`LINGER_MS`.  An
        entry whose caller does not set ``wake`` is thus batched with
        later ones, so on a busy host it needs no append of its own.

        :param durable: see :class:`Pending`.
        :returns: a future that is done once the entry is committed.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        future.add_done_callback(_retrieve_exception)
        if isinstance(entry, (entries.Finished, entries.Withdrawn)):
            self.open_requests.discard(entry.id)
        deadline_ms = self.clock.now() + self.settings.platform.timeout_ms
        self.queue.append(Pending(entry, durable, deadline_ms, future))
        if self.linger_timer is None or self.linger_timer.when() < loop.time():
            self.linger_timer = loop.call_later(
                to_seconds(LINGER_MS), self.wake.set
            )
        return future

    async def run(self):
        """Write batches until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.queue:
                if self.rate_limiter is not None:
                    await asyncio.sleep(
                        to_seconds(self.rate_limiter.reserve())
                    )
                self.expire_overdue()
                count = min(MAX_BATCH_ENTRIES, len(self.queue))
                batch = [self.queue.popleft() for _ in range(count)]
                self.sending = batch
                if batch:
                    await self.append_batch(batch)
                self.sending = []

    def expire_overdue(self):
        """Fail queued acceptances whose deadline has passed."""
        now = self.clock.now()
        for pending in list(self.queue):
            if pending.durable or now < pending.deadline_ms:
                continue
            self.queue.remove(pending)
            if not pending.committed.done():
                pending.committed.set_exception(
                    exceptions.JournalUnavailableError(
                        'log service too slow; request not recorded, not run',
                        retry_after_s=1,
                    )
                )

    async def append_batch(self, batch):
        """Append one batch; retry until it is committed or has failed."""
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
                return self.mark_committed(batch)
            except exceptions.ConfigConflictError:
                if await self.resolve_conflict(nonce, batch):
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
                return await self.fail_batch(batch, failure)
            if self.clock.now() >= min(p.deadline_ms for p in batch):
                if ambiguous:
                    self.unresolved_nonces.add(nonce)
                    failure = exceptions.AmbiguousAppendError(
                        'unknown whether the request was recorded; '
                        'this host will not run it',
                        retry_after_s=1,
                    )
                return await self.fail_batch(batch, failure)
            await asyncio.sleep(self.retry_s)

    def mark_committed(self, batch):
        """Update the state for a committed batch and wake its writers."""
        self.failing = False
        self.next_offset += 1
        for pending in batch:
            match pending.entry:
                case entries.Accepted(id=request_id):
                    self.open_requests.add(request_id)
                case (
                    entries.Finished(id=request_id)
                    | entries.Withdrawn(id=request_id)
                ):
                    self.open_requests.discard(request_id)
            if not pending.committed.done():
                pending.committed.set_result(None)

    async def fail_batch(self, batch, failure):
        """Fail the acceptances of a batch and queue its other entries again.

        An acceptance of unknown outcome is followed by a ``Withdrawn``
        entry.
        """
        self.failing = True
        kept = [p for p in batch if p.durable]
        failed = [p for p in batch if not p.durable]
        for pending in failed:
            if not pending.committed.done():
                pending.committed.set_exception(failure)
            if isinstance(failure, exceptions.AmbiguousAppendError):
                self.enqueue(entries.Withdrawn(pending.entry.id))
        for pending in reversed(kept):
            pending.deadline_ms += self.settings.platform.timeout_ms
            self.queue.appendleft(pending)
        if self.queue:
            await asyncio.sleep(self.retry_s)

    async def resolve_conflict(self, nonce, batch):
        """Find out from the log why an append got a conflict.

        :param nonce: the nonce of the batch.
        :param batch: the list of :class:`Pending` entries sent.
        :returns: true if the batch is committed or has failed; false if
            it has to be appended again at the current ``next_offset``.
        """
        try:
            records, _ = await self.log.read(self.stream, self.next_offset, 1)
        except exceptions.ExpiredOffsetError:
            # The record at this offset has expired.  It may have been a
            # seal or this batch, so treat the stream as sealed and the
            # outcome of the batch as unknown.
            self.start_new_stream(
                batch,
                exceptions.AmbiguousAppendError(
                    'journal offset expired before the append was confirmed',
                    retry_after_s=1,
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
            self.mark_committed(batch)
            return True
        if value['batch'] in self.unresolved_nonces:
            self.unresolved_nonces.remove(value['batch'])
            self.next_offset += 1
            return False
        self.start_new_stream(
            batch,
            exceptions.StreamSealedError(
                "another host has taken over this host's journal; not run",
                retry_after_s=1,
            ),
        )
        return True

    def start_new_stream(self, batch, failure):
        """Start a new stream after another host has sealed this one.

        Fails all unwritten entries with ``failure``.
        """
        logger.warning('journal sealed by another host', stream=self.stream)
        for pending in [*batch, *self.queue]:
            if not pending.committed.done():
                pending.committed.set_exception(failure)
        self.queue.clear()
        self.unresolved_nonces.clear()
        self.open_requests.clear()
        self.stream = new_stream(self.settings.host)
        self.next_offset = 0
        if self.on_sealed is not None:
            self.on_sealed()

    async def flush(self):
        """Wait until all durable entries queued so far are committed."""
        durable = [p.committed for p in self.queue if p.durable]
        durable += [p.committed for p in self.sending if p.durable]
        if durable:
            self.wake.set()
            await asyncio.wait(durable)
