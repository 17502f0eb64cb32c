"""Stand-in for a model runner, which answers with streams of events."""

import asyncio
import time

from common.http import encode_response
from common.http import Server

EVENT = 'id: {number}\ndata: {text}\n\n'
# Time to the first event: a fixed part, and the prompt's tokens.
FIXED_MS = 45.0
TOKENS_PER_MS = 55.0
EVENT_MS = 12.0
EVENTS = 5


class Engine:
    """A model runner.

    ``factor`` is how many times as long as usual it takes; ``runs`` has the
    time and the attempt id of each request that began to run, ``waiting`` the
    attempt ids of those without an event yet.
    """

    def __init__(self, runner_id, service, zone, address):
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = 64
        self.factor = 1.0
        self.state = 'ready'
        self.runs = []
        self.waiting = set()
        self.server = Server(self._handle)

    def make_entry(self):
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'call_seq': 0,
        }

    def crash(self):
        """End at once: nothing listens any more, connections are reset."""
        self.state = 'gone'
        self.server.close()

    async def _handle(self, request, writer, peer):
        attempt = request.get('pearrun-attempt-id', '')
        if request.get('pearrun-expect-runner') not in (None, self.id):
            headers = [('Pearrun-Runner-Id', self.id)]
            writer.write(encode_response(421, headers))
            return True
        if request.path == '/healthz':
            headers = [('Pearrun-Runner-Id', self.id)]
            writer.write(encode_response(200, headers))
            return True
        tokens = int(request.get('pearrun-token-count', '0').split(',')[0])
        first_ms = FIXED_MS + tokens / TOKENS_PER_MS
        self.waiting.add(attempt)
        try:
            await asyncio.sleep(first_ms * self.factor / 1000)
        finally:
            self.waiting.discard(attempt)
        self.runs.append((time.monotonic(), attempt))
        await self._stream(request, writer, attempt)
        return True

    async def _stream(self, request, writer, attempt):
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Pearrun-Attempt-Id: {attempt}\r\n'
                f'Pearrun-Runner-Seal: {self.id}.{attempt}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        first = int(request.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            event = EVENT.format(number=number, text='x' * 40).encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(EVENT_MS * self.factor / 1000)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
