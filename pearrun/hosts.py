"""Watching endpoints: reclaim notices, the host list, load reports."""

import asyncio

import aiohttp
from loguru import logger

from pearrun import backends
from pearrun.clock import to_seconds
from pearrun.states import BackendKind
from pearrun.states import EndpointState


class HostWatcher:
    """Marks endpoints leaving from the cloud's notices and host list.

    :param session: an :class:`aiohttp.ClientSession`.
    :param settings: the daemon's whole :class:`Settings`.
    :param router: the daemon's :class:`Router`.
    :param peers: the daemon's :class:`Peers`, told of each change.
    """

    def __init__(self, session, settings, router, peers):
        self.session = session
        self.settings = settings
        self.router = router
        self.peers = peers
        self.notice_seq = 0

    def mark_leaving(self, endpoint_id, source):
        """Stop routing to an endpoint and tell the peers."""
        if self.router.mark(endpoint_id, EndpointState.LEAVING):
            logger.info(
                'endpoint leaving', endpoint=endpoint_id, source=source
            )
            self.peers.broadcast({'type': 'leaving', 'endpoint': endpoint_id})

    async def read_cloud(self):
        """Read new reclaim notices and the host list once."""
        base = self.settings.platform.cloud_url.rstrip('/')
        params = {'since': str(self.notice_seq)}
        async with self.session.get(
            f'{base}/v1/notices', params=params
        ) as reply:
            notices = (await reply.json())['notices']
        for notice in notices:
            self.notice_seq = max(self.notice_seq, int(notice['seq']))
            self.mark_leaving(notice['id'], 'notice')
        async with self.session.get(f'{base}/v1/hosts') as reply:
            hosts = (await reply.json())['hosts']
        for host in hosts:
            if host['state'] != EndpointState.LIVE.value:
                self.mark_leaving(host['id'], 'host list')

    async def read_loads(self):
        """Refresh each engine's reported load."""
        for endpoint in list(self.router.endpoints.values()):
            if endpoint.kind != BackendKind.ENGINE:
                continue
            load = await backends.read_load(self.session, endpoint)
            if load is not None:
                endpoint.reported_load = load

    async def watch(self):
        """Poll the cloud and the engines for the daemon's whole life."""
        pause = to_seconds(self.settings.host.hosts_poll_ms)
        while True:
            if self.settings.platform.cloud_url:
                try:
                    await self.read_cloud()
                except (aiohttp.ClientError, ValueError, TimeoutError):
                    pass
            await self.read_loads()
            await asyncio.sleep(pause)
