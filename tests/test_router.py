"""Properties of the routing policies and endpoint states."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from pearrun import exceptions
from pearrun.api import router as router_module
from pearrun.states import EndpointState
from tests import builders

POLICIES = [
    router_module.AffinityPolicy(),
    router_module.LeastLoadedPolicy(),
    router_module.RoundRobinPolicy(),
]


def make_router(policy, local=3, remote=2):
    endpoints = [builders.make_endpoint(i) for i in range(local)]
    endpoints += [
        builders.make_endpoint(10 + i, zone='santo-amaro')
        for i in range(remote)
    ]
    return router_module.Router(endpoints, 'boa-viagem', policy)


@pytest.mark.parametrize('policy', POLICIES)
@given(prompt=st.text(max_size=400), loads=st.lists(st.integers(0, 20)))
def test_chosen_endpoint_is_live_local_and_serves_the_service(
    policy, prompt, loads
):
    router = make_router(policy)
    for endpoint, load in zip(router.endpoints.values(), loads, strict=False):
        endpoint.in_flight = load
    chosen = router.choose('pearrun-oficina', prompt)
    assert chosen.zone == 'boa-viagem'
    assert chosen.state == EndpointState.LIVE
    assert 'pearrun-oficina' in chosen.services


@given(
    prefix=st.text(
        min_size=router_module.PREFIX_CHARS,
        max_size=router_module.PREFIX_CHARS,
    ),
    tail=st.text(max_size=50),
)
def test_affinity_is_stable_for_a_prefix(prefix, tail):
    router = make_router(router_module.AffinityPolicy())
    first = router.choose('pearrun-oficina', prefix)
    assert router.choose('pearrun-oficina', prefix + tail) is first


@given(tail=st.text(max_size=50))
def test_long_prompts_are_routed_alike_in_all_zones(tail):
    """The daemons of all zones choose the endpoint with the prefix."""
    policy = router_module.AffinityPolicy(reach=300)
    prompt = 'p' * 300 + tail
    chosen = set()
    for zone in ('boa-viagem', 'santo-amaro'):
        router = make_router(policy)
        router.zone = zone
        chosen.add(router.choose('pearrun-oficina', prompt).id)
    assert len(chosen) == 1


def test_short_prompts_stay_in_the_zone():
    policy = router_module.AffinityPolicy(reach=300)
    for number in range(50):
        router = make_router(policy, local=2, remote=8)
        chosen = router.choose('pearrun-oficina', f'short {number}')
        assert chosen.zone == 'boa-viagem'


def test_hot_prefix_uses_few_endpoints():
    """An endpoint over its limit is replaced by the next in rank."""
    router = make_router(router_module.AffinityPolicy(slack=2), local=8)
    used = []
    for _ in range(6):
        endpoint = router.choose('pearrun-oficina', 'hot prefix')
        endpoint.in_flight += 1
        used.append(endpoint.id)
    assert len(set(used)) == 2


def test_overloaded_endpoint_is_passed_over_by_affinity():
    router = make_router(router_module.AffinityPolicy(slack=2))
    preferred = router.choose('pearrun-oficina', 'same prefix')
    preferred.in_flight = 10
    assert router.choose('pearrun-oficina', 'same prefix') is not preferred


def test_no_live_endpoint_gives_code_1401_with_retry_after():
    router = make_router(router_module.AffinityPolicy(), local=1, remote=0)
    for endpoint_id in list(router.endpoints):
        router.mark(endpoint_id, EndpointState.LEAVING)
    with pytest.raises(exceptions.NoEndpointError) as caught:
        router.choose('pearrun-oficina', 'x')
    assert caught.value.code == 1401
    assert caught.value.retry_after_s >= 1


class LeavingNeverReturns(stateful.RuleBasedStateMachine):
    """A leaving endpoint never gets new requests again.

    State changes come from host lists, notices and drains in any order.
    """

    def __init__(self):
        super().__init__()
        self.router = make_router(router_module.AffinityPolicy())
        self.left = set()

    @stateful.rule(
        number=st.sampled_from([0, 1, 2, 10, 11]),
        state=st.sampled_from(list(EndpointState)),
    )
    def mark(self, number, state):
        ids = sorted(self.router.endpoints)
        endpoint_id = ids[number % len(ids)]
        self.router.mark(endpoint_id, state)
        if state != EndpointState.LIVE:
            self.left.add(endpoint_id)

    @stateful.rule(prompt=st.text(max_size=50))
    def route(self, prompt):
        try:
            chosen = self.router.choose('pearrun-oficina', prompt)
        except exceptions.NoEndpointError:
            return
        assert chosen.id not in self.left


TestLeavingNeverReturns = LeavingNeverReturns.TestCase
