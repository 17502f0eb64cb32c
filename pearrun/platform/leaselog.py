"""The log of the lease on the duties, kept in the platform's store."""

import asyncio
import dataclasses

import cbor2
from loguru import logger

from pearrun import exceptions
from pearrun import positions
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import RecordKind
from pearrun.shared import cbor

TOPIC = 'duties'


class LeaseLog:
    """Reads and writes the lease log; keeps a :class:`LeaseView` up to date.

    :param store: the :class:`StoreClient`.
    :param view: the :class:`LeaseView`.
    :param clock: the :class:`Clock`; its ``boot`` time is used, since a lease
        also runs out while the host is suspended.
    """

    def __init__(self, store, view, clock):
        self.store = store
        self.view = view
        self.clock = clock
        # Several duties write concurrently, and each write is conditional on
        # the offset read last.
        self._lock = asyncio.Lock()

    async def read(self):
        """Read and apply all records written since the last read.

        :raises StoreError: the store did not respond.
        """
        async with self._lock:
            try:
                batch = await self._read_batch(self.view.end)
            except exceptions.StoreRestoredError as exc:
                self.view.note_restored()
                logger.bind(code=exc.code, run=self.view.run).warning(
                    f'lease log is read anew: {exc.message}'
                )
                batch = await self._read_batch(None)
            for index, data in enumerate(batch.records):
                self.view.apply(batch.first + index, decode(data))
            self.view.note_end(batch.next, self.clock.boot())

    async def _read_batch(self, start):
        """Read the records from a position on that are still kept.

        :param start: the position; ``None`` for the beginning of the log.
        """
        try:
            return await self.store.read(TOPIC, start)
        except exceptions.ExpiredOffsetError as exc:
            self.view.note_expired(exc.first_offset, self.clock.boot())
            batch = await self.store.read(TOPIC, exc.first_offset)
            if not batch.records:
                self.view.note_history_lost(self.clock.boot())
            return batch

    async def write(self, record):
        """Append a record, provided that the log still ends where it was read.

        :raises StoreConflictError: a record was written since, or the store
            was restored.
        :raises StoreError: no response; the record may have been written.
        """
        expected_end = self.view.end
        if expected_end is None:
            raise exceptions.StoreConflictError('log has not been read')
        record = dataclasses.replace(
            record, era=positions.get_era(expected_end)
        )
        async with self._lock:
            if self.view.end != expected_end:
                raise exceptions.StoreConflictError(
                    'log has grown since the write was requested',
                    self.view.end,
                )
            sent_ms = self.clock.boot()
            offset = await self.store.append(
                TOPIC, [encode(record)], at=self.view.end
            )
            self.view.note_written(offset, record, sent_ms)


def encode(record):
    """Encode a :class:`LeaseRecord`.

    Builds without eras read records of era 0.
    """
    fields = [record.kind.value, record.run, record.window, record.counts]
    if record.era:
        fields.append(record.era)
    return cbor2.dumps(fields)


def decode(data):
    """Decode a :class:`LeaseRecord`.

    :raises WireFormatError: the data is malformed.
    """
    try:
        kind, run, window, counts, *era = cbor.load(data, 'lease record')
        return LeaseRecord(RecordKind(kind), run, window, counts, *era)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'lease record: {exc}') from exc
