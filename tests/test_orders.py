"""Orders: an older one never stands, whether engines check or not."""

import asyncio

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pearrun import exceptions
from pearrun.api import config
from pearrun.api import orders as orders_module
from pearrun.api.router import Router
from tests import builders

STREAM = 'config'


class FakeEngine:
    """An engine that checks fencing numbers, or ignores them."""

    def __init__(self, checks):
        self.checks = checks
        self.taken = []

    def take(self, order):
        newest = max((o.fencing for o in self.taken), default=-1)
        if self.checks and order.fencing < newest:
            raise exceptions.StaleOrderError('stale')
        self.taken.append(order)


class FakeMembership:
    def list_live(self):
        return []


class Keeper(orders_module.OrderReconciler):
    """An order keeper that talks to a fake engine."""

    def __init__(self, log, engine):
        settings = builders.settings()
        self.endpoint = builders.endpoint(0)
        super().__init__(
            None,
            settings,
            Router([self.endpoint], 'boa-viagem'),
            config.ConfigFollower(log, settings),
            FakeMembership(),
        )
        self.engine = engine
        self.before_send = None

    async def read_orders(self, endpoint):
        return list(self.engine.taken)

    async def send(self, endpoint, order):
        if self.before_send is not None:
            await self.before_send()
        self.engine.take(order)


def tree_with(model):
    tree = builders.team_tree()
    team = tree.teams['sinal-nordeste']
    service = team.services['pearrun-oficina']
    services = dict(
        team.services,
        **{'pearrun-oficina': service.model_copy(update={'model': model})},
    )
    teams = dict(tree.teams)
    teams['sinal-nordeste'] = team.model_copy(update={'services': services})
    return tree.model_copy(update={'teams': teams})


@given(
    checks=st.booleans(),
    steps=st.lists(
        st.sampled_from(['publish', 'keep a', 'keep b', 'down', 'up']),
        max_size=20,
    ),
)
@hypothesis_settings(deadline=None, derandomize=True)
def test_keepers_never_order_something_older_than_stands(checks, steps):
    log = builders.FakeLog()
    engine = FakeEngine(checks)
    keepers = {'a': Keeper(log, engine), 'b': Keeper(log, engine)}

    async def scenario():
        for number, step in enumerate(steps):
            log.down = {'down': True, 'up': False}.get(step, log.down)
            if step == 'publish' and not log.down:
                await config.publish(log, STREAM, tree_with(f'm{number}'))
            elif step.startswith('keep'):
                keeper = keepers[step[-1]]
                await keeper.try_reconcile(keeper.endpoint)

    asyncio.run(scenario())
    fencing = [o.fencing for o in engine.taken]
    assert fencing == sorted(fencing)


def play_paused_keeper(checks):
    """Let a keeper pause between its check and its send.

    :returns: the engine, the other keeper, and the values the engine
        had taken when the paused one was done.
    """
    log = builders.FakeLog()
    engine = FakeEngine(checks)
    paused, other = Keeper(log, engine), Keeper(log, engine)

    async def overtake():
        paused.before_send = None
        await config.publish(log, STREAM, tree_with('new'))
        await other.reconcile(other.endpoint)

    async def scenario():
        await config.publish(log, STREAM, tree_with('old'))
        paused.before_send = overtake
        await paused.try_reconcile(paused.endpoint)

    asyncio.run(scenario())
    return engine, other, [o.value for o in engine.taken]


def test_paused_keepers_stale_order_is_put_right_on_an_unchecking_engine():
    engine, other, taken = play_paused_keeper(checks=False)
    assert taken == ['new', 'old']
    asyncio.run(other.reconcile(other.endpoint))
    assert engine.taken[-1].value == 'new'


def test_paused_keepers_stale_order_is_refused_by_a_checking_engine():
    _, _, taken = play_paused_keeper(checks=True)
    assert taken == ['new']
