"""The whole path in real processes on 127.0.0.1."""

import concurrent.futures
import contextlib
import json
import os
import subprocess
import time

import pytest

from pearrun.standins import text
from tests.cluster import BIN
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
    yield started.begin()
    started.stop()


def daemon_url(cluster, number=1):
    return cluster.url(f'boa-viagem-{number}')


def completion(cluster, prompt, daemon=1, **extra):
    body = {'model': 'pearrun-oficina', 'prompt': prompt, 'max_tokens': 12}
    body.update(extra)
    return call_json(f'{daemon_url(cluster, daemon)}/v1/completions', body)


def test_whole_answer(cluster):
    status, _, body = completion(cluster, 'fault log site one', user=None)
    assert status == 200
    assert body['choices'][0]['text'] == text.generate_answer(
        'fault log site one', 0, 12
    )


def test_streamed_answer_is_whole_and_in_order(cluster):
    body = {
        'model': 'permit-assistant',
        'prompt': 'driver file 7',
        'max_tokens': 20,
        'stream': True,
    }
    status, _, raw = call(f'{daemon_url(cluster, 2)}/v1/completions', body)
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


def test_bad_body_gets_code_1200(cluster):
    status, _, body = call_json(
        f'{daemon_url(cluster)}/v1/completions', {'prompt': 3}
    )
    assert status == 400
    assert body['error']['code'] == 1200


def test_unknown_service_gets_code_1201(cluster):
    status, _, body = call_json(
        f'{daemon_url(cluster)}/v1/completions',
        {'model': 'no-such', 'prompt': 'x'},
    )
    assert (status, body['error']['code']) == (404, 1201)


def test_unknown_request_id_gets_code_1300(cluster):
    status, _, body = call_json(f'{daemon_url(cluster)}/v1/requests/nope')
    assert (status, body['error']['code']) == (404, 1300)


def test_status_by_id_has_the_whole_answer(cluster):
    _, _, body = completion(cluster, 'status check')
    _, _, status = call_json(f'{daemon_url(cluster)}/v1/requests/{body["id"]}')
    assert status['state'] == 'done'
    assert status['text'] == text.generate_answer('status check', 0, 12)


def test_non_idempotent_without_key_gets_code_1203(cluster):
    status, _, body = call_json(
        f'{daemon_url(cluster)}/v1/completions',
        {'model': 'alarme-svc', 'prompt': 'alarm'},
    )
    assert (status, body['error']['code']) == (400, 1203)


def executions(cluster, key):
    _, _, body = call_json(f'{cluster.url(SERVICE)}/v1/executions')
    return sum(n for k, n in body['executions'].items() if key in k)


def test_repeated_key_on_one_daemon_runs_once(cluster):
    headers = {'Idempotency-Key': 'ack-same-daemon'}
    body = {'model': 'alarme-svc', 'prompt': 'alarm Gravata'}
    url = f'{daemon_url(cluster)}/v1/completions'
    first = call_json(url, body, headers)
    second = call_json(url, body, headers)
    assert first[2]['choices'] == second[2]['choices']
    assert executions(cluster, 'ack-same-daemon') == 1


def test_repeated_key_on_two_daemons_runs_once(cluster):
    """The balancer may send a retry to another entry host."""
    headers = {'Idempotency-Key': 'renewal-two-daemons'}
    body = {'model': 'licence-records', 'prompt': 'renewal WHK 1'}
    for number in (1, 2):
        url = daemon_url(cluster, number)
        call_json(f'{url}/v1/completions', body, headers)
    assert executions(cluster, 'renewal-two-daemons') == 1


@contextlib.contextmanager
def log_outage(cluster):
    faults = f'{cluster.url(LOG)}/admin/faults'
    call_json(faults, {'outage_ms': 3000})
    try:
        yield
    finally:
        call_json(faults, {'outage_ms': 0})


def test_log_outage_refuses_promises_at_once_with_retry_after(cluster):
    """What cannot be promised: an answer later, or one call at most."""
    url = f'{daemon_url(cluster)}/v1/completions'
    promise = (
        {'model': 'pearrun-oficina', 'prompt': 'later'},
        {'Prefer': 'respond-async'},
    )
    once = (
        {'model': 'alarme-svc', 'prompt': 'alarm'},
        {'Idempotency-Key': 'during-outage'},
    )
    with log_outage(cluster):
        for sent, extra in (promise, once):
            started = time.monotonic()
            status, headers, body = call_json(url, sent, extra)
            elapsed = time.monotonic() - started
            assert (status, body['error']['code']) == (503, 1402)
            assert body['error']['not_run']
            assert int(headers['Retry-After']) >= 1
            assert elapsed < 1.0
    assert executions(cluster, 'during-outage') == 0


def test_log_outage_still_serves_callers_who_wait(cluster):
    with log_outage(cluster):
        status, headers, body = completion(cluster, 'during outage')
    assert status == 200
    assert headers['X-Pearrun-Durable'] == 'false'
    assert body['choices'][0]['text'] == text.generate_answer(
        'during outage', 0, 12
    )


def test_bad_settings_file_stops_daemon_with_coded_error(tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text('host:\n  name: x\n  zone: z\n  listen: {port: 0}\n')
    done = subprocess.run(
        [os.path.join(BIN, 'pearrund'), f'--settings={path}'],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2
    assert '1102' in done.stderr
    assert 'host.listen.port' in done.stderr


def test_request_is_found_on_the_other_host(cluster):
    _, _, body = completion(cluster, 'asked at one host')
    _, _, status = call_json(
        f'{daemon_url(cluster, 2)}/v1/requests/{body["id"]}'
    )
    assert status['text'] == text.generate_answer('asked at one host', 0, 12)


def test_stream_resumes_by_id_from_a_token_on_the_other_host(cluster):
    _, headers, _ = completion(cluster, 'to be resumed')
    url = f'{daemon_url(cluster, 2)}/v1/requests/{headers["X-Request-Id"]}'
    _, _, raw = call(f'{url}?stream=true&from=5')
    events = [
        json.loads(line[6:])
        for line in raw.decode().splitlines()
        if line.startswith('data: {')
    ]
    tokens = [e['token'] for e in events if 'choices' in e]
    assert tokens == text.generate_tokens('to be resumed', 0, 12, start=5)


def test_bad_resume_index_gets_code_1200(cluster):
    _, headers, _ = completion(cluster, 'resumed badly')
    url = f'{daemon_url(cluster)}/v1/requests/{headers["X-Request-Id"]}'
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
        url = f'{daemon_url(cluster, number)}/v1/completions'
        got = call_json(url, body, headers)
        assert got[0] == status
        if status != 200:
            assert got[2]['error']['code'] == 1204
    assert executions(cluster, 'reused') == 1


def test_simultaneous_requests_with_one_key_run_once(cluster):
    """A retry may arrive while the first is still being journaled."""
    headers = {'Idempotency-Key': 'at-once'}
    body = {'model': 'alarme-svc', 'prompt': 'alarm at once'}
    urls = [f'{daemon_url(cluster, n)}/v1/completions' for n in (1, 2)] * 4
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda u: call_json(u, body, headers), urls))
    assert [a[0] for a in answers] == [200] * 8
    assert len({a[2]['choices'][0]['text'] for a in answers}) == 1
    assert executions(cluster, 'at-once') == 1
