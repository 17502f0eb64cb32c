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
    :param versions: the versions that the events received name.
    :param statuses: the status of each attempt; 0 if none came.
    :param waits: the header ``Retry-After`` of each attempt's response.
    """

    id: str
    path: str = '/long/'
    origin: str | None = None
    last_id: int = 0
    complete: bool = False
    versions: set = dataclasses.field(default_factory=set)
    statuses: list = dataclasses.field(default_factory=list)
    waits: list = dataclasses.field(default_factory=list)

    @property
    def last_attempt_id(self):
        """The id of the latest attempt."""
        return f'{self.id}-{len(self.statuses) - 1}'

    @property
    def next_attempt_id(self):
        """The id of the next attempt."""
        return f'{self.id}-{len(self.statuses)}'

    async def attempt(self, daemon, **headers):
        """Send the next attempt to a host; see :meth:`attempt_at`."""
        await self.attempt_at(daemon.settings.front_address, **headers)

    async def attempt_at(self, address, **headers):
        """Send the next attempt to an address and read its events.

        :param headers: further headers; ``None`` omits one.
        """
        prompt = make_prompt(f'{self.id}:200')
        fields = {'Resumes': self.origin, **prompt, **headers}
        if self.last_id:
            fields.setdefault('Last_Event_Id', str(self.last_id))
        fields = {name: v for name, v in fields.items() if v is not None}
        self.statuses.append(0)
        self.waits.append(None)
        try:
            await self._read(address, self.last_attempt_id, fields)
        except (client.exceptions.PearrunError, OSError):
            self.complete = False

    async def _read(self, address, attempt_id, fields):
        connection = await client.connect(address, CONNECT_MS, READ_MS)
        body = b''
        try:
            headers = make_headers(attempt_id, **fields)
            connection.send('GET', self.path, headers)
            head = await connection.read_head()
            self.statuses[-1] = head.status
            self.waits[-1] = head.get(b'retry-after')
            while (chunk := await connection.read_chunk()) is not None:
                *events, body = (body + chunk).split(b'\n\n')
                if head.status == 200:
                    self._note_events(events, attempt_id)
            self.complete = head.status == 200
        finally:
            connection.abort()

    def _note_events(self, events, attempt_id):
        for event in events:
            event_id, data = event.split(b'\n')
            self.last_id = int(event_id.removeprefix(b'id: '))
            self.origin = self.origin or attempt_id
            self.versions.update(data.decode().split()[2:3])


def find_mixed(streams):
    """Return the streams with events of several versions.

    :param streams: :class:`Stream` objects.
    :returns: pairs of a stream's id and its versions.
    """
    return [
        (stream.id, stream.versions)
        for stream in streams
        if len(stream.versions) > 1
    ]


async def add_versions(site, counts, service='model'):
    """Start endpoints of several versions.

    :param counts: number of endpoints by version.
    """
    for version, count in counts.items():
        for number in range(count):
            name = f'{version}-{number}'
            runner = await site.add_runner(name, service, version=version)
            runner.names_version = True


def list_runners(site, version):
    """Return the endpoints of a version."""
    return [item for item in site.runners.values() if item.version == version]


async def begin_streams(daemons, count):
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
