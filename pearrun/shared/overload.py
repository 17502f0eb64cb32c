"""Measures the delay of the event loop and sheds connections accordingly."""

import asyncio

from loguru import logger

from pearrun.clock import to_seconds
from pearrun.decisions.shedding import Shedder

# Interval of measurements.
MEASURE_INTERVAL_MS = 50


class OverloadGuard:
    """Decides which new connections of callers to accept.

    ``shed`` counts the connections that were closed unread.
    """

    def __init__(self, clock):
        self.clock = clock
        self.shedder = Shedder()
        self.shed = 0
        self._begun_ms = None
        self._shed_before = 0

    async def run(self):
        """Measure the delay of the event loop until cancelled."""
        while True:
            due_ms = self.clock.now() + MEASURE_INTERVAL_MS
            await asyncio.sleep(to_seconds(MEASURE_INTERVAL_MS))
            self.note_lag(self.clock.now() - due_ms)

    def note_lag(self, lag_ms):
        """Record one measurement, and log when shedding begins and ends."""
        self.shedder.note_lag(lag_ms)
        share = self.shedder.share
        if share and self._begun_ms is None:
            self._begun_ms = self.clock.now()
            self._shed_before = self.shed
            logger.bind(lag_ms=lag_ms).info('shedding connections')
        elif not share and self._begun_ms is not None:
            logger.bind(
                for_ms=self.clock.since(self._begun_ms),
                connections=self.shed - self._shed_before,
            ).info('shedding ended')
            self._begun_ms = None

    def accept(self):
        """Return whether to accept a new connection; count it if not."""
        is_accepted = self.shedder.accept(self.clock.now())
        self.shed += not is_accepted
        return is_accepted
