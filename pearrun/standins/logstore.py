"""Log service stand-in: append-only streams with offsets.

Protocol (JSON over HTTP):

- ``POST /v1/streams/{name}/records`` ``{value, expected_offset}``
  appends one record and returns ``201 {offset}``.  Errors:
  ``409 {next_offset}`` if ``expected_offset`` is given and is not the
  stream's next offset; ``429`` with ``Retry-After`` above the append
  rate; ``503`` during an outage; ``504`` if the record was appended
  but its acknowledgement is lost.
- ``GET /v1/streams/{name}/records?from=N&limit=M`` reads records in
  offset order; ``410`` if the record at ``from`` has expired.
- ``GET /v1/streams/{name}`` returns ``{first_offset, next_offset}``.
- ``POST /admin/faults`` ``{outage_ms, lose_answers, slow_ms}`` injects
  faults for tests.
"""

import asyncio
import dataclasses

from sanic import response
from sanic import Sanic

from pearrun.clock import Clock


@dataclasses.dataclass(frozen=True)
class LogConfig:
    """Configuration of the log service stand-in."""

    retention_ms: int = 3_600_000
    appends_per_second: int = 500
    read_limit: int = 1000


@dataclasses.dataclass
class Stream:
    """One append-only stream."""

    first_offset: int = 0
    records: list = dataclasses.field(default_factory=list)

    @property
    def next_offset(self):
        """The offset of the next record appended."""
        return self.first_offset + len(self.records)


@dataclasses.dataclass
class Faults:
    """Faults that are being injected.

    :param outage_until_ms: monotonic time when the outage ends.
    :param lose_answers: number of appends whose acknowledgement will
        be lost.
    :param slow_ms: delay of every response.
    """

    outage_until_ms: int = 0
    lose_answers: int = 0
    slow_ms: int = 0


class LogStore:
    """State of the log service stand-in."""

    def __init__(self, config):
        self.config = config
        self.clock = Clock()
        self.streams = {}
        self.faults = Faults()
        self.window_start = 0
        self.window_count = 0

    def get_stream(self, name):
        """Return a stream; create it if it does not exist."""
        return self.streams.setdefault(name, Stream())

    def expire(self, stream):
        """Delete records older than the retention time."""
        cutoff = self.clock.wall() - self.config.retention_ms
        expired = 0
        while (
            expired < len(stream.records)
            and stream.records[expired][0] < cutoff
        ):
            expired += 1
        if expired:
            del stream.records[:expired]
            stream.first_offset += expired

    def exceeds_rate(self):
        """Count an append; return whether it exceeds the rate limit."""
        now = self.clock.now()
        if now - self.window_start >= 1000:
            self.window_start = now
            self.window_count = 0
        self.window_count += 1
        return self.window_count > self.config.appends_per_second


def build_app(config):
    """Build the log service stand-in's sanic app."""
    app = Sanic('pearrun-log')
    store = LogStore(config)
    app.ctx.store = store

    async def check_faults():
        if store.faults.slow_ms:
            await asyncio.sleep(store.faults.slow_ms / 1000.0)
        if store.clock.now() < store.faults.outage_until_ms:
            return response.json({'error': 'outage'}, status=503)
        return None

    @app.post('/v1/streams/<name>/records')
    async def append(request, name):
        error_response = await check_faults()
        if error_response is not None:
            return error_response
        if store.exceeds_rate():
            return response.json(
                {'error': 'rate limited'},
                status=429,
                headers={'Retry-After': '1'},
            )
        body = request.json or {}
        stream = store.get_stream(name)
        store.expire(stream)
        expected = body.get('expected_offset')
        if expected is not None and int(expected) != stream.next_offset:
            return response.json(
                {'error': 'offset moved', 'next_offset': stream.next_offset},
                status=409,
            )
        offset = stream.next_offset
        stream.records.append((store.clock.wall(), body.get('value')))
        if store.faults.lose_answers > 0:
            store.faults.lose_answers -= 1
            return response.json({'error': 'answer lost'}, status=504)
        return response.json({'offset': offset}, status=201)

    @app.get('/v1/streams/<name>/records')
    async def read(request, name):
        error_response = await check_faults()
        if error_response is not None:
            return error_response
        stream = store.get_stream(name)
        store.expire(stream)
        start = int(request.args.get('from', 0))
        limit = min(int(request.args.get('limit', 100)), config.read_limit)
        if start < stream.first_offset:
            return response.json(
                {'error': 'expired', 'first_offset': stream.first_offset},
                status=410,
            )
        index = start - stream.first_offset
        selected = stream.records[index : index + limit]
        records = [
            {'offset': start + i, 'at_ms': at, 'value': value}
            for i, (at, value) in enumerate(selected)
        ]
        return response.json(
            {
                'records': records,
                'next_offset': start + len(records),
                'first_offset': stream.first_offset,
            }
        )

    @app.get('/v1/streams/<name>')
    async def bounds(request, name):
        error_response = await check_faults()
        if error_response is not None:
            return error_response
        stream = store.get_stream(name)
        store.expire(stream)
        return response.json(
            {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
            }
        )

    @app.post('/admin/faults')
    async def faults(request):
        body = request.json or {}
        now = store.clock.now()
        store.faults.outage_until_ms = now + int(body.get('outage_ms', 0))
        store.faults.lose_answers = int(body.get('lose_answers', 0))
        store.faults.slow_ms = int(body.get('slow_ms', 0))
        return response.json(dataclasses.asdict(store.faults))

    @app.get('/healthz')
    async def health(request):
        return response.json({'ok': True})

    return app
