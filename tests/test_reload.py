"""Reload on SIGHUP: invalid settings are rejected, the old ones kept."""

import os

import pytest
import yaml

from tests.cluster import call_json
from tests.cluster import Cluster
from tests.cluster import wait_until
from tests.cluster import Zone

DAEMON = 'khomas-a-1'


@pytest.fixture
def cluster(tmp_path):
    started = Cluster(tmp_path, {'khomas-a': Zone(engines=2)})
    yield started.start_all()
    started.stop()


def write_settings(cluster, settings):
    path = os.path.join(cluster.workdir, f'{DAEMON}.yaml')
    with open(path, 'w', encoding='utf-8') as file:
        yaml.safe_dump(settings, file)
    cluster.signal(DAEMON, 'HUP')


def get_endpoint_states(cluster):
    return {e['id']: e['state'] for e in cluster.status(DAEMON)['endpoints']}


def read_log(cluster):
    path = os.path.join(cluster.workdir, f'{DAEMON}.log')
    with open(path, encoding='utf-8') as file:
        return file.read()


def test_invalid_file_is_ignored_and_valid_one_applied(cluster):
    before = get_endpoint_states(cluster)
    settings = cluster.daemon_settings(DAEMON)
    invalid = dict(settings, endpoints=[{'id': 'x', 'zone': 7}])
    write_settings(cluster, invalid)
    wait_until(lambda: '1102' in read_log(cluster), what='error 1102 logged')
    assert get_endpoint_states(cluster) == before

    removed = settings['endpoints'].pop(0)
    write_settings(cluster, settings)
    wait_until(
        lambda: get_endpoint_states(cluster)[removed['id']] == 'leaving',
        what='endpoint leaving',
    )
    body = {'model': 'pearrun-oficina', 'prompt': 'p', 'max_tokens': 4}
    url = f'{cluster.url(DAEMON)}/v1/completions'
    assert call_json(url, body)[0] == 200
