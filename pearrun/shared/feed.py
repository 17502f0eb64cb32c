"""A topic of the store as one host of a zone reads it for the others."""

import asyncio
import collections
import dataclasses

from pearrun.clock import to_seconds
from pearrun.shared.reports import ENDPOINT_TOPIC
from pearrun.shared.reports import TopicFeed

# Batches kept until they are asked for: a few rounds of reports.
KEPT_BATCHES = 16
# How often the end of the last read is said again.
REPEAT_MS = 1000
# Without a word for so long, hosts take it that nobody reads for them.
UNHEARD_MS = 3000


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes of a topic between two offsets.

    :param start: offset of the first record.
    :param next: offset after the last one.
    :param records: pairs of a key and its entry, ``None`` where it was
        removed.
    :param asked_ms: when the store was asked for them, by this host's
        clock: a read that waits may miss what comes while it waits.
    """

    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]
    asked_ms: int


class Feed:
    """Batches of changes: those read here, and those read elsewhere.

    :param topic: the topic's name.

    ``followed`` says whether another host reads for this one's zone,
    ``through_hubs`` whether what it reads comes by way of hubs, ``has_gap``
    whether the last wait ended for a gap before what came.
    """

    def __init__(self, clock, topic=ENDPOINT_TOPIC):
        self.clock = clock
        self.topic = topic
        self.through_hubs = False
        self.followed = False
        self.has_gap = False
        self.heard_ms = None
        self._unsent = []
        self._repeated = None
        self._sent_ms = 0
        self._received = collections.deque(maxlen=KEPT_BATCHES)
        self._grown = asyncio.Event()

    def publish(self, changes):
        """Keep :class:`Changes` read here for the other hosts of the zone."""
        self._unsent.append(changes)

    def repeat(self, changes):
        """Say again and again where a read ended, while nothing changes.

        A host whose link was not up yet when a change was passed on learns
        from it that it missed one.

        :param changes: the last :class:`Changes`; ``None`` to say no more.
        """
        self._repeated = changes and dataclasses.replace(
            changes, start=changes.next, records=()
        )

    def take_unsent(self):
        """Return what was published since the last call, to be sent now.

        :returns: a list of :class:`TopicFeed`.
        """
        unsent, self._unsent = self._unsent, []
        now = self.clock.now()
        if unsent:
            self._sent_ms = now
        elif self._repeated and now - self._sent_ms >= REPEAT_MS:
            self._sent_ms = now
            unsent = [self._repeated]
        return [
            TopicFeed(
                changes.start,
                changes.next,
                changes.records,
                self.clock.since(changes.asked_ms),
                self.topic,
            )
            for changes in unsent
        ]

    def offer(self, batch):
        """Take an :class:`TopicFeed` that another host read."""
        self.heard_ms = self.clock.now()
        asked_ms = self.heard_ms - batch.age_ms
        self._received.append(
            Changes(batch.start, batch.next, batch.records, asked_ms)
        )
        self._grown.set()

    def is_heard(self):
        """Say whether another host that reads was heard lately."""
        heard_ms = self.heard_ms
        return heard_ms is not None and (
            self.clock.since(heard_ms) < UNHEARD_MS
        )

    async def wait(self, position, until_ms):
        """Return the batch that goes on from an offset.

        :param until_ms: how long to wait for it, by this host's clock.
        :returns: :class:`Changes`; ``None`` where none came in time or
            there is a gap before them.
        """
        self.has_gap = False
        while True:
            batch = self._find(position)
            if batch is not None:
                self.has_gap = batch.start > position
                return None if self.has_gap else batch
            self._grown.clear()
            left_ms = max(0, until_ms - self.clock.now())
            try:
                async with asyncio.timeout(to_seconds(left_ms)):
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
    return dataclasses.replace(batch, start=position, records=records)
