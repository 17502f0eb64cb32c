"""Stand-in of the platform's store: logs, some of them keyed.

Speaks the published wire on loopback.  Faults are switched on in its
:class:`StoreFaults`, so that tests meet outages and lost answers.
"""

import asyncio
import base64
import dataclasses
import json
import struct
import urllib.parse

from pearrun.clock import to_seconds
from pearrun.http1.server import Server

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
JSON = [(b'Content-Type', b'application/json')]
PAGE = 500


@dataclasses.dataclass
class StoreFaults:
    """What goes wrong now.

    :param status: answer every call with this status; 0 for none.
    :param silent: take calls and never answer.
    :param lose_answers: this many next appends happen and are not
        answered.
    :param refused_hosts: source addresses that get 503.
    :param missed_records: reads that wait do not see what comes, and
        answer at the end of their wait.
    """

    status: int = 0
    silent: bool = False
    lose_answers: int = 0
    refused_hosts: frozenset[str] = frozenset()
    missed_records: bool = False


class Topic:
    """One partition: records from ``first`` on."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        """The offset after the last record."""
        return self.first + len(self.records)

    def append(self, records, keyed):
        """Append records; return the first one's offset."""
        offset = self.end
        for index, record in enumerate(records):
            self.records.append(record)
            if keyed:
                self._keep_newest(record, offset + index)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def _keep_newest(self, record, offset):
        size = record[0]
        key = record[1 : 1 + size].decode()
        value = record[1 + size :]
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)


class PlatformStore:
    """The store; :meth:`put` writes as the operator or a runner would."""

    def __init__(self):
        self.topics = {}
        self.faults = StoreFaults()
        self.calls = []
        self.server = Server(self._handle)

    async def listen(self, address):
        """Begin to serve on ``IP:PORT``."""
        await self.server.listen(address)

    def topic(self, name):
        """Return a topic, made on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a key of a keyed topic.

        :param value: a JSON-ready body; ``None`` removes the key.
        """
        name = key.encode()
        data = b'' if value is None else json.dumps(value).encode()
        record = bytes([len(name)]) + name + data
        self.topic(f'keyed.{topic}').append([record], True)

    def forget_history(self, name):
        """Delete a topic's records; the newest of each key stays."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records = []

    async def _handle(self, request, caller):
        path, _, query_text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        self.calls.append((path, query))
        peer = caller.transport.get_extra_info('peername')
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.status or peer[0] in self.faults.refused_hosts:
            await caller.reply(self.faults.status or 503, JSON, b'{}')
            return
        match path:
            case '/log-append':
                await self._append(query, request.body, caller)
            case '/log-read':
                await self._read(query, caller)
            case '/log-newest':
                await self._newest(query, caller)
            case _:
                await caller.reply(404, JSON, b'{}')

    async def _append(self, query, body, caller):
        topic = self.topic(query['topic'])
        if 'at' in query and int(query['at']) != topic.end:
            reply = json.dumps({'end': topic.end}).encode()
            await caller.reply(412, JSON, reply)
            return
        keyed = query['topic'].startswith('keyed.')
        offset = topic.append(split_records(body), keyed)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            caller.abort()
            return
        reply = json.dumps({'offset': offset, 'end': topic.end}).encode()
        await caller.reply(200, JSON, reply)

    async def _read(self, query, caller):
        topic = self.topic(query['topic'])
        start = int(query['from'])
        if start < topic.first:
            reply = json.dumps({'first': topic.first}).encode()
            await caller.reply(410, JSON, reply)
            return
        if start >= topic.end and 'wait_ms' in query:
            missed = self.faults.missed_records
            grown = asyncio.Event() if missed else topic.grown
            await wait_for(grown, int(query['wait_ms']))
        records = topic.records[max(0, start - topic.first) :]
        body = BOUNDS.pack(topic.end, topic.first) + join_records(records)
        await caller.reply(200, [], body)

    async def _newest(self, query, caller):
        topic = self.topic(query['topic'])
        after = query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][0]).decode(),
                'offset': topic.newest[key][1],
            }
            for key in keys[:PAGE]
        ]
        reply = {
            'items': items,
            'has_more': len(keys) > PAGE,
            'end': topic.end,
        }
        await caller.reply(200, JSON, json.dumps(reply).encode())


async def wait_for(event, wait_ms):
    """Wait for an event, or for so many milliseconds."""
    try:
        async with asyncio.timeout(to_seconds(wait_ms)):
            await event.wait()
    except TimeoutError:
        return


def split_records(body):
    """Split a call's body into records."""
    records = []
    while body:
        (size,) = LENGTH.unpack_from(body)
        records.append(bytes(body[4 : 4 + size]))
        body = body[4 + size :]
    return records


def join_records(records):
    """Join records into a body."""
    return b''.join(LENGTH.pack(len(item)) + item for item in records)
