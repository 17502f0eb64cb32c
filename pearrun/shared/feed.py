"""The list of endpoints as one host of a zone reads it for the others."""

import asyncio
import collections

from pearrun.clock import to_seconds
from pearrun.shared.reports import EndpointFeed

# Batches kept until they are asked for: a few rounds of reports.
KEPT_BATCHES = 16


class Feed:
    """Batches of changes: those read here, and those read elsewhere.

    ``followed`` says whether another host reads for this one's zone,
    ``through_hubs`` whether what it reads comes by way of hubs.
    """

    def __init__(self):
        self.through_hubs = False
        self.followed = False
        self._unsent = []
        self._received = collections.deque(maxlen=KEPT_BATCHES)
        self._grown = asyncio.Event()

    def publish(self, start, records, end):
        """Keep what was read here for the other hosts of the zone."""
        changes = tuple((record.key, record.value) for record in records)
        self._unsent.append(EndpointFeed(start, end, changes))

    def take_unsent(self):
        """Return the batches published since the last call."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def offer(self, batch):
        """Take an :class:`EndpointFeed` that another host read."""
        self._received.append(batch)
        self._grown.set()

    async def wait(self, position, silence_ms):
        """Return the batch that goes on from an offset.

        :param silence_ms: how long to wait for any news.
        :returns: an :class:`EndpointFeed`; ``None`` where none came in
            time or there is a gap before it.
        """
        while True:
            batch = self._find(position)
            if batch is not None:
                return batch if batch.start <= position else None
            self._grown.clear()
            try:
                async with asyncio.timeout(to_seconds(silence_ms)):
                    await self._grown.wait()
            except TimeoutError:
                return None

    def _find(self, position):
        """Return the first batch that is not older than an offset."""
        while self._received:
            batch = self._received.popleft()
            if batch.next >= position:
                return cut_batch(batch, position)
        return None


def cut_batch(batch, position):
    """Leave out of a batch what lies before an offset."""
    if batch.start >= position:
        return batch
    records = batch.records[position - batch.start :]
    return EndpointFeed(position, batch.next, records)
