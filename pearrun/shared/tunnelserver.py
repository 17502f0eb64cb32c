"""Forwards connections of other hosts to endpoints."""

import asyncio
import dataclasses

from loguru import logger
import websockets

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1 import sockets
from pearrun.shared import tunnelmessages
from pearrun.shared.tunnelanswers import TunnelAnswer
from pearrun.shared.tunnelmessages import TunnelEnd
from pearrun.shared.tunnelmessages import TunnelReply
from pearrun.shared.tunnelmessages import TunnelResult
from pearrun.shared.tunneltransport import CHUNK_BYTES

# Tunnels that are open at a time.  Each may buffer some 300 kB.
MAX_TUNNELS = 128
REQUEST_TIMEOUT_MS = 500


@dataclasses.dataclass(frozen=True)
class EndpointStream:
    """A connection to an endpoint.

    :param reader: its :class:`asyncio.StreamReader`.
    :param writer: its :class:`asyncio.StreamWriter`.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def abort(self):
        """Reset the connection, which ends any request on it."""
        transport = self.writer.transport
        if not transport.is_closing():
            sockets.reset_on_close(transport.get_extra_info('socket'))
            transport.abort()


class TunnelServer:
    """Serves the tunnels that other hosts open.

    :param host: the :class:`HostContext`.

    ``active`` is the number of open tunnels.
    """

    def __init__(self, host):
        self.host = host
        self.active = 0
        self.served = 0

    async def handle(self, link):
        """Serve one tunnel until it ends.

        :param link: the WebSocket connection.
        """
        try:
            self._check_sender(link)
            async with asyncio.timeout(to_seconds(REQUEST_TIMEOUT_MS)):
                request = tunnelmessages.decode_request(await link.recv())
        except exceptions.PearrunError as exc:
            logger.bind(code=exc.code).warning(f'tunnel: {exc.message}')
            return
        except (TimeoutError, websockets.ConnectionClosed) as exc:
            logger.info(f'no tunnel request: {exc!r}')
            return
        sockets.detect_dead_peer(
            link.transport.get_extra_info('socket'),
            self.host.reachability.pool_settings.user_timeout_ms,
        )
        self.active += 1
        began_ms = self.host.clock.now()
        outcome = 'closed by the host'
        try:
            outcome = await self._serve(link, request)
        except websockets.ConnectionClosed:
            pass
        finally:
            self.active -= 1
            logger.bind(
                peer=request.sender,
                request_id=request.request_id,
                endpoint=request.endpoint_id,
                outcome=outcome,
                total_ms=self.host.clock.since(began_ms),
                tunnels=self.active,
            ).info('tunnel')

    def _check_sender(self, link):
        """Check that the other end is a host of this fleet.

        :raises UnknownHostError: it is not.
        """
        ip = link.remote_address[0]
        addresses = {
            member.address.rpartition(':')[0]
            for member in self.host.members.others()
        }
        if ip not in addresses:
            raise exceptions.UnknownHostError(f'{ip} is not a host')

    async def _serve(self, link, request):
        """Connect to the endpoint and forward bytes.

        :returns: how the tunnel ended, for the log.
        """
        result, stream = await self._connect(request)
        try:
            reply = TunnelReply(result)
            await link.send(tunnelmessages.encode_reply(reply))
            if stream is None:
                return result.value
            self.served += 1
            answer = TunnelAnswer(self.host, request.endpoint_id)
            return await self._forward(link, stream, answer)
        finally:
            if stream is not None:
                stream.abort()

    async def _connect(self, request):
        """Connect to the endpoint of a request.

        :returns: a :class:`TunnelResult` and, if it is ``OPEN``, the
            :class:`EndpointStream`.
        """
        host = self.host
        if host.stopping:
            return TunnelResult.STOPPING, None
        if not host.gate.may_send(request.endpoint_id):
            return self._get_refusal(request.endpoint_id), None
        record = host.fleet.endpoints[request.endpoint_id].record
        if host.reachability.is_lost(record.service):
            return TunnelResult.NO_PATH, None
        if self.active > MAX_TUNNELS:
            return TunnelResult.BUSY, None
        result, stream = await open_stream(
            record.address, host.reachability.pool_settings
        )
        if stream is not None:
            host.reachability.note_connected(record)
            if host.gate.may_send(record.id):
                return result, stream
            stream.abort()
            return self._get_refusal(record.id), None
        host.reachability.note_unreached(record)
        if host.reachability.is_suspect(record.service):
            return TunnelResult.NO_PATH, None
        return result, None

    def _get_refusal(self, endpoint_id):
        """Return why no tunnel to an endpoint is opened."""
        if self.host.fleet.accepts_calls(endpoint_id):
            return TunnelResult.RESTING
        return TunnelResult.UNKNOWN_ENDPOINT

    async def _forward(self, link, stream, answer):
        """Forward bytes in both directions until either end closes.

        :param answer: the :class:`TunnelAnswer`.
        :returns: how the tunnel ended, for the log.
        """
        upstream = asyncio.create_task(send_to_endpoint(link, stream))
        downstream = asyncio.create_task(send_to_host(stream, link, answer))
        tasks = (upstream, downstream)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if downstream.cancelled() or downstream.exception():
            return 'closed by the host'
        end = downstream.result()
        await link.close(end)
        return f'{end.name.lower()} by the endpoint'


async def open_stream(address, settings):
    """Connect to an endpoint.

    :param address: ``IP:PORT``.
    :param settings: the :class:`PoolSettings`.
    :returns: a :class:`TunnelResult` and, if it is ``OPEN``, the
        :class:`EndpointStream`.
    """
    ip, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(to_seconds(settings.connect_timeout_ms)):
            reader, writer = await asyncio.open_connection(
                ip, int(port), limit=CHUNK_BYTES
            )
    except TimeoutError:
        return TunnelResult.SILENT, None
    except OSError:
        return TunnelResult.REFUSED, None
    sockets.detect_dead_peer(
        writer.get_extra_info('socket'), settings.user_timeout_ms
    )
    return TunnelResult.OPEN, EndpointStream(reader, writer)


async def send_to_endpoint(link, stream):
    """Forward what a host sends."""
    async for data in link:
        stream.writer.write(data)
        await stream.writer.drain()


async def send_to_host(stream, link, answer):
    """Forward what an endpoint sends.

    :param answer: the :class:`TunnelAnswer`.
    :returns: a :class:`TunnelEnd`.
    """
    while True:
        try:
            data = await stream.reader.read(CHUNK_BYTES)
        except TimeoutError:
            return TunnelEnd.SILENT
        except OSError:
            return TunnelEnd.RESET
        if not data:
            return TunnelEnd.CLOSED
        answer.feed(data)
        await link.send(data)
