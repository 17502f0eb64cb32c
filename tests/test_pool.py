"""Idle connections to one address, some of which have gone silent."""

import asyncio

import pytest

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.platform.settings import StoreSettings
from pearrun.platform.store import StoreClient
from tests.builders import find_free_port

EMPTY_LOG = bytes(16)
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n' + EMPTY_LOG


class SilencedServer:
    """Answers each request, but on connections that went silent.

    :param answer_ms: how long an answer takes, so that calls made together
        need a connection each.
    """

    def __init__(self):
        self.answer_ms = 50
        self.open = set()
        self.silent = set()

    def silence(self):
        """Make all connections that are open now go silent."""
        self.silent |= self.open

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.open.add(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                await asyncio.sleep(to_seconds(self.answer_ms))
                if writer not in self.silent:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def play(scenario):
    """Run a scenario, called with a server and its address."""

    async def main():
        silenced = SilencedServer()
        port = find_free_port()
        server = await asyncio.start_server(silenced.serve, '127.0.0.1', port)
        try:
            await scenario(silenced, f'127.0.0.1:{port}')
        finally:
            server.close()

    asyncio.run(main())


def test_one_silent_connection_to_the_store_costs_one_call():
    """Three connections go silent at once; a read hangs on the first.

    The reads after it took the other two, one after the other, 1 s each,
    and a drain that came meanwhile was known 3 s late.
    """

    async def scenario(server, address):
        store = StoreClient(StoreSettings(address))
        await asyncio.gather(*(store.read('t', 0) for _ in range(3)))
        server.silence()
        with pytest.raises(exceptions.StoreUnavailableError):
            await store.read('t', 0)
        assert (await store.read('t', 0)).records == []

    play(scenario)
