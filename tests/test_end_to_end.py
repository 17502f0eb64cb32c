"""The whole path in real processes on 127.0.0.1."""

import json
import os
import subprocess
import time
import urllib.error
import urllib.request

import pytest

from pearrun.standins import text
from tests import builders
from tests import processes


def call(url, body=None, headers=None, method=None):
    """Send a request; return ``(status, headers, parsed body)``."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers=headers or {}, method=method
    )
    if data is not None:
        request.add_header('Content-Type', 'application/json')
    try:
        with urllib.request.urlopen(request, timeout=30) as reply:
            raw = reply.read()
            return reply.status, reply.headers, raw
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()


def call_json(*args, **kwargs):
    status, headers, raw = call(*args, **kwargs)
    return status, headers, json.loads(raw)


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    workdir = str(tmp_path_factory.mktemp('cluster'))
    started = processes.start_cluster(workdir)
    tree = os.path.join(workdir, 'teams.yaml')
    with open(tree, 'w', encoding='utf-8') as handle:
        handle.write(builders.TEAM_TREE_YAML)
    subprocess.run(
        [
            os.path.join(processes.BIN, 'pearrun'),
            f'--log_url={started.log_url}',
            'config',
            'apply',
            tree,
        ],
        check=True,
    )
    deadline = time.monotonic() + 10
    for url in started.daemon_urls:
        while time.monotonic() < deadline:
            _, _, status = call_json(f'{url}/v1/status')
            if status['config_version'] >= 1:
                break
            time.sleep(0.05)
    yield started
    started.stop()


def completion(cluster, prompt, daemon=0, **extra):
    body = {'model': 'pearrun-oficina', 'prompt': prompt, 'max_tokens': 12}
    body.update(extra)
    return call_json(f'{cluster.daemon_urls[daemon]}/v1/completions', body)


def test_whole_answer(cluster):
    status, _, body = completion(cluster, 'fault log site one', user=None)
    assert status == 200
    assert body['choices'][0]['text'] == text.answer_text(
        'fault log site one', 0, 12
    )


def test_streamed_answer_is_whole_and_in_order(cluster):
    body = {
        'model': 'permit-assistant',
        'prompt': 'driver file 7',
        'max_tokens': 20,
        'stream': True,
    }
    status, _, raw = call(f'{cluster.daemon_urls[1]}/v1/completions', body)
    assert status == 200
    events = [
        json.loads(line[6:])
        for line in raw.decode().split('\n\n')
        if line.startswith('data: {')
    ]
    pieces = [e['choices'][0]['text'] for e in events if 'choices' in e]
    assert [e['index'] for e in events if 'choices' in e] == list(range(20))
    assert ''.join(pieces) == text.answer_text('driver file 7', 0, 20)
    assert events[-1]['state'] == 'done'


def test_bad_body_gets_code_1200(cluster):
    status, _, body = call_json(
        f'{cluster.daemon_urls[0]}/v1/completions', {'prompt': 3}
    )
    assert status == 400
    assert body['error']['code'] == 1200


def test_unknown_service_gets_code_1201(cluster):
    status, _, body = call_json(
        f'{cluster.daemon_urls[0]}/v1/completions',
        {'model': 'no-such', 'prompt': 'x'},
    )
    assert (status, body['error']['code']) == (404, 1201)


def test_unknown_request_id_gets_code_1300(cluster):
    status, _, body = call_json(f'{cluster.daemon_urls[0]}/v1/requests/nope')
    assert (status, body['error']['code']) == (404, 1300)


def test_status_by_id_has_the_whole_answer(cluster):
    _, _, body = completion(cluster, 'status check')
    _, _, status = call_json(
        f'{cluster.daemon_urls[0]}/v1/requests/{body["id"]}'
    )
    assert status['state'] == 'done'
    assert status['text'] == text.answer_text('status check', 0, 12)


def test_non_idempotent_without_key_gets_code_1203(cluster):
    status, _, body = call_json(
        f'{cluster.daemon_urls[0]}/v1/completions',
        {'model': 'alarme-svc', 'prompt': 'alarm'},
    )
    assert (status, body['error']['code']) == (400, 1203)


def executions(cluster, key):
    _, _, body = call_json(f'{cluster.service_url}/v1/executions')
    return sum(n for k, n in body['executions'].items() if key in k)


def test_repeated_key_on_one_daemon_runs_once(cluster):
    headers = {'Idempotency-Key': 'ack-same-daemon'}
    body = {'model': 'alarme-svc', 'prompt': 'alarm Gravata'}
    url = f'{cluster.daemon_urls[0]}/v1/completions'
    first = call_json(url, body, headers)
    second = call_json(url, body, headers)
    assert first[2]['choices'] == second[2]['choices']
    assert executions(cluster, 'ack-same-daemon') == 1


def test_repeated_key_on_two_daemons_runs_once(cluster):
    """The balancer may send a retry to another entry host."""
    headers = {'Idempotency-Key': 'renewal-two-daemons'}
    body = {'model': 'licence-records', 'prompt': 'renewal WHK 1'}
    for url in cluster.daemon_urls:
        call_json(f'{url}/v1/completions', body, headers)
    assert executions(cluster, 'renewal-two-daemons') == 1


def test_log_outage_refuses_at_once_with_retry_after(cluster):
    call_json(f'{cluster.log_url}/admin/faults', {'outage_ms': 1500})
    try:
        started = time.monotonic()
        status, headers, body = completion(cluster, 'during outage')
        elapsed = time.monotonic() - started
    finally:
        call_json(f'{cluster.log_url}/admin/faults', {'outage_ms': 0})
    assert (status, body['error']['code']) == (503, 1402)
    assert int(headers['Retry-After']) >= 1
    assert elapsed < 1.0


def test_bad_settings_file_stops_daemon_with_coded_error(tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text('host:\n  name: x\n  zone: z\n  listen: {port: 0}\n')
    done = subprocess.run(
        [os.path.join(processes.BIN, 'pearrund'), f'--settings={path}'],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2
    assert '1102' in done.stderr
    assert 'host.listen.port' in done.stderr
