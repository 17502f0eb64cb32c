"""Following topics of the store; the operator's configuration."""

import asyncio
import enum

from loguru import logger

from pearrun import exceptions
from pearrun.backoff import Backoff
from pearrun.clock import to_seconds
from pearrun.platform import decoding
from pearrun.platform.store import KeyedRecord
from pearrun.shared.feed import Changes

CONFIG_TOPIC = 'op'
CONFIG_KEY = 'config'
# Longest wait of a read: a call each in this time.  A read that hangs on a
# connection that went silent, or missed a record, is made up for by the other
# hosts, which pass on a newer configuration within 1.5 s.
WAIT_MS = 25_000
# The same of a host that has no others, as a part of the time in which a
# configuration must be in force.
LONE_WAIT_SHARE = 0.4
# How often a host that is told by another one looks whether it still is.
FOLLOWED_MS = 2000
RETRY_BASE_MS = 50
RETRY_CAP_MS = 500


class Follower:
    """Follows one keyed topic of the store.

    :param host: shared objects of this host.
    :param store: the :class:`StoreClient`.
    :param topic: the topic's name.
    :param wait_ms: longest wait of one read.
    :param pause_ms: pause between two reads.
    """

    def __init__(self, host, store, topic, wait_ms=WAIT_MS, pause_ms=0):
        self.wait_ms = wait_ms
        self.host = host
        self.store = store
        self.topic = topic
        self.pause_ms = pause_ms
        self.position = None
        self.reachable = True
        self.regained_ms = None

    async def run(self):
        """Follow the topic for the process's whole life."""
        backoff = Backoff(RETRY_BASE_MS, RETRY_CAP_MS)
        while True:
            try:
                await self._read_once()
                backoff.attempts = 0
                self._note_reachable()
                await asyncio.sleep(to_seconds(self.pause_ms))
            except exceptions.ExpiredOffsetError as exc:
                logger.bind(topic=self.topic, position=self.position).info(
                    f'history expired: {exc.message}'
                )
                self.position = None
            except exceptions.PearrunError as exc:
                self._note_unreachable(exc)
                await backoff.pause()

    async def _read_once(self):
        """Read all newest records, or wait for changes once."""
        if self.position is None:
            await self._read_newest()
            return
        await self._read_changes(self.wait_ms)

    async def _read_newest(self):
        """Read the newest record of every key."""
        asked_ms = self.host.clock.now()
        records, self.position = await self.store.newest(self.topic)
        self.take_all(records, asked_ms)

    async def _read_changes(self, wait_ms):
        """Read what was written since the last read.

        :param wait_ms: how long to wait while there is nothing.
        :returns: the records.
        """
        asked_ms = self.host.clock.now()
        records, self.position = await self.store.follow(
            self.topic, self.position, wait_ms
        )
        self.take_changes(records, asked_ms)
        return records

    def take_all(self, records, asked_ms):
        """Take the newest record of every key."""
        raise NotImplementedError

    def take_changes(self, records, asked_ms):
        """Take records written since the last read, one by one."""
        for record in records:
            if record.value is None:
                self._remove(record.key)
            else:
                self._put(record)

    def _put(self, record):
        """Take the newest record of a key."""
        raise NotImplementedError

    def _remove(self, key):
        """Take it that a key was removed."""
        raise NotImplementedError

    def decode(self, decoder, *args):
        """Decode a record; one that is malformed is logged and left aside.

        :param decoder: called with ``args``; raises
            :class:`WireFormatError`.
        :returns: what the decoder returns, or ``None``.
        """
        try:
            return decoder(*args)
        except exceptions.WireFormatError as exc:
            logger.bind(topic=self.topic, code=exc.code).error(
                f'record left aside: {exc.message}'
            )
            return None

    def _note_reachable(self):
        if not self.reachable:
            self.reachable = True
            self.regained_ms = self.host.clock.now()
            logger.bind(topic=self.topic).info('store regained')

    def _note_unreachable(self, exc):
        if self.reachable:
            self.reachable = False
            logger.bind(topic=self.topic, code=exc.code).warning(
                f'store lost: {exc.message}'
            )


class Source(enum.Enum):
    """Who told this host of a change."""

    STORE = 'store'
    PEER = 'peer'


class SharedFollower(Follower):
    """Follows a topic that one host of a zone reads for the others.

    :param feed: the :class:`Feed` of the topic.
    """

    def __init__(self, host, store, feed, wait_ms, pause_ms):
        super().__init__(host, store, feed.topic, wait_ms, pause_ms)
        self.feed = feed
        self.source = Source.STORE

    async def _read_once(self):
        self.source = Source.STORE
        if self.position is None or not self.host.feed.followed:
            self.pause_ms = self.reading_pause_ms()
            await super()._read_once()
            return
        self.pause_ms = 0
        self.feed.repeat(None)
        due_ms = self.due_ms()
        until_ms = min(due_ms, self.host.clock.now() + FOLLOWED_MS)
        changes = await self.feed.wait(self.position, until_ms)
        if changes is not None:
            self._take_passed_on(changes)
        elif self.feed.has_gap or self.host.clock.now() >= due_ms:
            # Only a read that does not wait misses nothing.
            await self._read_changes(wait_ms=0)

    async def _read_changes(self, wait_ms):
        """Read the store, also for the other hosts of the zone."""
        start = self.position
        asked_ms = self.host.clock.now()
        records = await super()._read_changes(wait_ms)
        pairs = tuple((record.key, record.value) for record in records)
        changes = Changes(start, self.position, pairs, asked_ms)
        self.feed.publish(changes)
        self.feed.repeat(changes)

    def _take_passed_on(self, changes):
        """Take :class:`Changes` that another host read."""
        self.position = changes.next
        self.source = Source.PEER
        records = [KeyedRecord(key, value) for key, value in changes.records]
        self.take_changes(records, changes.asked_ms)

    def due_ms(self):
        """Return until when to wait for another host's reads."""
        raise NotImplementedError

    def reading_pause_ms(self):
        """Return the pause between this host's own reads."""
        raise NotImplementedError


class ConfigFollower(Follower):
    """Brings the operator's configuration into force."""

    def __init__(self, host, store):
        super().__init__(host, store, CONFIG_TOPIC)
        self.lone_wait_ms = int(host.settings.config_ms * LONE_WAIT_SHARE)

    async def _read_once(self):
        alone = self.host.count_hosts() <= 1
        self.wait_ms = self.lone_wait_ms if alone else WAIT_MS
        await super()._read_once()

    def _note_reachable(self):
        super()._note_reachable()
        self.host.config.followed = True

    def _note_unreachable(self, exc):
        super()._note_unreachable(exc)
        self.host.config.followed = False

    def take_all(self, records, asked_ms):
        """See :class:`Follower`."""
        self.take_changes(records, asked_ms)

    def take_changes(self, records, asked_ms):
        """See :class:`Follower`."""
        for record in records:
            if record.key == CONFIG_KEY and record.value is not None:
                config = self.decode(
                    decoding.decode_configuration, record.value
                )
                if config is not None:
                    self.host.config.offer(config, 'store')
        # A read that waited says that nothing came up to its end.
        newest_ms = asked_ms if records else self.host.clock.now()
        self.host.config.confirm(newest_ms)
