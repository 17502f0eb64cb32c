"""The lease's log on the platform's store."""

import asyncio

import cbor2

from pearrun import exceptions
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import RecordKind
from pearrun.shared import cbor

TOPIC = 'duties'


class LeaseLog:
    """Reads and writes the log; keeps a :class:`LeaseView` up to date.

    :param store: the :class:`StoreClient`.
    :param view: the :class:`LeaseView`.
    :param clock: its ``boot`` time counts suspended time.
    """

    def __init__(self, store, view, clock):
        self.store = store
        self.view = view
        self.clock = clock
        # Several duties write; each record follows the one read last.
        self._lock = asyncio.Lock()

    async def read(self):
        """Read all records since the last read.

        :raises StoreError: the store did not answer.
        """
        async with self._lock:
            start = self.view.end or 0
            try:
                batch = await self.store.read(TOPIC, start)
            except exceptions.ExpiredOffsetError as exc:
                self.view.note_expired(exc.first_offset)
                batch = await self.store.read(TOPIC, exc.first_offset)
                if not batch.records:
                    self.view.note_history_lost(self.clock.boot())
            for index, data in enumerate(batch.records):
                self.view.apply(batch.first + index, decode(data))
            self.view.note_end(batch.next, self.clock.boot())

    async def write(self, record):
        """Append a record where the log was read up to.

        :raises StoreConflictError: another host wrote since.
        :raises StoreError: no answer; the record may be written.
        """
        decided_at = self.view.end
        async with self._lock:
            if self.view.end != decided_at:
                raise exceptions.StoreConflictError(
                    'log has grown meanwhile', self.view.end
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

    :raises WireFormatError: it is none.
    """
    try:
        kind, run, window, counts = cbor.load(data, 'lease record')
        return LeaseRecord(RecordKind(kind), run, window, counts)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'lease record: {exc}') from exc
