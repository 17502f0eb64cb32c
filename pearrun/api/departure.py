"""A daemon's departure: a planned stop, or its host being reclaimed."""

import asyncio

from loguru import logger

from pearrun.clock import Clock
from pearrun.clock import to_seconds
from pearrun.states import MemberState

FLUSH_MS = 2000
HANDOVER_MS = 3000
READERS_POLL_MS = 50


class Departure:
    """Finishes a daemon's work, or hands it over, and says so.

    :param settings: the daemon's whole :class:`Settings`.
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
        self.leaving = None

    def begin(self):
        """Take no more requests, and let the other daemons know."""
        self.dispatcher.accepting = False
        self.state = MemberState.STOPPING
        self.membership.beat_now.set()

    async def finish_within(self, patience_ms):
        """Let running jobs end; hand over what does not end in time.

        :param patience_ms: how long to wait for them.
        """
        try:
            async with asyncio.timeout(to_seconds(patience_ms)):
                await self.dispatcher.drain()
        except TimeoutError:
            logger.warning('handing unfinished requests over')
            await self.dispatcher.hand_over()

    async def stop(self):
        """Leave because this process is told to stop.

        Callers whose requests were handed over get the rest of their
        answers through this host before it ends.
        """
        logger.info('daemon stopping; finishing in-flight requests')
        self.begin()
        await self.finish_within(self.settings.host.drain_timeout_ms)
        try:
            async with asyncio.timeout(to_seconds(FLUSH_MS)):
                await self.journal.flush()
        except TimeoutError:
            logger.warning('journal not written to its end')
        self.state = MemberState.LEFT
        await self.membership.beat(extra=True)
        await self.wait_for_readers()

    async def wait_for_readers(self):
        """Wait until no caller is being answered through this host."""
        deadline = self.clock.now() + self.settings.host.drain_timeout_ms
        while self.lookup.follower_count and self.clock.now() < deadline:
            await asyncio.sleep(to_seconds(READERS_POLL_MS))

    def on_reclaim(self, at_ms):
        """Act on the announced reclaim of this daemon's own host.

        :param at_ms: when the host goes away.
        """
        if self.state == MemberState.LIVE:
            logger.warning('this host is being reclaimed')
            self.begin()
            self.leaving = asyncio.create_task(self.leave_by(at_ms))

    async def leave_by(self, at_ms):
        """Hand unfinished requests over before this host goes away."""
        left_ms = at_ms - self.clock.now()
        patience_ms = max(0, left_ms // 2, left_ms - HANDOVER_MS)
        await self.finish_within(patience_ms)
        self.state = MemberState.LEFT
        self.membership.beat_now.set()
