"""Placement in fleets whose hosts receive reports late."""

import pytest

from benchmarks.placement import Simulation
from benchmarks.placement import summarize
from benchmarks.placement import WORKLOADS
from pearrun.decisions import placement
from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import EngineModel

SETTINGS = placement.PlacementSettings()
MODEL = EngineModel(tokens_per_ms=55.0, base_ms=30.0)
SECONDS = 12


def run_simulation(name, hosts):
    """Return late share, 95th percentile and cached share by call kind."""
    return summarize(Simulation(WORKLOADS[name], hosts).run(SECONDS))


def test_simulations_of_one_seed_place_calls_alike():
    # The choice of endpoints drew from the global source of random numbers.
    simulations = [Simulation(WORKLOADS['reconcile'], 83) for _ in range(2)]
    first, second = (simulation.run(SECONDS) for simulation in simulations)
    assert first
    assert [call.uncached_tokens for call in first] == [
        call.uncached_tokens for call in second
    ]


@pytest.mark.parametrize('hosts', [83, 195])
def test_few_calls_are_late_with_any_number_of_hosts(hosts):
    """Guards against hosts that all choose the same endpoints.

    There are 484 calls per second on 60 endpoints of 12 slots each.  If all
    hosts choose the best endpoint by outdated reports, half of the long
    prompts and a third of the short ones are late.
    """
    rows = run_simulation('reconcile', hosts)
    late_long, _, cached = rows['long']
    assert late_long < 0.15
    assert rows['tag'][0] < 0.03
    # Prompts stay with the endpoints that have their prefixes cached.
    assert cached > 0.14


@pytest.mark.parametrize('hosts', [9, 195])
def test_slow_engines_with_many_slots_serve_in_time(hosts):
    rows = run_simulation('fault-desk', hosts)
    assert rows['long'][0] < 0.05
    assert rows['query'][0] < 0.05


def make_candidates(queued):
    """Return endpoints with eight slots and the given queued tokens."""
    return [
        placement.Candidate(f'e{number}', True, 8, 0, tokens)
        for number, tokens in enumerate(queued)
    ]


def test_least_loaded_is_chosen_without_unreported_load():
    candidates = make_candidates([9000, 100, 8000])
    for _ in range(20):
        best, _ = placement.choose(
            candidates, placement.CallDemand(800), MODEL, SETTINGS
        )
        assert best.id == 'e1'


def test_calls_are_distributed_by_headroom_with_unreported_load():
    candidates = make_candidates([0, 0, 2000, 500_000])
    unreported = placement.UnreportedLoad(calls=6.0, work_ms=150.0)
    counts = dict.fromkeys((c.id for c in candidates), 0)
    for _ in range(600):
        best, _ = placement.choose(
            candidates, placement.CallDemand(800), MODEL, SETTINGS, unreported
        )
        counts[best.id] += 1
    assert counts['e3'] == 0
    assert counts['e0'] > counts['e2'] > 60
    assert abs(counts['e0'] - counts['e1']) < 90


def test_long_prefix_stays_with_endpoint_that_has_headroom():
    unreported = placement.UnreportedLoad(calls=6.0, work_ms=300.0)
    demand = placement.CallDemand(8000, 'subject', 5000)
    candidates = make_candidates([0, 0, 0, 0])
    candidates[2].cached_tokens = 5000
    for queued, stays in ((0, True), (2000, True), (90_000, False)):
        candidates[2].queued_tokens = queued
        best, _ = placement.choose(
            candidates, demand, MODEL, SETTINGS, unreported
        )
        assert (best.id == 'e2') is stays


def test_unreported_load_grows_with_demand_and_age():
    others = Demand(busy=100.0, tokens_per_s=110_000.0)
    unreported = placement.estimate_unreported_load(
        others, 400, 1000.0, MODEL, SETTINGS
    )
    assert unreported.calls == 40.0
    assert unreported.work_ms == pytest.approx(840.0)


def test_completed_calls_are_not_unreported():
    """A plain service responds in 20 ms; reports are 400 ms old."""
    others = Demand(busy=3.0)
    unreported = placement.estimate_unreported_load(
        others, 400, 20.0, MODEL, SETTINGS
    )
    assert unreported.calls == 3.0
