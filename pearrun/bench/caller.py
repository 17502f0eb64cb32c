"""One caller: sends a request, comes back when told to, times it."""

import asyncio
import dataclasses
import enum
import random
import time

import aiohttp
import orjson

from pearrun.bench.arrivals import Arrival

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2)
DEFAULT_PAUSE_S = 0.2
MIN_PAUSE_S = 0.02


class OutcomeKind(enum.Enum):
    """What became of a request, as its caller saw it."""

    WHOLE = 'whole'
    WRONG = 'wrong'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    LOST = 'lost'


@dataclasses.dataclass
class Outcome:
    """What one caller got; times are in ms from the request's arrival."""

    arrival: Arrival
    kind: OutcomeKind = OutcomeKind.LOST
    ttft_ms: float | None = None
    gaps_ms: list = dataclasses.field(default_factory=list)
    total_ms: float | None = None
    refusals: int = 0
    resumes: int = 0


class Caller:
    """Plays one arrival against the daemons.

    :param session: an :class:`aiohttp.ClientSession`.
    :param plan: the :class:`Plan`.
    :param arrival: the :class:`Arrival` to play.
    """

    def __init__(self, session, plan, arrival):
        self.session = session
        self.plan = plan
        self.outcome = Outcome(arrival)
        self.request_id = None
        self.tokens = []
        self.last = None

    def now_ms(self):
        """Return monotonic time in fractional milliseconds."""
        return time.monotonic_ns() / 1e6

    async def run(self, start):
        """Wait for the arrival's time, then see the request through.

        :param start: event loop time of the round's start.
        :returns: the :class:`Outcome`.
        """
        loop = asyncio.get_running_loop()
        wait_s = start + self.outcome.arrival.at_s - loop.time()
        await asyncio.sleep(max(0, wait_s))
        self.begun = self.last = self.now_ms()
        try:
            async with asyncio.timeout(self.plan.give_up_s):
                await self.see_through()
        except TimeoutError:
            if self.request_id is None and self.outcome.refusals:
                self.outcome.kind = OutcomeKind.REFUSED
        return self.outcome

    async def see_through(self):
        """Send the request, and come back until it has its answer."""
        while True:
            try:
                pause_s = await self.attempt()
            except (aiohttp.ClientError, OSError):
                pause_s = DEFAULT_PAUSE_S
                self.outcome.resumes += self.request_id is not None
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)

    async def attempt(self):
        """Send the request, or resume it by id.

        :returns: ``None`` when it has ended, else seconds to wait.
        """
        base = random.choice(self.plan.daemons)
        mix = self.outcome.arrival.mix
        if self.request_id is not None and not mix.once:
            params = {'stream': 'true', 'from': str(len(self.tokens))}
            call = self.session.get(
                f'{base}/v1/requests/{self.request_id}',
                params=params,
                timeout=CONNECT_TIMEOUT,
            )
        else:
            call = self.session.post(
                f'{base}/v1/completions',
                json={
                    'model': mix.service,
                    'user': mix.customer,
                    'prompt': self.outcome.arrival.prompt,
                    'max_tokens': mix.tokens,
                    'stream': not mix.once,
                },
                headers={'Idempotency-Key': self.outcome.arrival.key},
                timeout=CONNECT_TIMEOUT,
            )
        async with call as reply:
            self.request_id = reply.headers.get(
                'X-Request-Id', self.request_id
            )
            if reply.status != 200:
                return self.refused(reply.status, await reply.read(), reply)
            if mix.once:
                body = await reply.json()
                self.take(body['choices'][0]['text'])
                return self.end()
            return await self.read_events(reply)

    def refused(self, status, raw, reply):
        """Note a refusal; say when to come back, if at all."""
        code = orjson.loads(raw)['error']['code']
        if code == 1502:
            self.outcome.kind = OutcomeKind.UNKNOWN
            return None
        self.outcome.refusals += 1
        retry_after = reply.headers.get('Retry-After')
        if retry_after is None and status < 500:
            self.outcome.kind = OutcomeKind.REFUSED
            return None
        return max(MIN_PAUSE_S, float(retry_after or DEFAULT_PAUSE_S))

    async def read_events(self, reply):
        """Read a stream; its break makes the caller come back."""
        async for raw in reply.content:
            if not raw.startswith(b'data: {'):
                continue
            event = orjson.loads(raw[len(b'data: ') :])
            if 'choices' in event:
                if event['index'] == len(self.tokens):
                    self.take(event['token'])
            else:
                return self.end()
        return DEFAULT_PAUSE_S

    def take(self, token):
        """Take one token and the time it took."""
        now = self.now_ms()
        if self.outcome.ttft_ms is None:
            self.outcome.ttft_ms = now - self.begun
        else:
            self.outcome.gaps_ms.append(now - self.last)
        self.last = now
        self.tokens.append(token)

    def end(self):
        """Judge the whole answer."""
        self.outcome.total_ms = self.now_ms() - self.begun
        whole = ' '.join(self.tokens) == self.outcome.arrival.expected
        self.outcome.kind = OutcomeKind.WHOLE if whole else OutcomeKind.WRONG
