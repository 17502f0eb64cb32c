"""Followers of store topics, such as the operator's configuration."""

import asyncio
import dataclasses
import enum

from loguru import logger

from pearrun import exceptions
from pearrun import positions
from pearrun.backoff import Backoff
from pearrun.clock import to_seconds
from pearrun.decisions.pollcheck import CheckTimer
from pearrun.platform.store import KeyedRecord
from pearrun.shared.feed import Changes

# Long-poll wait of a read.
LONG_POLL_MS = 25_000
# Time within which a change of a topic must reach the hosts that follow it, if
# no setting says so.
BOUND_MS = 5000
# How often a host checks whether another host still reads on its behalf.
FEED_POLL_MS = 2000
RETRY_BASE_MS = 50
RETRY_CAP_MS = 500
# How long after a restore of the store records may be missing that are written
# again: endpoints' entries are back within about two seconds.
REWRITE_GRACE_MS = 2000


@dataclasses.dataclass(frozen=True)
class ChangesRead:
    """Changes of a topic that a read returned.

    :param start: position of the first record.
    :param next: position to read from next.
    :param records: :class:`KeyedRecord` objects.
    :param sent_ms: when the read was sent, in monotonic time.  The changes
        are known to be complete up to then only.
    """

    start: int
    next: int
    records: list[KeyedRecord]
    sent_ms: int


class Follower:
    """Follows one keyed topic of the store.

    A long poll may never return although the store answers other calls, so
    reads that return at once check it meanwhile.

    :param host: the :class:`HostContext`.
    :param store: the :class:`StoreClient`.
    :param topic: the topic's name.
    :param wait_ms: long-poll wait of a read.
    :param pause_ms: pause between reads.
    :param bound_ms: milliseconds within which a change must be read.
    """

    def __init__(
        self,
        host,
        store,
        topic,
        wait_ms=LONG_POLL_MS,
        pause_ms=0,
        bound_ms=BOUND_MS,
    ):
        self.wait_ms = wait_ms
        self.host = host
        self.store = store
        self.topic = topic
        self.pause_ms = pause_ms
        self.position = None
        self.reachable = True
        self.recovered_at_ms = None
        self.era = None
        self.restored_at_ms = None
        self.check_timer = CheckTimer(bound_ms)
        self.check_requested = asyncio.Event()
        self.read_ms = 0

    async def run(self):
        """Follow the topic for the lifetime of the process."""
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)
        while True:
            try:
                await self._read_once()
                backoff.attempts = 0
                self._mark_reachable()
                await asyncio.sleep(to_seconds(self.pause_ms))
            except (
                exceptions.ExpiredOffsetError,
                exceptions.StoreRestoredError,
            ) as exc:
                logger.bind(
                    topic=self.topic, position=self.position, code=exc.code
                ).info(f'topic is read anew: {exc.message}')
                self.position = None
            except exceptions.PearrunError as exc:
                self._mark_unreachable(exc)
                await backoff.pause()

    async def _read_once(self):
        """Read a snapshot the first time, and the changes since then later."""
        if self.position is None:
            await self._read_newest()
        elif self._get_check_left_ms():
            await self._poll()
        else:
            await self._check()

    async def _read_newest(self):
        """Read a snapshot: the newest record of every key."""
        sent_ms = self.host.clock.now()
        records, self.position = await self.store.read_newest(self.topic)
        era = positions.get_era(self.position)
        if self.era not in (None, era):
            self.restored_at_ms = self.host.clock.now()
            logger.bind(
                topic=self.topic, era=era, records=len(records)
            ).warning('restored topic read')
        self.era = era
        self.read_ms = sent_ms
        self.apply_snapshot(records, sent_ms)

    async def _poll(self):
        """Read changes with a long poll, and check it until it returns."""
        sent_ms = self.host.clock.now()
        poll = asyncio.create_task(self._fetch_changes(self.wait_ms))
        try:
            while not poll.done():
                await self._wait_for_check(poll)
                if not poll.done() and await self._check():
                    poll_ms = self.host.clock.since(sent_ms)
                    logger.bind(topic=self.topic, poll_ms=poll_ms).warning(
                        'long poll missed changes'
                    )
                    return
            self._apply_read(poll.result())
        finally:
            poll.cancel()
            await asyncio.gather(poll, return_exceptions=True)

    async def _wait_for_check(self, poll):
        """Wait until a check is due or requested, or a poll has returned."""
        request = asyncio.create_task(self.check_requested.wait())
        try:
            while left_ms := self._get_check_left_ms():
                done, _ = await asyncio.wait(
                    {poll, request},
                    timeout=to_seconds(left_ms),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return
        finally:
            request.cancel()

    async def _check(self):
        """Read changes with a read that returns at once.

        :returns: whether there were any.
        """
        self.check_timer.note_sent(self.host.clock.now())
        self.check_requested.clear()
        read = await self._fetch_changes(wait_ms=0)
        self._apply_read(read)
        return bool(read.records)

    def request_check(self):
        """Let a check be made now: another host knows a newer record."""
        if self.check_timer.allows_extra(self.host.clock.now()):
            self.check_requested.set()

    def _get_check_left_ms(self):
        """Return the time until the next check is due, in milliseconds."""
        return self.check_timer.get_left_ms(
            self.host.clock.now(), self._get_known_ms(), self._is_reader()
        )

    def _get_known_ms(self):
        """Return when the last read that has returned was sent."""
        return self.read_ms

    def _is_reader(self):
        """Return whether this host reads for its failure domain."""
        return True

    async def _fetch_changes(self, wait_ms):
        """Read the records written since the last read.

        :param wait_ms: how long to wait while there are none.
        :returns: a :class:`ChangesRead`.
        """
        start = self.position
        sent_ms = self.host.clock.now()
        records, end = await self.store.read_changes(
            self.topic, start, wait_ms
        )
        return ChangesRead(start, end, records, sent_ms)

    def _apply_read(self, read):
        """Apply a :class:`ChangesRead` of the current position."""
        self.position = read.next
        self.read_ms = max(self.read_ms, read.sent_ms)
        self.apply_changes(read.records, read.sent_ms)

    def get_rewrite_left_ms(self, grace_ms=REWRITE_GRACE_MS):
        """Return how long records lost with a restore may still be missing.

        :param grace_ms: how long after the restore.
        :returns: milliseconds; 0 if there was no recent restore.
        """
        if self.restored_at_ms is None:
            return 0
        since_ms = self.host.clock.since(self.restored_at_ms)
        return max(0, grace_ms - since_ms)

    def apply_snapshot(self, records, read_start_ms):
        """Apply the newest record of every key.

        After a restore of the store, these are the records of the copy and
        those that have been written again so far.

        :param read_start_ms: when the read was sent, in monotonic time.
        """
        raise NotImplementedError

    def apply_changes(self, records, read_start_ms):
        """Apply records written since the last read, in order.

        :param read_start_ms: when the read was sent, in monotonic time.
        """
        for record in records:
            if record.value is None:
                self._handle_removal(record.key)
            else:
                self._handle_put(record)

    def _handle_put(self, record):
        """Handle a new record of a key."""
        raise NotImplementedError

    def _handle_removal(self, key):
        """Handle the removal of a key."""
        raise NotImplementedError

    def decode_or_skip(self, decoder, *args):
        """Decode a record; log a malformed one and skip it.

        :param decoder: called with ``args``; raises
            :class:`WireFormatError`.
        :returns: what the decoder returns, or ``None``.
        """
        try:
            return decoder(*args)
        except exceptions.WireFormatError as exc:
            logger.bind(topic=self.topic, code=exc.code).error(
                f'malformed record skipped: {exc.message}'
            )
            return None

    def _mark_reachable(self):
        if not self.reachable:
            self.reachable = True
            self.recovered_at_ms = self.host.clock.now()
            logger.bind(topic=self.topic).info('store regained')

    def _mark_unreachable(self, exc):
        if self.reachable:
            self.reachable = False
            logger.bind(topic=self.topic, code=exc.code).warning(
                f'store lost: {exc.message}'
            )


class Source(enum.Enum):
    """Whether a change was read from the store or forwarded by a peer."""

    STORE = 'store'
    PEER = 'peer'


class SharedFollower(Follower):
    """Follows a topic that one host of a zone reads on behalf of the others.

    :param feed: the :class:`Feed` of the topic.
    """

    def __init__(self, host, store, feed, wait_ms, pause_ms):
        super().__init__(host, store, feed.topic, wait_ms, pause_ms)
        self.feed = feed
        self.source = Source.STORE

    async def _read_once(self):
        self.source = Source.STORE
        if self.position is None or not self.host.feed.has_reader:
            self.pause_ms = self.get_read_pause_ms()
            await super()._read_once()
            return
        self.pause_ms = 0
        self.feed.repeat(None)
        deadline_ms = self.get_read_deadline_ms()
        until_ms = min(deadline_ms, self.host.clock.now() + FEED_POLL_MS)
        changes = await self.feed.wait(self.position, until_ms)
        if changes is not None:
            self._apply_forwarded(changes)
        elif self.feed.has_gap or self.host.clock.now() >= deadline_ms:
            # The read does not wait: a long poll may miss a record that is
            # written while the poll begins.
            await self._check()

    def _apply_read(self, read):
        """Apply changes; forward them to the zone's other hosts."""
        super()._apply_read(read)
        pairs = tuple((record.key, record.value) for record in read.records)
        changes = Changes(read.start, read.next, pairs, read.sent_ms)
        self.feed.publish(changes)
        self.feed.repeat(changes)

    def _apply_forwarded(self, changes):
        """Apply :class:`Changes` that another host read and forwarded."""
        self.position = changes.next
        self.source = Source.PEER
        records = [KeyedRecord(key, value) for key, value in changes.records]
        self.apply_changes(records, changes.asked_ms)

    def get_read_deadline_ms(self):
        """Return when this host must read the store itself.

        :returns: monotonic time in milliseconds.
        """
        raise NotImplementedError

    def get_read_pause_ms(self):
        """Return the pause between this host's own reads, in ms."""
        raise NotImplementedError
