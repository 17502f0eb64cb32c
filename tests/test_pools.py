"""Division of an endpoint's connections among the hosts."""

from pearrun.ids import ServiceName
from pearrun.shared.configuration import Service
from pearrun.shared.pools import EndpointPools
from pearrun.shared.pools import USED_SHARE
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
