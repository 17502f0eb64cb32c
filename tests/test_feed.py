"""Change feeds: topic changes read by some hosts and sent to others."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from pearrun.clock import Clock
from pearrun.shared.feed import Changes
from pearrun.shared.feed import Feed

KEYS = st.sampled_from(['e1', 'e2', 'e3'])
READERS = st.integers(0, 1)


def apply_changes(state, changes):
    """Apply pairs of a key and a value to a state."""
    for key, value in changes:
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value


class FeedMachine(RuleBasedStateMachine):
    """Two hosts read a log and send its changes to a third, with losses.

    The third host applies the received batches, and reads the log itself
    after a gap or a timeout.  Its state must always match the log up to its
    position, even if batches are lost, delayed or duplicated.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = []
        self.positions = [0, 0]
        self.feeds = [Feed(Clock()), Feed(Clock())]
        self.in_transit = []
        self.feed = Feed(Clock())
        self.position = 0
        self.state = {}

    def teardown(self):
        self.loop.close()

    @rule(key=KEYS, value=st.none() | st.binary(min_size=1, max_size=2))
    def write(self, key, value):
        self.log.append((key, value))

    @rule(reader=READERS)
    def read(self, reader):
        start = self.positions[reader]
        end = len(self.log)
        self.positions[reader] = end
        asked_ms = Clock().now()
        self.feeds[reader].publish(
            Changes(start, end, tuple(self.log[start:]), asked_ms)
        )

    @rule(reader=READERS, lost=st.booleans())
    def send_round(self, reader, lost):
        batches = self.feeds[reader].take_pending()
        if not lost:
            self.in_transit.extend(batches)

    @rule(data=st.data())
    def deliver(self, data):
        if self.in_transit:
            index = data.draw(st.integers(0, len(self.in_transit) - 1))
            self.feed.offer(self.in_transit[index])

    @rule()
    def follow(self):
        until_ms = Clock().now() + 1
        batch = self.loop.run_until_complete(
            self.feed.wait(self.position, until_ms)
        )
        if batch is None:
            apply_changes(self.state, self.log[self.position :])
            self.position = len(self.log)
            return
        assert batch.next >= self.position
        apply_changes(self.state, batch.records)
        self.position = batch.next

    @invariant()
    def state_matches_the_log_at_its_position(self):
        expected = {}
        apply_changes(expected, self.log[: self.position])
        assert self.state == expected


TestFeed = FeedMachine.TestCase
TestFeed.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
