"""A caller: sends one request, retries it and measures latencies."""

import asyncio
import dataclasses
import enum
import random
import time

import aiohttp
import orjson

from pearrun.bench.arrivals import Arrival

CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2)
DEFAULT_RETRY_DELAY_S = 0.2
MIN_RETRY_DELAY_S = 0.02


class OutcomeKind(enum.Enum):
    """The outcome of a request from the caller's point of view.

    ``WHOLE`` means a complete and correct answer, ``WRONG`` any other
    answer, ``REFUSED`` a refusal, ``UNKNOWN`` the error that it is not
    known whether the request was executed, and ``LOST`` that no answer
    came in time.
    """

    WHOLE = 'whole'
    WRONG = 'wrong'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    LOST = 'lost'


@dataclasses.dataclass
class Outcome:
    """The result of one request.

    ``ttft_ms`` and ``total_ms`` are counted from the request's arrival.

    :param ttft_ms: time to the first token.
    :param gaps_ms: times between tokens.
    :param total_ms: time to the end of the answer.
    :param refusals: number of refusals before the end.
    :param resumes: number of connection errors after the request had
        been given an id.
    """

    arrival: Arrival
    kind: OutcomeKind = OutcomeKind.LOST
    ttft_ms: float | None = None
    gaps_ms: list = dataclasses.field(default_factory=list)
    total_ms: float | None = None
    refusals: int = 0
    resumes: int = 0


class Caller:
    """Sends the request of one arrival to the daemons.

    :param session: an :class:`aiohttp.ClientSession`.
    :param plan: the :class:`Plan`.
    :param arrival: the :class:`Arrival`.
    """

    def __init__(self, session, plan, arrival):
        self.session = session
        self.plan = plan
        self.outcome = Outcome(arrival)
        self.request_id = None
        self.tokens = []
        self.last_token_ms = None

    def now_ms(self):
        """Return monotonic time in milliseconds, with a fraction."""
        return time.monotonic_ns() / 1e6

    async def run(self, start):
        """Send the request at its arrival time and wait for its end.

        :param start: the round's start, in event loop time.
        :returns: the :class:`Outcome`.
        """
        loop = asyncio.get_running_loop()
        wait_s = start + self.outcome.arrival.at_s - loop.time()
        await asyncio.sleep(max(0, wait_s))
        self.started_ms = self.last_token_ms = self.now_ms()
        try:
            async with asyncio.timeout(self.plan.give_up_s):
                await self.retry_until_ended()
        except TimeoutError:
            if self.request_id is None and self.outcome.refusals:
                self.outcome.kind = OutcomeKind.REFUSED
        return self.outcome

    async def retry_until_ended(self):
        """Send the request, and retry or resume it until it has ended."""
        while True:
            try:
                delay_s = await self.attempt()
            except (aiohttp.ClientError, OSError):
                delay_s = DEFAULT_RETRY_DELAY_S
                self.outcome.resumes += self.request_id is not None
            if delay_s is None:
                return
            await asyncio.sleep(delay_s)

    async def attempt(self):
        """Send the request, or resume its stream by id.

        :returns: ``None`` if the request has ended, else the seconds
            to wait before the next attempt.
        """
        base = random.choice(self.plan.daemons)
        request_kind = self.outcome.arrival.request_kind
        if self.request_id is not None and not request_kind.once:
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
                    'model': request_kind.service,
                    'user': request_kind.customer,
                    'prompt': self.outcome.arrival.prompt,
                    'max_tokens': request_kind.tokens,
                    'stream': not request_kind.once,
                },
                headers={'Idempotency-Key': self.outcome.arrival.key},
                timeout=CONNECT_TIMEOUT,
            )
        async with call as reply:
            self.request_id = reply.headers.get(
                'X-Request-Id', self.request_id
            )
            if reply.status != 200:
                return self.handle_error(
                    reply.status, await reply.read(), reply
                )
            if request_kind.once:
                body = await reply.json()
                self.record_token(body['choices'][0]['text'])
                return self.finish()
            return await self.read_events(reply)

    def handle_error(self, status, raw, reply):
        """Record an error response.

        :returns: as :meth:`attempt`.
        """
        code = orjson.loads(raw)['error']['code']
        # The code of OutcomeUnknownError.
        if code == 1502:
            self.outcome.kind = OutcomeKind.UNKNOWN
            return None
        self.outcome.refusals += 1
        retry_after = reply.headers.get('Retry-After')
        if retry_after is None and status < 500:
            self.outcome.kind = OutcomeKind.REFUSED
            return None
        return max(
            MIN_RETRY_DELAY_S, float(retry_after or DEFAULT_RETRY_DELAY_S)
        )

    async def read_events(self, reply):
        """Read the events of a stream.

        :returns: as :meth:`attempt`; a stream that breaks is resumed.
        """
        async for raw in reply.content:
            if not raw.startswith(b'data: {'):
                continue
            event = orjson.loads(raw[len(b'data: ') :])
            if 'choices' in event:
                if event['index'] == len(self.tokens):
                    self.record_token(event['token'])
            else:
                return self.finish()
        return DEFAULT_RETRY_DELAY_S

    def record_token(self, token):
        """Record a token and its latency."""
        now = self.now_ms()
        if self.outcome.ttft_ms is None:
            self.outcome.ttft_ms = now - self.started_ms
        else:
            self.outcome.gaps_ms.append(now - self.last_token_ms)
        self.last_token_ms = now
        self.tokens.append(token)

    def finish(self):
        """Record the end of the answer and check its text."""
        self.outcome.total_ms = self.now_ms() - self.started_ms
        correct = ' '.join(self.tokens) == self.outcome.arrival.expected
        self.outcome.kind = OutcomeKind.WHOLE if correct else OutcomeKind.WRONG
