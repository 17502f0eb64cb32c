"""Roll-outs of new versions: decisions, state and hosts against stand-ins."""

import asyncio
import dataclasses
import random

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from benchmarks import rollout as simulation
from pearrun import exceptions
from pearrun.decisions import exposure
from pearrun.decisions import rollout
from pearrun.decisions import scaling
from pearrun.decisions import versiontest
from pearrun.decisions.rollout import Stage
from pearrun.decisions.versiontest import Evidence
from pearrun.decisions.versiontest import Tally
from pearrun.platform import rolloutlog
from pearrun.platform import settings as settings_module
from pearrun.rollouts import evidence as evidence_module
from pearrun.rollouts import orders
from pearrun.rollouts.answers import AnswerCounts
from pearrun.rollouts.answers import AnswerTimes
from pearrun.rollouts.orders import RolloutNotice
from pearrun.rollouts.orders import RolloutOrder
from pearrun.rollouts.orders import RolloutState
from pearrun.rollouts.orders import RolloutStatus
from pearrun.rollouts.serviceversions import REPLACED_MS
from pearrun.rollouts.serviceversions import SETTLE_MS
from pearrun.rollouts.versions import MISSING_VERSION_MS
from pearrun.rollouts.versions import PERMIT_VALID_MS
from pearrun.rollouts.versions import Rollouts
from pearrun.run import Run
from pearrun.shared.fleet import EndpointRecord
from pearrun.shared.fleet import Fleet
from pearrun.standins.platformsite import make_config
from pearrun.states import EndpointState
from tests.builders import ManualClock
from tests.platformsite import call
from tests.platformsite import run_site
from tests.platformsite import wait_until
from tests.test_platform_duties import find_holders

SETTINGS = rollout.RolloutSettings()
ROUTES = ('long', 'short')


def make_progress(elapsed_ms, **fields):
    """Return the :class:`Progress` of a roll-out of 14 s."""
    return rollout.Progress(
        **{
            'elapsed_ms': elapsed_ms,
            'duration_ms': 14_000,
            'score': 0.0,
            'suspicion': 0.0,
            'balance': -9.0,
            'route_balances': {'long': -3.0, 'short': -6.0},
            'moved_ms': None,
            'answer_ms': {'long': 1300, 'short': 150},
            'endpoints': 72,
            **fields,
        }
    )


def make_evidence(elapsed_ms, new=40):
    """Return the :class:`Evidence` of 41 long and 262 short calls a second."""
    seconds = elapsed_ms / 1000
    return Evidence(
        {
            'long': Tally(round(41 * seconds), 0),
            'short': Tally(round(262 * seconds), 0),
        },
        {('short', 'n1'): Tally(new, 0)},
    )


def decide(elapsed_ms, new=40, **fields):
    """Return the :class:`Plan` at a time."""
    return rollout.decide(
        make_progress(elapsed_ms, **fields),
        make_evidence(elapsed_ms, new),
        SETTINGS,
    )


def test_new_version_gets_a_small_share_until_shortly_before_the_deadline():
    for elapsed_ms in range(100, 10_000, 100):
        plan = decide(elapsed_ms)
        assert plan.stage is Stage.CANARY
        assert not plan.routes
        assert plan.share <= SETTINGS.largest_canary_share


def test_routes_with_few_calls_get_as_many_answers_as_the_others():
    shares = exposure.divide_share(0.03, {'long': 100, 'short': 900})
    assert shares == {'long': 0.15, 'short': 0.017}
    assert exposure.divide_share(0.03, {'rare': 4, 'short': 996}) == {
        'rare': 0.5,
        'short': 0.028,
    }


def test_calls_with_long_answers_move_before_the_others():
    moved_at_ms = {}
    for elapsed_ms in range(10_000, 14_000, 50):
        for route in decide(elapsed_ms).routes:
            moved_at_ms.setdefault(route, elapsed_ms)
    assert moved_at_ms['long'] < moved_at_ms['short'] < 13_000


def test_completion_leaves_time_for_the_operator_to_read_it():
    plan = decide(13_390, moved_ms=640)
    assert plan.stage is Stage.MOVE
    plan = decide(13_400, moved_ms=500)
    assert plan.stage is Stage.COMPLETE


def test_calls_do_not_move_without_answers_or_under_suspicion():
    assert decide(13_900, new=3).stage is Stage.CANARY
    assert decide(13_900, balance=-1.0).stage is Stage.CANARY
    one_sided = {'long': 1.0, 'short': -10.0}
    assert decide(13_900, route_balances=one_sided).stage is Stage.CANARY
    assert decide(13_900, suspicion=0.5).stage is Stage.CANARY
    assert decide(13_900, suspicion=0.5, moved_ms=2_000).stage is Stage.MOVE
    assert decide(13_900, score=1.0, moved_ms=2_000).stage is Stage.REVERT


def test_moved_calls_stay_within_the_exposed_share():
    # A deadline so near that the calls would exceed the share.
    progress = make_progress(4_000, duration_ms=5_000)
    evidence = make_evidence(4_000)
    budget = exposure.compute_budget(progress, evidence, SETTINGS)
    leads = exposure.compute_leads(progress, evidence, budget, SETTINGS)
    exposed = evidence.count_new() + sum(
        rate * max(0, leads[route] - SETTINGS.spread_ms) / 1000
        for route, rate in (('long', 41), ('short', 262))
    )
    assert exposed <= SETTINGS.exposed_share * 303 * 5


def test_one_failing_endpoint_is_not_taken_for_a_bad_version():
    test = versiontest.BadVersionTest(SETTINGS)
    old = {'short': Tally(1000, 20)}
    test.update(Evidence(old, {('short', 'n1'): Tally(50, 50)}), 0, 0)
    assert test.score < 1
    assert test.list_suspects() == {'n1'}
    test.update(Evidence(old, {('short', 'n2'): Tally(50, 50)}), 100, 0)
    assert test.score >= 1


def test_failures_that_the_old_version_shares_are_no_evidence():
    test = versiontest.BadVersionTest(SETTINGS)
    rng = random.Random(1)
    old = Tally()
    new = {}
    for step in range(100):
        old += Tally(20, sum(rng.random() < 0.3 for _ in range(20)))
        for number in range(3):
            key = ('short', f'n{number}')
            bad = int(rng.random() < 0.3)
            new[key] = new.get(key, Tally()) + Tally(1, bad)
        test.update(Evidence({'short': old}, dict(new)), step * 100, 0)
    assert test.score < 1


def test_version_that_turns_bad_after_many_good_answers_is_found():
    test = versiontest.BadVersionTest(SETTINGS)
    old = {'short': Tally(1000, 20)}
    good = {('short', f'n{n}'): Tally(500, 5) for n in range(4)}
    test.update(Evidence(old, good), 0, 0)
    assert test.score < 1
    bad = {key: tally + Tally(6, 5) for key, tally in good.items()}
    test.update(Evidence(old, bad), 100, 0)
    assert test.score >= 1


def test_trouble_that_shows_in_the_new_version_first_is_no_evidence():
    # A good version was reverted when endpoints of both failed.
    test = versiontest.BadVersionTest(SETTINGS)
    delay_ms = SETTINGS.judge_delay_ms
    new = {('short', f'n{n}'): Tally(20, 0) for n in range(4)}
    test.update(Evidence({'short': Tally(1000, 20)}, dict(new)), 0, delay_ms)
    for key in new:
        new[key] += Tally(8, 4)
    test.update(Evidence({'short': Tally(1030, 21)}, new), 100, delay_ms)
    assert test.suspicion >= SETTINGS.suspicion_fraction
    old = Tally(1030, 21)
    for now_ms in range(200, 1000, 100):
        old += Tally(30, 15)
        test.update(Evidence({'short': old}, new), now_ms, delay_ms)
    assert test.suspicion < SETTINGS.suspicion_fraction
    assert test.score < SETTINGS.suspicion_fraction


def test_answers_are_judged_at_once_when_the_old_version_gets_no_calls():
    test = versiontest.BadVersionTest(SETTINGS)
    old = {'short': Tally(1000, 20)}
    bad = {('short', f'n{n}'): Tally(6, 5) for n in range(4)}
    test.update(Evidence(old, bad), 0, SETTINGS.judge_delay_ms)
    assert test.score < 1
    test.update(Evidence(old, bad), 100, 0)
    assert test.score >= 1


def test_version_under_suspicion_gets_more_calls_within_the_exposed_share():
    # It was given fewer, and was still under suspicion at the deadline.
    plan = decide(10_000, suspicion=0.5)
    assert plan.stage is Stage.CANARY
    assert plan.share > 2 * SETTINGS.smallest_canary_share
    evidence = make_evidence(10_000)
    budget = exposure.compute_budget(make_progress(10_000), evidence, SETTINGS)
    expected = plan.share * budget.rate * 4_000 + budget.move
    assert evidence.count_new() + expected <= budget.total
    late = decide(13_900, new=430, suspicion=0.5)
    assert late.share == SETTINGS.smallest_canary_share


def test_service_without_calls_completes_before_the_deadline():
    # Its roll-out never ended.
    nothing = Evidence({}, {})
    for elapsed_ms, is_idle, stage in (
        (9_000, True, Stage.CANARY),
        (13_500, False, Stage.CANARY),
        (13_500, True, Stage.COMPLETE),
    ):
        progress = make_progress(
            elapsed_ms, balance=0.0, route_balances={}, is_idle=is_idle
        )
        plan = rollout.decide(progress, nothing, SETTINGS)
        assert plan.stage is stage


def test_roll_out_of_a_service_without_calls_is_done_on_hosts():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            await wait_until(lambda: find_holders(site))
            site.order_rollout('plain', 'v2', 3)
            await start_version(site, 'v2')
            await wait_until(
                lambda: ('v2', 'done') in site.get_rollout_states('plain'), 4
            )

    asyncio.run(main())


def test_service_with_few_calls_uses_the_exposed_slack():
    settings = rollout.RolloutSettings(exposed_slack=50)
    evidence = Evidence({'short': Tally(10, 0)}, {})
    budget = exposure.compute_budget(make_progress(5_000), evidence, settings)
    assert exposure.compute_canary_share(budget, settings) == 0.5
    assert (
        exposure.compute_canary_share(
            exposure.compute_budget(make_progress(5_000), evidence, SETTINGS),
            SETTINGS,
        )
        == SETTINGS.largest_canary_share
    )


def test_overdue_calls_count_as_bad_before_they_are_answered():
    counts = AnswerCounts()
    for _ in range(20):
        counts.note_current('short', False, AnswerTimes(80, 80, 100))
    counts.note_sent('c1', 'short', 'n1', 80, 1_000)
    assert ('short', 'n1') not in counts.sum_with_overdue(1_150)
    assert counts.sum_with_overdue(1_300)['short', 'n1'] == Tally(1, 1)


@pytest.mark.parametrize('hosts', [9, 84, 300])
def test_good_versions_complete_in_time_within_the_exposed_share(hosts):
    results = simulation.simulate(
        simulation.Version.GOOD, simulation.SITES[hosts], 20, seed=7
    )
    for result in results:
        assert result.reverted_ms is None
        assert result.done_ms is not None
        assert result.exposed <= result.allowed


@pytest.mark.parametrize('hosts', [9, 84, 300])
def test_versions_bad_from_the_start_stay_within_the_exposed_share(hosts):
    results = simulation.simulate(
        simulation.Version.BAD, simulation.SITES[hosts], 20, seed=7
    )
    assert not simulation.count_over_exposed(results)


@pytest.mark.parametrize(
    ('hosts', 'numbers'),
    [
        # Reverted.
        (84, (65,)),
        (300, (2, 15, 16, 27, 50, 51)),
        # Not done by the deadline.
        (84, (3, 17, 21, 51, 63)),
    ],
)
def test_good_versions_under_trouble_are_done_in_time(hosts, numbers):
    for number in numbers:
        result = simulation.play(
            simulation.Version.GOOD_UNDER_TROUBLE,
            simulation.SITES[hosts],
            1,
            number,
        )
        assert result.reverted_ms is None
        assert result.done_ms is not None


@pytest.mark.parametrize(
    ('hosts', 'version'),
    [
        (84, simulation.Version.BAD_ON_ROUTE),
        (84, simulation.Version.BAD_UNDER_LOAD),
        (300, simulation.Version.BAD_UNDER_LOAD),
    ],
)
def test_bad_versions_do_not_complete(hosts, version):
    site = simulation.SITES[hosts]
    results = simulation.simulate(version, site, 20, seed=3)
    assert not simulation.count_over_exposed(results)


@pytest.mark.parametrize(
    ('hosts', 'version'),
    [
        (9, simulation.Version.BAD),
        (9, simulation.Version.BAD_LATER),
        (9, simulation.Version.BAD_ON_ROUTE),
        (9, simulation.Version.BAD_UNDER_LOAD),
        (84, simulation.Version.BAD_LATER),
        (300, simulation.Version.BAD_LATER),
    ],
)
def test_bad_versions_with_few_answers_do_not_complete(hosts, version):
    site = simulation.SITES[hosts]
    results = simulation.simulate(version, site, 100, seed=3)
    assert not simulation.count_over_exposed(results)


def make_endpoint(name, version='v1'):
    """Return the :class:`EndpointRecord` of a live endpoint."""
    return EndpointRecord(
        name=name,
        service='plain',
        address='10.0.0.1:80',
        zone='zone-a',
        slots=8,
        state=EndpointState.LIVE,
        version=version,
    )


def make_rollouts(clock, old=4, new=4):
    """Return :class:`Rollouts` with endpoints of the versions v1 and v2."""
    fleet = Fleet()
    for number in range(old):
        fleet.put(make_endpoint(f'o{number}'))
    for number in range(new):
        fleet.put(make_endpoint(f'n{number}', 'v2'))
    return Rollouts(clock, fleet, SETTINGS)


def make_notice(state=RolloutState.RUNNING, number=5, **fields):
    """Return a :class:`RolloutNotice` about the version v2."""
    return RolloutNotice('plain', number, 'v2', state, **fields)


ORDER = RolloutOrder('plain', 5, 'v2', 14_000)


def select_versions(
    rollouts, calls=400, route='short', is_retry=False, endpoints=None
):
    """Return the versions to which calls may be sent, one for each call.

    :param endpoints: those that accept calls; by default all that are listed.
    """
    if endpoints is None:
        endpoints = rollouts.fleet.find_by_service('plain')
    return [
        {
            endpoint.record.version
            for endpoint in rollouts.select(
                'plain', endpoints, f'c{number}', route, is_retry
            )
        }
        for number in range(calls)
    ]


def test_version_gets_no_calls_before_its_order_would_be_known():
    clock = ManualClock()
    rollouts = make_rollouts(clock, old=4, new=3)
    assert select_versions(rollouts) == [{'v1'}] * 400
    clock.advance(SETTLE_MS - 1)
    assert select_versions(rollouts) == [{'v1'}] * 400
    rollouts.put_order(ORDER)
    clock.advance(SETTLE_MS)
    assert select_versions(rollouts) == [{'v1'}] * 400


def test_version_without_an_order_serves_beside_the_others():
    clock = ManualClock()
    rollouts = make_rollouts(clock, old=4, new=3)
    select_versions(rollouts, calls=1)
    clock.advance(SETTLE_MS)
    assert select_versions(rollouts) == [{'v1', 'v2'}] * 400


def test_version_that_a_roll_out_replaced_serves_if_it_is_listed_again():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    rollouts.put_order(ORDER)
    rollouts.put_notice(make_notice(RolloutState.DONE), 1, clock.now())
    select_versions(rollouts, calls=1)
    clock.advance(REPLACED_MS - 1)
    assert select_versions(rollouts) == [{'v2'}] * 400
    clock.advance(1)
    assert select_versions(rollouts) == [{'v1', 'v2'}] * 400


def test_version_is_served_at_once_if_the_last_endpoint_of_another_leaves():
    rollouts = make_rollouts(ManualClock(), old=2, new=1)
    select_versions(rollouts, calls=1)
    for number in range(2):
        record = make_endpoint(f'o{number}')
        rollouts.fleet.put(
            dataclasses.replace(record, state=EndpointState.LEAVING)
        )
    assert select_versions(rollouts, calls=1) == [{'v2'}]


def test_streams_go_on_at_their_version_only_while_it_may_get_calls():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    endpoints = rollouts.fleet.find_by_service('plain')

    def select(version):
        return {
            item.record.version
            for item in rollouts.select_version('plain', endpoints, version)
        }

    assert select('v2') == {'v2'}
    rollouts.put_order(ORDER)
    assert (select('v1'), select('v2')) == ({'v1'}, set())
    rollouts.put_notice(make_notice(share=0.03), 1, clock.now())
    assert (select('v1'), select('v2')) == ({'v1'}, {'v2'})
    rollouts.put_notice(make_notice(RolloutState.REVERTED), 1, clock.now())
    assert (select('v1'), select('v2')) == ({'v1'}, set())


def test_all_versions_serve_where_there_are_no_roll_outs():
    contracts = ['base', 'drain']
    settings = settings_module.decode_rollout(contracts, {})
    fleet = make_rollouts(ManualClock()).fleet
    rollouts = Rollouts(ManualClock(), fleet, settings)
    assert select_versions(rollouts, calls=1) == [{'v1', 'v2'}]
    assert settings_module.decode_rollout(['rollout'], {}).enabled


def test_host_that_hears_nothing_sends_nothing_to_the_new_version():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    rollouts.put_order(ORDER)
    assert {'v2'} not in select_versions(rollouts)
    rollouts.put_notice(make_notice(share=0.03), 1, clock.now())
    assert 0 < select_versions(rollouts).count({'v2'}) < 30
    assert {'v2'} not in select_versions(rollouts, is_retry=True)
    clock.advance(PERMIT_VALID_MS)
    assert {'v2'} not in select_versions(rollouts)


def test_new_version_does_not_replace_rate_limited_endpoints_of_the_old_one():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    rollouts.put_order(ORDER)
    rollouts.put_notice(make_notice(share=0.03), 1, clock.now())
    endpoints = [
        endpoint
        for endpoint in rollouts.fleet.find_by_service('plain')
        if endpoint.record.version == 'v2'
    ]
    selected = select_versions(rollouts, endpoints=endpoints)
    assert 0 < selected.count({'v2'}) < 30
    assert {'v1', 'v2'} not in selected


def test_only_moved_routes_go_to_the_new_version():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    notice = make_notice(routes=frozenset({'long'}))
    rollouts.put_notice(notice, 1, clock.now())
    assert select_versions(rollouts, route='long') == [{'v2'}] * 400
    assert select_versions(rollouts, route='short') == [{'v1'}] * 400


def test_notice_of_a_former_holder_is_ignored():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    rollouts.put_notice(make_notice(), 7, clock.now())
    rollouts.put_notice(make_notice(moved=True), 6, clock.now())
    assert select_versions(rollouts) == [{'v1'}] * 400


def test_reverted_version_gets_no_calls_even_if_it_alone_is_listed():
    clock = ManualClock()
    rollouts = make_rollouts(clock, old=0)
    rollouts.put_order(ORDER)
    rollouts.put_notice(make_notice(RolloutState.REVERTED), 1, clock.now())
    select_versions(rollouts, calls=1)
    clock.advance(MISSING_VERSION_MS)
    assert select_versions(rollouts, calls=1) == [set()]


def test_restarted_host_finds_a_completed_roll_out_in_the_store():
    rollouts = make_rollouts(ManualClock(), old=0)
    rollouts.put_order(ORDER)
    status = RolloutStatus('plain', 'v2', RolloutState.DONE)
    rollouts.put_status(status)
    assert select_versions(rollouts) == [{'v2'}] * 400


def test_version_in_force_that_lapsed_for_a_moment_is_not_replaced():
    clock = ManualClock()
    rollouts = make_rollouts(clock)
    rollouts.put_order(ORDER)
    for number in range(4):
        rollouts.fleet.remove(f'o{number}')
    assert select_versions(rollouts, calls=1) == [set()]
    clock.advance(MISSING_VERSION_MS)
    assert select_versions(rollouts, calls=1) == [{'v2'}]


class OrderMachine(RuleBasedStateMachine):
    """Orders and notices that arrive late, twice and in any order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.rollouts = make_rollouts(self.clock)
        self.final = {}

    @rule(number=st.integers(1, 4), to=st.sampled_from(['v2', 'v3']))
    def put_order(self, number, to):
        self.rollouts.put_order(RolloutOrder('plain', number, to, 9_000))

    @rule(
        number=st.integers(1, 4),
        state=st.sampled_from(list(RolloutState)),
        fencing=st.integers(1, 3),
        moved=st.booleans(),
    )
    def put_notice(self, number, state, fencing, moved):
        notice = make_notice(state, number, moved=moved)
        self.rollouts.put_notice(notice, fencing, self.clock.now())

    @rule(ms=st.sampled_from([100, 2_000, 9_000]))
    def pass_time(self, ms):
        self.clock.advance(ms)

    @invariant()
    def final_state_of_an_order_stays(self):
        known = self.rollouts.get('plain')
        if known.order is None:
            return
        number = known.order.number
        if number in self.final:
            assert self.final[number] is known.state
        if not known.is_open:
            self.final[number] = known.state

    @invariant()
    def reverted_version_gets_no_calls(self):
        known = self.rollouts.get('plain')
        reverted = known.state is RolloutState.REVERTED
        if reverted and known.order.to != known.current:
            versions = select_versions(self.rollouts, calls=3)
            assert all(known.order.to not in item for item in versions)

    @invariant()
    def some_version_gets_calls_while_the_one_in_force_is_listed(self):
        listed = self.rollouts.get('plain').current != 'v3'
        assert not listed or all(select_versions(self.rollouts, calls=3))


TestOrders = OrderMachine.TestCase
TestOrders.settings = hypothesis_settings(
    max_examples=100, stateful_step_count=30, deadline=None
)


def test_notes_and_notices_are_encoded_without_loss():
    note = evidence_module.RolloutNote(
        Run('h', 1, 'zone-a'),
        'plain',
        5,
        {('short', ''): Tally(9, 1), ('short', 'n1'): Tally(2, 2)},
        {'short': 80},
    )
    fields = evidence_module.encode_note(note)
    assert evidence_module.decode_note(note.run, fields) == note
    notice = make_notice(
        routes=frozenset(ROUTES), turn=2, share=0.03, route_shares={'a': 0.1}
    )
    assert orders.decode_notice(orders.encode_notice(notice)) == notice


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'[]',
        b'{"service":"plain","to":"v2"}',
        b'{"service":"plain","to":"","duration_s":3}',
        b'{"service":"plain","to":7,"duration_s":3}',
        b'{"service":"plain","to":"v2","duration_s":"soon"}',
        b'{"service":"plain","to":"v2","duration_s":-1}',
    ],
)
def test_malformed_order_is_an_error(raw):
    with pytest.raises(exceptions.WireFormatError):
        rolloutlog.decode_order('rollout/plain', 3, raw)


def test_endpoints_of_the_new_version_are_not_released_by_an_order():
    # The platform released them when fewer on-demand endpoints were ordered.
    zones = {'a': scaling.ZoneCount(20, 0), 'b': scaling.ZoneCount(5, 0)}
    others = {'a': scaling.ZoneCount(0, 24), 'b': scaling.ZoneCount(0, 24)}
    planned = [
        scaling.Order('plain', 'a', False, 0),
        scaling.Order('plain', 'b', False, 3),
        scaling.Order('plain', 'a', True, 18),
        scaling.Order('plain', 'b', True, 20),
    ]
    assert scaling.limit_to_raises(planned, zones, others) == [
        scaling.Order('plain', 'b', False, 27),
        scaling.Order('plain', 'b', True, 20),
    ]


async def send_calls(site, answers, pause_ms=10):
    """Send calls to all hosts in turn until cancelled."""
    number = 0

    async def send(host, attempt):
        answers.append((await call(host, '/once/', attempt)).status)

    async with asyncio.TaskGroup() as tasks:
        while True:
            hosts = list(site.hosts.values())
            number += 1
            host = hosts[number % len(hosts)]
            tasks.create_task(send(host, f'r{number}'))
            await asyncio.sleep(pause_ms / 1000)


async def start_version(site, version, count=3, **faults):
    """Start endpoints of a version of the plain service."""
    runners = []
    for number in range(count):
        name = f'{version}-{number}'
        runner = await site.add_runner(name, 'plain', version=version)
        for fault, value in faults.items():
            setattr(runner.faults, fault, value)
        runners.append(runner)
    return runners


PLAIN = [(f'p{number}', 'plain') for number in range(3)]


async def play_rollout(site, duration_s, **faults):
    """Order a version under load; wait for its final state.

    :returns: the new endpoints, and the statuses of the answers.
    """
    await wait_until(lambda: find_holders(site))
    answers = []
    load = asyncio.create_task(send_calls(site, answers))
    await asyncio.sleep(1)
    site.order_rollout('plain', 'v2', duration_s)
    runners = await start_version(site, 'v2', **faults)
    try:
        await wait_until(
            lambda: (
                site.get_rollout_states('plain')[-1:]
                in ([('v2', 'done')], [('v2', 'reverted')])
            ),
            duration_s + 3,
        )
        await asyncio.sleep(0.5)
    finally:
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
    return runners, answers


def test_good_version_takes_over_without_a_failed_call():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            runners, answers = await play_rollout(site, 6)
            assert site.get_rollout_states('plain') == [
                ('v2', 'running'),
                ('v2', 'done'),
            ]
            assert set(answers) == {200}
            for name, _ in PLAIN:
                site.runners[name].end()
            await asyncio.sleep(0.3)
            for number, host in enumerate(site.hosts.values()):
                answer = await call(host, '/once/', f'after{number}')
                assert answer.status == 200

    asyncio.run(main())


def test_failing_version_is_taken_back_and_gets_no_more_calls():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            runners, answers = await play_rollout(site, 8, status=500)
            assert site.get_rollout_states('plain')[-1] == ('v2', 'reverted')
            exposed = sum(len(runner.runs) for runner in runners)
            assert exposed <= 0.1 * len(answers) + 50
            for number in range(50):
                host = list(site.hosts.values())[number % 2]
                answer = await call(host, '/once/', f'after{number}')
                assert answer.status == 200
            assert exposed == sum(len(runner.runs) for runner in runners)

    asyncio.run(main())


def test_host_that_does_not_hear_the_lease_holder_uses_the_old_version():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=2) as site:
            await wait_until(lambda: find_holders(site))
            (holder,) = find_holders(site)
            holder.duties.conductor.make_notices = lambda: ()
            other = next(
                host for host in site.hosts.values() if host is not holder
            )
            site.order_rollout('plain', 'v2', 60)
            runners = await start_version(site, 'v2')
            await wait_until(lambda: other.host.rollouts.list_open())
            await wait_until(lambda: len(other.host.fleet.endpoints) == 6)
            for number in range(100):
                answer = await call(other, '/once/', f'r{number}')
                assert answer.status == 200
            assert not any(runner.runs for runner in runners)

    asyncio.run(main())


def test_successor_of_the_lease_holder_ends_the_roll_out():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=3) as site:
            await wait_until(lambda: find_holders(site))
            (first,) = find_holders(site)
            site.order_rollout('plain', 'v2', 30)
            runners = await start_version(site, 'v2', status=500)
            await wait_until(lambda: site.get_rollout_states('plain'))
            await first.end()
            del site.hosts[first.settings.name]
            answers = []
            load = asyncio.create_task(send_calls(site, answers))
            await wait_until(
                lambda: ('v2', 'reverted') in site.get_rollout_states('plain'),
                20,
            )
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            exposed = sum(len(runner.runs) for runner in runners)
            assert exposed <= 0.1 * len(answers) + 50

    asyncio.run(main())


def test_order_for_an_unknown_service_changes_nothing():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=1) as site:
            await wait_until(lambda: find_holders(site))
            site.order_rollout('nobody', 'v2', 1)
            site.store.put('op', 'rollout/plain', {'to': 'v2'})
            await asyncio.sleep(1)
            assert not site.store.list_values('status')
            (host,) = site.hosts.values()
            assert (await call(host, '/once/', 'r1')).status == 200

    asyncio.run(main())


def test_state_of_an_earlier_order_does_not_end_a_repeated_one():
    rollouts = make_rollouts(ManualClock())
    rollouts.put_order(ORDER)
    rollouts.close('plain', RolloutState.REVERTED)
    rollouts.put_order(RolloutOrder('plain', 9, 'v2', 14_000))
    status = RolloutStatus('plain', 'v2', RolloutState.REVERTED)
    rollouts.put_status(status)
    assert rollouts.get('plain').is_open


def test_delayed_completion_of_a_former_holder_is_not_overwritten():
    async def main():
        async with run_site(make_config(), PLAIN, hosts=1) as site:
            await wait_until(lambda: find_holders(site))
            site.order_rollout('plain', 'v2', 60)
            await wait_until(lambda: site.get_rollout_states('plain'))
            (host,) = site.hosts.values()
            done = {'service': 'plain', 'to': 'v2', 'state': 'done'}
            site.store.put('status', 'rollout/plain', done)
            rollouts = host.host.rollouts
            conductor = host.duties.conductor
            conduct = conductor._conducts['plain']
            conduct.plan = rollout.Plan(Stage.REVERT)
            conduct.is_final = True
            await wait_until(lambda: not rollouts.list_open())
            assert rollouts.get('plain').state is RolloutState.DONE
            states = site.get_rollout_states('plain')
            assert ('v2', 'reverted') not in states

    asyncio.run(main())
