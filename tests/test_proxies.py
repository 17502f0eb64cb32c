"""Detection of lost paths, and the choice of hosts to use instead."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.decisions import proxies
from pearrun.decisions.directpaths import DirectPaths
from pearrun.decisions.proxies import ProxyTable


@pytest.mark.parametrize('count', [1, 2, 3, 45])
def test_paths_are_suspected_only_if_several_endpoints_fail(count):
    live = [f'e{number}' for number in range(count)]
    paths = DirectPaths()
    assert not paths.is_suspect(live)
    for endpoint_id in live[: min(2, count)]:
        assert not paths.is_suspect(live)
        paths.note_unreached(endpoint_id)
    assert paths.is_suspect(live)
    paths.note_connected()
    assert not paths.is_suspect(live)


def test_endpoints_that_have_left_raise_no_suspicion():
    paths = DirectPaths()
    paths.note_unreached('e1')
    paths.note_unreached('e2')
    assert not paths.is_suspect(['e3', 'e4'])
    assert not paths.is_suspect([])


def test_probes_prefer_endpoints_that_have_not_failed():
    paths = DirectPaths()
    paths.note_unreached('e1')
    assert set(paths.choose_probes(['e1', 'e2', 'e3'])) == {'e2', 'e3'}
    assert paths.choose_probes(['e1']) == ['e1']
    assert paths.choose_probes([]) == []


def search(table, names, working, now_ms):
    """Return the proxy that was found, if any, and the number of asked."""
    asked = set()
    while table.may_search(now_ms) and len(asked) < 5:
        name = table.choose(names, asked, now_ms)
        if name is None:
            break
        asked.add(name)
        if name in working:
            table.note_working(name)
            return name, len(asked)
        table.note_unavailable(name, now_ms)
    if asked:
        table.note_search_failed(now_ms)
    return None, len(asked)


@given(st.integers(1, 300), st.integers(0, 2**32))
def test_hosts_are_rarely_asked_if_none_has_paths(hosts, seed):
    names = [f'h{number}' for number in range(hosts)]
    table = ProxyTable(random.Random(seed))
    asked = 0
    for now_ms in range(0, 10_000, 10):
        asked += search(table, names, (), now_ms)[1]
    assert asked <= 5 * (4 + 10_000 / proxies.MAX_PAUSE_MS)


@pytest.mark.parametrize('hosts, cut', [(9, 6), (9, 8), (84, 28), (300, 200)])
def test_a_proxy_is_found_soon_and_used_from_then_on(hosts, cut):
    names = [f'h{number}' for number in range(hosts)]
    for seed in range(50):
        rng = random.Random(seed)
        table = ProxyTable(rng)
        now_ms = 0
        while search(table, names[1:], names[cut:], now_ms)[0] is None:
            now_ms += 50
        assert now_ms <= 2000
        for _ in range(100):
            now_ms += 50
            found = search(table, names[1:], names[cut:], now_ms)
            if cut <= hosts // 2:
                assert found[0] is not None


def test_hosts_of_a_failure_domain_spread_their_calls_over_others():
    names = [f'h{number}' for number in range(84)]
    load = collections.Counter()
    for number in range(28):
        table = ProxyTable(random.Random(number))
        in_use = []
        for now_ms in range(0, 2000, 100):
            name, _ = search(table, names, names[28:], now_ms)
            if name is not None:
                table.begin(name)
                load[name] += 1
                in_use.append(name)
            if len(in_use) > 4:
                table.end(in_use.pop(0))
    total = sum(load.values())
    assert total > 28 * 15
    assert max(load.values()) < total / 10


@given(st.lists(st.sampled_from(['h1', 'h2', 'h3']), max_size=20))
def test_unavailable_hosts_are_not_asked_for_a_while(failures):
    table = ProxyTable(random.Random(1))
    for name in failures:
        table.note_unavailable(name, 100)
    chosen = table.choose(['h1', 'h2', 'h3'], set(), 200)
    assert chosen not in failures
    later_ms = 100 + proxies.UNAVAILABLE_MS
    assert table.choose(['h1', 'h2', 'h3'], set(), later_ms) is not None
