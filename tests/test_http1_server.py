"""Tests of the HTTP/1.1 server, with raw bytes on a socket."""

import asyncio

import pytest

from pearrun.http1.limits import ServerLimits
from pearrun.http1.server import Server
from tests.builders import find_free_port

LIMITS = ServerLimits(
    max_header_bytes=2000,
    max_body_bytes=1000,
    header_timeout_ms=300,
    idle_timeout_ms=400,
)


class Recorder:
    """A handler that records requests and echoes their bodies.

    If ``hold`` is set to an event, it waits for that before answering.
    """

    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.hold = None

    async def handle(self, request, caller):
        self.requests.append(request)
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await caller.reply(200, [], request.target + b' ' + request.body)


def exchange(data, recorder=None, wait_s=1.0, pieces=1):
    """Send bytes to a server and read until it closes the connection.

    :param wait_s: longest wait for the close.
    :param pieces: the number of parts in which the bytes are sent.
    :returns: ``(reply, recorder)``.
    """
    recorder = recorder or Recorder()

    async def main():
        server = Server(recorder.handle, lambda: LIMITS)
        address = ('127.0.0.1', find_free_port())
        await server.listen(f'{address[0]}:{address[1]}')
        reader, writer = await asyncio.open_connection(*address)
        size = max(1, len(data) // pieces)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0)
        try:
            async with asyncio.timeout(wait_s):
                reply = await reader.read(-1)
        except TimeoutError:
            reply = b'(still open)'
        writer.close()
        server.close()
        server.abort()
        return reply

    return asyncio.run(main()), recorder


def make_request(target=b'/', body=None, headers=b''):
    """Return the bytes of a request, with Content-Length if it has a body."""
    framing = b''
    if body is not None:
        framing = b'Content-Length: %d\r\n' % len(body)
    method = b'GET' if body is None else b'POST'
    return (
        method
        + b' '
        + target
        + b' HTTP/1.1\r\nHost: x\r\n'
        + framing
        + headers
        + b'\r\n'
        + (body or b'')
    )


CLOSE = b'Connection: close\r\n'


def test_pipelined_requests_are_answered_in_order():
    data = make_request(b'/1', b'one') + make_request(b'/2')
    data += make_request(b'/3', b'three', CLOSE)
    reply, recorder = exchange(data)
    assert [r.target for r in recorder.requests] == [b'/1', b'/2', b'/3']
    assert reply.index(b'/1 one') < reply.index(b'/2 ')
    assert reply.index(b'/2 ') < reply.index(b'/3 three')


@pytest.mark.parametrize('pieces', [1, 2, 7, 40, 150])
def test_a_request_may_arrive_in_parts(pieces):
    data = make_request(b'/a', b'x' * 100, CLOSE)
    reply, recorder = exchange(data, pieces=pieces)
    assert reply.endswith(b'/a ' + b'x' * 100)
    assert len(recorder.requests) == 1


def test_chunked_bodies_are_joined():
    data = (
        b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
        b'Connection: close\r\n\r\n3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n'
    )
    reply, recorder = exchange(data)
    assert recorder.requests[0].body == b'abcde'
    assert reply.endswith(b'/c abcde')


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            400,
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n',
            501,
        ),
        (make_request(headers=b'A: ' + b'y' * 3000 + b'\r\n'), 431),
        (make_request(body=b'z' * 1001), 413),
        (b'GET / HTTP/1.1\r\nHost: x\r\n', 408),
        (b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab', 408),
    ],
)
def test_invalid_requests_are_rejected_before_the_handler(data, status):
    reply, recorder = exchange(data, wait_s=3)
    assert reply.startswith(b'HTTP/1.1 %d' % status)
    assert reply.count(b'HTTP/1.1') == 1
    assert not recorder.requests


def test_idle_connections_are_closed_without_a_response():
    reply, _ = exchange(b'')
    assert reply == b''
    reply, _ = exchange(make_request())
    assert reply.startswith(b'HTTP/1.1 200')


def test_the_handler_is_cancelled_when_the_caller_disconnects():
    async def main():
        recorder = Recorder()
        recorder.hold = asyncio.Event()
        server = Server(recorder.handle, lambda: LIMITS)
        port = find_free_port()
        await server.listen(f'127.0.0.1:{port}')
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(make_request())
        while not recorder.requests:
            await asyncio.sleep(0.01)
        assert server.active_requests == 1
        writer.close()
        async with asyncio.timeout(1):
            while not recorder.cancelled:
                await asyncio.sleep(0.01)
        server.close()

    asyncio.run(main())


def test_100_continue_is_sent_before_the_body_is_read():
    async def main():
        recorder = Recorder()
        server = Server(recorder.handle, lambda: LIMITS)
        port = find_free_port()
        await server.listen(f'127.0.0.1:{port}')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = make_request(b'/e', b'abc', b'Expect: 100-continue\r\n')
        writer.write(head[:-3])
        line = await reader.readline()
        assert line.startswith(b'HTTP/1.1 100')
        writer.write(b'abc')
        await reader.readuntil(b'/e abc')
        writer.close()
        server.close()
        server.abort()

    asyncio.run(main())
