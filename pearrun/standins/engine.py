"""Model engine stand-in: batching, prefix cache, streams, orders.

Protocol (JSON over HTTP):

- ``POST /v1/generate`` ``{request_id, prompt, max_tokens, seed,
  priority, resume_from, tokens, again}`` streams NDJSON lines
  ``{"index", "token"}`` then ``{"done": true, "finish_reason"}``.
  When a stream is resumed, ``tokens`` holds the tokens already
  streamed.  ``again`` is true if an engine has already processed the
  request, fully or in part.
- ``POST /v1/cancel`` ``{request_id}``.
- ``GET /v1/load``: a load report that is up to ``load_lag_ms`` old.
- ``GET /v1/cache/events?since=N``: cache events, delayed and with gaps.
- ``POST /v1/kv/export`` ``{prompt, tokens}`` and ``POST /v1/kv/import``
  ``{blocks}``: copy prefix-cache blocks between engines.
- ``POST /v1/orders`` ``{kind, value, fencing}``: load a model or
  adapter, or change role.  If the engine enforces fencing, an order
  with a lower fencing token than an earlier one is refused.
- ``POST /admin/forget`` clears the prefix cache, so that the rounds of
  an experiment start alike.
- ``GET /v1/stats`` and ``GET /v1/started``: counters for tests, and
  the number of times each request was started.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import json

from sanic import response
from sanic import Sanic

from pearrun.clock import Clock
from pearrun.standins import text


@dataclasses.dataclass(frozen=True)
class EngineConfig:
    """Configuration of an engine stand-in.

    :param slots: requests that are decoded at once, as one batch.
    :param batch_slowdown: fraction of the decode time that each active
        request adds to a step.
    :param load_lag_ms: how old a load report may be.
    :param event_lag_ms: delay before a cache event is published.
    :param event_gap_every: every so many cache events, one is never
        published; 0 for none.
    """

    endpoint_id: str
    slots: int = 8
    prefill_ms_per_token: float = 0.2
    decode_ms_per_token: float = 8.0
    batch_slowdown: float = 0.02
    cache_blocks: int = 512
    load_lag_ms: int = 500
    event_lag_ms: int = 300
    event_gap_every: int = 7
    enforce_fencing: bool = True


@dataclasses.dataclass
class EngineStats:
    """Counters for tests and load measurements."""

    prefill_tokens: int = 0
    recomputed_tokens: int = 0
    cached_tokens: int = 0
    decoded_tokens: int = 0
    streams_started: int = 0
    streams_cancelled: int = 0


class Engine:
    """State of one engine stand-in."""

    def __init__(self, config):
        self.config = config
        self.clock = Clock()
        self.stats = EngineStats()
        self.cache = collections.OrderedDict()
        self.events = []
        self.event_numbers = itertools.count(1)
        self.cancelled = set()
        self.active = 0
        self.waiting = []
        self.waiting_numbers = itertools.count()
        self.load_report = None
        self.orders = []
        self.fencing = -1
        self.started = collections.Counter()

    async def admit(self, priority):
        """Wait for a batch slot; the lowest priority value is served first."""
        if self.active < self.config.slots and not self.waiting:
            self.active += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.waiting, (priority, next(self.waiting_numbers), waiter)
        )
        await waiter

    def release(self):
        """Free a slot, or pass it to the first waiter by priority value."""
        while self.waiting:
            _, _, waiter = heapq.heappop(self.waiting)
            if not waiter.done():
                waiter.set_result(None)
                return
        self.active -= 1

    def match_prefix(self, hashes):
        """Return how many leading blocks are cached; mark them as used."""
        count = 0
        for block in hashes:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            count += 1
        return count

    def store_blocks(self, hashes):
        """Add blocks to the cache; evict the least recently used ones."""
        for block in hashes:
            if block in self.cache:
                self.cache.move_to_end(block)
                continue
            self.cache[block] = True
            self.add_event('stored', block)
            while len(self.cache) > self.config.cache_blocks:
                evicted, _ = self.cache.popitem(last=False)
                self.add_event('evicted', evicted)

    def add_event(self, kind, block):
        """Record a cache event for ``/v1/cache/events``."""
        seq = next(self.event_numbers)
        self.events.append((seq, self.clock.now(), kind, block))
        if len(self.events) > 10_000:
            del self.events[:5_000]

    def list_events(self, since):
        """Return the published cache events after a sequence number.

        Events newer than the lag, and those in a gap, are left out.
        """
        cutoff = self.clock.now() - self.config.event_lag_ms
        gap = self.config.event_gap_every
        return [
            {'seq': seq, 'kind': kind, 'block': block}
            for seq, at, kind, block in self.events
            if seq > since and at <= cutoff and (gap <= 0 or seq % gap)
        ]

    def report_load(self):
        """Return a load report, refreshed once it is older than the lag."""
        now = self.clock.now()
        report = self.load_report
        if report is None or now - report['at_ms'] >= self.config.load_lag_ms:
            report = {
                'at_ms': now,
                'active': self.active,
                'waiting': len(self.waiting),
                'slots': self.config.slots,
                'cache_blocks': len(self.cache),
            }
            self.load_report = report
        return report

    def compute_step_s(self):
        """Return the duration of a decode step at the current batch size."""
        slowdown = 1.0 + self.config.batch_slowdown * self.active
        return self.config.decode_ms_per_token * slowdown / 1000.0


def build_app(config):
    """Build the engine stand-in's sanic app.

    :param config: an :class:`EngineConfig`.
    :returns: the :class:`sanic.Sanic` app.
    """
    app = Sanic('pearrun-engine')
    engine = Engine(config)
    app.ctx.engine = engine

    @app.post('/v1/generate')
    async def generate(request):
        body = request.json or {}
        request_id = str(body.get('request_id', ''))
        prompt = str(body.get('prompt', ''))
        max_tokens = int(body.get('max_tokens', 16))
        seed = int(body.get('seed', 0))
        start = int(body.get('resume_from', 0))
        streamed = [str(t) for t in body.get('tokens', [])]
        priority = int(body.get('priority', 1))
        engine.cancelled.discard(request_id)
        await engine.admit(priority)
        try:
            engine.stats.streams_started += 1
            engine.started[request_id] += 1
            context = text.split_tokens(prompt) + streamed
            hashes = text.hash_blocks(context)
            cached = engine.match_prefix(hashes) * text.BLOCK_TOKENS
            uncached = len(context) - cached
            engine.stats.prefill_tokens += uncached
            engine.stats.cached_tokens += cached
            if body.get('again'):
                engine.stats.recomputed_tokens += uncached
            await asyncio.sleep(uncached * config.prefill_ms_per_token / 1e3)
            engine.store_blocks(hashes)
            stream = await request.respond(content_type='application/x-ndjson')
            finish_reason = 'length'
            for index in range(start, max_tokens):
                if request_id in engine.cancelled:
                    engine.stats.streams_cancelled += 1
                    finish_reason = 'cancelled'
                    break
                await asyncio.sleep(engine.compute_step_s())
                token = text.generate_token(prompt, seed, index)
                engine.stats.decoded_tokens += 1
                context.append(token)
                if len(context) % text.BLOCK_TOKENS == 0:
                    engine.store_blocks(text.hash_blocks(context))
                line = {'index': index, 'token': token}
                await stream.send(json.dumps(line) + '\n')
            done = {'done': True, 'finish_reason': finish_reason}
            await stream.send(json.dumps(done) + '\n')
            await stream.eof()
        finally:
            engine.release()

    @app.post('/v1/cancel')
    async def cancel(request):
        engine.cancelled.add(str((request.json or {}).get('request_id')))
        return response.json({'cancelled': True})

    @app.get('/v1/load')
    async def load(request):
        return response.json(engine.report_load())

    @app.get('/v1/cache/events')
    async def cache_events(request):
        since = int(request.args.get('since', 0))
        return response.json({'events': engine.list_events(since)})

    @app.post('/v1/kv/export')
    async def kv_export(request):
        body = request.json or {}
        context = text.split_tokens(str(body.get('prompt', '')))
        context += [str(t) for t in body.get('tokens', [])]
        hashes = text.hash_blocks(context)
        cached = [h for h in hashes if h in engine.cache]
        return response.json({'blocks': cached})

    @app.post('/v1/kv/import')
    async def kv_import(request):
        blocks = [str(b) for b in (request.json or {}).get('blocks', [])]
        engine.store_blocks(blocks)
        return response.json({'imported': len(blocks)})

    @app.post('/v1/orders')
    async def orders(request):
        body = request.json or {}
        fencing = int(body.get('fencing', 0))
        if config.enforce_fencing and fencing < engine.fencing:
            return response.json(
                {'error': 'stale fencing number', 'fencing': engine.fencing},
                status=409,
            )
        engine.fencing = max(engine.fencing, fencing)
        engine.orders.append(body)
        return response.json({'applied': True, 'fencing': engine.fencing})

    @app.get('/v1/orders')
    async def list_orders(request):
        return response.json({'orders': engine.orders})

    @app.get('/v1/stats')
    async def stats(request):
        return response.json(dataclasses.asdict(engine.stats))

    @app.get('/v1/started')
    async def started(request):
        return response.json({'started': dict(engine.started)})

    @app.post('/admin/forget')
    async def forget(request):
        engine.cache.clear()
        return response.json({'forgotten': True})

    @app.get('/healthz')
    async def health(request):
        return response.json({'ok': True, 'id': config.endpoint_id})

    return app
