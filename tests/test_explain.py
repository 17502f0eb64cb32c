"""Tests of a request's time line, from the logs of several hosts."""

import dataclasses
import json

import pytest

from pearrun import cli
from pearrun import exceptions
from pearrun import explain
from pearrun.relay.trace import Attempt


def make_line(at, event, process='host-1', **fields):
    """Return a line of a host's log."""
    return json.dumps(
        {'at': at, 'event': event, 'process': process, 'zone': 'z', **fields}
    )


LINES = [
    make_line(88.0, 'store lost', topic='op'),
    make_line(97.0, 'endpoint avoided', endpoint='e-1', pause_ms=300),
    make_line(97.1, 'endpoint avoided', endpoint='e-9', pause_ms=300),
    make_line(98.0, 'store lost', topic='servers'),
    make_line(98.0, 'store lost', 'host-2', topic='servers'),
    make_line(
        100.0,
        'call',
        request_id='r-1',
        ending='failed',
        status=502,
        reason='connection reset',
        total_ms=400,
        tries=[['e-1', 1, 'endpoint refused with 503'], ['e-2', 20, '']],
    ),
    make_line(101.5, 'endpoint removed', endpoint='e-2'),
    make_line(
        101.6,
        'call',
        request_id='r-2',
        ending='refused',
        status=429,
        reason='quota',
        customer='anna',
        units=900,
        quota_left=10,
        tries=[],
    ),
]


def explain_request(request_id, lines=LINES):
    return explain.explain(explain.read_lines([lines]), request_id)


def test_time_line_has_the_related_lines_in_order():
    text = explain_request('r-1')
    assert text[0] == 'request r-1 on host-1'
    events = [line.split('ms  ')[1] for line in text[1:-1]]
    assert [event.split(' request_id')[0] for event in events] == [
        'endpoint avoided endpoint=e-1 pause_ms=300',
        'store lost topic=servers',
        'sent to e-1: endpoint refused with 503',
        'sent to e-2: answered',
        'call',
        'endpoint removed endpoint=e-2',
    ]
    assert text[-1] == (
        'cause: it may have run and has no answer: connection reset'
    )


def test_cause_of_a_quota_refusal_names_the_units_requested_and_left():
    assert explain_request('r-2')[-1] == (
        'cause: anna was over its limit: 900 units asked, 10 left'
    )


def test_time_line_shows_the_host_that_forwarded_a_request():
    attempt = Attempt('e-1', 5, '', 'host-2')
    lines = [
        make_line(
            100.0,
            'tunnel',
            'host-2',
            request_id='r-4',
            endpoint='e-1',
            outcome='closed by the host',
        ),
        make_line(100.0, 'tunnel', 'host-2', request_id='r-5', endpoint='e-1'),
        make_line(
            100.1,
            'call',
            request_id='r-4',
            ending='answered',
            total_ms=200,
            tries=[dataclasses.astuple(attempt)],
        ),
    ]
    text = explain_request('r-4', lines)
    assert [line.split('ms  ')[1] for line in text[1:3]] == [
        'sent to e-1 through host-2: answered',
        'host-2: tunnel request_id=r-4 endpoint=e-1 '
        'outcome=closed by the host',
    ]
    assert len(text) == 5


def test_unknown_requests_raise_and_other_text_is_skipped():
    mixed = ['', 'no json', '{"at": "x"}', '{}', *LINES]
    assert explain_request('r-2', mixed) == explain_request('r-2')
    with pytest.raises(exceptions.UnknownRequestError):
        explain_request('r-3', mixed)


def test_prefixes_of_a_log_collector_are_ignored():
    prefixed = [f' 12.0 host-1 {line}' for line in LINES]
    assert explain_request('r-1', prefixed) == explain_request('r-1')


def test_command_reads_log_files(tmp_path, capsys):
    path = tmp_path / 'host-1.log'
    path.write_text('\n'.join(LINES))
    cli.explain_request('r-1', [str(path)])
    assert 'sent to e-2: answered' in capsys.readouterr().out
    with pytest.raises(exceptions.InputFileError):
        cli.explain_request('r-1', [str(tmp_path / 'none.log')])


def test_time_line_leads_from_first_request_to_all_versions_of_stream():
    lines = [
        make_line(
            100.0,
            'call',
            request_id='r-5',
            ending='broken_off',
            total_ms=80,
            tries=[['e-1', 0, 'connection reset', '', 'v1']],
        ),
        make_line(
            100.3,
            'call',
            'host-2',
            request_id='r-6',
            resumes='r-5',
            ending='answered',
            total_ms=90,
            tries=[['e-7', 2, '', '', 'v2']],
        ),
    ]
    text = '\n'.join(explain_request('r-5', lines))
    assert 'sent to e-1 (v1): connection reset' in text
    assert 'request r-6 on host-2, resumes r-5' in text
    assert 'sent to e-7 (v2): answered' in text


def make_crash_line(at, endpoint, process='host-1', part='part-bad'):
    """Return the line of a crash under a request with a prompt part."""
    calls = [['f-1', 80, ['part-first', part]]]
    return make_line(
        at, 'endpoint crashed', process, endpoint=endpoint, calls=calls
    )


def test_time_line_leads_from_a_refused_request_to_the_crashes_of_its_part():
    crashes = [['e-1', 900, 80, 'r-8'], ['e-2', 100, 70, 'r-9']]
    lines = [
        make_line(
            10.0, 'suspect cleared', fingerprint='part-bad', request_id='r-7'
        ),
        make_crash_line(20.0, 'e-1', 'host-2'),
        make_crash_line(21.0, 'e-2'),
        make_crash_line(22.0, 'e-2', part='part-other'),
        make_line(
            21.1,
            'request quarantined',
            fingerprint='part-bad',
            members=['part-bad'],
            crashes=crashes,
        ),
        make_line(21.2, 'quarantine ended', fingerprint='part-other'),
        make_line(
            90.0,
            'call',
            request_id='r-10',
            ending='refused',
            status=503,
            reason='quarantined',
            quarantine='part-bad',
            parts=['first', 'bad'],
            total_ms=1,
            tries=[],
        ),
    ]
    text = explain_request('r-10', lines)
    events = [line.split('ms  ')[1].split(' ')[:3] for line in text[1:-1]]
    assert [' '.join(event[:2]) for event in events[:4]] == [
        'suspect cleared',
        'host-2: endpoint',
        'host-1: endpoint',
        'request quarantined',
    ]
    assert len(events) == 5
    assert 'part-bad' in text[-1]
