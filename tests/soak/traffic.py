"""Callers of a soak, and the record of each call."""

import asyncio
import dataclasses
import random

from pearrun import exceptions
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.http1 import client
from tests.platformsite import make_headers
from tests.platformsite import make_prompt

DEADLINE_MS = 3000
# The caller gives up on a call that has not ended this long after its
# deadline.  Also the TCP user timeout of the callers' connections.
TIMEOUT_MARGIN_MS = 1500
# Mean pause between two calls of a caller.
THINK_MS = 60
# Calls that a caller makes on one connection before it connects to a host
# again.
CALLS_PER_CONNECTION = 12
CONNECT_TIMEOUT_MS = 1000


@dataclasses.dataclass(frozen=True)
class CallKind:
    """A kind of call.

    :param stream: whether the response is a stream of events.
    :param at_most_once: whether it must not run more than once.
    """

    path_prefix: str
    stream: bool
    at_most_once: bool


KINDS = (
    CallKind('/once/', False, True),
    CallKind('/safe/', False, False),
    CallKind('/long/', True, False),
    CallKind('/short/', True, True),
)
# A request that crashes the endpoints that run it, and the mean interval
# between its repetitions.
CRASHING_BODY = b'crash'
# A prompt part that crashes endpoints, in requests with other bodies, and the
# other part that these requests share with those of the other callers.
CRASHING_PART = 'bad'
CRASHING_PARTS = f'aa:100,{CRASHING_PART}:30,own:20'
CRASHING_KIND = CallKind('/short/', True, True)
CRASHING_INTERVAL_MS = 500


@dataclasses.dataclass
class CallRecord:
    """One call and its response.

    :param attempt: the call's attempt id.
    :param sent: whether it was written to an open connection.
    :param status: 0 if no response head came.
    :param seal: the endpoint's signature, from the response headers.
    :param complete: whether the response ended as it should.
    :param timed_out: whether the call had not ended
        ``TIMEOUT_MARGIN_MS`` after its deadline.
    """

    attempt: str
    kind: CallKind
    host: str
    target: str
    started_ms: int
    ended_ms: int = 0
    sent: bool = False
    status: int = 0
    seal: str | None = None
    body: bytes = b''
    complete: bool = False
    timed_out: bool = False
    request_body: bytes = b''
    parts: str | None = None


class Traffic:
    """Concurrent callers that make calls until told to stop.

    :param site: the :class:`SoakSite`.
    """

    def __init__(self, site, seed):
        self.site = site
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.records = []
        self.call_count = 0
        self.stopped = False

    async def run(self, callers):
        """Run several callers concurrently until ``stopped`` is set."""
        await asyncio.gather(*(self._run_caller() for _ in range(callers)))

    async def _run_caller(self):
        while not self.stopped:
            host = self.rng.choice(list(self.site.front_addresses))
            await self._call_on_connection(host)

    async def repeat_crashing_request(self):
        """Send requests that crash endpoints, until ``stopped`` is set.

        They are the same request, or have a prompt part in common.

        :returns: its :class:`CallRecord` objects, which are not added to
            ``records``.
        """
        rng = random.Random(self.site.version)
        records = []
        while not self.stopped:
            pause_ms = rng.expovariate(1 / CRASHING_INTERVAL_MS)
            await asyncio.sleep(to_seconds(pause_ms))
            host = rng.choice(list(self.site.front_addresses))
            record = CallRecord(
                f'crash-{len(records)}',
                CRASHING_KIND,
                host,
                f'{CRASHING_KIND.path_prefix}crash',
                self.clock.now(),
                request_body=CRASHING_BODY,
            )
            if self.site.crash_on_part is not None:
                record.request_body = record.attempt.encode()
                record.parts = CRASHING_PARTS
            records.append(record)
            try:
                connection = await client.connect(
                    self.site.front_addresses[host],
                    CONNECT_TIMEOUT_MS,
                    TIMEOUT_MARGIN_MS,
                )
            except exceptions.EndpointUnreachableError:
                continue
            await self._execute(connection, record)
            connection.abort()
        return records

    async def _call_on_connection(self, host):
        """Make calls on one connection until it is closed or used up."""
        try:
            connection = await client.connect(
                self.site.front_addresses[host],
                CONNECT_TIMEOUT_MS,
                TIMEOUT_MARGIN_MS,
            )
        except exceptions.EndpointUnreachableError:
            await asyncio.sleep(to_seconds(THINK_MS))
            return
        for _ in range(CALLS_PER_CONNECTION):
            if self.stopped or connection.closed:
                break
            kind = self.rng.choice(KINDS)
            record = await self.call(connection, host, kind)
            if not record.complete:
                break
            think_ms = self.rng.expovariate(1 / THINK_MS)
            await asyncio.sleep(to_seconds(think_ms))
        connection.abort()

    async def call(self, connection, host, kind):
        """Make one call.

        :returns: its :class:`CallRecord`, which is added to ``records``.
        """
        self.call_count += 1
        attempt = f'call-{self.call_count}'
        target = f'{kind.path_prefix}{self.call_count}'
        record = CallRecord(attempt, kind, host, target, self.clock.now())
        self.records.append(record)
        await self._execute(connection, record)
        return record

    async def _execute(self, connection, record):
        """Send a call and record its outcome."""
        try:
            async with asyncio.timeout(
                to_seconds(DEADLINE_MS + TIMEOUT_MARGIN_MS)
            ):
                await self._exchange(connection, record)
        except TimeoutError:
            record.timed_out = True
        except exceptions.BackendError:
            record.complete = False
        record.ended_ms = self.clock.now()

    async def _exchange(self, connection, record):
        prompt = make_prompt() if record.kind.stream else {}
        if record.parts is not None:
            prompt = make_prompt(record.parts)
        fields = make_headers(
            record.attempt, deadline_ms=DEADLINE_MS, **prompt
        )
        method = 'GET'
        if record.request_body:
            method = 'POST'
            fields.append(('Content-Length', str(len(record.request_body))))
        connection.send(method, record.target, fields, record.request_body)
        record.sent = True
        head = await connection.read_head()
        record.status = head.status
        record.seal = head.get(b'pearrun-runner-seal')
        while (chunk := await connection.read_chunk()) is not None:
            record.body += chunk
        record.complete = True
        connection.finish(head)
