"""Lookup of a request by id, whichever host holds it.

A request id contains the name of the journal that accepted the request.
The request is looked up in this order: in this daemon's memory; at the
daemon that writes the journal, if it is alive; in the log, in the
journal and in those that took its requests over.
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

MAX_TAKEOVERS = 16
FOLLOW_TIMEOUT_S = 60
REMOTE_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1)


@dataclasses.dataclass(frozen=True)
class Local:
    """The request is a job of this daemon."""

    job: Job


@dataclasses.dataclass(frozen=True)
class Remote:
    """The request is held by another daemon, which is considered alive."""

    member: Member


@dataclasses.dataclass(frozen=True)
class Stored:
    """The request has ended and its answer is stored in the log."""

    finished: Finished


class Lookup:
    """Finds requests and follows their answers.

    :param settings: the daemon's complete :class:`Settings`.
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
        """Find out who holds a request.

        :param request_id: the id returned when it was accepted.
        :param skip: journal streams whose daemons do not answer.
        :returns: :class:`Local`, :class:`Remote` or :class:`Stored`.
        :raises UnknownRequestError: no such request (code 1300).
        :raises RequestMovingError: its host does not answer, and the
            request has not been taken over completely.
        :raises JournalUnavailableError: the log service is unavailable.
        """
        job = self.dispatcher.find(request_id)
        if job is not None:
            return Local(job)
        stream = get_journal_stream(request_id)
        if stream == STREAM_PREFIX:
            raise exceptions.UnknownRequestError(f'no request {request_id!r}')
        moving = False
        for _ in range(MAX_TAKEOVERS):
            member = await self.find_member(stream)
            alive = member is not None and not self.membership.is_dead(member)
            if alive and stream != self.journal.stream and stream not in skip:
                return Remote(member)
            state = await replay_journal(self.log, stream)
            if request_id in state.finished:
                return Stored(state.finished[request_id])
            known = request_id in state.unfinished
            may_appear = moving or self._may_still_write(member, state)
            if not known and not may_appear:
                break
            if not known or state.sealed_by in (None, stream):
                raise exceptions.RequestMovingError(
                    'host unreachable or being taken over; try again',
                    retry_after_s=1,
                )
            # Until the sealed journal has its Emptied entry, the journal
            # that takes it over may lack some of its requests.
            moving = not state.emptied
            stream = state.sealed_by
        raise exceptions.UnknownRequestError(f'no request {request_id!r}')

    def _may_still_write(self, member, state):
        """Return whether an unreachable host may still journal requests.

        A host without a connection to the log serves waiting callers
        and journals their requests once it is connected again.  It can
        do so until its journal is sealed.
        """
        return (
            member is not None
            and state.sealed_by is None
            and state.stream != self.journal.stream
        )

    async def find_member(self, stream):
        """Return the daemon that writes a journal, or ``None``.

        If that daemon is unknown, the members are read from the log
        first: it may have sent its first heartbeat since the last poll,
        or the daemon that asks may have just started.
        """
        if self.membership.find(stream) is None:
            with contextlib.suppress(exceptions.JournalUnavailableError):
                await self.membership.poll_once()
        return self.membership.find(stream)

    async def fetch(self, member, request_id, method='GET', action=''):
        """Ask another daemon about a request it holds.

        :param member: the other daemon's :class:`Member`.
        :param request_id: the request's id.
        :param method: the HTTP method.
        :param action: a path suffix, such as ``/cancel``.
        :returns: ``(status, body)``; ``None`` if the daemon does not answer.
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
        """Follow a request's tokens to its end, on any host.

        If the host that runs it fails, the tokens are read from the
        next host, without gaps or repetitions.

        :param request_id: the request's id.
        :param start: index of the first token to return.
        :returns: an async iterator of ``(index, token)`` pairs that ends
            with ``(None, final)``, ``final`` being the final event as a
            JSON-serializable dict.
        :raises PearrunError: the request could not be located for
            :data:`FOLLOW_TIMEOUT_S`, or does not exist.
        """
        self.follower_count += 1
        try:
            async with contextlib.aclosing(
                self.follow_across_hosts(request_id, start)
            ) as tokens:
                async for index, token in tokens:
                    yield index, token
        finally:
            self.follower_count -= 1

    async def follow_across_hosts(self, request_id, start):
        """Follow a request across hosts; see :meth:`follow`."""
        backoff = Backoff(base_ms=100)
        skip = set()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FOLLOW_TIMEOUT_S
        while True:
            try:
                location = await self.locate(request_id, skip)
                deadline = loop.time() + FOLLOW_TIMEOUT_S
                async with contextlib.aclosing(
                    self.read(location, request_id, start)
                ) as tokens:
                    async for index, token in tokens:
                        yield index, token
                        if index is None:
                            return
                        start = index + 1
                if isinstance(location, Remote):
                    skip.add(location.member.stream)
            except (
                exceptions.RequestMovingError,
                exceptions.JournalUnavailableError,
            ):
                if loop.time() > deadline:
                    raise
                skip.clear()
            await backoff.pause()

    def read(self, location, request_id, start):
        """Return an iterator over the tokens of a located request."""
        match location:
            case Local(job=job):
                return read_job(job, start)
            case Stored(finished=finished):
                return read_stored(finished, start)
            case Remote(member=member):
                return self.read_remote(member, request_id, start)

    async def read_remote(self, member, request_id, start):
        """Read a request's tokens from another daemon.

        Ends without a final event if that daemon fails or sends nothing
        for ``stall_ms``: the connection may be dead without having been
        closed, and the cost of another request is small.
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
    """Parse one line of a server-sent event stream.

    :returns: the event's data; ``None`` if the line has none.
    """
    line = raw.decode('utf-8').strip()
    if not line.startswith('data: ') or line == 'data: [DONE]':
        return None
    return orjson.loads(line.removeprefix('data: '))


def build_final_event(request_id, state, finish_reason, error):
    """Return the final event of a stream, JSON-serializable."""
    return {
        'id': request_id,
        'state': state,
        'finish_reason': finish_reason,
        'error': error,
    }


async def read_job(job, start):
    """Iterate over a local job's tokens and its final event.

    Ends without a final event if the job is handed over to another host.
    """
    sent = start
    job.readers += 1
    try:
        while True:
            await job.wait_for_tokens(sent)
            while sent < len(job.tokens):
                yield sent, job.tokens[sent]
                sent += 1
            if job.ended_here and sent >= len(job.tokens):
                break
    finally:
        job.readers -= 1
    if not job.finished:
        return
    error = job.failure.to_body() if job.failure else None
    yield (
        None,
        build_final_event(job.id, job.state.value, job.finish_reason, error),
    )


async def read_stored(finished, start):
    """Iterate over a stored answer's tokens and its final event."""
    for index in range(start, len(finished.tokens)):
        yield index, finished.tokens[index]
    yield (
        None,
        build_final_event(
            finished.id,
            finished.state,
            finished.finish_reason,
            finished.error,
        ),
    )
