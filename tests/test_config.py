"""Operators racing on the config stream; followers never revert."""

import asyncio

from hypothesis import stateful
from hypothesis import strategies as st

from pearrun import config
from pearrun import exceptions
from pearrun import settings as settings_module
from tests import builders

STREAM = 'config'


def daemon_settings():
    text = builders.daemon_settings_yaml(
        'bv-1', 'boa-viagem', 8101, 'http://127.0.0.1:1', []
    )
    return settings_module.parse_yaml(text, settings_module.Settings)


class OperatorRace(stateful.RuleBasedStateMachine):
    """Publishers race with stale reads; followers poll through outages.

    Invariants: every publish either lands as a new version or is told
    of the conflict; a follower's version only goes up and ends at the
    latest published version.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.log = builders.FakeLog()
        self.followers = [
            config.ConfigFollower(self.log, daemon_settings())
            for _ in range(3)
        ]
        self.seen = [0, 0, 0]
        self.published = 0

    def teardown(self):
        self.loop.close()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @stateful.rule(team=st.sampled_from([None, 'sinal-nordeste', 'hamutenya']))
    def publish(self, team):
        try:
            version, _ = self.run(
                config.publish(self.log, STREAM, builders.team_tree(), team)
            )
        except exceptions.JournalUnavailableError:
            return
        assert version == self.published + 1
        self.published = version

    @stateful.rule()
    def race_two_publishers(self):
        """Both read the same head; exactly one may win."""
        if self.log.down:
            return
        tree, head = self.run(config.read_latest(self.log, STREAM))
        base = tree.version if tree else 0
        outcomes = []
        for _ in range(2):
            value = {
                'version': base + 1,
                'team': None,
                'yaml': config.tree_to_yaml(builders.team_tree(base + 1)),
            }
            try:
                self.run(self.log.append(STREAM, value, expected_offset=head))
                outcomes.append('won')
            except exceptions.ConfigConflictError:
                outcomes.append('lost')
        assert outcomes == ['won', 'lost']
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
        for follower in self.followers:
            self.run(follower.poll_once())
            assert follower.tree.version == self.published

    @stateful.invariant()
    def versions_never_exceed_published(self):
        assert all(v <= self.published for v in self.seen)

    @stateful.precondition(lambda self: True)
    @stateful.rule()
    def settle(self):
        self.catch_up()


TestOperatorRace = OperatorRace.TestCase
