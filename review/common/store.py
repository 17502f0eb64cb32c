"""Stand-in for the platform's store: logs and keyed logs.

``silent_topics`` are partitions that are down silently: calls to them, and
calls that were waiting there, get no response, and their connections return
nothing further.
"""

import asyncio
import base64
import json
import struct

from common.http import encode_response
from common.http import Server

LENGTH = struct.Struct('>I')
BOUNDS = struct.Struct('>QQ')
JSON = (('Content-Type', 'application/json'),)


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, records, keyed):
        offset = len(self.records)
        self.records.extend(records)
        for index, record in enumerate(records if keyed else ()):
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            if value:
                self.newest[key] = (value, offset + index)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    def __init__(self):
        self.topics = {}
        self.silent_topics = set()
        self.swallowed = 0
        self.waiting = {}
        self.server = Server(self._handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a key, as the operator and the runners do."""
        name = key.encode()
        data = b'' if value is None else json.dumps(value).encode()
        record = bytes([len(name)]) + name + data
        return self.topic(f'keyed.{topic}').append([record], True)

    def silence(self, topic):
        """Take a partition down; calls that wait there are lost."""
        self.silent_topics.add(topic)
        for lost in self.waiting.get(topic, ()):
            lost.set()

    def restore(self, topic):
        """Bring a partition back; it serves the calls sent from now on."""
        self.silent_topics.discard(topic)

    async def _handle(self, request, writer, peer):
        query = request.query
        name = query.get('topic', '')
        lost = asyncio.Event()
        waiting = self.waiting.setdefault(name, set())
        waiting.add(lost)
        if name in self.silent_topics:
            lost.set()
        answering = asyncio.ensure_future(self._answer(request, query))
        losing = asyncio.ensure_future(lost.wait())
        try:
            await asyncio.wait(
                (answering, losing), return_when=asyncio.FIRST_COMPLETED
            )
            if lost.is_set():
                self.swallowed += 1
                await asyncio.Event().wait()
            writer.write(answering.result())
            await writer.drain()
            return True
        finally:
            waiting.discard(lost)
            answering.cancel()
            losing.cancel()

    async def _answer(self, request, query):
        await asyncio.sleep(0.004)
        match request.path:
            case '/log-append':
                return self._append(query, request.body)
            case '/log-read':
                return await self._read(query)
            case '/log-newest':
                return self._newest(query)
        return encode_response(404, JSON, b'{}')

    def _append(self, query, body):
        topic = self.topic(query['topic'])
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            return encode_response(
                412, JSON, json.dumps({'end': end}).encode()
            )
        records = []
        while body:
            (size,) = LENGTH.unpack_from(body)
            records.append(bytes(body[4 : 4 + size]))
            body = body[4 + size :]
        offset = topic.append(records, query['topic'].startswith('keyed.'))
        reply = {'offset': offset, 'end': len(topic.records)}
        return encode_response(200, JSON, json.dumps(reply).encode())

    async def _read(self, query):
        topic = self.topic(query['topic'])
        start = int(query['from'])
        if start >= len(topic.records) and 'wait_ms' in query:
            try:
                async with asyncio.timeout(int(query['wait_ms']) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        body = BOUNDS.pack(len(topic.records), 0)
        for record in topic.records[start:]:
            body += LENGTH.pack(len(record)) + record
        return encode_response(200, (), body)

    def _newest(self, query):
        topic = self.topic(query['topic'])
        after = query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][0]).decode(),
                'offset': topic.newest[key][1],
            }
            for key in keys[:500]
        ]
        reply = {
            'items': items,
            'has_more': len(keys) > 500,
            'end': len(topic.records),
        }
        return encode_response(200, JSON, json.dumps(reply).encode())
