"""Stand-in for the platform's store, which keeps logs.

The records of some logs have keys; of these the store also keeps the
newest record of each key.  It implements the published HTTP protocol.
Tests inject faults, such as outages and lost responses, through its
:class:`StoreFaults`.
"""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import urllib.parse

from pearrun.clock import to_seconds
from pearrun.http1.server import Server

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
JSON = [(b'Content-Type', b'application/json')]
PAGE_ITEMS = 500


@dataclasses.dataclass
class StoreFaults:
    """Faults that are being injected.

    :param status: status of the responses to all calls; 0 for none.
    :param silent: accept calls but never respond.
    :param silent_topics: topics of which the same is true.
    :param lose_answers: number of next appends that are applied but
        not acknowledged.
    :param refused_hosts: source addresses whose calls get status 503.
    :param hold_appends: number of next appends that are not acknowledged, and
        applied only by :meth:`PlatformStore.apply_held_appends`.
    :param long_polls_miss_appends: appends do not wake waiting reads,
        which respond only when their waiting time has passed.
    """

    status: int = 0
    silent: bool = False
    silent_topics: frozenset[str] = frozenset()
    lose_answers: int = 0
    hold_appends: int = 0
    refused_hosts: frozenset[str] = frozenset()
    long_polls_miss_appends: bool = False


@dataclasses.dataclass(frozen=True)
class StoreCall:
    """A call to the store.

    :param caller: the connection to respond on.
    :param query: the query's fields.
    :param losses: how often calls to its topic had been lost when it came.
    """

    caller: object
    query: dict[str, str]
    body: bytes
    losses: int

    @property
    def topic(self):
        """The name of its topic."""
        return self.query.get('topic')


class Topic:
    """The log of a topic, in a single partition.

    ``first`` is the offset of the oldest record that is kept,
    ``newest`` maps each key to a pair of its newest value and the offset
    of that value, and the next append sets the event ``appended``.
    """

    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.appended = asyncio.Event()

    @property
    def end(self):
        """The offset of the next record appended."""
        return self.first + len(self.records)

    def copy(self):
        """Return a copy that later appends do not change."""
        topic = Topic()
        topic.first = self.first
        topic.records = list(self.records)
        topic.newest = dict(self.newest)
        return topic

    def append(self, records, keyed):
        """Append records.

        :param keyed: whether the records have keys.
        :returns: the offset of the first one.
        """
        offset = self.end
        for index, record in enumerate(records):
            self.records.append(record)
            if keyed:
                self._update_newest(record, offset + index)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def _update_newest(self, record, offset):
        size = record[0]
        key = record[1 : 1 + size].decode()
        value = record[1 + size :]
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)


class PlatformStore:
    """The store stand-in.

    :meth:`put` writes what operators and endpoints write to the real
    store.  ``era`` is the value of the header ``Store-Era`` in all responses;
    ``None`` for none.
    """

    def __init__(self):
        self.topics = {}
        self.era = None
        self.faults = StoreFaults()
        self.calls = []
        self._held_appends = []
        self._losses = collections.Counter()
        self.server = Server(self.handle)

    async def listen(self, address):
        """Start serving on ``IP:PORT``."""
        await self.server.listen(address)

    def get_topic(self, name):
        """Return a topic; create it if it does not exist."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write the value of a key to a keyed topic.

        :param value: a value to encode as JSON; ``None`` removes the
            key.
        """
        name = key.encode()
        data = b'' if value is None else json.dumps(value).encode()
        record = bytes([len(name)]) + name + data
        self.get_topic(f'keyed.{topic}').append([record], True)

    def list_values(self, topic):
        """Return the kept records of a keyed topic with JSON values.

        :returns: a list of pairs of a key and a value.
        """
        pairs = []
        for record in self.get_topic(f'keyed.{topic}').records:
            size = record[0]
            value = json.loads(record[1 + size :] or b'null')
            pairs.append((record[1 : 1 + size].decode(), value))
        return pairs

    def delete_history(self, name):
        """Delete a topic's records, but not the newest value of each key."""
        topic = self.get_topic(name)
        topic.first = topic.end
        topic.records = []

    def take_copy(self):
        """Return a copy of all topics."""
        return {name: topic.copy() for name, topic in self.topics.items()}

    def restore(self, topics):
        """Come back from a copy: what was written since is lost.

        :param topics: what :meth:`take_copy` returned.
        """
        lost = self.topics
        self.topics = {name: topic.copy() for name, topic in topics.items()}
        self.era = (self.era or 0) + 1
        for topic in lost.values():
            topic.appended.set()

    def apply_held_appends(self):
        """Apply the appends that were held, while their condition holds."""
        held, self._held_appends = self._held_appends, []
        for query, body in held:
            if self._is_append_due(query):
                self._apply_append(query, body)

    def lose_calls(self, topic):
        """Never respond to the calls to a topic that are in progress."""
        self._losses[topic] += 1

    async def _reply(self, call, status, headers, body):
        if self._losses[call.topic] > call.losses:
            await asyncio.Event().wait()
        if self.era is not None:
            headers = [*headers, (b'Store-Era', str(self.era).encode())]
        await call.caller.reply(status, headers, body)

    async def handle(self, request, caller):
        """Respond to a call; see :class:`Server`."""
        path, _, query_text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        losses = self._losses[query.get('topic')]
        call = StoreCall(caller, query, request.body, losses)
        self.calls.append((path, query))
        peer = caller.transport.get_extra_info('peername')
        if self.faults.silent or call.topic in self.faults.silent_topics:
            await asyncio.Event().wait()
        if self.faults.status or peer[0] in self.faults.refused_hosts:
            await self._reply(call, self.faults.status or 503, JSON, b'{}')
            return
        match path:
            case '/log-append':
                await self._append(call)
            case '/log-read':
                await self._read(call)
            case '/log-newest':
                await self._newest(call)
            case _:
                await self._reply(call, 404, JSON, b'{}')

    async def _append(self, call):
        topic = self.get_topic(call.topic)
        if self.faults.hold_appends:
            self.faults.hold_appends -= 1
            self._held_appends.append((call.query, call.body))
            call.caller.abort()
            return
        if not self._is_append_due(call.query):
            reply = json.dumps({'end': topic.end}).encode()
            await self._reply(call, 412, JSON, reply)
            return
        offset = self._apply_append(call.query, call.body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            call.caller.abort()
            return
        reply = json.dumps({'offset': offset, 'end': topic.end}).encode()
        await self._reply(call, 200, JSON, reply)

    def _is_append_due(self, query):
        """Return whether the condition of an append holds."""
        end = self.get_topic(query['topic']).end
        return 'at' not in query or int(query['at']) == end

    def _apply_append(self, query, body):
        """Append the records of a call; return the first one's offset."""
        topic = self.get_topic(query['topic'])
        keyed = query['topic'].startswith('keyed.')
        return topic.append(split_records(body), keyed)

    async def _read(self, call):
        topic = self.get_topic(call.topic)
        start = int(call.query['from'])
        if start == topic.end and 'wait_ms' in call.query:
            misses_appends = self.faults.long_polls_miss_appends
            appended = asyncio.Event() if misses_appends else topic.appended
            await wait_for(appended, int(call.query['wait_ms']))
            topic = self.get_topic(call.topic)
        if not topic.first <= start <= topic.end:
            reply = json.dumps({'first': topic.first}).encode()
            await self._reply(call, 410, JSON, reply)
            return
        records = topic.records[max(0, start - topic.first) :]
        body = BOUNDS.pack(topic.end, topic.first) + join_records(records)
        await self._reply(call, 200, [], body)

    async def _newest(self, call):
        topic = self.get_topic(call.topic)
        after = call.query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][0]).decode(),
                'offset': topic.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        reply = {
            'items': items,
            'has_more': len(keys) > PAGE_ITEMS,
            'end': topic.end,
        }
        await self._reply(call, 200, JSON, json.dumps(reply).encode())


async def wait_for(event, wait_ms):
    """Wait until an event is set, for ``wait_ms`` at most."""
    try:
        async with asyncio.timeout(to_seconds(wait_ms)):
            await event.wait()
    except TimeoutError:
        return


def split_records(body):
    """Split the body of a request into records."""
    records = []
    while body:
        (size,) = LENGTH.unpack_from(body)
        records.append(bytes(body[4 : 4 + size]))
        body = body[4 + size :]
    return records


def join_records(records):
    """Join records into the body of a response."""
    return b''.join(LENGTH.pack(len(item)) + item for item in records)
