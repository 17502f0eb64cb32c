"""Quotas of customers while failure domains are cut off from each other."""

import pytest

from pearrun.run import Run
from pearrun.shared.quotas import AdmittedUnits
from pearrun.shared.quotas import Quotas
from tests.builders import ManualClock
from tests.platformsite import configure
from tests.platformsite import make_customer
from tests.platformsite import make_host_context
from tests.test_quota_cost import QuotaCall

NAME = 'bea'
RATE = 20_000
BURST = 20_000
CUT_OFF = [Run(f'b{number}', 1, 'zone-b') for number in range(3)]
RESTARTED = Run('b0', 2, 'zone-b')


class CutOffHost:
    """A host that the hosts of zone-b have reported to until now."""

    def __init__(self):
        host = make_host_context()
        configure(host, tenants=[make_customer(NAME, RATE, BURST)])
        self.clock = ManualClock()
        self.clock.advance(60_000)
        self.quotas = Quotas(
            self.clock,
            host.config,
            host.settings.quota,
            host.members,
            host.feed,
        )
        self.quotas.started_ms = 0
        self.customer = host.config.current.customers[NAME]
        self.total = 0.0
        for _ in range(20):
            self.report(CUT_OFF)

    def report(self, runs):
        """Apply reports of runs that use a third of the limit each."""
        self.clock.advance(200)
        self.total += RATE * 0.2 / 3
        for run in runs:
            units = AdmittedUnits(self.total, RATE / 3)
            self.quotas.put_report(run, {NAME: units})

    def refuse(self, runs):
        """Record that connections to hosts are refused."""
        for run in runs:
            self.quotas.suspend(run)
            self.quotas.remove(run)

    def count_admitted(self, seconds):
        """Return the units admitted of more calls than the limit allows."""
        admitted = 0
        for _ in range(int(seconds * 20)):
            self.clock.advance(50)
            while self.quotas.admit(QuotaCall(self.customer, 500)):
                admitted += 500
        return admitted


def test_both_sides_of_a_cut_that_refuses_connections_share_the_quota():
    host = CutOffHost()
    host.refuse(CUT_OFF)
    # All of the limit was used on the other side.
    assert host.count_admitted(8) <= 2 * BURST


@pytest.mark.parametrize('runs', [CUT_OFF[1:], [RESTARTED]])
def test_quota_of_an_ended_host_is_free_once_its_domain_reports(runs):
    host = CutOffHost()
    host.refuse(CUT_OFF[:1])
    for _ in range(5):
        host.report(runs)
    assert CUT_OFF[0] not in host.quotas.buckets[NAME].peers


def test_quota_of_a_host_that_left_the_list_is_free():
    host = CutOffHost()
    host.refuse(CUT_OFF)
    host.quotas.end_suspension(CUT_OFF[0])
    host.quotas.remove(CUT_OFF[0])
    assert CUT_OFF[0] not in host.quotas.buckets[NAME].peers


def test_reports_sent_before_the_cut_free_no_quota():
    host = CutOffHost()
    host.refuse(CUT_OFF)
    host.report(CUT_OFF[:1])
    host.refuse(CUT_OFF[:1])
    assert set(host.quotas.buckets[NAME].peers) == set(CUT_OFF)


@pytest.mark.parametrize(
    ('age_ms', 'started_ms', 'counted'),
    [
        (0, -60_000, 0),
        (0, -500, 9000),
        (0, 3000, 9000),
        (60_000, 59_000, 9000),
        # It had been forgotten, and reports again after a partition.
        (60_000, 0, 0),
    ],
)
def test_units_of_hosts_started_with_this_one_count_from_their_start(
    age_ms, started_ms, counted
):
    # After a loss of all hosts, what each had admitted before its first
    # report was used again by the others.
    host = CutOffHost()
    host.quotas.started_wall_ms -= age_ms
    run = Run('c0', host.quotas.started_wall_ms + started_ms, 'zone-c')
    host.quotas.put_report(run, {NAME: AdmittedUnits(9000.0, 0.0)})
    assert host.quotas.buckets[NAME].peers[run].used == counted
