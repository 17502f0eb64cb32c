"""Client of the platform's store, which holds logs and keyed logs.

All state that hosts share or persist goes through this client.  A keyed log
can be read as a snapshot: the newest record of every key.

The store may come back from a copy and lose what it has acknowledged since.
Each response names its era, which rises every time; a call that refers to a
position of an earlier era fails, so that its caller reads the log anew.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import urllib.parse

from pearrun import exceptions
from pearrun import positions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings
from pearrun.platform import headers as header_names
from pearrun.platform.storeera import EraTracker

KEYED_PREFIX = 'keyed.'
# The store is a few ms away and usually responds in 4 ms.
CONNECT_TIMEOUT_MS = 1000
# How long sent data may stay unacknowledged before the connection is closed.
TCP_USER_TIMEOUT_MS = 1500
# Enough for one long poll per followed topic and a few short calls.
MAX_CONNECTIONS = 12
# Timeout of short calls; a slow store takes 50 times its usual 4 ms.
CALL_TIMEOUT_MS = 1500
# Added to the wait of a long poll to get its timeout.
LONG_POLL_MARGIN_MS = 1000
# Timeout of a read that does not wait; longer than a slow store takes.  It
# leaves time for a second read, after one that hangs, before a drain must be
# acted on.  Each consecutive failure doubles the timeout, up to
# LONG_POLL_MARGIN_MS.
READ_TIMEOUT_MS = 300
MAX_TIMEOUT_DOUBLINGS = 2
MAX_BODY_BYTES = 8 * 1024 * 1024
# Length in bytes, which precedes each record.
RECORD_LENGTH = struct.Struct('>I')
# End and first offset, which precede the records in the response to a read.
READ_BOUNDS = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a key; ``value`` is ``None`` if the key was removed.

    :param offset: its position in the log; -1 if unknown.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(frozen=True)
class Batch:
    """Records read from a log.

    :param first: position of the first record in the batch.
    :param next: position to read from next.
    """

    first: int
    records: list[bytes]
    next: int


@dataclasses.dataclass(frozen=True)
class StoreResponse:
    """A response of the store.

    :param era: the era in which the store executed the call.
    """

    era: int
    status: int
    body: bytes

    def make_position(self, offset):
        """Return the position of an offset that the response contains."""
        return positions.make_position(self.era, offset)


class StoreClient:
    """Client of the platform's store.

    :param settings: :class:`StoreSettings`.

    ``eras`` is the :class:`EraTracker` of its responses.
    """

    def __init__(self, settings):
        self.settings = settings
        self.clock = Clock()
        self.eras = EraTracker(MAX_CONNECTIONS)
        self.calls = collections.Counter()
        self._read_ms = {}
        self.failures = 0
        self.failing = False
        self._consecutive_failures = 0
        self.pool = make_pool(settings.address)

    def update_settings(self, settings):
        """Apply changed settings; a new address gets a new connection pool."""
        if settings.address != self.settings.address:
            self.pool.close()
            self.pool = make_pool(settings.address)
            self.eras = EraTracker(MAX_CONNECTIONS)
        self.settings = settings

    @property
    def era(self):
        """The latest era; ``None`` before the first response."""
        return self.eras.latest

    def get_read_ages(self):
        """Return the time since a read of each topic last returned."""
        return {
            topic: self.clock.since(read_ms)
            for topic, read_ms in self._read_ms.items()
        }

    async def append(
        self, topic, records, at=None, timeout_ms=CALL_TIMEOUT_MS
    ):
        """Append records to a topic.

        :param records: byte strings.
        :param at: position at which the topic must end for the append to
            succeed; ``None`` to append unconditionally.
        :param timeout_ms: timeout of the call.
        :returns: the position of the first record.
        :raises StoreConflictError: the topic ends at another offset.
        :raises StoreRestoredError: the store has been restored since ``at``
            was read; the append may have been executed.
        :raises RateLimitedError: the store's rate limit was exceeded.
        :raises StoreUnavailableError: no response; the append may still be
            executed while its condition holds.
        """
        query = {'topic': topic, 'part': 0}
        if at is not None:
            query['at'] = positions.get_offset(at)
        body = b''.join(
            RECORD_LENGTH.pack(len(item)) + item for item in records
        )
        response = await self._call(
            'POST', '/log-append', query, body, timeout_ms, at
        )
        reply = parse_json(response.body)
        if response.status == 412:
            raise exceptions.StoreConflictError(
                'log does not end at the expected offset',
                response.make_position(reply['end']),
            )
        check_status(response)
        return response.make_position(reply['offset'])

    async def read(self, topic, start, wait_ms=0):
        """Read records from a position on, optionally waiting for the first.

        :param start: the position; ``None`` for the beginning of the log.
        :param wait_ms: how long the store waits while there is none.
        :returns: a :class:`Batch`.
        :raises ExpiredOffsetError: the record at this position was deleted.
        :raises StoreRestoredError: the store has been restored since the
            position was read.
        :raises RateLimitedError: the store's rate limit was exceeded.
        :raises StoreUnavailableError: no response, or an error status.
        """
        offset = 0 if start is None else positions.get_offset(start)
        query = {'topic': topic, 'part': 0, 'from': offset}
        if wait_ms:
            query['wait_ms'] = wait_ms
        response = await self._call(
            'GET',
            '/log-read',
            query,
            b'',
            self._get_read_timeout_ms(wait_ms),
            start,
        )
        if response.status == 410:
            first = parse_json(response.body).get('first', 0)
            raise exceptions.ExpiredOffsetError(
                f'{topic}: offset {offset} expired',
                first_offset=response.make_position(first),
            )
        check_status(response)
        records = split_records(response.body[READ_BOUNDS.size :])
        first = response.make_position(offset)
        return Batch(first, records, first + len(records))

    async def read_newest(self, topic):
        """Read the newest record of every key of a keyed topic.

        :returns: ``(records, end)``: a list of :class:`KeyedRecord` and
            the position from which later changes can be read.  This is the
            end reported with the first page, so that no change between pages
            is missed.
        :raises StoreRestoredError: the store was restored between two pages.
        :raises RateLimitedError: the store's rate limit was exceeded.
        :raises StoreUnavailableError: no response, or an error status.
        """
        records = []
        end = None
        query = {'topic': KEYED_PREFIX + topic, 'part': 0}
        while True:
            response = await self._call(
                'GET', '/log-newest', query, b'', CALL_TIMEOUT_MS * 2, end
            )
            check_status(response)
            reply = parse_json(response.body)
            if end is None:
                end = response.make_position(reply['end'])
            items = reply.get('items') or []
            for item in items:
                value = base64.b64decode(item['value'])
                position = response.make_position(item['offset'])
                records.append(KeyedRecord(item['key'], value, position))
            if not reply.get('has_more') or not items:
                return records, end
            query['after'] = items[-1]['key']

    async def put(
        self, topic, key, value, timeout_ms=CALL_TIMEOUT_MS, at=None
    ):
        """Write one key of a keyed topic.

        :param value: the new value as bytes; ``None`` removes the key.
        :param at: see :meth:`append`.
        """
        return await self.put_all(topic, [(key, value)], timeout_ms, at)

    async def put_all(self, topic, pairs, timeout_ms=CALL_TIMEOUT_MS, at=None):
        """Write several keys of a keyed topic atomically.

        :param pairs: keys and values; see :meth:`put`.
        :param at: see :meth:`append`.
        """
        records = [encode_keyed(key, value) for key, value in pairs]
        return await self.append(KEYED_PREFIX + topic, records, at, timeout_ms)

    async def read_changes(self, topic, start, wait_ms):
        """Read changes of a keyed topic.

        :param start: position to read from; see :meth:`read_newest`.
        :param wait_ms: how long the store waits while there is no change.
        :returns: ``(records, next)``: a list of :class:`KeyedRecord` and
            the position to read from next.
        """
        batch = await self.read(KEYED_PREFIX + topic, start, wait_ms)
        records = [
            decode_keyed(item, batch.first + index)
            for index, item in enumerate(batch.records)
        ]
        return records, batch.next

    def _get_read_timeout_ms(self, wait_ms):
        """Return the timeout of a read, in milliseconds.

        :param wait_ms: how long the store waits for records.
        """
        if wait_ms:
            return wait_ms + LONG_POLL_MARGIN_MS
        return min(
            LONG_POLL_MARGIN_MS, READ_TIMEOUT_MS << self._consecutive_failures
        )

    async def _call(self, method, path, query, body, timeout_ms, position):
        """Make a call.

        :param position: the position that the call refers to; ``None`` if it
            refers to none.
        :returns: a :class:`StoreResponse`.
        :raises StoreRestoredError: the position is of an earlier era.
        :raises StoreUnavailableError: no response, or one of an earlier era.
        """
        self.calls[path.rpartition('-')[2], query['topic']] += 1
        target = f'{path}?{urllib.parse.urlencode(query)}'
        headers = [('Host', self.settings.address)]
        if method == 'POST':
            headers.append(('Content-Length', str(len(body))))
        try:
            async with asyncio.timeout(to_seconds(timeout_ms)):
                response = await self.pool.fetch(
                    method, target, headers, body, MAX_BODY_BYTES
                )
        except (exceptions.PearrunError, TimeoutError) as exc:
            self.failures += 1
            self._consecutive_failures = min(
                MAX_TIMEOUT_DOUBLINGS, self._consecutive_failures + 1
            )
            self.failing = True
            if exceptions.is_peer_silent(exc):
                # The idle connections may be dead for the same reason, and
                # each would make another call time out.
                self.pool.close()
            raise exceptions.StoreUnavailableError(
                f'{path}: {exc or "timed out"}'
            ) from exc
        self._consecutive_failures = 0
        previous = self.era
        era = self.eras.note(response.head.get(header_names.STORE_ERA))
        # Long polls of the former era may never return.
        self.failing |= previous not in (None, self.era)
        if response.head.status < 500 and response.head.status != 429:
            self._abort_hanging_calls()
        if era < self.era:
            raise exceptions.StoreUnavailableError(
                f'{path}: response of era {era}, before {self.era}'
            )
        if position is not None and positions.get_era(position) != era:
            raise exceptions.StoreRestoredError(
                f'{query["topic"]}: store restored, era {era}'
            )
        if method == 'GET':
            self._read_ms[query['topic']] = self.clock.now()
        return StoreResponse(era, response.head.status, response.body)

    def _abort_hanging_calls(self):
        """After an outage, abort all calls in flight: they may hang."""
        if not self.failing:
            return
        self.failing = False
        for connection in list(self.pool.in_flight):
            connection.abort()


def make_pool(address):
    """Return a connection pool for the store."""
    limits = PoolSettings(
        MAX_CONNECTIONS, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS
    )
    return Pool(address, limits)


def check_status(response):
    """Raise the error that corresponds to a response's status."""
    status = response.status
    if status == 429:
        raise exceptions.RateLimitedError('store rate limit exceeded')
    if status != 200:
        raise exceptions.StoreUnavailableError(
            f'store returned status {status}'
        )


def parse_json(body):
    """Parse a JSON body; an empty one yields an empty dictionary."""
    try:
        return json.loads(body) if body else {}
    except ValueError as exc:
        raise exceptions.WireFormatError(f'store response: {exc}') from exc


def split_records(data):
    """Split a body into records, each preceded by its length."""
    records = []
    position = 0
    while position + RECORD_LENGTH.size <= len(data):
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        records.append(bytes(data[position : position + size]))
        position += size
    return records


def encode_keyed(key, value):
    """Encode a key and a value as a keyed record."""
    name = key.encode()
    return bytes([len(name)]) + name + (value or b'')


def decode_keyed(record, offset=-1):
    """Decode a keyed record.

    :param offset: its offset in the log.

    Invalid UTF-8 in a key is replaced: such a key matches nothing known, and
    the records after it can still be read.
    """
    size = record[0] if record else 0
    key = record[1 : 1 + size].decode('utf-8', 'replace')
    value = record[1 + size :]
    return KeyedRecord(key, value or None, offset)
