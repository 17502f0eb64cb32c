"""Quarantined requests on the platform's store, where they outlast hosts."""

import asyncio

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.platform.following import FOLLOWED_MS
from pearrun.platform.following import Follower
from pearrun.shared import cbor
from pearrun.shared import suspects

TOPIC = 'quarantine'
# Pause between two reads: after a start, until it is known who reads.
PAUSE_MS = 1000
# How often it is looked for requests to save.
SAVE_MS = 250
SAVE_AGAIN_MS = 1000


class QuarantineFollower(Follower):
    """Reads what was quarantined, and saves what was found here.

    Every host reads all once; then one host of a zone follows the topic and
    tells the others what it reads.
    """

    def __init__(self, host, store):
        super().__init__(host, store, TOPIC, pause_ms=PAUSE_MS)
        self.quarantine = host.quarantine
        self.stored = set()

    async def run(self):
        """See :class:`Follower`."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super().run())
            tasks.create_task(self._save_often())

    async def _read_once(self):
        if self.position is not None and self._is_told():
            # Not followed on: all is read again when nobody tells.
            self.position = None
            await self._wait_until_untold()
        await super()._read_once()
        await self._remove_old()

    def _is_told(self):
        """Say whether another host of the zone reads and is heard."""
        feed = self.host.feed
        return feed.followed and feed.is_heard()

    async def _wait_until_untold(self):
        while self._is_told():
            await asyncio.sleep(to_seconds(FOLLOWED_MS))

    def take_all(self, records, asked_ms):
        """See :class:`Follower`."""
        self.stored = set()
        self.take_changes(records, asked_ms)

    def _put(self, record):
        self.stored.add(record.key)
        suspect = self.decode(decode, record.key, record.value)
        if suspect is None:
            return
        # Other hosts' clocks of monotonic time mean nothing here.
        dated = suspect.to_clock(self.host.time.wall(), self.host.clock.now())
        self.quarantine.merge([dated], 'store', forward=True)

    def _remove(self, key):
        self.stored.discard(key)

    async def _remove_old(self):
        """Remove entries of requests that are forgotten by now."""
        known = self.quarantine.known.suspects
        old = [key for key in self.stored if key not in known]
        if old:
            await self.store.put_all(TOPIC, [(key, None) for key in old])

    async def _save_often(self):
        while True:
            await asyncio.sleep(to_seconds(SAVE_MS))
            unsaved = self.quarantine.list_unsaved()
            if not unsaved:
                continue
            try:
                await self._save(unsaved)
            except exceptions.PearrunError as exc:
                logger.bind(topic=TOPIC, code=exc.code).info(
                    f'quarantine not saved: {exc.message}'
                )
                await asyncio.sleep(to_seconds(SAVE_AGAIN_MS))

    async def _save(self, unsaved):
        now = self.host.clock.now()
        wall = self.host.time.wall()
        pairs = [
            (item.fingerprint, encode(item.to_clock(now, wall)))
            for item in unsaved
        ]
        await self.store.put_all(TOPIC, pairs)
        self.quarantine.note_saved(unsaved)
        logger.bind(requests=len(pairs)).info('quarantine saved')


def encode(suspect):
    """Encode a :class:`Suspect` whose times are Unix milliseconds."""
    return cbor2.dumps(suspects.to_fields(suspect))


def decode(key, data):
    """Decode a :class:`Suspect`.

    :raises WireFormatError: it is none.
    """
    what = f'quarantine of {key}'
    try:
        return suspects.from_fields(cbor.load(data, what))
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'{what}: {exc}') from exc
