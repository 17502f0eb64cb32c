"""Tests of the report on lost calls."""

from pearrun import cli
from pearrun import explain
from pearrun import losses
from pearrun.losses import CallResult
from tests.test_explain import make_line


def make_call(at, ending='answered', route='draft', **fields):
    """Return the log line of a call that ended at a time."""
    defaults = {'target_ms': 800, 'first_ms': 70, 'status': 200}
    defaults['reason'] = ''
    defaults['total_ms'] = 500
    return make_line(
        at, 'call', ending=ending, route=route, **{**defaults, **fields}
    )


TEXT = [
    make_call(100.5),
    make_call(101.0, first_ms=900),
    make_call(103.0, 'refused', first_ms=None, reason='quota', status=429),
    make_call(103.0, 'refused', first_ms=None, reason='overload'),
    make_call(103.1, 'refused', first_ms=None, reason='no endpoint'),
    make_call(103.2, 'broken_off', 'tag'),
    make_call(103.3, status=500),
    make_line(103.4, 'store lost', topic='op'),
]


LINES = explain.read_lines([TEXT])


def test_each_call_is_counted_once_by_its_result():
    rows = losses.count_by_span(LINES, 2)
    assert list(rows) == [0, 2]
    assert rows[0].counts == {CallResult.IN_TIME: 1, CallResult.LATE: 1}
    assert rows[2].counts == {
        CallResult.OVER_QUOTA: 1,
        CallResult.OVERLOAD: 1,
        CallResult.REFUSED: 1,
        CallResult.BROKEN_OFF: 1,
        CallResult.FAILED: 1,
    }


def test_calls_are_counted_in_the_span_of_their_arrival():
    text = [make_call(100.5), make_call(109.0, total_ms=8500)]
    lines = explain.read_lines([text])
    assert list(losses.count_by_span(lines, 4)) == [0]


def test_calls_are_counted_by_route_and_empty_columns_omitted():
    rows = losses.count_by_route(LINES)
    assert sum(rows['tag'].counts.values()) == 1
    text = losses.render('route', rows)
    assert 'timed out' not in text[0]
    assert text[1].split()[:2] == ['draft', '6']


def test_logs_without_calls_give_empty_tables():
    assert losses.count_by_span([], 2) == {}
    assert losses.render_losses([], 2)[0].startswith('from s')


def test_command_reads_log_files(tmp_path, capsys):
    path = tmp_path / 'host.log'
    path.write_text('\n'.join(TEXT))
    cli.FLAGS(['pearrun'])
    cli.uvloop.run(cli.run_losses([str(path)]))
    assert 'from s' in capsys.readouterr().out
