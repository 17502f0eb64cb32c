"""CPU cost of quota enforcement on a host of a large fleet."""

import dataclasses

import pytest

from pearrun.decisions import quota
from pearrun.run import Run
from pearrun.shared.configuration import Customer
from pearrun.shared.members import Member
from pearrun.shared.quotas import AdmittedUnits
from tests.platformsite import configure
from tests.platformsite import make_customer
from tests.platformsite import make_host_context

HOSTS = 195
CUSTOMERS = [f'customer-{number}' for number in range(19)]
RUN = Run('h1', 1, 'zone-a')


def make_large_fleet_host():
    """Return the :class:`HostContext` of one host of a large fleet."""
    host = make_host_context()
    configure(host, tenants=[make_customer(name) for name in CUSTOMERS])
    for number in range(HOSTS):
        host.members.put(Member(f'h{number}', f'10.0.0.{number}:1', 'z', 1))
    host.members.listed = True
    return host


def count_calls(monkeypatch, host, name):
    """Count the calls of a method of the host's :class:`Members`.

    :returns: a list that grows by one item with each call.
    """
    calls = []
    method = getattr(host.members, name)
    monkeypatch.setattr(
        host.members, name, lambda: calls.append(name) or method()
    )
    return calls


def test_a_host_with_reports_of_all_hosts_keeps_its_full_share():
    """It keeps the share even while reports arrive through another hub."""
    host = make_large_fleet_host()
    now = host.clock.now()
    host.quotas.started_ms = now - 1000
    assert host.quotas._compute_share(now) < 0.1
    for number in range(HOSTS):
        host.members.note_report(f'h{number}')
    assert host.quotas._compute_share(now) == 1.0
    host.members.reporting.clear()
    assert host.quotas._compute_share(now) == 1.0


def put_report(host):
    """Apply a report of another host about all customers."""
    admitted = {name: AdmittedUnits(100.0, 10.0) for name in CUSTOMERS}
    host.quotas.put_report(RUN, admitted)


@pytest.mark.parametrize(
    ('age_ms', 'max_counts'), [(1000, 1), (quota.STARTUP_MS + 1, 0)]
)
def test_a_report_counts_the_hosts_at_most_once(
    monkeypatch, age_ms, max_counts
):
    """Each host receives reports of all hosts several times a second."""
    host = make_large_fleet_host()
    host.quotas.started_ms = host.clock.now() - age_ms
    counted = count_calls(monkeypatch, host, 'count_reporting')
    listed = count_calls(monkeypatch, host, 'others')
    put_report(host)
    assert len(host.quotas.buckets) == len(CUSTOMERS)
    assert len(counted) <= max_counts
    assert not listed


@dataclasses.dataclass(frozen=True)
class QuotaCall:
    """The part of a call that its customer's quota depends on."""

    customer: Customer
    units: float


def count_admitted_after_restart(restarted, reporting=HOSTS):
    """Return how many of ten calls a host admits just after its start.

    :param restarted: how many of the hosts have started with it.
    :param reporting: how many of them have reported.
    """
    host = make_large_fleet_host()
    own = host.members.own_name
    for number in range(HOSTS):
        started_ms = 60_000 if number < restarted else 1
        host.members.put(Member(f'h{number}', '10.0.0.1:1', 'z', started_ms))
    host.members.put(Member(own, '10.0.0.1:1', 'z', 60_000))
    host.members.listed = False
    host.quotas.started_ms = host.clock.now()
    customer = host.config.current.customers[CUSTOMERS[0]]
    # Before the list of hosts is read.
    host.quotas.admit(QuotaCall(customer, 200))
    host.members.listed = True
    for number in range(reporting):
        host.members.note_report(f'h{number}')
    # The others use 0.55 of the limit.
    report = {CUSTOMERS[0]: AdmittedUnits(1.0, 0.55 * customer.rate_per_s)}
    host.quotas.put_report(RUN, report)
    return sum(host.quotas.admit(QuotaCall(customer, 2000)) for _ in range(10))


def test_customer_below_its_limit_is_served_after_a_loss_of_all_hosts():
    # The level of a bucket created before the hosts had heard of each other
    # stayed at a twentieth, and a fifth of the calls was rejected.
    assert count_admitted_after_restart(HOSTS) == 10


def test_host_that_was_replaced_does_not_delay_the_level_of_buckets():
    assert count_admitted_after_restart(HOSTS - 2, reporting=HOSTS - 2) == 10


def test_host_that_starts_alone_assumes_nothing_of_the_quota():
    assert count_admitted_after_restart(HOSTS // 2) <= 1
