"""Orders: an older one never stays in effect, with or without fencing."""

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
    """An engine that checks fencing tokens, or ignores them."""

    def __init__(self, checks):
        self.checks = checks
        self.accepted = []

    def accept(self, order):
        newest = max((o.fencing for o in self.accepted), default=-1)
        if self.checks and order.fencing < newest:
            raise exceptions.StaleOrderError('stale')
        self.accepted.append(order)


class FakeMembership:
    def list_live(self):
        return []


class FakeEngineReconciler(orders_module.OrderReconciler):
    """An order reconciler with a fake engine."""

    def __init__(self, log, engine):
        settings = builders.build_settings()
        self.endpoint = builders.make_endpoint(0)
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
        return list(self.engine.accepted)

    async def send(self, endpoint, order):
        if self.before_send is not None:
            await self.before_send()
        self.engine.accept(order)


def build_tree_with_model(model):
    tree = builders.build_team_tree()
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
        st.sampled_from(
            ['publish', 'reconcile a', 'reconcile b', 'down', 'up']
        ),
        max_size=20,
    ),
)
@hypothesis_settings(deadline=None, derandomize=True)
def test_reconcilers_never_send_an_older_order(checks, steps):
    log = builders.FakeLog()
    engine = FakeEngine(checks)
    reconcilers = {
        'a': FakeEngineReconciler(log, engine),
        'b': FakeEngineReconciler(log, engine),
    }

    async def scenario():
        for number, step in enumerate(steps):
            log.down = {'down': True, 'up': False}.get(step, log.down)
            if step == 'publish' and not log.down:
                await config.publish(
                    log, STREAM, build_tree_with_model(f'm{number}')
                )
            elif step.startswith('reconcile'):
                reconciler = reconcilers[step[-1]]
                await reconciler.try_reconcile(reconciler.endpoint)

    asyncio.run(scenario())
    fencing = [o.fencing for o in engine.accepted]
    assert fencing == sorted(fencing)


def run_paused_reconciler(checks):
    """Pause a reconciler between its check and its send.

    :param checks: whether the engine checks fencing tokens.
    :returns: the engine, the other reconciler, and the values that the
        engine had accepted when the paused one was done.
    """
    log = builders.FakeLog()
    engine = FakeEngine(checks)
    paused, other = (
        FakeEngineReconciler(log, engine),
        FakeEngineReconciler(log, engine),
    )

    async def send_newer_order():
        paused.before_send = None
        await config.publish(log, STREAM, build_tree_with_model('new'))
        await other.reconcile(other.endpoint)

    async def scenario():
        await config.publish(log, STREAM, build_tree_with_model('old'))
        paused.before_send = send_newer_order
        await paused.try_reconcile(paused.endpoint)

    asyncio.run(scenario())
    return engine, other, [o.value for o in engine.accepted]


def test_stale_order_is_corrected_on_an_engine_without_fencing():
    engine, other, accepted = run_paused_reconciler(checks=False)
    assert accepted == ['new', 'old']
    asyncio.run(other.reconcile(other.endpoint))
    assert engine.accepted[-1].value == 'new'


def test_stale_order_is_refused_by_an_engine_with_fencing():
    _, _, accepted = run_paused_reconciler(checks=True)
    assert accepted == ['new']
