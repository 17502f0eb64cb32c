"""The log of the lease on the duties, kept in the platform's store."""

import asyncio

import cbor2

from pearrun import exceptions
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
            start = self.view.end or 0
            try:
                batch = await self.store.read(TOPIC, start)
            except exceptions.ExpiredOffsetError as exc:
                self.view.note_expired(exc.first_offset, self.clock.boot())
                batch = await self.store.read(TOPIC, exc.first_offset)
                if not batch.records:
                    self.view.note_history_lost(self.clock.boot())
            for index, data in enumerate(batch.records):
                self.view.apply(batch.first + index, decode(data))
            self.view.note_end(batch.next, self.clock.boot())

    async def write(self, record):
        """Append a record, provided that the log still ends where it was read.

        :raises StoreConflictError: a record was written since.
        :raises StoreError: no response; the record may have been written.
        """
        expected_end = self.view.end
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
    """Encode a :class:`LeaseRecord`."""
    return cbor2.dumps(
        [record.kind.value, record.run, record.window, record.counts]
    )


def decode(data):
    """Decode a :class:`LeaseRecord`.

    :raises WireFormatError: the data is malformed.
    """
    try:
        kind, run, window, counts = cbor.load(data, 'lease record')
        return LeaseRecord(RecordKind(kind), run, window, counts)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'lease record: {exc}') from exc
