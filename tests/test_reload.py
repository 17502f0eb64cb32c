"""SIGHUP: settings read again, bad ones refused, the good ones kept."""

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
    with open(path, 'w', encoding='utf-8') as handle:
        yaml.safe_dump(settings, handle)
    cluster.signal(DAEMON, 'HUP')


def endpoints(cluster):
    return {e['id']: e['state'] for e in cluster.status(DAEMON)['endpoints']}


def log_of(cluster):
    path = os.path.join(cluster.workdir, f'{DAEMON}.log')
    with open(path, encoding='utf-8') as handle:
        return handle.read()


def test_bad_file_changes_nothing_and_good_one_is_taken(cluster):
    before = endpoints(cluster)
    settings = cluster.daemon_settings(DAEMON)
    broken = dict(settings, endpoints=[{'id': 'x', 'zone': 7}])
    write_settings(cluster, broken)
    wait_until(lambda: '1102' in log_of(cluster), what='error 1102 logged')
    assert endpoints(cluster) == before

    removed = settings['endpoints'].pop(0)
    write_settings(cluster, settings)
    wait_until(
        lambda: endpoints(cluster)[removed['id']] == 'leaving',
        what='endpoint taken out',
    )
    body = {'model': 'pearrun-oficina', 'prompt': 'p', 'max_tokens': 4}
    url = f'{cluster.url(DAEMON)}/v1/completions'
    assert call_json(url, body)[0] == 200
