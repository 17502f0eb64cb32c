"""Callers that resume streams, and the check of the versions they get."""

import asyncio
import dataclasses

from pearrun.http1 import client
from tests.platformsite import make_headers
from tests.platformsite import make_prompt

CONNECT_MS = 1000
READ_MS = 5000


@dataclasses.dataclass
class Stream:
    """One stream of a caller, over all its attempts.

    :param id: prefix of its attempts' ids.
    :param origin: id of the attempt that brought its first event.
    :param last_id: id of the last event received.
    :param statuses: the status of each attempt; 0 if none came.
    :param waits: the header ``Retry-After`` of each attempt's response.
    """

    id: str
    path: str = '/long/'
    origin: str | None = None
    last_id: int = 0
    complete: bool = False
    statuses: list = dataclasses.field(default_factory=list)
    waits: list = dataclasses.field(default_factory=list)

    async def attempt(self, daemon, **headers):
        """Send the next attempt to a host and read its events.

        :param headers: further headers; ``None`` omits one.
        """
        attempt_id = f'{self.id}-{len(self.statuses)}'
        prompt = make_prompt(f'{self.id}:200')
        fields = {'Resumes': self.origin, **prompt, **headers}
        if self.last_id:
            fields.setdefault('Last_Event_Id', str(self.last_id))
        fields = {name: v for name, v in fields.items() if v is not None}
        self.statuses.append(0)
        try:
            await self._read(daemon, attempt_id, fields)
        except (client.exceptions.PearrunError, OSError):
            self.complete = False

    async def _read(self, daemon, attempt_id, fields):
        address = daemon.settings.front_address
        connection = await client.connect(address, CONNECT_MS, READ_MS)
        try:
            connection.send(
                'GET', self.path, make_headers(attempt_id, **fields)
            )
            head = await connection.read_head()
            self.statuses[-1] = head.status
            self.waits.append(head.get(b'retry-after'))
            while (chunk := await connection.read_chunk()) is not None:
                if head.status == 200:
                    self._note_events(chunk, attempt_id)
            self.complete = head.status == 200
        finally:
            connection.abort()

    def _note_events(self, chunk, attempt_id):
        for line in chunk.split(b'\n'):
            if line.startswith(b'id: '):
                self.last_id = int(line[4:])
                self.origin = self.origin or attempt_id


def find_mixed(site, streams):
    """Return the streams with events of several versions.

    :param streams: :class:`Stream` objects.
    :returns: pairs of a stream's id and its versions.
    """
    versions = {stream.id: set() for stream in streams}
    for runner in site.runners.values():
        for run in runner.runs:
            attempt = run.request.get(b'pearrun-attempt-id')
            stream_id = attempt.rpartition('-')[0]
            if run.events and stream_id in versions:
                versions[stream_id].add(runner.version)
    return [item for item in versions.items() if len(item[1]) > 1]


async def add_versions(site, counts, service='model'):
    """Start endpoints of several versions.

    :param counts: number of endpoints by version.
    """
    for version, count in counts.items():
        for number in range(count):
            name = f'{version}-{number}'
            await site.add_runner(name, service, version=version)


def list_runners(site, version):
    """Return the endpoints of a version."""
    return [item for item in site.runners.values() if item.version == version]


async def begin_streams(site, daemons, count):
    """Begin streams at some hosts and wait for the first events of all.

    :returns: pairs of a :class:`Stream` and the task that reads it.
    """
    begun = []
    for number in range(count):
        stream = Stream(f's{number}')
        daemon = daemons[number % len(daemons)]
        begun.append((stream, asyncio.create_task(stream.attempt(daemon))))
    async with asyncio.timeout(READ_MS / 1000):
        while not all(stream.origin for stream, _ in begun):
            await asyncio.sleep(0.005)
    return begun


async def resume_all(begun, daemons):
    """Let all streams that broke go on at some hosts.

    :param begun: pairs of a :class:`Stream` and the task that read it.
    :returns: the streams that had broken.
    """
    await asyncio.gather(*(task for _, task in begun))
    broken = [stream for stream, _ in begun if not stream.complete]
    await asyncio.gather(
        *(
            stream.attempt(daemons[number % len(daemons)])
            for number, stream in enumerate(broken)
        )
    )
    return broken
