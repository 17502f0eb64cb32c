"""A machine's narrow link, as a proxy before its front address."""

import asyncio
import socket

import site2

# An Ethernet segment and a small window, which the proxy asks of the host:
# without them loopback buffers megabytes for each connection.
SEGMENT_BYTES = 1448
WINDOW_BYTES = 4096


class NarrowLink:
    """A proxy for the host's link, with so many bytes a second for all.

    It loses, delays and resets nothing; clients read all that it passes on.
    """

    def __init__(self, target, mbps):
        self.target = target
        self.bytes_per_s = mbps * 1e6 / 8
        self.free_s = 0.0
        self.port = site2.find_port()
        self.tasks = set()
        self.server = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._accept, '127.0.0.1', self.port
        )

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        loop = asyncio.get_running_loop()
        link = socket.socket()
        link.setblocking(False)
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(link, self.target)
        up = asyncio.create_task(self._pass_up(reader, link))
        try:
            while data := await loop.sock_recv(link, SEGMENT_BYTES):
                await self._wait_for_link(len(data))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            up.cancel()
            link.close()
            writer.close()

    async def _pass_up(self, reader, link):
        loop = asyncio.get_running_loop()
        while data := await reader.read(65536):
            await loop.sock_sendall(link, data)

    async def _wait_for_link(self, size):
        now_s = asyncio.get_running_loop().time()
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        if self.free_s - now_s > 0.005:
            await asyncio.sleep(self.free_s - now_s)

    async def stop(self):
        """Stop listening, and close all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
