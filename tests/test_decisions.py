"""Placement, admission, retry budgets, circuit breaking and scaling."""

import dataclasses
import random

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from pearrun.decisions import admission
from pearrun.decisions import avoidance
from pearrun.decisions import placement
from pearrun.decisions import scaling
from pearrun.decisions.budget import RetryBudget
from pearrun.decisions.enginemodel import EngineModel
from pearrun.decisions.prefixes import ENTRY_TTL_MS
from pearrun.decisions.prefixes import MAX_ENTRIES
from pearrun.decisions.prefixes import PrefixIndex
from pearrun.platform.settings import RetrySettings
from pearrun.shared.configuration import ScaleLimits
from pearrun.shared.prompts import PromptPart

PLACEMENT = placement.PlacementSettings()
SCALING = scaling.ScalingSettings()
MODEL = EngineModel(tokens_per_ms=55.0, base_ms=30.0)
LIMITS = ScaleLimits(1, 6, 4000, 0.18, {'a': 0.85, 'b': 1.2, 'c': 1.0})


def make_candidate(name, calls=0, queued=0, cached=0, same_zone=True):
    """Return a candidate endpoint with eight slots."""
    return placement.Candidate(name, same_zone, 8, calls, queued, cached)


def test_prompt_goes_to_endpoint_with_cached_prefix():
    candidates = [make_candidate('x'), make_candidate('y', cached=5000)]
    demand = placement.CallDemand(6000, 'subject')
    best, _ = placement.choose(candidates, demand, MODEL, PLACEMENT)
    assert best.id == 'y'


def test_cached_prefix_does_not_outweigh_long_queue():
    candidates = [
        make_candidate('x'),
        make_candidate('y', queued=50_000, cached=5000),
    ]
    demand = placement.CallDemand(6000, 'subject')
    best, _ = placement.choose(candidates, demand, MODEL, PLACEMENT)
    assert best.id == 'x'


def test_hosts_agree_on_preferred_endpoint_of_new_prefix():
    candidates = [make_candidate(name) for name in 'pqrstu']
    demand = placement.CallDemand(6000, 'subject-7')
    chosen = set()
    for _ in range(5):
        random.shuffle(candidates)
        best, _ = placement.choose(candidates, demand, MODEL, PLACEMENT)
        chosen.add(best.id)
    assert len(chosen) == 1


def test_subjects_are_distributed_over_endpoints():
    candidates = [make_candidate(name) for name in 'pqrstu']
    preferred = {
        placement.find_preferred(candidates, f's{number}')
        for number in range(100)
    }
    assert len(preferred) == 6


def test_burst_is_distributed_over_all_endpoints():
    """No endpoint gets twice its share of sixty simultaneous calls."""
    calls = dict.fromkeys('pqrstu', 0)
    queued = dict.fromkeys('pqrstu', 0)
    rng = random.Random(3)
    for _ in range(60):
        tokens = rng.choice([1800, 1800, 1800, 6600])
        candidates = [
            make_candidate(name, calls[name], queued[name]) for name in calls
        ]
        demand = placement.CallDemand(tokens, f's{rng.randrange(40)}')
        best, _ = placement.choose(candidates, demand, MODEL, PLACEMENT)
        calls[best.id] += 1
        queued[best.id] += tokens
    assert max(queued.values()) <= 1.3 * sum(queued.values()) / 6
    assert max(calls.values()) < 20


def test_initial_count_follows_customer_limits():
    """Guards against a new fleet that is too small for its first calls.

    With limits of 4.8 million units per second, it had only 4 endpoints when
    the first calls arrived.
    """
    assert scaling.estimate_initial_count(4_800_000, SCALING) == 48
    assert scaling.estimate_initial_count(0, SCALING) == SCALING.min_endpoints


def test_late_reports_raise_need_for_reclaimable_endpoints():
    """Late reports through hubs make the load of the endpoints uneven."""
    past = {0: 50, 25_000: 40}
    mesh_need = scaling.compute_need(past, 26_000, SCALING)
    hub_need = scaling.compute_need(past, 26_000, SCALING, through_hubs=True)
    assert mesh_need == scaling.Need(lasting=40, reclaimable=50)
    assert hub_need == scaling.Need(lasting=40, reclaimable=60)


def test_nothing_is_chosen_without_candidates():
    assert placement.choose([], placement.CallDemand(), MODEL, PLACEMENT) == (
        None,
        0.0,
    )


def test_call_that_cannot_be_served_in_time_is_rejected():
    settings = admission.AdmissionSettings()
    assert admission.should_admit(500, 500, 3000, 0, settings)
    assert not admission.should_admit(2500, 0, 3000, 0, settings)
    assert admission.should_admit(500, 400, 3000, 600, settings)
    assert not admission.should_admit(700, 600, 3000, 600, settings)


def test_large_prompt_is_not_rejected_for_its_own_size():
    settings = admission.AdmissionSettings()
    assert admission.should_admit(1500, 100, 12_000, 800, settings)


@given(st.floats(0, 20_000), st.integers(1, 15_000), st.integers(0, 5000))
def test_retry_after_is_at_most_a_third_of_remaining_time(
    wait_ms, remaining_ms, target_ms
):
    settings = admission.AdmissionSettings()
    after = admission.compute_retry_after_ms(
        wait_ms, remaining_ms, target_ms, settings
    )
    assert settings.min_retry_after_ms <= after
    assert after <= max(settings.min_retry_after_ms, remaining_ms / 3)


def test_callers_rejected_together_do_not_retry_together():
    settings = admission.AdmissionSettings()
    times = {
        admission.compute_retry_after_ms(3000, 9000, 0, settings)
        for _ in range(50)
    }
    assert max(times) - min(times) > 500


def test_callers_retry_while_their_target_can_be_met():
    """Guards against calls over a customer's quota that wait for seconds."""
    settings = admission.AdmissionSettings()
    times = {
        admission.compute_retry_after_ms(6000, 12_000, 800, settings)
        for _ in range(50)
    }
    assert max(times) <= 400
    assert max(times) - min(times) > 100


@given(
    st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=400),
    st.integers(1, 9),
)
def test_retries_of_all_hosts_stay_within_shared_budget(steps, hosts):
    settings = RetrySettings(ratio=0.2, slack=58, window_ms=10_000)
    budgets = [RetryBudget(settings, 0) for _ in range(hosts)]
    calls, retries = 0, 0
    for index, (host, is_retry) in enumerate(steps):
        budget = budgets[host % hosts]
        budget.count_call(index, hosts)
        calls += 1
        if is_retry:
            retries += budget.take(index, hosts).granted
            retries += budget.take(index, hosts).granted
    assert retries <= settings.ratio * calls + settings.slack


def test_old_calls_leave_budget_window():
    budget = RetryBudget(RetrySettings(ratio=0.5, slack=0, window_ms=1000), 0)
    for _ in range(10):
        budget.count_call(0, 1)
    assert budget.take(10, 1).granted
    assert not budget.take(2000, 1).granted


def test_pauses_double_up_to_maximum():
    pause = 0
    pauses = [pause := avoidance.compute_pause_ms(pause) for _ in range(6)]
    assert pauses == [300, 600, 1200, 2400, 4000, 4000]


def test_refused_connection_pauses_endpoint_immediately():
    assert avoidance.should_pause(1, refused=True)
    assert not avoidance.should_pause(1, refused=False)
    assert avoidance.should_pause(avoidance.FAILURE_THRESHOLD, refused=False)


def test_zone_is_paused_after_two_unresponsive_endpoints():
    health = avoidance.ZoneHealth()
    health.note_silence('x', 0)
    health.note_silence('x', 0)
    assert not health.pause.holds(1)
    health.note_silence('y', 0)
    assert health.pause.holds(1)
    health.note_answer()
    assert not health.pause.holds(1)


def test_single_call_probes_after_pause():
    pause = avoidance.Pause()
    pause.begin(0)
    assert not pause.holds(avoidance.INITIAL_PAUSE_MS)
    pause.start_probe(avoidance.INITIAL_PAUSE_MS)
    assert pause.holds(avoidance.INITIAL_PAUSE_MS + 1)
    pause.clear()
    pause.start_probe(0)
    assert not pause.holds(0)


def test_unreachable_zone_fails_few_calls():
    """Six endpoints stop responding at ten calls per second."""
    health = avoidance.ZoneHealth()
    pauses = {name: avoidance.Pause() for name in 'pqrstu'}
    attempts = 0
    for now in range(0, 6000, 100):
        usable = [
            name
            for name, pause in pauses.items()
            if not pause.holds(now) and not health.pause.holds(now)
        ]
        if usable:
            attempts += 1
            name = usable[now // 100 % len(usable)]
            pauses[name].begin(now)
            health.note_silence(name, now)
    assert attempts <= 8


def test_prefix_index_counts_leading_parts_and_expires_entries():
    index = PrefixIndex()
    parts = (PromptPart('a', 100), PromptPart('b', 50))
    index.note_cached('x', parts[1:], 0)
    assert index.find_cached(parts, 0) == {}
    index.note_cached('x', parts, 0)
    assert index.find_cached(parts, 0) == {'x': 150}
    index.note_cached('y', parts[:1], 1)
    assert index.find_cached(parts, 1) == {'x': 150, 'y': 100}
    assert index.find_cached(parts, ENTRY_TTL_MS + 1) == {'y': 100}


def test_prefix_index_evicts_least_recently_used_parts():
    index = PrefixIndex()
    parts = [PromptPart(f'p{number}', 1) for number in range(MAX_ENTRIES)]
    index.note_cached('x', parts, 0)
    index.note_cached('x', parts[:1], 1)
    index.note_cached('y', parts[:1], 2)
    assert index.holds('x', 'p0')
    assert index.holds('y', 'p0')
    assert not index.holds('x', 'p1')
    assert index.find_cached(parts[1:2], 2) == {}


def make_zones(reclaimable, on_demand):
    """Return zones a, b and c with the same counts."""
    count = scaling.ZoneCount(reclaimable, on_demand)
    return dict.fromkeys('abc', count)


def plan(zones, needed):
    """Return the planned counts by zone and kind."""
    need = scaling.Need(needed, needed)
    orders = scaling.plan_orders('s', LIMITS, zones, need, SCALING)
    return {(order.zone, order.reclaimable): order.count for order in orders}


def test_on_demand_endpoints_stay_until_reclaimable_ones_serve():
    planned = plan(make_zones(0, 3), 6)
    assert sum(planned[zone, False] for zone in 'abc') == 6
    planned = plan(make_zones(4, 3), 6)
    assert sum(planned[zone, False] for zone in 'abc') == 0


def test_loss_of_next_zone_is_covered_after_reclaim():
    zones = make_zones(4, 0)
    zones['b'] = scaling.ZoneCount(0, 0)
    planned = plan(zones, 6)
    # Eight are left; the next reclaim would leave four of the six needed.
    assert sum(planned[zone, False] for zone in 'abc') == 2


def execute_orders(zones, planned):
    """Return the endpoints that serve once the orders are executed.

    No reclaimable endpoints are available beyond those that serve.

    :returns: two maps of :class:`ZoneCount` by zone: immediately after the
        orders, and after the ordered endpoints have booted.
    """
    immediate = {
        zone: scaling.ZoneCount(
            min(count.reclaimable, planned[zone, True]),
            min(count.on_demand, planned[zone, False]),
        )
        for zone, count in zones.items()
    }
    eventual = {
        zone: scaling.ZoneCount(count.reclaimable, planned[zone, False])
        for zone, count in immediate.items()
    }
    return immediate, eventual


@given(
    st.lists(st.integers(0, 6), min_size=3, max_size=3),
    st.lists(st.integers(0, 6), min_size=3, max_size=3),
    st.integers(1, 18),
)
@example([0, 0, 4], [0, 0, 0], 4)
@example([5, 0, 0], [0, 0, 0], 10)
@example([0, 0, 0], [0, 0, 1], 1)
def test_reclaim_of_any_single_zone_is_covered(counts, on_demand, needed):
    zones = {
        zone: scaling.ZoneCount(
            count, min(on_demand_count, LIMITS.largest - count)
        )
        for zone, count, on_demand_count in zip(
            'abc', counts, on_demand, strict=True
        )
    }
    for _ in range(4 * LIMITS.largest):
        planned = plan(zones, needed)
        immediate, eventual = execute_orders(zones, planned)
        # Needed endpoints are not released for replacements that still have to
        # boot.
        serving = scaling.count_serving(zones)
        assert scaling.count_serving(immediate) >= min(needed, serving)
        for zone in 'abc':
            total = planned[zone, False] + planned[zone, True]
            assert total <= LIMITS.largest
        zones = eventual
    reclaimable = [count.reclaimable for count in zones.values()]
    # Capacity for two endpoints per zone is reserved for reclaimable ones.
    remaining = scaling.count_serving(zones) - max(reclaimable)
    is_covered = remaining >= min(needed, 12)
    # If the capacity of the zones does not suffice, all serving endpoints are
    # needed.
    assert is_covered or scaling.count_serving(zones) <= needed
    if needed <= 12:
        assert is_covered


def test_serving_endpoints_stay_while_replacements_boot():
    """Guards against releasing endpoints before replacements serve.

    One of three zones was reclaimed, and the other two served all calls.  Of
    their 50 reclaimable endpoints, 39 were released in favour of on-demand
    ones, which take 4 s to boot.  In these 4 s, 1,014 calls were rejected
    because of overload.
    """
    limits = dataclasses.replace(LIMITS, largest=38)
    zones = {
        'a': scaling.ZoneCount(25, 0),
        'b': scaling.ZoneCount(0, 0),
        'c': scaling.ZoneCount(25, 0),
    }
    need = scaling.Need(97, 97)
    orders = scaling.plan_orders('s', limits, zones, need, SCALING)
    planned = {
        (order.zone, order.reclaimable): order.count for order in orders
    }
    assert planned['a', True] >= 25
    assert planned['c', True] >= 25
    assert planned['a', False] == planned['c', False] == 38 - 25
    assert planned['b', False] == 36
