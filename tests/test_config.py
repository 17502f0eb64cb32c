"""Concurrent publishers on the config stream; followers never revert."""

import asyncio

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.api import config
from tests import builders

STREAM = 'config'


class OperatorRace(stateful.RuleBasedStateMachine):
    """Concurrent publishers and followers, with outages and expiry.

    Invariants: every publish either creates a new version or fails with
    a conflict; a follower's version never decreases and finally is the
    latest published version.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = builders.FakeLog()
        self.followers = [
            config.ConfigFollower(self.log, builders.build_settings())
            for _ in range(3)
        ]
        self.seen = [0, 0, 0]
        self.published = 0

    def teardown(self):
        self.catch_up()
        self.loop.close()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @stateful.rule(
        team=st.sampled_from([None, 'sinal-nordeste', 'hamutenya']),
        lost=st.integers(0, 2),
    )
    def publish(self, team, lost):
        """Publish while responses are lost; the outcome must be known."""
        self.log.lose_answers = lost
        try:
            version, _ = self.run(
                config.publish(
                    self.log, STREAM, builders.build_team_tree(), team
                )
            )
        except exceptions.JournalUnavailableError:
            return
        except exceptions.SettingsValueError:
            assert team is not None and not self.log.values(STREAM)
            return
        finally:
            self.log.lose_answers = 0
        assert version > self.published
        self.published = version

    @stateful.rule(count=st.integers(1, 4))
    def expire(self, count):
        """Old records expire; republishing keeps the newest one."""
        held = len(self.log.values(STREAM))
        self.log.expire(STREAM, min(count, held - 1) if held else 0)

    @stateful.rule(number=st.integers(0, 2))
    def refresh(self, number):
        """A follower republishes although its state may be stale."""
        follower = self.followers[number]
        follower.newest_seen_ms = -10 * follower.settings.platform.retention_ms
        self.run(follower.republish_before_expiry())

    @stateful.rule(number=st.integers(0, 2))
    def restart(self, number):
        """A restarted host has no state of its own."""
        self.followers[number] = config.ConfigFollower(
            self.log, builders.build_settings()
        )
        self.seen[number] = 0
        if not self.log.down:
            self.poll(number)
            assert self.followers[number].tree.version == self.published

    @stateful.rule(number=st.integers(0, 2), of=st.integers(0, 2))
    def receive_from_peer(self, number, of):
        text = config.tree_to_yaml(self.followers[of].tree)
        self.followers[number].receive(text)
        assert self.followers[number].tree.version >= self.seen[number]
        self.seen[number] = self.followers[number].tree.version

    @stateful.rule()
    def race_two_publishers(self):
        """Both read the same next offset; exactly one append succeeds."""
        if self.log.down:
            return
        tree, head = self.run(config.read_latest(self.log, STREAM))
        base = tree.version if tree else head
        outcomes = []
        for _ in range(2):
            value = {
                'version': base + 1,
                'team': None,
                'yaml': config.tree_to_yaml(
                    builders.build_team_tree(base + 1)
                ),
            }
            try:
                self.run(self.log.append(STREAM, value, expected_offset=head))
                outcomes.append('published')
            except exceptions.ConfigConflictError:
                outcomes.append('conflict')
        assert outcomes == ['published', 'conflict']
        self.published = base + 1

    @stateful.rule(down=st.booleans())
    def outage(self, down):
        self.log.down = down

    @stateful.rule(number=st.integers(0, 2))
    def poll(self, number):
        follower = self.followers[number]
        try:
            self.run(follower.poll_once())
        except exceptions.JournalUnavailableError:
            pass
        assert follower.tree.version >= self.seen[number]
        self.seen[number] = follower.tree.version

    def catch_up(self):
        self.log.down = False
        self.log.lose_answers = 0
        for follower in self.followers:
            self.run(follower.poll_once())
            assert follower.tree.version == self.published

    @stateful.invariant()
    def versions_never_exceed_published(self):
        assert all(v <= self.published for v in self.seen)

    @stateful.rule()
    def settle(self):
        self.catch_up()


OperatorRace.TestCase.settings = hypothesis_settings(
    max_examples=100, deadline=None, derandomize=True
)
TestOperatorRace = OperatorRace.TestCase


def run(coroutine):
    return asyncio.run(coroutine)


def test_newest_tree_is_read_after_older_records_expired():
    """A daemon that starts late still finds the latest version."""
    log = builders.FakeLog()

    async def scenario():
        for _ in range(3):
            await config.publish(log, STREAM, builders.build_team_tree())
        log.expire(STREAM, 2)
        follower = config.ConfigFollower(log, builders.build_settings())
        await follower.poll_once()
        return follower.tree.version

    assert run(scenario()) == 3


def test_version_increases_after_all_records_expired():
    log = builders.FakeLog()

    async def scenario():
        for _ in range(3):
            await config.publish(log, STREAM, builders.build_team_tree())
        log.expire(STREAM, 3)
        return await config.publish(log, STREAM, builders.build_team_tree())

    version, _ = run(scenario())
    assert version > 3


def test_stale_follower_cannot_append_older_record_after_newer():
    log = builders.FakeLog()

    async def scenario():
        await config.publish(log, STREAM, builders.build_team_tree())
        stale = config.ConfigFollower(log, builders.build_settings())
        await stale.poll_once()
        await config.publish(log, STREAM, builders.build_team_tree())
        stale.newest_seen_ms -= 10 * stale.settings.platform.retention_ms
        return await stale.republish_before_expiry()

    assert run(scenario()) is False
    assert [v['version'] for v in log.values(STREAM)] == [1, 2]


def test_team_may_not_change_another_teams_branch():
    log = builders.FakeLog()
    change = builders.build_team_tree()
    teams = dict(change.teams)
    teams['hamutenya'] = teams['hamutenya'].model_copy(
        update={'customers': ['someone-else']}
    )
    change = change.model_copy(update={'teams': teams})

    async def scenario():
        await config.publish(log, STREAM, builders.build_team_tree())
        await config.publish(log, STREAM, change, 'sinal-nordeste')

    with pytest.raises(exceptions.ForeignBranchError) as caught:
        run(scenario())
    assert caught.value.code == 1602
