"""Followers of store topics, such as the operator's configuration."""

import asyncio
import enum

from loguru import logger

from pearrun import exceptions
from pearrun import positions
from pearrun.backoff import Backoff
from pearrun.clock import to_seconds
from pearrun.platform.store import KeyedRecord
from pearrun.shared.feed import Changes

# Long-poll wait of a read, and so the interval of calls while nothing changes.
# If a read hangs on a dead connection or misses a record, the other hosts
# compensate: they forward a newer configuration within 1.5 s.
LONG_POLL_MS = 25_000
# How often a host checks whether another host still reads on its behalf.
FEED_POLL_MS = 2000
RETRY_BASE_MS = 50
RETRY_CAP_MS = 500
# How long after a restore of the store records may be missing that are written
# again: endpoints' entries are back within about two seconds.
REWRITE_GRACE_MS = 2000


class Follower:
    """Follows one keyed topic of the store.

    :param host: the :class:`HostContext`.
    :param store: the :class:`StoreClient`.
    :param topic: the topic's name.
    :param wait_ms: long-poll wait of a read.
    :param pause_ms: pause between reads.
    """

    def __init__(self, host, store, topic, wait_ms=LONG_POLL_MS, pause_ms=0):
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
            return
        await self._read_changes(self.wait_ms)

    async def _read_newest(self):
        """Read a snapshot: the newest record of every key."""
        read_start_ms = self.host.clock.now()
        records, self.position = await self.store.read_newest(self.topic)
        era = positions.get_era(self.position)
        if self.era not in (None, era):
            self.restored_at_ms = self.host.clock.now()
            logger.bind(
                topic=self.topic, era=era, records=len(records)
            ).warning('restored topic read')
        self.era = era
        self.apply_snapshot(records, read_start_ms)

    async def _read_changes(self, wait_ms):
        """Read the records written since the last read.

        :param wait_ms: how long to wait while there are none.
        :returns: the records.
        """
        read_start_ms = self.host.clock.now()
        records, self.position = await self.store.read_changes(
            self.topic, self.position, wait_ms
        )
        self.apply_changes(records, read_start_ms)
        return records

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
            await self._read_changes(wait_ms=0)

    async def _read_changes(self, wait_ms):
        """Read the store; forward the changes to the zone's other hosts."""
        start = self.position
        read_start_ms = self.host.clock.now()
        records = await super()._read_changes(wait_ms)
        pairs = tuple((record.key, record.value) for record in records)
        changes = Changes(start, self.position, pairs, read_start_ms)
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
