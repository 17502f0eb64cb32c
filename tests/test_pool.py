"""Tests of pooled connections whose peer has stopped responding."""

import asyncio

import pytest

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.platform.settings import StoreSettings
from pearrun.platform.store import StoreClient
from tests.builders import find_free_port

EMPTY_LOG = bytes(16)
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n' + EMPTY_LOG


class UnresponsiveServer:
    """A server that can stop responding on its open connections.

    ``answer_ms`` is the delay of each response; with it, concurrent calls
    need a connection each.
    """

    def __init__(self):
        self.answer_ms = 50
        self.open_writers = set()
        self.silent_writers = set()

    def stop_responding(self):
        """Stop responding on all connections that are open now."""
        self.silent_writers |= self.open_writers

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.open_writers.add(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                await asyncio.sleep(to_seconds(self.answer_ms))
                if writer not in self.silent_writers:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def run_scenario(scenario):
    """Run a scenario with a server and its address."""

    async def main():
        unresponsive = UnresponsiveServer()
        port = find_free_port()
        server = await asyncio.start_server(
            unresponsive.serve, '127.0.0.1', port
        )
        try:
            await scenario(unresponsive, f'127.0.0.1:{port}')
        finally:
            server.close()

    asyncio.run(main())


def test_silent_connections_to_the_store_fail_only_one_call():
    """After a read has timed out, the other idle connections are closed.

    Guards against reads that time out one after the other: when three
    connections stopped responding at once, the next two reads used the other
    two and also timed out, after 1 s each; a drain was noticed 3 s late.
    """

    async def scenario(server, address):
        store = StoreClient(StoreSettings(address))
        await asyncio.gather(*(store.read('t', 0) for _ in range(3)))
        server.stop_responding()
        with pytest.raises(exceptions.StoreUnavailableError):
            await store.read('t', 0)
        assert (await store.read('t', 0)).records == []

    run_scenario(scenario)
