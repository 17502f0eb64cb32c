"""Connections to endpoints through other hosts.

A host whose direct paths are lost asks another host, the proxy, to connect to
an endpoint and to forward bytes in both directions.  All decisions on a call
stay at the host that accepted it: retries, quotas, deadlines and usage are
counted once.  A proxy only ever connects directly, so that a call passes one
other host at most.
"""

import asyncio

from loguru import logger
import websockets
from websockets.asyncio.client import connect

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions.proxies import ProxyTable
from pearrun.http1 import sockets
from pearrun.shared import tunnelmessages
from pearrun.shared.tunnelmessages import TunnelRequest
from pearrun.shared.tunnelmessages import TunnelResult
from pearrun.shared.tunneltransport import TunnelledConnection
from pearrun.shared.tunneltransport import TunnelTransport

# Time for connecting to the proxy, and for its reply, which includes
# connecting to the endpoint.
CONNECT_TIMEOUT_MS = 200
REPLY_TIMEOUT_MS = 400
# Hosts that are asked for one connection.
MAX_ASKED = 5
# A proxy that stops responding without an error is noticed by pings.
PING_INTERVAL_MS = 500
PING_TIMEOUT_MS = 1000


class Tunnels:
    """Opens tunnels through other hosts.

    :param settings: the :class:`HostSettings`.
    :param members: the :class:`Members`.
    :param pool_settings: limits of connections; a :class:`PoolSettings`.
    """

    def __init__(self, clock, settings, members, pool_settings):
        self.clock = clock
        self.settings = settings
        self.members = members
        self.pool_settings = pool_settings
        self.opened = 0
        self._tables = {}

    async def connect(self, record, request_id):
        """Open a connection to an endpoint through another host.

        :param record: the :class:`EndpointRecord`.
        :param request_id: id of the call that needs the connection.
        :returns: a :class:`TunnelledConnection`.
        :raises NoPathError: no host was found that reaches the endpoint.
        :raises EndpointDownError: the endpoint refused the connection.
        :raises EndpointSilentError: the endpoint did not respond.
        :raises OverloadedError: the endpoint wants no calls from the hosts
            that could reach it.
        """
        table = self._tables.setdefault(record.service, ProxyTable())
        asked = set()
        is_resting = False
        while table.may_search(self.clock.now()) and len(asked) < MAX_ASKED:
            proxy = self._choose(table, asked)
            if proxy is None:
                break
            asked.add(proxy.name)
            link, result = await self._open(proxy, record, request_id)
            match result:
                case TunnelResult.OPEN:
                    return self._make_connection(link, proxy.name, table)
                case TunnelResult.REFUSED:
                    table.note_working(proxy.name)
                    raise exceptions.EndpointDownError(
                        f'{record.address} refused {proxy.name}'
                    )
                case TunnelResult.SILENT:
                    raise exceptions.EndpointSilentError(
                        f'{record.address} does not respond to {proxy.name}'
                    )
                case TunnelResult.UNKNOWN_ENDPOINT:
                    raise exceptions.EndpointUnreachableError(
                        f'{record.id} is not listed at {proxy.name}'
                    )
                case TunnelResult.RESTING:
                    table.note_working(proxy.name)
                    is_resting = True
                    continue
            table.note_unavailable(proxy.name, self.clock.now())
        if is_resting:
            raise exceptions.OverloadedError(
                f'{record.id} wants no calls, {len(asked)} hosts asked'
            )
        if asked:
            table.note_search_failed(self.clock.now())
        raise exceptions.NoPathError(
            f'no path to {record.address}, {len(asked)} hosts asked'
        )

    def note_broken(self, record, proxy):
        """Record that the connection to a proxy broke."""
        table = self._tables.setdefault(record.service, ProxyTable())
        table.note_unavailable(proxy, self.clock.now())

    def _choose(self, table, asked):
        """Choose the next host to ask.

        :returns: a :class:`Member`, or ``None``.
        """
        names = [member.name for member in self.members.others()]
        chosen = table.choose(names, asked, self.clock.now())
        return self.members.members.get(chosen)

    def _make_connection(self, link, proxy, table):
        table.note_working(proxy)
        table.begin(proxy)
        self.opened += 1
        sockets.detect_dead_peer(
            link.transport.get_extra_info('socket'),
            self.pool_settings.user_timeout_ms,
        )
        connection = TunnelledConnection(proxy)
        TunnelTransport(link, connection, lambda: table.end(proxy))
        return connection

    async def _open(self, proxy, record, request_id):
        """Ask a host for a tunnel.

        :param proxy: the host's :class:`Member`.
        :returns: the open link and :class:`TunnelResult`; the link is
            ``None`` unless the tunnel is open, and the result is ``None`` if
            the host did not respond.
        """
        request = TunnelRequest(self.settings.name, record.id, request_id)
        link = None
        result = None
        cause = ''
        try:
            link = await connect(
                f'ws://{proxy.address}{tunnelmessages.TUNNEL_PATH}',
                compression=None,
                open_timeout=to_seconds(CONNECT_TIMEOUT_MS),
                ping_interval=to_seconds(PING_INTERVAL_MS),
                ping_timeout=to_seconds(PING_TIMEOUT_MS),
                proxy=None,
                # The proxy accepts tunnels from the addresses of hosts only.
                local_addr=(self.settings.ip, 0),
            )
            async with asyncio.timeout(to_seconds(REPLY_TIMEOUT_MS)):
                await link.send(tunnelmessages.encode_request(request))
                reply = tunnelmessages.decode_reply(await link.recv())
            result = reply.result
        except (OSError, TimeoutError, websockets.WebSocketException) as exc:
            cause = repr(exc)
        except exceptions.WireFormatError as exc:
            cause = exc.message
        finally:
            if link is not None and result is not TunnelResult.OPEN:
                link.transport.abort()
        if result is not TunnelResult.OPEN:
            logger.bind(
                peer=proxy.name,
                endpoint=record.id,
                request_id=request_id,
                result=result.value if result else 'no reply',
                cause=cause,
            ).info('tunnel not opened')
        return link, result
