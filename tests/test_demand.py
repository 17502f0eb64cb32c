"""What is asked of engines, how fast they are, and how many it needs."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.clock import Clock
from pearrun.decisions import demand
from pearrun.decisions import scaling
from pearrun.decisions.demand import Demand
from pearrun.decisions.demand import DemandMeter
from pearrun.shared.demands import add_by_service
from pearrun.shared.engines import Engines
from pearrun.shared.run import Run

SCALING = scaling.ScalingSettings()


def learn(tokens_per_ms, base_ms, count=300, seed=1, spoilt=0.0):
    """Return what a host learns from answers of engines of a speed.

    :param spoilt: part of the answers that come seconds late.
    """
    rng = random.Random(seed)
    engines = Engines(Clock())
    for _ in range(count):
        tokens = min(40_000, rng.lognormvariate(7.5, 1.2))
        waited_ms = base_ms + tokens / tokens_per_ms * rng.uniform(0.8, 1.2)
        if rng.random() < spoilt:
            waited_ms += rng.uniform(2000, 8000)
        engines.note_first('s', tokens, waited_ms)
    return engines


@pytest.mark.parametrize('tokens_per_ms', [10, 25, 55, 112, 300])
def test_the_reading_speed_is_learnt(tokens_per_ms):
    model = learn(tokens_per_ms, 45).of_service('s')
    assert model.tokens_per_ms == pytest.approx(tokens_per_ms, rel=0.2)
    assert model.predict_ms(0) == pytest.approx(45, abs=25)


def test_late_answers_of_faulty_endpoints_teach_nothing():
    model = learn(112, 45, spoilt=0.1).of_service('s')
    assert model.tokens_per_ms == pytest.approx(112, rel=0.25)


def test_a_change_of_the_engines_is_followed():
    engines = learn(112, 45)
    rng = random.Random(2)
    for _ in range(800):
        tokens = min(40_000, rng.lognormvariate(7.5, 1.2))
        engines.note_first('s', tokens, 45 + tokens / 40)
    model = engines.of_service('s')
    assert model.tokens_per_ms == pytest.approx(40, rel=0.2)


@given(
    st.lists(
        st.tuples(st.integers(0, 200_000), st.integers(0, 60_000)),
        max_size=60,
    )
)
def test_any_answers_leave_a_usable_model(answers):
    engines = Engines(Clock())
    for tokens, waited_ms in answers:
        engines.note_first('s', tokens, waited_ms)
    model = engines.of_service('s')
    prior = engines.settings.tokens_per_ms
    factor = engines.settings.max_prior_factor
    assert prior / factor <= model.tokens_per_ms * 1.001
    assert model.tokens_per_ms <= prior * factor * 1.001
    assert model.base_ms >= 0


def test_a_host_that_started_knows_what_the_others_learnt():
    engines = Engines(Clock())
    assert engines.of_service('s').tokens_per_ms == pytest.approx(55)
    for number in range(8):
        run = Run(f'h{number}', 1, 'z')
        engines.others.put(run, learn(112, 45, 12, number).own)
    model = engines.of_service('s')
    assert model.tokens_per_ms == pytest.approx(112, rel=0.25)
    # Alone it would be far off after so few answers.
    alone = learn(112, 45, 12).of_service('s')
    assert alone.tokens_per_ms < 0.75 * 112


def measure_steady(calls_per_s, tokens, answer_ms, target_ms=800):
    """Return the demand of steady calls that are answered in a time."""
    meter = DemandMeter()
    now = 0
    for number in range(int(calls_per_s * 6)):
        now = int(number * 1000 / calls_per_s)
        meter.note_call(tokens, target_ms, now)
        meter.note_answer(answer_ms)
    return meter.measure(now)


def test_a_steady_demand_is_measured():
    measured = measure_steady(50, 2000, 600)
    assert measured.busy == pytest.approx(30, rel=0.15)
    assert measured.tokens_per_s == pytest.approx(100_000, rel=0.1)
    assert measured.target_ms == 800


def test_a_demand_that_ended_is_forgotten():
    meter = DemandMeter()
    meter.note_call(500, 800, 0)
    assert meter.measure(demand.WINDOW_MS + demand.INTERVAL_MS + 1) == Demand()


def test_a_rare_route_does_not_set_the_target():
    meter = DemandMeter()
    for number in range(100):
        meter.note_call(100, 20 if number == 7 else 900, number)
    assert meter.measure(100).target_ms == 900


def test_hosts_demands_add_up_by_service():
    first = {'a': Demand(1, 10, 100, 800), 'b': Demand(2, 0, 0, 0)}
    second = {'a': Demand(3, 20, 200, 500)}
    total = add_by_service([first, second])
    assert total['a'] == Demand(4, 30, 300, 500)
    assert total['b'] == Demand(2, 0, 0, 0)


def test_calls_that_pile_up_at_lost_endpoints_raise_no_need():
    """A zone falls silent: its calls stay open, no more come than before.

    Half of the calls of five seconds hang; counted by calls under way the
    need would double.
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


def count(tokens_per_s, tokens_per_ms, target_ms, prompt_tokens=4000):
    """Return the endpoints needed where reading prompts is what binds."""
    asked = Demand(
        busy=1,
        tokens_per_s=tokens_per_s,
        squares_per_s=tokens_per_s * prompt_tokens * 2,
        target_ms=target_ms,
    )
    return scaling.count_needed(asked, tokens_per_ms, 64, SCALING)


def test_faster_engines_are_needed_in_smaller_number():
    assert count(600_000, 112, 800) < 0.6 * count(600_000, 50, 800)


def test_a_shorter_latency_target_needs_more_endpoints():
    long_prompts = {'prompt_tokens': 12_000}
    short = count(120_000, 55, 60, **long_prompts)
    assert short >= 1.5 * count(120_000, 55, 2000, **long_prompts)


def test_longer_prompts_of_the_same_total_need_more_endpoints():
    few_long = count(120_000, 55, 100, prompt_tokens=20_000)
    assert few_long >= 1.5 * count(120_000, 55, 100, prompt_tokens=500)


def test_many_endpoints_together_may_read_more_each():
    """The least loaded of many is free more often than one alone."""
    assert scaling.estimate_waits(6, 10) < 0.2 * scaling.estimate_waits(0.6, 1)


def test_slots_bind_where_prompts_are_short():
    asked = Demand(busy=160, tokens_per_s=1000, squares_per_s=1e6)
    assert scaling.count_needed(asked, 55.0, 32, SCALING) == 10
    assert scaling.count_needed(asked, 55.0, 16, SCALING) == 20


def test_without_demand_the_fewest_are_kept():
    needed = scaling.count_needed(demand.NO_DEMAND, 55.0, 32, SCALING)
    assert needed == SCALING.min_endpoints


def simulate_waits(endpoints, asked, tokens_per_ms, seed=3):
    """Return the 90th percentile of waits for prompts to be read.

    Prompts come at random and go to the endpoint with the least to read.

    :param asked: calls a second, and a function that draws their tokens.
    """
    calls_per_s, draw = asked
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
def test_what_is_needed_keeps_waits_within_the_target(
    tokens_per_ms, target_ms
):
    def draw(rng):
        return min(50_000, rng.lognormvariate(8, 1.1))

    rng = random.Random(4)
    prompts = [draw(rng) for _ in range(20_000)]
    calls_per_s = 60
    asked = Demand(
        busy=1,
        tokens_per_s=calls_per_s * sum(prompts) / len(prompts),
        squares_per_s=calls_per_s
        * sum(tokens**2 for tokens in prompts)
        / len(prompts),
        target_ms=target_ms,
    )
    needed = scaling.count_needed(asked, tokens_per_ms, 64, SCALING)
    wait = simulate_waits(needed, (calls_per_s, draw), tokens_per_ms)
    assert wait <= 0.5 * target_ms


def test_a_host_with_few_calls_learns_soon_how_long_they_take():
    """Some two calls a second come through each of many hosts."""
    meter = DemandMeter()
    for _ in range(40):
        meter.note_answer(25)
    assert meter.answer_ms < 100
