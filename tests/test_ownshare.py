"""What a host leaves out of its hub's sums: its own part."""

from hypothesis import given
from hypothesis import strategies as st

from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import RegressionSums
from pearrun.decisions.topology import LinkPlan
from pearrun.shared import loads
from pearrun.shared import reports
from pearrun.shared.loads import Load
from pearrun.shared.members import Member
from pearrun.shared.ownshare import KEPT_REPORTS
from pearrun.shared.ownshare import OwnShare
from pearrun.shared.prompts import Placed
from pearrun.shared.quotas import Admitted
from pearrun.shared.reportboard import ReportBoard
from pearrun.shared.reporter import Reporter
from pearrun.shared.run import Run
from tests.platformsite import configure
from tests.platformsite import make_host_context
from tests.platformsite import make_tenant
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
def test_what_is_left_is_the_load_of_the_others(hosts):
    own, *others = hosts
    share = OwnShare()
    share.keep(make_report(OWN, 7, loads=own))
    sums = make_report(HUB, 3, loads=loads.add_loads(hosts))
    left = share.leave_out(sums, 7).loads
    assert left == loads.add_loads(others)


def test_demand_and_answers_of_its_own_are_left_out():
    share = OwnShare()
    demand = Demand(2.0, 100.0, 5000.0, 600)
    lines = RegressionSums(3.0, 30.0, 60.0, 900.0, 1800.0)
    share.keep(
        make_report(OWN, 1, demands={'s': demand}, engines={'s': lines})
    )
    sums = make_report(
        HUB,
        1,
        demands={'s': Demand(5.0, 300.0, 9000.0, 600)},
        engines={'s': lines.combine(RegressionSums(1.0, 2.0, 3.0, 4.0, 5.0))},
    )
    left = share.leave_out(sums, 1)
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
    """The hub counts from the report that it heard first, and later ones."""
    share = OwnShare()
    own_total = others_total = 0.0
    kept = {}
    seen = []
    for number, (own, others) in enumerate(steps, start=1):
        own_total += own
        others_total += others
        kept[number] = own_total
        share.keep(
            make_report(OWN, number, admitted={'c': Admitted(own_total, 0.0)})
        )
        covered = number - lag if number - lag >= first else None
        heard = kept[covered] - kept[first] if covered else 0.0
        sums = make_report(
            HUB, number, admitted={'c': Admitted(others_total + heard, 0.0)}
        )
        left = share.leave_out(sums, covered).admitted['c'].total
        seen.append((others_total, left))
    for (told, left), (told_next, left_next) in zip(
        seen, seen[1:], strict=False
    ):
        assert left_next - left == told_next - told


def test_sums_keep_what_was_told_last_while_the_hub_does_not_hear():
    share = OwnShare()
    share.keep(make_report(OWN, 1))
    share.leave_out(make_report(HUB, 1), 1)
    share.keep(make_report(OWN, 2, admitted={'c': Admitted(500.0, 9.0)}))
    sums = make_report(HUB, 2, admitted={'c': Admitted(800.0, 12.0)})
    assert share.leave_out(sums, 2).admitted['c'] == Admitted(300.0, 3.0)
    assert share.leave_out(sums, None).admitted['c'].total == 300.0


def test_sums_that_cover_a_report_long_past_are_left_aside():
    share = OwnShare()
    for number in range(1, KEPT_REPORTS + 2):
        share.keep(make_report(OWN, number))
    assert share.leave_out(make_report(HUB, 1), 1) is None


def make_board():
    """Return the board of a host of zone-a that is no hub."""
    host = make_host_context()
    configure(host, tenants=[make_tenant(name) for name in CUSTOMERS])
    return ReportBoard(host, None)


def test_a_host_does_not_count_its_own_calls_twice():
    board = make_board()
    board.own.keep(make_report(OWN, 4, loads={'e': Load(2, 100)}))
    messages = [
        reports.Coverage('hub', {'h': (1, 4), 'h2': (1, 9)}),
        make_report(HUB, 1, loads={'e': Load(5, 400), 'f': Load(1, 0)}),
    ]
    encoded = [reports.encode(message) for message in messages]
    board.take_encoded(reports.encode_bundle('hub', True, encoded))
    assert board.host.loads.get('e') == Load(3, 300)
    assert board.host.loads.get('f') == Load(1, 0)
    assert 'h2' in board.host.members.heard


def make_zone_report(run, number):
    """Return a busy host's report, encoded."""
    spread = int(run.host[1:])
    chosen = [ENDPOINTS[(spread * 3 + k) % 50] for k in range(3)]
    return reports.encode(
        make_report(
            run,
            number,
            loads={endpoint_id: Load(3, 2000) for endpoint_id in chosen},
            admitted={name: Admitted(1e5, 500.0) for name in CUSTOMERS},
            placed=(Placed(chosen[0], ('aa', 'bb')),),
        )
    )


def measure_told_bytes(hosts):
    """Return what a hub tells a host of its zone in a round, in bytes."""
    board = make_board()
    plan = LinkPlan(False, True, True, frozenset(('plain',)))
    board.is_hub = True
    reporter = Reporter(board.host, 1, board)
    reporter.plan = plan
    for number in range(hosts):
        run = Run(f'h{number + 1}', 1, 'zone-a')
        encoded = make_zone_report(run, 1)
        board.take_encoded(reports.encode_bundle(run.host, False, [encoded]))
    member = Member('plain', '10.0.0.9:1', 'zone-a', 1)
    messages = reporter.select(reporter._make(), member, None)
    return len(reporter.bundle(messages))


def test_what_a_host_is_told_hardly_grows_with_its_zone():
    assert measure_told_bytes(40) < 1.6 * measure_told_bytes(20)
