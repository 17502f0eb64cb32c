"""What quotas cost a host of a large fleet."""

import pytest

from pearrun.decisions import quota
from pearrun.shared.members import Member
from pearrun.shared.quotas import Admitted
from pearrun.shared.run import Run
from tests.platformsite import configure
from tests.platformsite import make_host_context
from tests.platformsite import make_tenant

HOSTS = 195
CUSTOMERS = [f'customer-{number}' for number in range(19)]
RUN = Run('h1', 1, 'zone-a')


def make_large_fleet_host():
    """Return the shared objects of one of many hosts."""
    host = make_host_context()
    configure(host, tenants=[make_tenant(name) for name in CUSTOMERS])
    for number in range(HOSTS):
        host.members.put(Member(f'h{number}', f'10.0.0.{number}:1', 'z', 1))
    host.members.listed = True
    return host


def count_calls(monkeypatch, host, name):
    """Have the calls of a method of the host's members counted."""
    calls = []
    method = getattr(host.members, name)
    monkeypatch.setattr(
        host.members, name, lambda: calls.append(name) or method()
    )
    return calls


def test_a_host_that_has_heard_all_keeps_its_part_of_the_limits():
    """Also while it hears some of them through another hub."""
    host = make_large_fleet_host()
    now = host.clock.now()
    host.quotas.started_ms = now - 1000
    assert host.quotas._start_share(now) < 0.1
    for number in range(HOSTS):
        host.members.note_heard(f'h{number}')
    assert host.quotas._start_share(now) == 1.0
    host.members.heard.clear()
    assert host.quotas._start_share(now) == 1.0


def put_report(host):
    """Take another host's report of all customers."""
    admitted = {name: Admitted(100.0, 10.0) for name in CUSTOMERS}
    host.quotas.put_report(RUN, admitted)


@pytest.mark.parametrize(
    ('age_ms', 'most'), [(1000, 1), (quota.STARTUP_MS + 1, 0)]
)
def test_a_report_has_the_hosts_counted_once_at_the_most(
    monkeypatch, age_ms, most
):
    """Reports of all hosts come several times a second."""
    host = make_large_fleet_host()
    host.quotas.started_ms = host.clock.now() - age_ms
    counted = count_calls(monkeypatch, host, 'count_heard')
    listed = count_calls(monkeypatch, host, 'others')
    put_report(host)
    assert len(host.quotas.buckets) == len(CUSTOMERS)
    assert len(counted) <= most
    assert not listed
