"""Quarantined requests in the platform's store, where they outlive hosts."""

import asyncio

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.platform.followers import FEED_POLL_MS
from pearrun.platform.followers import Follower
from pearrun.shared import cbor
from pearrun.shared import suspects

TOPIC = 'quarantine'
# Pause between reads, while no other host reads for the zone.
READ_PAUSE_MS = 1000
# Interval of checks for quarantined requests that are not saved yet.
SAVE_INTERVAL_MS = 250
SAVE_RETRY_MS = 1000


class QuarantineFollower(Follower):
    """Reads quarantined requests, and saves those detected on this host.

    Every host reads a snapshot at its start.  After that, one host of a zone
    follows the topic and forwards what it reads to the others.
    """

    def __init__(self, host, store):
        super().__init__(host, store, TOPIC, pause_ms=READ_PAUSE_MS)
        self.quarantine = host.quarantine
        self.stored_keys = set()
        self.saved_era = None

    async def run(self):
        """See :class:`Follower`."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super().run())
            tasks.create_task(self._save_periodically())

    async def _read_once(self):
        if self.position is not None and self._has_remote_reader():
            # While another host forwards changes, this one does not follow the
            # topic, so it needs a new snapshot afterwards.
            self.position = None
            await self._wait_for_reader_loss()
        await super()._read_once()
        await self._remove_expired()

    def _has_remote_reader(self):
        """Return whether another host forwards changes to this zone."""
        feed = self.host.feed
        return feed.has_reader and feed.is_reader_active()

    async def _wait_for_reader_loss(self):
        while self._has_remote_reader():
            await asyncio.sleep(to_seconds(FEED_POLL_MS))

    def apply_snapshot(self, records, read_start_ms):
        """See :class:`Follower`."""
        self.stored_keys = set()
        self.apply_changes(records, read_start_ms)

    def _handle_put(self, record):
        self.stored_keys.add(record.key)
        suspect = self.decode_or_skip(decode, record.key, record.value)
        if suspect is None:
            return
        # Monotonic clocks of hosts are not comparable; stored times are
        # wall-clock times.
        dated = suspect.to_clock(
            self.host.corrected_clock.wall(), self.host.clock.now()
        )
        self.quarantine.merge([dated], 'store', forward=True)

    def _handle_removal(self, key):
        self.stored_keys.discard(key)

    async def _remove_expired(self):
        """Remove stored entries of requests no longer known to this host."""
        known = self.quarantine.known.suspects
        expired = [key for key in self.stored_keys if key not in known]
        if expired:
            await self.store.put_all(TOPIC, [(key, None) for key in expired])

    async def _save_periodically(self):
        while True:
            await asyncio.sleep(to_seconds(SAVE_INTERVAL_MS))
            if self.store.era != self.saved_era:
                # A restored store lacks the latest entries.
                self.quarantine.mark_unsaved()
                self.saved_era = self.store.era
            unsaved = self.quarantine.list_unsaved()
            if not unsaved:
                continue
            try:
                await self._save(unsaved)
            except exceptions.PearrunError as exc:
                logger.bind(topic=TOPIC, code=exc.code).info(
                    f'quarantine not saved: {exc.message}'
                )
                await asyncio.sleep(to_seconds(SAVE_RETRY_MS))

    async def _save(self, unsaved):
        now = self.host.clock.now()
        wall = self.host.corrected_clock.wall()
        pairs = [
            (item.fingerprint, encode(item.to_clock(now, wall)))
            for item in unsaved
        ]
        await self.store.put_all(TOPIC, pairs)
        self.quarantine.note_saved(unsaved)
        logger.bind(requests=len(pairs)).info('quarantine saved')


def encode(suspect):
    """Encode a :class:`Suspect`, whose times must be Unix milliseconds."""
    return cbor2.dumps(suspects.to_fields(suspect))


def decode(key, data):
    """Decode a :class:`Suspect`.

    :raises WireFormatError: the data is malformed.
    """
    what = f'quarantine of {key}'
    try:
        return suspects.from_fields(cbor.load(data, what))
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'{what}: {exc}') from exc
