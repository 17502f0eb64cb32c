"""Limits that all hosts share, at hosts that have not read the list."""

import pytest

from pearrun.clock import Clock
from pearrun.decisions.brittleness import Brittleness
from pearrun.decisions.connectionshare import USED_SHARE
from pearrun.duties.conductor import Conductor
from pearrun.ids import ServiceName
from pearrun.ids import Version
from pearrun.rollouts.orders import RolloutOrder
from pearrun.shared.configuration import Service
from pearrun.shared.members import Member
from pearrun.shared.members import Members
from pearrun.shared.trials import Trials
from tests.platformsite import make_host_context
from tests.test_ratelimit import make_fleet

HOSTS = 9
SERVICE = Service(ServiceName('plain'), max_connections=630)


def test_hosts_that_know_no_others_share_the_connections_of_an_endpoint():
    host = make_host_context()
    record = make_fleet().endpoints['p1'].record
    limit = 0
    for opened in range(SERVICE.max_connections):
        pool = host.pools.get(record, SERVICE)
        limit = pool.settings.max_connections
        if opened >= limit:
            break
        pool.open_connections = opened + 1
    assert HOSTS * limit <= SERVICE.max_connections * USED_SHARE


def test_hosts_that_know_no_others_share_the_slots_of_brittle_endpoints():
    host = make_host_context()
    endpoint = make_fleet().endpoints['p1']
    host.brittle.note_brittle('plain', Brittleness(3.0))
    started = 0
    while host.brittle.filter_allowed('plain', [endpoint]):
        host.brittle.take(endpoint)
        started += 1
    allowance = host.brittle._services['plain'].allowances[endpoint.id]
    turnover_ms = host.brittle._get_turnover_ms('plain')
    allowance.updated_ms -= turnover_ms
    host.brittle.filter_allowed('plain', [endpoint])
    assert HOSTS * allowance.calls <= endpoint.record.slots
    assert started == 1


def test_hosts_that_know_no_others_send_no_calls_that_test_a_quarantine():
    trials = Trials(Members(Clock(), 'host-1'))
    assert not trials.is_trial_host('part-a')
    trials.members.listed = True
    assert trials.is_trial_host('part-a')


@pytest.mark.parametrize('reporting', [0, 84])
def test_hosts_that_report_count_before_the_list_is_read(reporting):
    members = Members(Clock(), 'host-0')
    for number in range(1, reporting + 1):
        members.note_report(f'host-{number}')
    assert members.count_sharing() > max(HOSTS, reporting)
    members.put(Member('host-1', '', 'zone-a', 0))
    members.listed = True
    assert members.count_sharing() == 2


def test_calls_of_other_hosts_are_unknown_until_the_list_is_read():
    host = make_host_context()
    assert host.count_others_calls('p1') is None
    host.members.listed = True
    assert host.count_others_calls('p1') == 0


def test_service_is_not_idle_at_a_lease_holder_that_knows_no_others():
    host = make_host_context()
    conductor = Conductor(host, log=None, notify_peers=print)
    order = RolloutOrder(SERVICE.name, 1, Version('v2'), 10_000)
    host.evidence.count_runs = lambda service, number: 1
    assert not conductor._is_idle(order)
    host.members.listed = True
    assert conductor._is_idle(order)
