"""Change feed of a store topic: one host of a zone reads it for the others."""

import asyncio
import collections
import dataclasses

from pearrun.clock import to_seconds
from pearrun.shared.reports import ENDPOINT_TOPIC
from pearrun.shared.reports import TopicFeed

# Received batches buffered until they are consumed: a few report rounds.
MAX_BATCHES = 16
# How often the end position of the last read is sent again while the topic
# does not change.
REPEAT_INTERVAL_MS = 1000
# Without a batch for this long, hosts assume that no host reads for them.
READER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes of a topic between two positions.

    :param start: :data:`Position` of the first record.
    :param next: position after the last record.
    :param records: pairs of a key and its entry, ``None`` for a deleted
        key.
    :param asked_ms: when the read was sent to the store, by this host's
        clock.  The changes are known to be complete up to then only: a
        long poll may miss what is written while it waits.
    """

    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]
    asked_ms: int


class Feed:
    """Queues of the changes read by this host and by other hosts.

    :param topic: the topic's name.

    ``has_reader`` is true while another host reads for this host's zone,
    ``through_hubs`` while its batches are relayed by hubs, and ``has_gap``
    if the last :meth:`wait` found changes missing before the next batch.
    """

    def __init__(self, clock, topic=ENDPOINT_TOPIC):
        self.clock = clock
        self.topic = topic
        self.through_hubs = False
        self.has_reader = False
        self.has_gap = False
        self.last_batch_ms = None
        self._pending = []
        self._repeated = None
        self._sent_ms = 0
        self._received = collections.deque(maxlen=MAX_BATCHES)
        self._arrived = asyncio.Event()

    def publish(self, changes):
        """Queue :class:`Changes` for sending to the zone's other hosts."""
        self._pending.append(changes)

    def repeat(self, changes):
        """Send the end position of a read periodically until the next change.

        A host whose link was down when a change was sent detects by this
        position that it has missed the change, or that the store has been
        restored.

        :param changes: the last :class:`Changes`; ``None`` to stop.
        """
        self._repeated = changes and dataclasses.replace(
            changes, start=changes.next, records=()
        )

    def take_pending(self):
        """Return the changes published since the last call, to be sent now.

        :returns: a list of :class:`TopicFeed`.
        """
        pending, self._pending = self._pending, []
        now = self.clock.now()
        if pending:
            self._sent_ms = now
        elif self._repeated and now - self._sent_ms >= REPEAT_INTERVAL_MS:
            self._sent_ms = now
            pending = [self._repeated]
        return [
            TopicFeed(
                changes.start,
                changes.next,
                changes.records,
                self.clock.since(changes.asked_ms),
                self.topic,
            )
            for changes in pending
        ]

    def offer(self, batch):
        """Add a :class:`TopicFeed` that another host has read."""
        self.last_batch_ms = self.clock.now()
        asked_ms = self.last_batch_ms - batch.age_ms
        self._received.append(
            Changes(batch.start, batch.next, batch.records, asked_ms)
        )
        self._arrived.set()

    def is_reader_active(self):
        """Return whether another host has sent a batch recently."""
        last_batch_ms = self.last_batch_ms
        return last_batch_ms is not None and (
            self.clock.since(last_batch_ms) < READER_TIMEOUT_MS
        )

    async def wait(self, position, until_ms):
        """Wait for the next batch that does not end before a position.

        :param until_ms: deadline, by this host's clock.
        :returns: the batch as :class:`Changes`; ``None`` if none arrived
            before the deadline, or if changes just before it are missing.
        """
        self.has_gap = False
        while True:
            batch = self._pop_batch(position)
            if batch is not None:
                self.has_gap = batch.start > position
                return None if self.has_gap else batch
            self._arrived.clear()
            left_ms = max(0, until_ms - self.clock.now())
            try:
                async with asyncio.timeout(to_seconds(left_ms)):
                    await self._arrived.wait()
            except TimeoutError:
                return None

    def _pop_batch(self, position):
        """Return the next batch; discard those that end before a position."""
        while self._received:
            batch = self._received.popleft()
            if batch.next >= position:
                return trim_batch(batch, position)
        return None


def trim_batch(batch, position):
    """Return a batch without the records before a position."""
    if batch.start >= position:
        return batch
    records = batch.records[position - batch.start :]
    return dataclasses.replace(batch, start=position, records=records)
