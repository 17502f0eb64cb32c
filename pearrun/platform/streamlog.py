"""Origins of streams in the platform's store, where they outlive all hosts.

Load pattern: all hosts lose power at once and are back within a second or two;
callers then resume the streams that were lost.
"""

import asyncio
import dataclasses

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.platform.waitlog import WaitLog
from pearrun.shared import cbor
from pearrun.shared import reports
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.versionhistory import DepartedVersion
from pearrun.shared.versionhistory import MAX_GAP_MS

TOPIC = 'streams'
# Origins of the last interval are lost with all hosts; each save is a call to
# the store.
SAVE_INTERVAL_MS = 1000
READ_RETRY_MS = 300


@dataclasses.dataclass(frozen=True)
class SavedStreams:
    """What one host knew of streams and versions at a time.

    :param wall_ms: that time, in Unix milliseconds.
    :param origins: :class:`StreamOrigin` objects with the time left.
    :param since_ms: how long it had known all versions; ``None`` if it did
        not know them.
    :param departed: :class:`DepartedVersion` objects with ages.
    """

    wall_ms: int
    origins: tuple[StreamOrigin, ...]
    since_ms: int | None
    departed: tuple[DepartedVersion, ...]


class StreamLog:
    """Saves origins while this host holds the lease; reads them at its start.

    :param host: shared objects of this host.
    :param store: the :class:`StoreClient`.
    :param holds_lease: returns whether this host holds the lease.
    """

    def __init__(self, host, store, holds_lease):
        self.host = host
        self.store = store
        self.holds_lease = holds_lease
        self.saved_era = None
        self.wait_log = WaitLog(store, host.caller_waits)

    async def run(self):
        """Read what was saved, then save periodically until cancelled."""
        while not await self._restore():
            await asyncio.sleep(to_seconds(READ_RETRY_MS))
        while True:
            await asyncio.sleep(to_seconds(SAVE_INTERVAL_MS))
            if self.holds_lease() and len(self.host.origins):
                self._mark_lost()
                await self._save(self.host.origins.take_unsaved())
            else:
                self.host.origins.take_unsaved()

    def _mark_lost(self):
        """Mark the latest origins as unsaved, which the store may lack.

        It lacks some after a restore, and after the loss of the last holder.
        """
        if self.store.era != self.saved_era:
            self.saved_era = self.store.era
            self.host.origins.mark_unsaved()
            self.host.caller_waits.mark_unsaved()

    async def _restore(self):
        """Apply the records that the store still has.

        :returns: whether the store answered.
        """
        try:
            records = await self._read()
            await self.wait_log.read()
        except exceptions.PearrunError as exc:
            logger.bind(topic=TOPIC, code=exc.code).info(
                f'stream origins not read: {exc.message}'
            )
            return False
        saved = [item for item in map(decode_or_skip, records) if item]
        for item in saved:
            self._apply_origins(item)
        if saved:
            self._apply_versions(saved[-1])
            logger.bind(
                origins=len(self.host.origins),
                age_ms=self._get_age_ms(saved[-1]),
            ).info('stream origins restored')
        return True

    async def _read(self):
        try:
            batch = await self.store.read(TOPIC, None)
        except exceptions.ExpiredOffsetError as exc:
            batch = await self.store.read(TOPIC, exc.first_offset)
        return batch.records

    def _get_age_ms(self, saved):
        return max(0, self.host.corrected_clock.wall() - saved.wall_ms)

    def _apply_origins(self, saved):
        now = self.host.clock.now() - self._get_age_ms(saved)
        self.host.origins.restore(
            [origin.to_time(now) for origin in saved.origins]
        )

    def _apply_versions(self, saved):
        """Apply the versions, unless some may have come and gone since."""
        age_ms = self._get_age_ms(saved)
        if saved.since_ms is None or age_ms > MAX_GAP_MS:
            return
        now = self.host.clock.now() - age_ms
        self.host.version_history.merge(
            now - saved.since_ms, reports.convert_times(saved.departed, now)
        )

    async def _save(self, unsaved):
        try:
            await self.wait_log.save()
            await self.store.append(TOPIC, [encode(self._describe(unsaved))])
        except exceptions.PearrunError as exc:
            logger.bind(topic=TOPIC, code=exc.code, origins=len(unsaved)).info(
                f'stream origins not saved: {exc.message}'
            )

    def _describe(self, unsaved):
        """Return the :class:`SavedStreams` to save now."""
        now = self.host.clock.now()
        history = self.host.version_history
        is_complete = history.is_complete()
        return SavedStreams(
            self.host.corrected_clock.wall(),
            tuple(origin.to_left(now) for origin in unsaved),
            now - history.since_ms if is_complete else None,
            reports.convert_times(history.list_departed(), now),
        )


def encode(saved):
    """Encode a :class:`SavedStreams`."""
    return cbor2.dumps(
        [
            saved.wall_ms,
            [dataclasses.astuple(item) for item in saved.origins],
            saved.since_ms,
            [dataclasses.astuple(item) for item in saved.departed],
        ]
    )


def decode(data):
    """Decode a :class:`SavedStreams`.

    :raises WireFormatError: the data is malformed.
    """
    try:
        wall_ms, origins, since_ms, departed = cbor.load(data, TOPIC)
        return SavedStreams(
            int(wall_ms),
            tuple(StreamOrigin(*item) for item in origins),
            since_ms,
            tuple(DepartedVersion(*item) for item in departed),
        )
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'{TOPIC}: {exc}') from exc


def decode_or_skip(data):
    """Decode a record; log it and return ``None`` if it is malformed."""
    try:
        return decode(data)
    except exceptions.WireFormatError as exc:
        logger.bind(topic=TOPIC, code=exc.code).error(
            f'malformed record skipped: {exc.message}'
        )
        return None
