"""End-to-end tests with daemon and stand-in processes on 127.0.0.1."""

import concurrent.futures
import contextlib
import json
import os
import subprocess
import time

import pytest

from pearrun.standins import text
from tests.cluster import BIN_DIR
from tests.cluster import call
from tests.cluster import call_json
from tests.cluster import Cluster
from tests.cluster import Zone

LOG = 'log'
SERVICE = 'service-boa-viagem-1'


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    zones = {'boa-viagem': Zone(daemons=2, engines=2, services=1)}
    started = Cluster(
        tmp_path_factory.mktemp('cluster'), zones, ['--decode_ms=2']
    )
    yield started.start_all()
    started.stop()


def get_daemon_url(cluster, number=1):
    return cluster.url(f'boa-viagem-{number}')


def complete(cluster, prompt, daemon=1, **extra):
    body = {'model': 'pearrun-oficina', 'prompt': prompt, 'max_tokens': 12}
    body.update(extra)
    return call_json(f'{get_daemon_url(cluster, daemon)}/v1/completions', body)


def test_answer_is_complete(cluster):
    status, _, body = complete(cluster, 'fault log site one', user=None)
    assert status == 200
    assert body['choices'][0]['text'] == text.generate_answer(
        'fault log site one', 0, 12
    )


def test_streamed_answer_is_complete_and_in_order(cluster):
    body = {
        'model': 'permit-assistant',
        'prompt': 'driver file 7',
        'max_tokens': 20,
        'stream': True,
    }
    status, _, raw = call(f'{get_daemon_url(cluster, 2)}/v1/completions', body)
    assert status == 200
    events = [
        json.loads(line[6:])
        for line in raw.decode().split('\n\n')
        if line.startswith('data: {')
    ]
    pieces = [e['choices'][0]['text'] for e in events if 'choices' in e]
    assert [e['index'] for e in events if 'choices' in e] == list(range(20))
    assert ''.join(pieces) == text.generate_answer('driver file 7', 0, 20)
    assert events[-1]['state'] == 'done'


def test_invalid_body_gets_code_1200(cluster):
    status, _, body = call_json(
        f'{get_daemon_url(cluster)}/v1/completions', {'prompt': 3}
    )
    assert status == 400
    assert body['error']['code'] == 1200


def test_unknown_service_gets_code_1201(cluster):
    status, _, body = call_json(
        f'{get_daemon_url(cluster)}/v1/completions',
        {'model': 'no-such', 'prompt': 'x'},
    )
    assert (status, body['error']['code']) == (404, 1201)


def test_unknown_request_id_gets_code_1300(cluster):
    status, _, body = call_json(f'{get_daemon_url(cluster)}/v1/requests/nope')
    assert (status, body['error']['code']) == (404, 1300)


def test_status_by_id_has_complete_answer(cluster):
    _, _, body = complete(cluster, 'status check')
    _, _, status = call_json(
        f'{get_daemon_url(cluster)}/v1/requests/{body["id"]}'
    )
    assert status['state'] == 'done'
    assert status['text'] == text.generate_answer('status check', 0, 12)


def test_non_idempotent_without_key_gets_code_1203(cluster):
    status, _, body = call_json(
        f'{get_daemon_url(cluster)}/v1/completions',
        {'model': 'alarme-svc', 'prompt': 'alarm'},
    )
    assert (status, body['error']['code']) == (400, 1203)


def count_executions(cluster, key):
    _, _, body = call_json(f'{cluster.url(SERVICE)}/v1/executions')
    return sum(n for k, n in body['executions'].items() if key in k)


def test_repeated_key_on_one_daemon_runs_once(cluster):
    headers = {'Idempotency-Key': 'ack-same-daemon'}
    body = {'model': 'alarme-svc', 'prompt': 'alarm Gravata'}
    url = f'{get_daemon_url(cluster)}/v1/completions'
    first = call_json(url, body, headers)
    second = call_json(url, body, headers)
    assert first[2]['choices'] == second[2]['choices']
    assert count_executions(cluster, 'ack-same-daemon') == 1


def test_repeated_key_on_two_daemons_runs_once(cluster):
    """The load balancer may send a retry to another entry host."""
    headers = {'Idempotency-Key': 'renewal-two-daemons'}
    body = {'model': 'licence-records', 'prompt': 'renewal WHK 1'}
    for number in (1, 2):
        url = get_daemon_url(cluster, number)
        call_json(f'{url}/v1/completions', body, headers)
    assert count_executions(cluster, 'renewal-two-daemons') == 1


@contextlib.contextmanager
def log_outage(cluster):
    faults = f'{cluster.url(LOG)}/admin/faults'
    call_json(faults, {'outage_ms': 3000})
    try:
        yield
    finally:
        call_json(faults, {'outage_ms': 0})


def test_log_outage_rejects_requests_that_need_journal_at_once(cluster):
    """Asynchronous and non-idempotent requests need the journal.

    Without the log they get 503 with ``Retry-After`` and are not run.
    """
    url = f'{get_daemon_url(cluster)}/v1/completions'
    asynchronous = (
        {'model': 'pearrun-oficina', 'prompt': 'later'},
        {'Prefer': 'respond-async'},
    )
    non_idempotent = (
        {'model': 'alarme-svc', 'prompt': 'alarm'},
        {'Idempotency-Key': 'during-outage'},
    )
    with log_outage(cluster):
        for sent, extra in (asynchronous, non_idempotent):
            started = time.monotonic()
            status, headers, body = call_json(url, sent, extra)
            elapsed = time.monotonic() - started
            assert (status, body['error']['code']) == (503, 1402)
            assert body['error']['not_run']
            assert int(headers['Retry-After']) >= 1
            assert elapsed < 1.0
    assert count_executions(cluster, 'during-outage') == 0


def test_log_outage_still_serves_synchronous_requests(cluster):
    with log_outage(cluster):
        status, headers, body = complete(cluster, 'during outage')
    assert status == 200
    assert headers['X-Pearrun-Durable'] == 'false'
    assert body['choices'][0]['text'] == text.generate_answer(
        'during outage', 0, 12
    )


def test_invalid_settings_stop_daemon_with_error_code(tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text('host:\n  name: x\n  zone: z\n  listen: {port: 0}\n')
    done = subprocess.run(
        [os.path.join(BIN_DIR, 'pearrund'), f'--settings={path}'],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2
    assert '1102' in done.stderr
    assert 'host.listen.port' in done.stderr


def test_request_is_found_through_other_host(cluster):
    _, _, body = complete(cluster, 'asked at one host')
    _, _, status = call_json(
        f'{get_daemon_url(cluster, 2)}/v1/requests/{body["id"]}'
    )
    assert status['text'] == text.generate_answer('asked at one host', 0, 12)


def test_stream_resumes_at_token_through_other_host(cluster):
    _, headers, _ = complete(cluster, 'to be resumed')
    url = f'{get_daemon_url(cluster, 2)}/v1/requests/{headers["X-Request-Id"]}'
    _, _, raw = call(f'{url}?stream=true&from=5')
    events = [
        json.loads(line[6:])
        for line in raw.decode().splitlines()
        if line.startswith('data: {')
    ]
    tokens = [e['token'] for e in events if 'choices' in e]
    assert tokens == text.generate_tokens('to be resumed', 0, 12, start=5)


def test_invalid_resume_index_gets_code_1200(cluster):
    _, headers, _ = complete(cluster, 'resumed badly')
    url = f'{get_daemon_url(cluster)}/v1/requests/{headers["X-Request-Id"]}'
    status, _, body = call_json(f'{url}?stream=true&from=x')
    assert (status, body['error']['code']) == (400, 1200)


def test_reused_key_with_another_body_gets_code_1204(cluster):
    headers = {'Idempotency-Key': 'reused'}
    for number, prompt, status in (
        (1, 'a', 200),
        (1, 'b', 422),
        (2, 'b', 422),
    ):
        body = {'model': 'alarme-svc', 'prompt': prompt}
        url = f'{get_daemon_url(cluster, number)}/v1/completions'
        got = call_json(url, body, headers)
        assert got[0] == status
        if status != 200:
            assert got[2]['error']['code'] == 1204
    assert count_executions(cluster, 'reused') == 1


def test_simultaneous_requests_with_one_key_run_once(cluster):
    """A retry may arrive while the first request is being journaled."""
    headers = {'Idempotency-Key': 'at-once'}
    body = {'model': 'alarme-svc', 'prompt': 'alarm at once'}
    urls = [f'{get_daemon_url(cluster, n)}/v1/completions' for n in (1, 2)] * 4
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda u: call_json(u, body, headers), urls))
    assert [a[0] for a in answers] == [200] * 8
    assert len({a[2]['choices'][0]['text'] for a in answers}) == 1
    assert count_executions(cluster, 'at-once') == 1
