"""Measured demand, learnt engine models, and the endpoints required."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.clock import Clock
from pearrun.decisions import demand
from pearrun.decisions import scaling
from pearrun.decisions.demand import Demand
from pearrun.decisions.demand import DemandMeter
from pearrun.run import Run
from pearrun.shared.demands import add_by_service
from pearrun.shared.engines import Engines

SCALING = scaling.ScalingSettings()


def learn_engines(
    tokens_per_ms, base_ms, samples=300, seed=1, outlier_share=0.0
):
    """Return the model that a host learns from simulated engines.

    :param outlier_share: fraction of the responses that are seconds late.
    """
    rng = random.Random(seed)
    engines = Engines(Clock())
    for _ in range(samples):
        tokens = min(40_000, rng.lognormvariate(7.5, 1.2))
        waited_ms = base_ms + tokens / tokens_per_ms * rng.uniform(0.8, 1.2)
        if rng.random() < outlier_share:
            waited_ms += rng.uniform(2000, 8000)
        engines.note_first_token('s', tokens, waited_ms)
    return engines


@pytest.mark.parametrize('tokens_per_ms', [10, 25, 55, 112, 300])
def test_prefill_speed_is_learnt(tokens_per_ms):
    model = learn_engines(tokens_per_ms, 45).find_by_service('s')
    assert model.tokens_per_ms == pytest.approx(tokens_per_ms, rel=0.2)
    assert model.predict_ms(0) == pytest.approx(45, abs=25)


def test_outliers_of_faulty_endpoints_are_ignored():
    model = learn_engines(112, 45, outlier_share=0.1).find_by_service('s')
    assert model.tokens_per_ms == pytest.approx(112, rel=0.25)


def test_model_follows_change_of_engines():
    engines = learn_engines(112, 45)
    rng = random.Random(2)
    for _ in range(800):
        tokens = min(40_000, rng.lognormvariate(7.5, 1.2))
        engines.note_first_token('s', tokens, 45 + tokens / 40)
    model = engines.find_by_service('s')
    assert model.tokens_per_ms == pytest.approx(40, rel=0.2)


@given(
    st.lists(
        st.tuples(st.integers(0, 200_000), st.integers(0, 60_000)),
        max_size=60,
    )
)
def test_any_samples_give_usable_model(answers):
    engines = Engines(Clock())
    for tokens, waited_ms in answers:
        engines.note_first_token('s', tokens, waited_ms)
    model = engines.find_by_service('s')
    prior = engines.settings.tokens_per_ms
    factor = engines.settings.max_prior_factor
    assert prior / factor <= model.tokens_per_ms * 1.001
    assert model.tokens_per_ms <= prior * factor * 1.001
    assert model.base_ms >= 0


def test_new_host_uses_samples_of_other_hosts():
    engines = Engines(Clock())
    assert engines.find_by_service('s').tokens_per_ms == pytest.approx(55)
    for number in range(8):
        run = Run(f'h{number}', 1, 'z')
        engines.others.put(run, learn_engines(112, 45, 12, number).own)
    model = engines.find_by_service('s')
    assert model.tokens_per_ms == pytest.approx(112, rel=0.25)
    # Its own few samples alone would underestimate the speed.
    own_model = learn_engines(112, 45, 12).find_by_service('s')
    assert own_model.tokens_per_ms < 0.75 * 112


def measure_steady(calls_per_s, tokens, answer_ms, target_ms=800):
    """Return the measured demand of a steady call rate."""
    meter = DemandMeter()
    now = 0
    for number in range(int(calls_per_s * 6)):
        now = int(number * 1000 / calls_per_s)
        meter.note_call(tokens, target_ms, now)
        meter.note_answer(answer_ms)
    return meter.measure(now)


def test_steady_demand_is_measured():
    measured = measure_steady(50, 2000, 600)
    assert measured.busy == pytest.approx(30, rel=0.15)
    assert measured.tokens_per_s == pytest.approx(100_000, rel=0.1)
    assert measured.target_ms == 800


def test_demand_before_the_window_is_ignored():
    meter = DemandMeter()
    meter.note_call(500, 800, 0)
    assert meter.measure(demand.WINDOW_MS + demand.INTERVAL_MS + 1) == Demand()


def test_rare_route_does_not_set_target():
    meter = DemandMeter()
    for number in range(100):
        meter.note_call(100, 20 if number == 7 else 900, number)
    assert meter.measure(100).target_ms == 900


def test_demands_of_hosts_add_up_by_service():
    first_host = {'a': Demand(1, 10, 100, 800), 'b': Demand(2, 0, 0, 0)}
    second_host = {'a': Demand(3, 20, 200, 500)}
    total = add_by_service([first_host, second_host])
    assert total['a'] == Demand(4, 30, 300, 500)
    assert total['b'] == Demand(2, 0, 0, 0)


def test_hanging_calls_do_not_raise_need():
    """Guards against ordering endpoints because calls hang.

    A zone becomes unreachable, and half of the calls hang from the fifth
    second on while the arrival rate stays the same.  If calls in progress
    were counted, the need would double.
    """
    meter = DemandMeter()
    needs = []
    for number in range(50 * 12):
        now = number * 20
        meter.note_call(2000, 800, now)
        hangs = now > 5000 and number % 2
        if not hangs:
            meter.note_answer(700 if now < 5000 else 900)
        if now > 4000:
            measured = meter.measure(now)
            need = scaling.count_needed(measured, 55.0, 8, SCALING)
            needs.append(need)
    assert max(needs) <= 1.35 * needs[0]


def count_endpoints(
    tokens_per_s, tokens_per_ms, target_ms, prompt_tokens=4000
):
    """Return the endpoints needed if prompt processing is the bottleneck."""
    offered = Demand(
        busy=1,
        tokens_per_s=tokens_per_s,
        squares_per_s=tokens_per_s * prompt_tokens * 2,
        target_ms=target_ms,
    )
    return scaling.count_needed(offered, tokens_per_ms, 64, SCALING)


def test_faster_engines_need_fewer_endpoints():
    assert count_endpoints(600_000, 112, 800) < 0.6 * count_endpoints(
        600_000, 50, 800
    )


def test_shorter_latency_target_needs_more_endpoints():
    long_prompts = {'prompt_tokens': 12_000}
    short = count_endpoints(120_000, 55, 60, **long_prompts)
    assert short >= 1.5 * count_endpoints(120_000, 55, 2000, **long_prompts)


def test_longer_prompts_of_same_total_need_more_endpoints():
    few_long = count_endpoints(120_000, 55, 100, prompt_tokens=20_000)
    assert few_long >= 1.5 * count_endpoints(
        120_000, 55, 100, prompt_tokens=500
    )


def test_many_endpoints_reach_higher_utilization():
    """The least loaded of many endpoints is idle more often than one."""
    assert scaling.estimate_waits(6, 10) < 0.2 * scaling.estimate_waits(0.6, 1)


def test_slots_limit_short_prompts():
    offered = Demand(busy=160, tokens_per_s=1000, squares_per_s=1e6)
    assert scaling.count_needed(offered, 55.0, 32, SCALING) == 10
    assert scaling.count_needed(offered, 55.0, 16, SCALING) == 20


def test_minimum_is_kept_without_demand():
    needed = scaling.count_needed(demand.NO_DEMAND, 55.0, 32, SCALING)
    assert needed == SCALING.min_endpoints


def simulate_waits(endpoints, offered, tokens_per_ms, seed=3):
    """Return the 90th percentile of the wait for prompt processing.

    Prompts arrive at random and go to the endpoint with the least queued work.

    :param offered: calls per second, and a function that draws their tokens.
    """
    calls_per_s, draw = offered
    rng = random.Random(seed)
    free_at = [0.0] * endpoints
    now = 0.0
    waits = []
    while now < 60_000:
        now += rng.expovariate(calls_per_s / 1000)
        index = min(range(endpoints), key=free_at.__getitem__)
        start = max(now, free_at[index])
        free_at[index] = start + draw(rng) / tokens_per_ms
        waits.append(start - now)
    return sorted(waits)[int(len(waits) * 0.9)]


@pytest.mark.parametrize('tokens_per_ms', [25, 55, 112])
@pytest.mark.parametrize('target_ms', [500, 1200])
def test_needed_endpoints_keep_waits_within_target(tokens_per_ms, target_ms):
    def draw(rng):
        return min(50_000, rng.lognormvariate(8, 1.1))

    rng = random.Random(4)
    prompts = [draw(rng) for _ in range(20_000)]
    calls_per_s = 60
    offered = Demand(
        busy=1,
        tokens_per_s=calls_per_s * sum(prompts) / len(prompts),
        squares_per_s=calls_per_s
        * sum(tokens**2 for tokens in prompts)
        / len(prompts),
        target_ms=target_ms,
    )
    needed = scaling.count_needed(offered, tokens_per_ms, 64, SCALING)
    wait_ms = simulate_waits(needed, (calls_per_s, draw), tokens_per_ms)
    assert wait_ms <= 0.5 * target_ms


def test_call_duration_is_learnt_from_few_calls():
    """Each host of a large fleet gets about two calls per second."""
    meter = DemandMeter()
    for _ in range(40):
        meter.note_answer(25)
    assert meter.answer_ms < 100
