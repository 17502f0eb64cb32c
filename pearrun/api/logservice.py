"""Client of the platform's append-only log service."""

import dataclasses

import aiohttp

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.ids import Offset

RETRY_AFTER_S = 1
READ_BATCH_RECORDS = 500
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


@dataclasses.dataclass(frozen=True)
class Record:
    """One record read from a stream."""

    offset: Offset
    at_ms: int
    value: object


class LogClient:
    """Appends to and reads from log streams over HTTP.

    :param session: an :class:`aiohttp.ClientSession`.
    :param settings: the daemon's :class:`PlatformSettings`.
    """

    def __init__(self, session, settings):
        self.session = session
        self.base = settings.log_url.rstrip('/')
        total_s = to_seconds(settings.timeout_ms)
        self.timeout = aiohttp.ClientTimeout(
            total=total_s, sock_connect=total_s / 2
        )

    def _url(self, stream):
        return f'{self.base}/v1/streams/{stream}/records'

    async def append(self, stream, value, expected_offset=None):
        """Append one record.

        :param stream: the stream name.
        :param value: a JSON-serializable value.
        :param expected_offset: if given, append only if this is the
            stream's next offset (compare-and-append).
        :returns: the record's :class:`Offset`.
        :raises ConfigConflictError: ``expected_offset`` is not the
            next offset.
        :raises RateLimitedError: the append rate limit is exceeded.
        :raises AmbiguousAppendError: it is unknown whether the record
            was appended.
        :raises JournalUnavailableError: the service is unreachable or
            rejected the request.
        """
        body = {'value': value, 'expected_offset': expected_offset}
        try:
            async with self.session.post(
                self._url(stream), json=body, timeout=self.timeout
            ) as reply:
                data = await reply.json(content_type=None)
                status = reply.status
                retry = reply.headers.get('Retry-After', RETRY_AFTER_S)
        except NOT_SENT_ERRORS as exc:
            raise exceptions.JournalUnavailableError(
                f'log service unreachable: {exc!r}',
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            # The connection was established, so the service may have
            # applied the append.
            raise exceptions.AmbiguousAppendError(
                f'response to the append to {stream} lost: {exc!r}',
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        match status:
            case 201:
                return Offset(int(data['offset']))
            case 409:
                raise exceptions.ConfigConflictError(
                    f'{stream}: next offset is {data["next_offset"]}'
                )
            case 429:
                raise exceptions.RateLimitedError(
                    'append rate limit of the log service exceeded',
                    retry_after_s=int(retry),
                )
            case 504:
                raise exceptions.AmbiguousAppendError(
                    f'append to {stream} timed out (status 504)',
                    retry_after_s=RETRY_AFTER_S,
                )
        raise exceptions.JournalUnavailableError(
            f'log service answered {status}', retry_after_s=RETRY_AFTER_S
        )

    async def _get(self, url, params=None):
        try:
            async with self.session.get(
                url, params=params, timeout=self.timeout
            ) as reply:
                return reply.status, await reply.json(content_type=None)
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise exceptions.JournalUnavailableError(
                f'log service unreachable: {exc!r}',
                retry_after_s=RETRY_AFTER_S,
            ) from exc

    async def read_bounds(self, stream):
        """Return a stream's ``(first_offset, next_offset)``.

        :raises JournalUnavailableError: the service is unavailable.
        """
        status, data = await self._get(f'{self.base}/v1/streams/{stream}')
        if status != 200:
            raise exceptions.JournalUnavailableError(
                f'log service answered {status}', retry_after_s=RETRY_AFTER_S
            )
        return Offset(data['first_offset']), Offset(data['next_offset'])

    async def read_all(self, stream, start=0):
        """Read all records from ``start`` or the oldest retained one on.

        :returns: ``(records, next_offset)``.
        :raises JournalUnavailableError: the service is unavailable.
        """
        result = []
        while True:
            try:
                records, start = await self.read(
                    stream, start, READ_BATCH_RECORDS
                )
            except exceptions.ExpiredOffsetError as exc:
                start = exc.first_offset
                continue
            result.extend(records)
            if len(records) < READ_BATCH_RECORDS:
                return result, start

    async def read(self, stream, start, limit=100):
        """Read records from ``start`` on.

        :returns: ``(records, next_offset)``; ``records`` is a list of
            :class:`Record`.
        :raises ExpiredOffsetError: the record at ``start`` has expired.
        :raises JournalUnavailableError: the service is unavailable.
        """
        params = {'from': str(start), 'limit': str(limit)}
        status, data = await self._get(self._url(stream), params)
        if status == 410:
            first = int(data.get('first_offset', 0))
            raise exceptions.ExpiredOffsetError(
                f'{stream}: offset {start} expired; first offset is {first}',
                first_offset=first,
            )
        if status != 200:
            raise exceptions.JournalUnavailableError(
                f'log service answered {status}', retry_after_s=RETRY_AFTER_S
            )
        records = [
            Record(Offset(r['offset']), r['at_ms'], r['value'])
            for r in data['records']
        ]
        return records, Offset(int(data['next_offset']))
