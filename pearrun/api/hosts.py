"""Monitoring of endpoints: reclaim notices, host list and load reports."""

import asyncio
import itertools

import aiohttp
from loguru import logger

from pearrun.api import backends
from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import BackendKind
from pearrun.states import EndpointState

POLLS_PER_HOST_LIST = 4
POLLING_IDLE_MS = 2000
MIN_PAUSE_MS = 10
CLOUD_TIMEOUT = aiohttp.ClientTimeout(total=2)


class HostWatcher:
    """Marks endpoints as leaving, and refreshes the loads of engines.

    Endpoints are marked when the cloud's reclaim notices or its host list
    report that their hosts are leaving.

    :param session: an :class:`aiohttp.ClientSession`.
    :param settings: the daemon's complete :class:`Settings`.
    :param router: the daemon's :class:`Router`.
    :param announce: called with the id of an endpoint that this daemon
        marked as leaving.
    :param on_reclaim: called when the reclaim notice of this daemon's own
        entry host arrives, with the monotonic time of the reclaim.
    """

    def __init__(self, session, settings, router, announce, on_reclaim):
        self.session = session
        self.settings = settings
        self.router = router
        self.announce = announce
        self.on_reclaim = on_reclaim
        self.clock = Clock()
        self.notice_seq = 0

    def mark_leaving(self, endpoint_id, source, reclaim_at_ms=None):
        """Stop routing to an endpoint and notify the other daemons.

        :param source: what reported the endpoint, for the log line.
        :param reclaim_at_ms: monotonic time at which its host is
            reclaimed, if known; its running streams migrate before then.
        """
        endpoint = self.router.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if reclaim_at_ms is not None:
            endpoint.reclaim_at_ms = reclaim_at_ms
        if self.router.mark(endpoint_id, EndpointState.LEAVING):
            logger.info(
                'endpoint leaving', endpoint=endpoint_id, source=source
            )
            self.announce(endpoint_id)

    async def read_notices(self):
        """Fetch and handle the reclaim notices since the last poll."""
        base = self.settings.platform.cloud_url.rstrip('/')
        params = {'since': str(self.notice_seq)}
        async with self.session.get(
            f'{base}/v1/notices', params=params, timeout=CLOUD_TIMEOUT
        ) as response:
            notices = (await response.json())['notices']
        for notice in notices:
            self.notice_seq = max(self.notice_seq, int(notice['seq']))
            at_ms = self.clock.now() + int(notice['notice_ms'])
            if notice['id'] == self.settings.host.name:
                self.on_reclaim(at_ms)
            self.mark_leaving(notice['id'], 'notice', at_ms)

    async def read_host_list(self):
        """Fetch the cloud's host list, which lags behind, and handle it."""
        base = self.settings.platform.cloud_url.rstrip('/')
        async with self.session.get(
            f'{base}/v1/hosts', timeout=CLOUD_TIMEOUT
        ) as response:
            hosts = (await response.json())['hosts']
        for host in hosts:
            if host['state'] != EndpointState.LIVE.value:
                self.mark_leaving(host['id'], 'host list')

    async def watch_cloud(self):
        """Poll the cloud until cancelled, if one is configured."""
        if not self.settings.platform.cloud_url:
            return
        for poll in itertools.count():
            try:
                await self.read_notices()
                if poll % POLLS_PER_HOST_LIST == 0:
                    await self.read_host_list()
            except (aiohttp.ClientError, OSError, ValueError, KeyError) as exc:
                logger.debug('cloud API request failed', error=repr(exc))
            await asyncio.sleep(to_seconds(self.settings.host.hosts_poll_ms))

    def list_polled_engines(self):
        """Return the engines whose load is polled.

        These are all live engines if one round takes at most a second,
        else only those of this daemon's zone.
        """
        engines = [
            e
            for e in self.router.endpoints.values()
            if e.kind == BackendKind.ENGINE and e.state == EndpointState.LIVE
        ]
        if len(engines) <= self.settings.host.load_polls_per_s:
            return engines
        zone = self.settings.host.zone
        return [e for e in engines if e.zone == zone]

    async def read_load(self, endpoint):
        """Refresh one engine's reported load, less this daemon's requests."""
        load = await backends.read_load(self.session, endpoint)
        if load is not None:
            endpoint.reported_load = max(0, load - endpoint.in_flight)

    async def watch_loads(self):
        """Poll the engines' loads at a bounded rate until cancelled.

        At most ``load_polls_per_s`` engines are polled per second, so
        that the cost does not grow with the fleet.  When no request was
        routed for :data:`POLLING_IDLE_MS`, none is polled and all
        reported loads are reset to 0.
        """
        interval_s = 1.0 / self.settings.host.load_polls_per_s
        rest_ms = self.settings.host.loads_poll_ms
        while True:
            started = self.clock.now()
            if started - self.router.last_used_ms > POLLING_IDLE_MS:
                for endpoint in self.router.endpoints.values():
                    endpoint.reported_load = 0
                await asyncio.sleep(to_seconds(rest_ms))
                continue
            for endpoint in self.list_polled_engines():
                await self.read_load(endpoint)
                await asyncio.sleep(interval_s)
            left_ms = rest_ms - self.clock.since(started)
            await asyncio.sleep(to_seconds(max(left_ms, MIN_PAUSE_MS)))
