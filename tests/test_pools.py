"""Division of an endpoint's connections among the hosts."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pearrun.decisions.connectionshare import USED_SHARE
from pearrun.ids import ServiceName
from pearrun.shared.configuration import Service
from pearrun.shared.pools import EndpointPools
from tests.test_ratelimit import make_fleet

SERVICE = Service(ServiceName('plain'), max_connections=630)


def test_pool_created_before_the_hosts_are_listed_is_limited_later():
    # It kept the limit of a host that is alone.
    hosts = [1]
    pools = EndpointPools(lambda: hosts[0], connect=print)
    record = make_fleet().endpoints['p1'].record
    pools.get(record, SERVICE)
    hosts[0] = 9
    pool = pools.get(record, SERVICE)
    total = hosts[0] * pool.settings.max_connections
    assert total <= SERVICE.max_connections * USED_SHARE


def get_limit(hosts, others_calls, open_connections):
    """Return the limit of a host's pool with some open connections."""
    pools = EndpointPools(
        lambda: hosts, print, lambda endpoint_id: others_calls
    )
    record = make_fleet().endpoints['p1'].record
    pools.get(record, SERVICE).open_connections = open_connections
    return pools.get(record, SERVICE).settings.max_connections


@pytest.mark.parametrize('hosts', [9, 84, 300])
def test_a_host_with_most_of_the_traffic_is_not_held_to_an_equal_share(hosts):
    equal = get_limit(hosts, 0, 0)
    assert get_limit(hosts, 0, equal) >= 100
    # In a partition the use of the others is unknown.
    assert get_limit(hosts, None, equal) == equal
    # The others use what there is.
    assert get_limit(hosts, SERVICE.max_connections, equal) == equal


@given(hosts=st.integers(2, 300), busy=st.integers(1, 4))
def test_busy_hosts_together_keep_to_the_limit(hosts, busy):
    # Each busy host hears of the calls that the others have had so far.
    busy = min(busy, hosts)
    equal = get_limit(hosts, 0, 0)
    used = [0] * busy
    for _ in range(20):
        for number in range(busy):
            others = sum(used) - used[number]
            used[number] = get_limit(hosts, others, equal)
    assert sum(used) <= max(SERVICE.max_connections, hosts * equal)
