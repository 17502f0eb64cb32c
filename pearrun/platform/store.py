"""Client of the platform's store: logs, some of them keyed.

All that hosts agree on or keep goes through this one client.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import urllib.parse

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1.pool import Pool
from pearrun.http1.pool import PoolSettings

KEYED_PREFIX = 'keyed.'
# A connection to the store that cannot be opened in this time is given
# up; the store is a few ms away and answers in 4 ms.
CONNECT_MS = 1000
# Unacknowledged bytes end a connection to the store after this long.
SILENCE_MS = 1500
# Most connections at once: one long poll for each followed topic, and a
# few short calls.
MAX_CONNECTIONS = 12
# How long a short call may take; a slow store takes 50 times its 4 ms.
CALL_MS = 1500
# Added to a long poll's own time before it is given up.
POLL_MARGIN_MS = 1000
# How long a read that does not wait may take: more than a slow store takes.
# What hangs leaves time for another one while a drain has to be acted on,
# which may take twice as long, up to the margin above.
READ_NOW_MS = 300
MOST_DOUBLED = 2
MAX_BODY_BYTES = 8 * 1024 * 1024
LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """The newest record of a key; ``value`` is ``None`` if removed."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Batch:
    """Records read from a log.

    :param first: offset of the first record in the batch.
    :param next: offset to read from next.
    """

    first: int
    records: list[bytes]
    next: int


class StoreClient:
    """Calls the platform's store.

    :param settings: :class:`StoreSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.calls = collections.Counter()
        self.failures = 0
        self.failing = False
        self._failed_in_row = 0
        self.pool = make_pool(settings.address)

    def use(self, settings):
        """Take changed settings; a new address gets new connections."""
        if settings.address != self.settings.address:
            self.pool.close()
            self.pool = make_pool(settings.address)
        self.settings = settings

    async def append(self, topic, records, at=None, call_ms=CALL_MS):
        """Append records to a topic.

        :param records: byte strings.
        :param at: the offset at which the topic must end, or ``None``.
        :returns: the offset of the first record.
        :raises StoreConflictError: the topic ends elsewhere.
        :raises RateLimitedError: too many calls.
        :raises StoreUnavailableError: no answer; the append may still
            happen while its condition holds.
        """
        query = {'topic': topic, 'part': 0}
        if at is not None:
            query['at'] = at
        body = b''.join(LENGTH.pack(len(item)) + item for item in records)
        response = await self._call(
            'POST', '/log-append', query, body, call_ms
        )
        reply = parse_json(response.body)
        if response.head.status == 412:
            raise exceptions.StoreConflictError(
                'log ends elsewhere', reply['end']
            )
        check_status(response)
        return reply['offset']

    async def read(self, topic, start, wait_ms=0):
        """Read records from an offset on, waiting for the first one.

        :param wait_ms: how long to wait while there is none.
        :returns: a :class:`Batch`.
        :raises ExpiredOffsetError: the records were deleted.
        :raises StoreUnavailableError: no answer.
        """
        query = {'topic': topic, 'part': 0, 'from': start}
        if wait_ms:
            query['wait_ms'] = wait_ms
        response = await self._call(
            'GET', '/log-read', query, b'', self._limit_read(wait_ms)
        )
        if response.head.status == 410:
            first = parse_json(response.body).get('first', 0)
            raise exceptions.ExpiredOffsetError(
                f'{topic}: {start} expired', first_offset=first
            )
        check_status(response)
        records = split_records(response.body[BOUNDS.size :])
        return Batch(start, records, start + len(records))

    async def newest(self, topic):
        """Read the newest record of every key of a keyed topic.

        :returns: ``(records, end)``: a list of :class:`KeyedRecord` and
            the offset from which later changes can be read.  The end is
            that of the first page, so no change is missed between pages.
        """
        records = []
        end = None
        query = {'topic': KEYED_PREFIX + topic, 'part': 0}
        while True:
            response = await self._call(
                'GET', '/log-newest', query, b'', CALL_MS * 2
            )
            check_status(response)
            reply = parse_json(response.body)
            end = reply['end'] if end is None else end
            items = reply.get('items') or []
            for item in items:
                value = base64.b64decode(item['value'])
                records.append(KeyedRecord(item['key'], value))
            if not reply.get('has_more') or not items:
                return records, end
            query['after'] = items[-1]['key']

    async def put(self, topic, key, value, call_ms=CALL_MS):
        """Write a key of a keyed topic; ``None`` removes it."""
        return await self.put_all(topic, [(key, value)], call_ms)

    async def put_all(self, topic, pairs, call_ms=CALL_MS):
        """Write several keys of a keyed topic, all of them or none.

        :param pairs: keys and values; see :meth:`put`.
        """
        records = [join_key(key, value) for key, value in pairs]
        return await self.append(
            KEYED_PREFIX + topic, records, call_ms=call_ms
        )

    async def follow(self, topic, start, wait_ms):
        """Read changes of a keyed topic.

        :returns: ``(records, next)``; see :meth:`newest`.
        """
        batch = await self.read(KEYED_PREFIX + topic, start, wait_ms)
        return [split_key(item) for item in batch.records], batch.next

    def _limit_read(self, wait_ms):
        """Return how long a read may take, in milliseconds.

        :param wait_ms: how long the store waits for records.
        """
        if wait_ms:
            return wait_ms + POLL_MARGIN_MS
        return min(POLL_MARGIN_MS, READ_NOW_MS << self._failed_in_row)

    async def _call(self, method, path, query, body, call_ms):
        self.calls[path.rpartition('-')[2], query['topic']] += 1
        target = f'{path}?{urllib.parse.urlencode(query)}'
        headers = [('Host', self.settings.address)]
        if method == 'POST':
            headers.append(('Content-Length', str(len(body))))
        try:
            async with asyncio.timeout(to_seconds(call_ms)):
                response = await self.pool.fetch(
                    method, target, headers, body, MAX_BODY_BYTES
                )
        except (exceptions.PearrunError, TimeoutError) as exc:
            self.failures += 1
            self._failed_in_row = min(MOST_DOUBLED, self._failed_in_row + 1)
            self.failing = True
            if exceptions.is_peer_silent(exc):
                # What silenced this connection may have silenced the idle
                # ones: each would cost another call its whole time.
                self.pool.close()
            raise exceptions.StoreUnavailableError(
                f'{path}: {exc or "timed out"}'
            ) from exc
        self._failed_in_row = 0
        if response.head.status < 500 and response.head.status != 429:
            self._note_answer()
        return response

    def _note_answer(self):
        """End reads that wait since before an outage: they may hang."""
        if not self.failing:
            return
        self.failing = False
        for connection in list(self.pool.in_flight):
            connection.abort()


def make_pool(address):
    """Return a pool of connections to the store."""
    limits = PoolSettings(MAX_CONNECTIONS, CONNECT_MS, SILENCE_MS)
    return Pool(address, limits)


def check_status(response):
    """Raise the error that a response's status stands for."""
    status = response.head.status
    if status == 429:
        raise exceptions.RateLimitedError('the store refused the call')
    if status != 200:
        raise exceptions.StoreUnavailableError(f'the store said {status}')


def parse_json(body):
    """Parse a response's body; an empty one is an empty map."""
    try:
        return json.loads(body) if body else {}
    except ValueError as exc:
        raise exceptions.WireFormatError(f'store: {exc}') from exc


def split_records(data):
    """Split a body into records, each behind its length."""
    records = []
    position = 0
    while position + LENGTH.size <= len(data):
        (size,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        records.append(bytes(data[position : position + size]))
        position += size
    return records


def join_key(key, value):
    """Join key and value into a keyed record."""
    name = key.encode()
    return bytes([len(name)]) + name + (value or b'')


def split_key(record):
    """Split a keyed record into key and value.

    A key that is no text gets replacement characters: it names nothing
    known, and what follows it can still be read.
    """
    size = record[0] if record else 0
    key = record[1 : 1 + size].decode('utf-8', 'replace')
    value = record[1 + size :]
    return KeyedRecord(key, value or None)
