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
from pearrun.platform import listlog
from pearrun.platform.waitlog import WaitLog
from pearrun.shared import cbor
from pearrun.shared import reports
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.versionhistory import DepartedVersion

TOPIC = 'streams'
# Origins of the last interval are lost with all hosts, and most streams last
# for a few seconds only.
SAVE_INTERVAL_MS = 250
# Interval of saves without new origins, which keep the versions known.
IDLE_SAVE_INTERVAL_MS = 1000
READ_RETRY_MS = 300
# How often the log of endpoints' entries is read before what it would prove is
# given up.
LIST_ATTEMPTS = 3
# Interval of checks for the first list of endpoints.
LIST_POLL_MS = 20


@dataclasses.dataclass(frozen=True)
class SavedStreams:
    """What one host knew of streams and versions at a time.

    :param wall_ms: that time, in Unix milliseconds.
    :param origins: :class:`StreamOrigin` objects with the time left.
    :param since_ms: how long it had known all versions; ``None`` if it did
        not know them.
    :param departed: :class:`DepartedVersion` objects with ages.
    :param position: position in the log of endpoints' entries up to which it
        knew the versions; ``None`` if it did not know them.
    """

    wall_ms: int
    origins: tuple[StreamOrigin, ...]
    since_ms: int | None
    departed: tuple[DepartedVersion, ...]
    position: int | None = None


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
        self.saved_ms = 0
        self.wait_log = WaitLog(store, host.caller_waits)

    async def run(self):
        """Read what was saved, then save periodically until cancelled."""
        while not await self._restore():
            await asyncio.sleep(to_seconds(READ_RETRY_MS))
        while True:
            await asyncio.sleep(to_seconds(SAVE_INTERVAL_MS))
            if not self.holds_lease() or not len(self.host.origins):
                self.host.origins.take_unsaved()
                continue
            self._mark_lost()
            unsaved = self.host.origins.take_unsaved()
            idle_ms = self.host.clock.since(self.saved_ms)
            if unsaved or idle_ms >= IDLE_SAVE_INTERVAL_MS:
                self.saved_ms = self.host.clock.now()
                await self._save(unsaved)

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
            await self._restore_versions(saved[-1])
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

    async def _restore_versions(self, saved):
        """Apply the versions, with all that were listed since.

        Without proof of those, streams do not go on without their origin.
        Times are taken from now on, not from when they were saved: a version
        may have served until this host has read the list.
        """
        if saved.since_ms is None or saved.position is None:
            return
        while self.host.fleet.listed_ms is None:
            await asyncio.sleep(to_seconds(LIST_POLL_MS))
        listed = await self._read_listed(saved.position)
        if listed is None:
            return
        now = self.host.clock.now()
        departed = reports.convert_times([*saved.departed, *listed], now)
        self.host.version_history.merge(now - saved.since_ms, departed)

    async def _read_listed(self, position):
        """Return the versions that were listed since a position.

        :returns: :class:`DepartedVersion` objects with ages; ``None`` if
            there is no proof that they are all.
        """
        for _ in range(LIST_ATTEMPTS):
            try:
                return await listlog.read_versions(self.store, position)
            except exceptions.PearrunError as exc:
                logger.bind(
                    topic=reports.ENDPOINT_TOPIC,
                    position=position,
                    code=exc.code,
                ).info(f'past versions not read: {exc.message}')
            await asyncio.sleep(to_seconds(READ_RETRY_MS))
        return None

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
            history.position if is_complete else None,
        )


def encode(saved):
    """Encode a :class:`SavedStreams`."""
    return cbor2.dumps(
        [
            saved.wall_ms,
            [dataclasses.astuple(item) for item in saved.origins],
            saved.since_ms,
            [dataclasses.astuple(item) for item in saved.departed],
            saved.position,
        ]
    )


def decode(data):
    """Decode a :class:`SavedStreams`.

    Records of older builds have no position.

    :raises WireFormatError: the data is malformed.
    """
    try:
        wall_ms, origins, since_ms, departed, *position = cbor.load(
            data, TOPIC
        )
        return SavedStreams(
            int(wall_ms),
            tuple(StreamOrigin(*item) for item in origins),
            since_ms,
            tuple(DepartedVersion(*item) for item in departed),
            *position,
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
