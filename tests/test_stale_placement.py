"""Choosing endpoints in fleets whose hosts hear of each other late."""

import pytest

from benchmarks.placement import LOADS
from benchmarks.placement import Play
from benchmarks.placement import summarize
from pearrun.decisions import placement
from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import EngineModel

SETTINGS = placement.PlacementSettings()
MODEL = EngineModel(tokens_per_ms=55.0, base_ms=30.0)
SECONDS = 12


def play(name, hosts):
    """Return late share, 95th percentile and cached share by kind of call."""
    return summarize(Play(LOADS[name], hosts).run(SECONDS))


@pytest.mark.parametrize('hosts', [83, 195])
def test_few_calls_are_late_at_any_number_of_hosts(hosts):
    """484 calls a second on 60 endpoints of 12 slots each.

    If all hosts choose what looked best some rounds ago, half of the long
    prompts are late, and a third of the short ones.
    """
    rows = play('reconcile', hosts)
    late_long, _, cached = rows['long']
    assert late_long < 0.15
    assert rows['tag'][0] < 0.03
    # Prompts stay with the endpoints that hold their beginnings.
    assert cached > 0.14


@pytest.mark.parametrize('hosts', [9, 195])
def test_slow_engines_with_many_slots_serve_in_time(hosts):
    rows = play('fault-desk', hosts)
    assert rows['long'][0] < 0.05
    assert rows['query'][0] < 0.05


def make_candidates(reading):
    """Return endpoints with eight slots that have so many tokens to read."""
    return [
        placement.Candidate(f'e{number}', True, 8, 0, tokens)
        for number, tokens in enumerate(reading)
    ]


def test_without_unheard_work_the_least_loaded_is_chosen():
    candidates = make_candidates([9000, 100, 8000])
    for _ in range(20):
        best, _ = placement.choose(
            candidates, placement.CallDemand(800), MODEL, SETTINGS
        )
        assert best.id == 'e1'


def test_unheard_work_spreads_over_endpoints_that_have_room_for_it():
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


def test_a_long_beginning_stays_with_its_endpoint_while_it_has_room():
    unreported = placement.UnreportedLoad(calls=6.0, work_ms=300.0)
    demand = placement.CallDemand(8000, 'subject', 5000)
    candidates = make_candidates([0, 0, 0, 0])
    candidates[2].cached_tokens = 5000
    for reading, stays in ((0, True), (2000, True), (90_000, False)):
        candidates[2].reading_tokens = reading
        best, _ = placement.choose(
            candidates, demand, MODEL, SETTINGS, unreported
        )
        assert (best.id == 'e2') is stays


def test_unheard_work_grows_with_demand_and_age():
    others = Demand(busy=100.0, tokens_per_s=110_000.0)
    unreported = placement.estimate_unreported_load(
        others, 400, 1000.0, MODEL, SETTINGS
    )
    assert unreported.calls == 40.0
    assert unreported.work_ms == pytest.approx(840.0)


def test_calls_that_have_ended_again_are_not_unheard_of():
    """A plain service answers within 20 ms; reports are 400 ms old."""
    others = Demand(busy=3.0)
    unreported = placement.estimate_unreported_load(
        others, 400, 20.0, MODEL, SETTINGS
    )
    assert unreported.calls == 3.0
