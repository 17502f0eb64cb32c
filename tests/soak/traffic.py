"""Callers of a soak: what each call asked and what came back."""

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
# How long after its deadline a call without an answer is given up here.
PATIENCE_MS = 1500
THINK_MS = 60
# Calls on one connection before the caller takes another host's.
CALLS_EACH = 12
CONNECT_MS = 1000


@dataclasses.dataclass(frozen=True)
class CallKind:
    """A kind of call that callers make.

    :param once: whether it may run once at the most.
    """

    prefix: str
    stream: bool
    once: bool


KINDS = (
    CallKind('/once/', False, True),
    CallKind('/safe/', False, False),
    CallKind('/long/', True, False),
    CallKind('/short/', True, True),
)
# A request that crashes the endpoints which run it, and the mean pause after
# which it comes again.
CRASHING_BODY = b'crash'
CRASHING_KIND = CallKind('/short/', True, True)
CRASHING_PAUSE_MS = 500


@dataclasses.dataclass
class CallRecord:
    """One call; ``status`` is 0 where no answer came.

    :param sent: whether it was written to a standing connection.
    :param hung: whether neither an answer nor an end came in time.
    """

    attempt: str
    kind: CallKind
    host: str
    target: str
    began_ms: int
    ended_ms: int = 0
    sent: bool = False
    status: int = 0
    seal: str | None = None
    body: bytes = b''
    complete: bool = False
    hung: bool = False
    body_sent: bytes = b''


class Traffic:
    """Callers that go on until told to stop.

    :param site: the :class:`SoakSite`.
    """

    def __init__(self, site, seed):
        self.site = site
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.records = []
        self.number = 0
        self.stopped = False

    async def run(self, callers):
        """Send calls from several callers at once."""
        await asyncio.gather(*(self._call_often() for _ in range(callers)))

    async def _call_often(self):
        while not self.stopped:
            host = self.rng.choice(list(self.site.fronts))
            await self._use_connection(host)

    async def crash_often(self):
        """Send a request that crashes endpoints again and again.

        :returns: its :class:`CallRecord` objects, which are kept apart.
        """
        rng = random.Random(self.site.version)
        records = []
        while not self.stopped:
            pause_ms = rng.expovariate(1 / CRASHING_PAUSE_MS)
            await asyncio.sleep(to_seconds(pause_ms))
            host = rng.choice(list(self.site.fronts))
            record = CallRecord(
                f'crash-{len(records)}',
                CRASHING_KIND,
                host,
                f'{CRASHING_KIND.prefix}crash',
                self.clock.now(),
                body_sent=CRASHING_BODY,
            )
            records.append(record)
            try:
                connection = await client.connect(
                    self.site.fronts[host], CONNECT_MS, PATIENCE_MS
                )
            except exceptions.EndpointUnreachableError:
                continue
            await self._finish(connection, record)
            connection.abort()
        return records

    async def _use_connection(self, host):
        """Make calls on one connection while it stands."""
        try:
            connection = await client.connect(
                self.site.fronts[host], CONNECT_MS, PATIENCE_MS
            )
        except exceptions.EndpointUnreachableError:
            await asyncio.sleep(to_seconds(THINK_MS))
            return
        for _ in range(CALLS_EACH):
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
        """Make one call; keep and return its :class:`CallRecord`."""
        self.number += 1
        attempt = f'call-{self.number}'
        target = f'{kind.prefix}{self.number}'
        record = CallRecord(attempt, kind, host, target, self.clock.now())
        self.records.append(record)
        await self._finish(connection, record)
        return record

    async def _finish(self, connection, record):
        """Send a call and note what became of it."""
        try:
            async with asyncio.timeout(to_seconds(DEADLINE_MS + PATIENCE_MS)):
                await self._exchange(connection, record)
        except TimeoutError:
            record.hung = True
        except exceptions.BackendError:
            record.complete = False
        record.ended_ms = self.clock.now()

    async def _exchange(self, connection, record):
        more = make_prompt() if record.kind.stream else {}
        fields = make_headers(record.attempt, deadline_ms=DEADLINE_MS, **more)
        method = 'GET'
        if record.body_sent:
            method = 'POST'
            fields.append(('Content-Length', str(len(record.body_sent))))
        connection.send(method, record.target, fields, record.body_sent)
        record.sent = True
        head = await connection.read_head()
        record.status = head.status
        record.seal = head.get(b'pearrun-runner-seal')
        while (chunk := await connection.read_chunk()) is not None:
            record.body += chunk
        record.complete = True
        connection.finish(head)
