"""Graceful shutdown: a planned stop, or the reclaim of the daemon's host."""

import asyncio

from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import MemberState

FLUSH_TIMEOUT_MS = 2000
HANDOVER_RESERVE_MS = 3000
FOLLOWERS_POLL_MS = 50


class GracefulShutdown:
    """Drains a daemon, hands over unfinished requests, notifies the others.

    :param settings: the daemon's complete :class:`Settings`.
    :param dispatcher: its :class:`Dispatcher`.
    :param journal: its :class:`Journal`.
    :param lookup: its :class:`Lookup`.
    :param membership: its :class:`Membership`.
    """

    def __init__(self, settings, dispatcher, journal, lookup, membership):
        self.settings = settings
        self.dispatcher = dispatcher
        self.journal = journal
        self.lookup = lookup
        self.membership = membership
        self.clock = Clock()
        self.state = MemberState.LIVE
        self.drain_task = None

    def begin(self):
        """Stop accepting requests and notify the other daemons."""
        self.dispatcher.accepting = False
        self.state = MemberState.STOPPING
        self.membership.heartbeat_requested.set()

    async def drain_or_hand_over(self, timeout_ms):
        """Wait for running jobs to end; hand over those that do not.

        :param timeout_ms: how long to wait.
        """
        try:
            async with asyncio.timeout(to_seconds(timeout_ms)):
                await self.dispatcher.drain()
        except TimeoutError:
            logger.warning(
                'drain incomplete; handing over unfinished requests'
            )
            await self.dispatcher.hand_over()

    async def stop(self):
        """Shut down when the process is stopped as planned.

        Before the process ends, callers whose requests were handed over
        receive the rest of their answers through this host.
        """
        logger.info('daemon stopping; finishing in-flight requests')
        self.begin()
        await self.drain_or_hand_over(self.settings.host.drain_timeout_ms)
        try:
            async with asyncio.timeout(to_seconds(FLUSH_TIMEOUT_MS)):
                await self.journal.flush()
        except TimeoutError:
            logger.warning('journal not flushed before shutdown')
        self.state = MemberState.LEFT
        await self.membership.send_heartbeat(extra=True)
        await self.wait_for_followers()

    async def wait_for_followers(self):
        """Wait until no caller follows a request through this host.

        Waits for at most ``drain_timeout_ms``.
        """
        deadline = self.clock.now() + self.settings.host.drain_timeout_ms
        while self.lookup.follower_count and self.clock.now() < deadline:
            await asyncio.sleep(to_seconds(FOLLOWERS_POLL_MS))

    def handle_reclaim_notice(self, at_ms):
        """Handle the reclaim notice of this daemon's own host.

        :param at_ms: monotonic time of the reclaim.
        """
        if self.state == MemberState.LIVE:
            logger.warning('this host is being reclaimed')
            self.begin()
            self.drain_task = asyncio.create_task(self.drain_before(at_ms))

    async def drain_before(self, at_ms):
        """Finish or hand over all requests before the host is reclaimed.

        :param at_ms: monotonic time of the reclaim.
        """
        left_ms = at_ms - self.clock.now()
        timeout_ms = max(0, left_ms // 2, left_ms - HANDOVER_RESERVE_MS)
        await self.drain_or_hand_over(timeout_ms)
        self.state = MemberState.LEFT
        self.membership.heartbeat_requested.set()
