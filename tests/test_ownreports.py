"""Subtraction of a host's own reports from its hub's sums."""

from hypothesis import given
from hypothesis import strategies as st

from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import RegressionSums
from pearrun.decisions.topology import LinkPlan
from pearrun.run import Run
from pearrun.shared import loads
from pearrun.shared import reportcodec
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.members import Member
from pearrun.shared.ownreports import MAX_REPORTS
from pearrun.shared.ownreports import OwnReports
from pearrun.shared.prompts import PromptPlacement
from pearrun.shared.quotas import AdmittedUnits
from pearrun.shared.reporter import Reporter
from pearrun.shared.reportreceiver import ReportReceiver
from tests.platformsite import configure
from tests.platformsite import make_customer
from tests.platformsite import make_host_context
from tests.reportbuilders import make_report

HUB = Run('hub', 1, 'zone-a', True)
OWN = Run('h', 1, 'zone-a')
ENDPOINTS = [f'i-{number:010d}@1700000000000' for number in range(50)]
CUSTOMERS = [f'customer-{number}' for number in range(19)]
LOADS = st.dictionaries(
    st.sampled_from(ENDPOINTS[:4]),
    st.builds(Load, st.integers(1, 9), st.integers(0, 9000)),
)


@given(st.lists(LOADS, min_size=2, max_size=6))
def test_remaining_load_is_that_of_the_other_hosts(hosts):
    own, *others = hosts
    own_reports = OwnReports()
    own_reports.add(make_report(OWN, 7, loads=own))
    sums = make_report(HUB, 3, loads=loads.add_loads(hosts))
    left = own_reports.subtract_from(sums, 7).loads
    assert left == loads.add_loads(others)


def test_own_demand_and_engine_samples_are_subtracted():
    own_reports = OwnReports()
    demand = Demand(2.0, 100.0, 5000.0, 600)
    samples = RegressionSums(3.0, 30.0, 60.0, 900.0, 1800.0)
    own_reports.add(
        make_report(OWN, 1, demands={'s': demand}, engines={'s': samples})
    )
    sums = make_report(
        HUB,
        1,
        demands={'s': Demand(5.0, 300.0, 9000.0, 600)},
        engines={
            's': samples.combine(RegressionSums(1.0, 2.0, 3.0, 4.0, 5.0))
        },
    )
    left = own_reports.subtract_from(sums, 1)
    assert left.demands['s'] == Demand(3.0, 200.0, 4000.0, 600)
    assert left.engines['s'] == RegressionSums(1.0, 2.0, 3.0, 4.0, 5.0)


@given(
    st.lists(
        st.tuples(st.integers(0, 9000), st.integers(0, 9000)),
        min_size=2,
        max_size=20,
    ),
    st.integers(1, 5),
    st.integers(1, 5),
)
def test_totals_grow_by_what_the_others_admit(steps, first, lag):
    """The hub counts from the first report that it has received."""
    own_reports = OwnReports()
    own_total = others_total = 0.0
    kept = {}
    seen = []
    for number, (own, others) in enumerate(steps, start=1):
        own_total += own
        others_total += others
        kept[number] = own_total
        own_reports.add(
            make_report(
                OWN, number, admitted={'c': AdmittedUnits(own_total, 0.0)}
            )
        )
        covered = number - lag if number - lag >= first else None
        included = kept[covered] - kept[first] if covered else 0.0
        sums = make_report(
            HUB,
            number,
            admitted={'c': AdmittedUnits(others_total + included, 0.0)},
        )
        left = own_reports.subtract_from(sums, covered).admitted['c'].total
        seen.append((others_total, left))
    for (others, left), (others_next, left_next) in zip(
        seen, seen[1:], strict=False
    ):
        assert left_next - left == others_next - others


def test_last_covered_report_is_subtracted_while_the_hub_gets_none():
    own_reports = OwnReports()
    own_reports.add(make_report(OWN, 1))
    own_reports.subtract_from(make_report(HUB, 1), 1)
    own_reports.add(
        make_report(OWN, 2, admitted={'c': AdmittedUnits(500.0, 9.0)})
    )
    sums = make_report(HUB, 2, admitted={'c': AdmittedUnits(800.0, 12.0)})
    assert own_reports.subtract_from(sums, 2).admitted['c'] == AdmittedUnits(
        300.0, 3.0
    )
    assert own_reports.subtract_from(sums, None).admitted['c'].total == 300.0


def test_sums_that_cover_an_expired_report_are_rejected():
    own_reports = OwnReports()
    for number in range(1, MAX_REPORTS + 2):
        own_reports.add(make_report(OWN, number))
    assert own_reports.subtract_from(make_report(HUB, 1), 1) is None


def make_receiver():
    """Return the receiver of a host of zone-a that is not a hub."""
    host = make_host_context()
    configure(host, tenants=[make_customer(name) for name in CUSTOMERS])
    return ReportReceiver(host, None)


def test_a_host_does_not_count_its_own_calls_twice():
    receiver = make_receiver()
    receiver.own_reports.add(make_report(OWN, 4, loads={'e': Load(2, 100)}))
    messages = [
        reports.Coverage('hub', {'h': (1, 4), 'h2': (1, 9)}),
        make_report(HUB, 1, loads={'e': Load(5, 400), 'f': Load(1, 0)}),
    ]
    encoded = [reportcodec.encode(message) for message in messages]
    receiver.receive(reportcodec.encode_bundle('hub', True, encoded))
    assert receiver.host.loads.get('e') == Load(3, 300)
    assert receiver.host.loads.get('f') == Load(1, 0)
    assert 'h2' in receiver.host.members.reporting


def make_zone_report(run, number):
    """Return the encoded report of a busy host."""
    host_number = int(run.host[1:])
    chosen = [ENDPOINTS[(host_number * 3 + k) % 50] for k in range(3)]
    return reportcodec.encode(
        make_report(
            run,
            number,
            loads={endpoint_id: Load(3, 2000) for endpoint_id in chosen},
            admitted={name: AdmittedUnits(1e5, 500.0) for name in CUSTOMERS},
            placed=(PromptPlacement(chosen[0], ('aa', 'bb')),),
        )
    )


def measure_bundle_bytes(hosts):
    """Return the size of a hub's bundle for a host of its zone, in bytes."""
    receiver = make_receiver()
    plan = LinkPlan(False, True, True, frozenset(('plain',)))
    receiver.is_hub = True
    reporter = Reporter(receiver.host, 1, receiver)
    reporter.plan = plan
    for number in range(hosts):
        run = Run(f'h{number + 1}', 1, 'zone-a')
        encoded = make_zone_report(run, 1)
        receiver.receive(reportcodec.encode_bundle(run.host, False, [encoded]))
    member = Member('plain', '10.0.0.9:1', 'zone-a', 1)
    messages = reporter.select_messages(reporter._make_round(), member, None)
    return len(reporter.bundle(messages))


def test_hub_bundles_grow_less_than_the_zone():
    assert measure_bundle_bytes(40) < 1.6 * measure_bundle_bytes(20)
