"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import dataclasses
import urllib.parse

READ_LIMIT = 1 << 22


@dataclasses.dataclass
class Message:
    """A request or a response; ``start`` is its first line."""

    start: list
    headers: dict
    body: bytes = b''

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def path(self):
        return self.start[1].partition('?')[0]

    @property
    def query(self):
        return dict(urllib.parse.parse_qsl(self.start[1].partition('?')[2]))

    @property
    def status(self):
        return int(self.start[1])


async def read_head(reader):
    """Read a start line and headers; ``None`` at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionResetError('closed inside a head') from exc
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(' ', 2), headers)


async def read_chunks(reader):
    """Yield the parts of a chunked body."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, message):
    """Read the body that a message's headers announce."""
    if 'chunked' in message.get('transfer-encoding', ''):
        message.body = b''.join([part async for part in read_chunks(reader)])
    elif message.get('content-length'):
        message.body = await reader.readexactly(
            int(message.get('content-length'))
        )


REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 503: 'Unavailable'}


def encode_response(status, headers=(), body=b''):
    """Return a complete response as bytes."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """Serves requests one after the other on each connection.

    :param handle: coroutine called with the request, the stream writer and
        the peer's address; it writes the response and returns whether the
        connection goes on.
    """

    def __init__(self, handle):
        self.handle = handle
        self.listener = None
        self.tasks = set()

    async def listen(self, address):
        host, _, port = address.rpartition(':')
        self.listener = await asyncio.start_server(
            self._serve, host, int(port), limit=READ_LIMIT
        )

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        peer = writer.get_extra_info('peername')
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                await read_body(reader, request)
                if not await self._handle(request, reader, writer, peer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _handle(self, request, reader, writer, peer):
        """Run the handler; cancel it if the caller closes the connection."""
        handling = asyncio.ensure_future(self.handle(request, writer, peer))
        closing = asyncio.ensure_future(wait_for_close(reader))
        try:
            await asyncio.wait(
                (handling, closing), return_when=asyncio.FIRST_COMPLETED
            )
            if handling.done():
                return handling.result()
            return False
        finally:
            handling.cancel()
            closing.cancel()
            await asyncio.gather(handling, closing, return_exceptions=True)

    def close(self):
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()


async def wait_for_close(reader):
    """Return when the peer has closed the connection or reset it."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


async def call(address, method, target, headers, body=b'', timeout_s=10.0):
    """Make one request on a new connection.

    :returns: the response; ``None`` if none came, or an incomplete one.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            if method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            response = await read_head(reader)
            if response is not None:
                await read_body(reader, response)
            return response
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
