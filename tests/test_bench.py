"""Tests of ``pearrun bench``: plans, random arrivals, rounds and reports."""

import json
import os
import sys

from hypothesis import given
from hypothesis import strategies as st
import pytest
import yaml

from pearrun import exceptions
from pearrun.api import settings as settings_module
from pearrun.bench import arrivals
from pearrun.bench import caller
from pearrun.bench import plan as plan_module
from pearrun.bench import plots
from pearrun.bench import report
from tests.cluster import Cluster
from tests.cluster import Zone


def make_plan_tree(**changes):
    """Return the contents of a small bench file."""
    tree = {
        'daemons': ['http://127.0.0.1:1'],
        'log_url': 'http://127.0.0.1:2',
        'hosts': [{'id': 'e', 'zone': 'z', 'url': 'http://127.0.0.1:3'}],
        'prices': [{'zone': 'z', 'per_hour': 1.0}],
        'arrivals': {'requests': 30, 'round_s': 2, 'burst_s': 1},
        'mix': [
            {
                'service': 'pearrun-oficina',
                'customer': 'sinal-recife',
                'words': 20,
                'shared_words': 10,
                'tokens': 6,
                'weight': 3,
            },
            {
                'service': 'alarme-svc',
                'customer': 'sinal-recife',
                'once': True,
            },
        ],
    }
    return {**tree, **changes}


def parse_plan(tree):
    return settings_module.parse_yaml(yaml.safe_dump(tree), plan_module.Plan)


@pytest.mark.parametrize(
    'changes',
    [
        {'daemons': ['http://10.0.0.1:80']},
        {'hosts': [{'id': 'e', 'zone': 'z', 'url': 'http://192.0.2.1'}]},
        {'prices': []},
        {'arrivals': {'requests': 10**9}},
        {'rounds': 2, 'faults': [{'at_s': 0, 'reclaim_zone': 'z'}]},
    ],
)
def test_invalid_plan_is_rejected(changes):
    """Plans must not reach other machines or exceed the limits."""
    with pytest.raises(exceptions.SettingsValueError):
        parse_plan(make_plan_tree(**changes))


@given(number=st.integers(0, 5), seed=st.integers(0, 100))
def test_rounds_with_the_same_number_differ_only_in_keys(number, seed):
    plan = parse_plan(make_plan_tree(seed=seed))
    first = arrivals.draw_round(plan, number, 'a')
    second = arrivals.draw_round(plan, number, 'b')
    assert [(a.at_s, a.prompt) for a in first] == [
        (a.at_s, a.prompt) for a in second
    ]
    assert not {a.key for a in first} & {a.key for a in second}
    assert all(0 <= a.at_s <= plan.arrivals.round_s for a in first)


def make_outcome(**changes):
    plan = parse_plan(make_plan_tree())
    [arrival] = arrivals.draw_round(plan, 0, 'x')[:1]
    outcome = caller.Outcome(arrival, kind=caller.OutcomeKind.WHOLE)
    outcome.ttft_ms, outcome.gaps_ms, outcome.total_ms = (
        100.0,
        [10.0, 20.0],
        200.0,
    )
    for name, value in changes.items():
        setattr(outcome, name, value)
    return outcome


@pytest.mark.parametrize(
    ('changes', 'meets_targets'),
    [
        ({}, True),
        ({'ttft_ms': 461.0}, False),
        ({'gaps_ms': [78.0, 78.0]}, False),
        ({'total_ms': 30_001.0}, False),
        ({'kind': caller.OutcomeKind.WRONG}, False),
    ],
)
def test_only_correct_answers_in_time_meet_targets(changes, meets_targets):
    targets = settings_module.LatencyTargets()
    assert (
        report.meets_targets(make_outcome(**changes), targets) is meets_targets
    )


def test_bench_runs_policies_and_writes_report_and_plot(tmp_path):
    cluster = Cluster(tmp_path, {'z': Zone(engines=2)}, ['--decode_ms=2'])
    try:
        cluster.start_all()
        hosts = [
            {'id': n, 'zone': 'z', 'url': cluster.url(n)}
            for n in [
                *cluster.list_names('engine'),
                *cluster.list_names('service'),
            ]
        ]
        tree = make_plan_tree(
            daemons=[cluster.url('z-1')],
            log_url=cluster.url('log'),
            hosts=hosts,
            policies=['affinity', 'round_robin'],
            faults=[{'at_s': 0.2, 'log': {'lose_answers': 2}}],
        )
        files = {
            name: os.path.join(cluster.workdir, name)
            for name in ('plan.yaml', 'report.json', 'report.png')
        }
        with open(files['plan.yaml'], 'w', encoding='utf-8') as handle:
            yaml.safe_dump(tree, handle)
        done = cluster.run_cli(
            f'--out={files["report.json"]}',
            f'--plot={files["report.png"]}',
            'bench',
            files['plan.yaml'],
        )
    finally:
        cluster.stop()
    assert done.returncode == 0, done.stderr
    with open(files['report.json'], encoding='utf-8') as handle:
        figures = json.load(handle)
    assert set(figures['policies']) == {'affinity', 'round_robin'}
    for policy in figures['policies'].values():
        assert policy['whole'] == policy['requests'] == 30
        assert policy['lost'] == policy['doubled'] == 0
        assert policy['cost'] > 0
    assert os.path.getsize(files['report.png']) > 1000
    assert 'ratios_to_affinity' in done.stdout


def test_plot_without_matplotlib_raises_error(monkeypatch):
    monkeypatch.setitem(sys.modules, 'matplotlib', None)
    with pytest.raises(exceptions.PearrunError, match='matplotlib'):
        plots.draw([], 'nowhere.png')
