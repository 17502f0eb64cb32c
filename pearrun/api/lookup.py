"""Finding a request by id, whichever host holds it now.

A request id names the journal that accepted it.  Its answer is, in
this order: in this daemon's memory; with the daemon that writes the
journal, if it is alive; or on the log, following the journals that
took it over.
"""

import asyncio
import contextlib
import dataclasses

import aiohttp
import orjson

from pearrun import exceptions
from pearrun.api.backends import read_lines
from pearrun.api.entries import Finished
from pearrun.api.journal import get_journal_stream
from pearrun.api.journal import STREAM_PREFIX
from pearrun.api.journalstate import replay_journal
from pearrun.api.members import Member
from pearrun.api.structures import Job
from pearrun.backoff import Backoff

MAX_CHAIN = 16
FOLLOW_TIMEOUT_S = 60
REMOTE_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1)


@dataclasses.dataclass(frozen=True)
class Local:
    """The request is a job of this daemon."""

    job: Job


@dataclasses.dataclass(frozen=True)
class Remote:
    """The request is with another daemon, thought to be alive."""

    member: Member


@dataclasses.dataclass(frozen=True)
class Stored:
    """The request has ended and its answer is on the log."""

    finished: Finished


class Lookup:
    """Finds requests and follows their answers.

    :param settings: the daemon's whole :class:`Settings`.
    :param log: a :class:`LogClient`.
    :param session: an :class:`aiohttp.ClientSession` for peers.
    :param dispatcher: this daemon's :class:`Dispatcher`.
    :param membership: this daemon's :class:`Membership`.
    :param journal: this daemon's :class:`Journal`.
    """

    def __init__(
        self, settings, log, session, dispatcher, membership, journal
    ):
        self.settings = settings
        self.log = log
        self.session = session
        self.dispatcher = dispatcher
        self.membership = membership
        self.journal = journal
        self.follower_count = 0

    async def locate(self, request_id, skip=()):
        """Find where a request is.

        :param request_id: the id from the acceptance.
        :param skip: journal streams whose daemons did not answer.
        :returns: :class:`Local`, :class:`Remote` or :class:`Stored`.
        :raises UnknownRequestError: no such request (code 1300).
        :raises RequestMovingError: its host died; not yet taken over.
        :raises JournalUnavailableError: the log service is down.
        """
        job = self.dispatcher.find(request_id)
        if job is not None:
            return Local(job)
        stream = get_journal_stream(request_id)
        if stream == STREAM_PREFIX:
            raise exceptions.UnknownRequestError(f'no request {request_id!r}')
        moving = False
        for _ in range(MAX_CHAIN):
            member = await self.find_member(stream)
            alive = member is not None and not self.membership.is_dead(member)
            if alive and stream != self.journal.stream and stream not in skip:
                return Remote(member)
            ledger = await replay_journal(self.log, stream)
            if request_id in ledger.finished:
                return Stored(ledger.finished[request_id])
            known = request_id in ledger.unfinished
            may_come = moving or self._may_still_write(member, ledger)
            if not known and not may_come:
                break
            if not known or ledger.sealed_by in (None, stream):
                raise exceptions.RequestMovingError(
                    'its host is out of reach or being taken over; ask again',
                    retry_after_s=1,
                )
            # Until a sealed journal is emptied, its successor may not hold
            # all of its requests yet.
            moving = not ledger.emptied
            stream = ledger.sealed_by
        raise exceptions.UnknownRequestError(f'no request {request_id!r}')

    def _may_still_write(self, member, ledger):
        """Say whether a host out of reach may hold requests unwritten.

        A host that is cut off serves callers who wait and writes of them
        once the log is back: until its journal is sealed, it may.
        """
        return (
            member is not None
            and ledger.sealed_by is None
            and ledger.stream != self.journal.stream
        )

    async def find_member(self, stream):
        """Return a journal's writer, or ``None``.

        A writer not heard of may have begun to beat since the last
        look at the log, as when this daemon has just started.
        """
        if self.membership.find(stream) is None:
            with contextlib.suppress(exceptions.JournalUnavailableError):
                await self.membership.poll_once()
        return self.membership.find(stream)

    async def fetch(self, member, request_id, method='GET', action=''):
        """Ask another daemon about a request it holds.

        :returns: ``(status, body)``; ``None`` when it does not answer.
        """
        url = f'{member.url}/v1/requests/{request_id}{action}'
        try:
            async with self.session.request(
                method,
                url,
                params={'local': 'true'},
                timeout=aiohttp.ClientTimeout(total=5, sock_connect=1),
            ) as reply:
                return reply.status, await reply.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError):
            return None

    async def follow(self, request_id, start=0):
        """Follow a request's tokens to its end, wherever it goes.

        When the host serving it dies in the middle, the answer is
        picked up at the next one, from the token after the last.

        :param start: index of the first token wanted.
        :returns: an async iterator of ``(index, token)`` and, last,
            ``(None, final)`` with the final state's JSON-ready map.
        :raises PearrunError: it could not be found for a minute.
        """
        self.follower_count += 1
        try:
            async with contextlib.aclosing(
                self.follow_on(request_id, start)
            ) as tokens:
                async for index, token in tokens:
                    yield index, token
        finally:
            self.follower_count -= 1

    async def follow_on(self, request_id, start):
        """Follow a request from host to host; see :meth:`follow`."""
        backoff = Backoff(base_ms=100)
        skip = set()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FOLLOW_TIMEOUT_S
        while True:
            try:
                found = await self.locate(request_id, skip)
                deadline = loop.time() + FOLLOW_TIMEOUT_S
                async with contextlib.aclosing(
                    self.read(found, request_id, start)
                ) as tokens:
                    async for index, token in tokens:
                        yield index, token
                        if index is None:
                            return
                        start = index + 1
                if isinstance(found, Remote):
                    skip.add(found.member.stream)
            except (
                exceptions.RequestMovingError,
                exceptions.JournalUnavailableError,
            ):
                if loop.time() > deadline:
                    raise
                skip.clear()
            await backoff.pause()

    def read(self, found, request_id, start):
        """Return the token iterator of a located request."""
        match found:
            case Local(job=job):
                return read_job(job, start)
            case Stored(finished=finished):
                return read_stored(finished, start)
            case Remote(member=member):
                return self.read_remote(member, request_id, start)

    async def read_remote(self, member, request_id, start):
        """Read a request's tokens from another daemon.

        Ends without a final state when that daemon fails or nothing
        comes for ``stall_ms``; asking again costs little, and the
        connection may have fallen silent for good.
        """
        params = {'local': 'true', 'stream': 'true', 'from': str(start)}
        try:
            async with self.session.get(
                f'{member.url}/v1/requests/{request_id}',
                params=params,
                timeout=REMOTE_TIMEOUT,
            ) as reply:
                if reply.status != 200:
                    return
                lines = read_lines(reply, self.settings.host.stall_ms)
                async with contextlib.aclosing(lines):
                    async for raw in lines:
                        event = parse_event(raw)
                        if event is None:
                            continue
                        if 'choices' not in event:
                            yield None, event
                            return
                        yield event['index'], event['token']
        except (aiohttp.ClientError, OSError, ValueError):
            return


def parse_event(raw):
    """Parse one line of a server-sent event stream; ``None`` if no data."""
    line = raw.decode('utf-8').strip()
    if not line.startswith('data: ') or line == 'data: [DONE]':
        return None
    return orjson.loads(line.removeprefix('data: '))


def describe_final(request_id, state, finish_reason, error):
    """Return the final event of a stream, JSON-ready."""
    return {
        'id': request_id,
        'state': state,
        'finish_reason': finish_reason,
        'error': error,
    }


async def read_job(job, start):
    """Iterate over a local job's tokens and final state.

    Ends without a final state when another host goes on with it.
    """
    sent = start
    job.readers += 1
    try:
        while True:
            await job.wait_beyond(sent)
            while sent < len(job.tokens):
                yield sent, job.tokens[sent]
                sent += 1
            if job.settled and sent >= len(job.tokens):
                break
    finally:
        job.readers -= 1
    if not job.finished:
        return
    error = job.failure.to_body() if job.failure else None
    yield (
        None,
        describe_final(job.id, job.state.value, job.finish_reason, error),
    )


async def read_stored(finished, start):
    """Iterate over a stored answer's tokens and final state."""
    for index in range(start, len(finished.tokens)):
        yield index, finished.tokens[index]
    yield (
        None,
        describe_final(
            finished.id,
            finished.state,
            finished.finish_reason,
            finished.error,
        ),
    )
