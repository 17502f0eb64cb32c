"""The lease and usage reports while the store comes back from copies."""

import asyncio

import cbor2
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
import pytest

from pearrun import exceptions
from pearrun.decisions import lease
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import LeaseView
from pearrun.decisions.lease import RecordKind
from pearrun.duties import duties as duties_module
from pearrun.platform import leaselog
from pearrun.platform.store import MAX_CONNECTIONS
from pearrun.platform.usagelog import UsageLog
from pearrun.positions import get_era
from pearrun.positions import get_offset
from pearrun.positions import make_position
from pearrun.positions import MAX_ERA
from pearrun.standins.platformstore import PlatformStore
from tests.drills import DrillSite
from tests.drills import make_store_client

WINDOW_MS = 1000
# A lease passes to another host within this time.
TAKEOVER_MS = lease.TAKEOVER_DELAY_MS + 1500


@pytest.fixture(autouse=True)
def retry_immediately(monkeypatch):
    monkeypatch.setattr(duties_module, 'SAVE_RETRY_MS', 0)


def make_site(*names):
    """Return a site whose first host holds the lease."""
    site = DrillSite(names)
    site.advance(TAKEOVER_MS, names[0])
    assert site.list_holders() == [site.hosts[names[0]]]
    return site


def count_and_report(site, holder, **counts):
    """Count calls in one window and let the holder report it.

    :param counts: number of calls by host; those of the holder are known to
        itself alone.
    :returns: the window's number.
    """
    window = site.clock.wall() // WINDOW_MS
    for name, count in counts.items():
        site.hosts[name].count_calls(count)
        site.hosts[name].report_to(site.hosts[holder])
    while not site.find_reports(window):
        site.advance(250, holder)
        site.hosts[holder].report_to(site.hosts[holder])
    return window


def succeed(site, name, *others):
    """Let another host take the lease and hear of the others' counts."""
    for _ in range(0, TAKEOVER_MS, 250):
        site.advance(250, name, *others)
        for other in (name, *others):
            site.hosts[other].report_to(site.hosts[name])
    assert site.hosts[name].duties.holds()


def check_reports(site):
    """Check that the reports of a window agree, and that tokens rise."""
    for report in site.reports:
        for counts in site.find_reports(report.window):
            assert counts == report.counts, 'window reported in two versions'
    tokens = [report.fencing for report in site.reports]
    assert tokens == sorted(tokens)
    owners = {}
    for report in site.reports:
        assert owners.setdefault(report.fencing, report.holder) == (
            report.holder
        ), 'two holders with one token'


def test_window_is_not_reported_again_by_the_successor_after_a_restore():
    # The record of the committed window and the entry that closes it were
    # lost together.
    site = make_site('a', 'b')
    copy = site.store.take_copy()
    count_and_report(site, 'a', a=5, b=3)
    site.store.restore(copy)
    succeed(site, 'b')
    check_reports(site)


def test_window_is_not_reported_again_after_a_restore_and_loss_of_all_hosts():
    site = make_site('a', 'b')
    window = site.clock.wall() // WINDOW_MS
    site.hosts['a'].count_calls(5)
    site.hosts['a'].report_to(site.hosts['a'])
    site.advance(250, 'a')
    copy = site.store.take_copy()
    count_and_report(site, 'a', a=2, b=4)
    assert site.find_reports(window)
    site.store.restore(copy)
    site.restart('a')
    site.restart('b')
    succeed(site, 'b', 'a')
    check_reports(site)


def test_window_is_not_reported_again_after_two_restores():
    site = make_site('a', 'b', 'c')
    copy = site.store.take_copy()
    count_and_report(site, 'a', a=5, b=3, c=1)
    site.store.restore(copy)
    succeed(site, 'b')
    count_and_report(site, 'b', b=2, c=1)
    site.store.restore(copy)
    succeed(site, 'c')
    check_reports(site)


def test_token_is_not_used_again_if_the_copy_is_older_than_the_claim():
    site = DrillSite(('a', 'b'))
    copy = site.store.take_copy()
    site.advance(TAKEOVER_MS, 'a')
    count_and_report(site, 'a', a=5)
    site.store.restore(copy)
    succeed(site, 'b')
    count_and_report(site, 'b', b=3)
    assert len({report.holder for report in site.reports}) == 2
    check_reports(site)


def test_empty_log_is_not_claimed_at_once_after_a_restore():
    # A host that had just started claimed while the holder's lease was valid.
    site = DrillSite(('a',))
    copy = site.store.take_copy()
    site.advance(TAKEOVER_MS, 'a')
    site.store.restore(copy)
    site.restart('b')
    site.hosts['b'].act()
    assert len(site.list_holders()) == 1


def test_surviving_holder_keeps_the_lease_and_loses_no_window():
    site = make_site('a', 'b')
    copy = site.store.take_copy()
    first = count_and_report(site, 'a', a=5)
    site.store.restore(copy)
    site.advance(1500, 'a', 'b')
    assert site.hosts['a'].duties.holds()
    windows = [count_and_report(site, 'a', a=number) for number in (1, 2, 3)]
    assert all(site.find_reports(window) for window in (first, *windows))
    check_reports(site)


def test_holder_whose_lease_ended_while_the_store_was_away_goes_on():
    # Nobody else can have claimed the lease since its last renewal.
    site = make_site('a', 'b')
    copy = site.store.take_copy()
    window = site.clock.wall() // WINDOW_MS
    count_and_report(site, 'a', a=5)
    site.hosts['a'].count_calls(4)
    unreported = site.clock.wall() // WINDOW_MS
    site.hosts['a'].report_to(site.hosts['a'])
    site.advance(lease.RENEW_INTERVAL_MS + 250, 'a')
    site.store.faults.status = 503
    site.advance(lease.LEASE_DURATION_MS, 'a', 'b')
    assert not site.list_holders()
    site.store.restore(copy)
    site.store.faults.status = 0
    site.advance(1000, 'a', 'b')
    assert site.hosts['a'].duties.holds()
    assert len(site.find_reports(window)) == 1
    assert site.find_reports(unreported) == [{'anna': 4}]
    check_reports(site)


def test_former_holder_claims_again_soon_after_a_claim_without_an_answer():
    # It waited for the interval between reads, until others could claim.
    site = make_site('a', 'b')
    copy = site.store.take_copy()
    site.advance(lease.RENEW_INTERVAL_MS + 250, 'a')
    site.store.faults.status = 503
    site.advance(lease.LEASE_DURATION_MS, 'a')
    site.store.restore(copy)
    site.store.faults.status = 0
    # The renewal that notices the restore, and the first claim.
    site.store.faults.hold_appends = 2
    site.advance(1000, 'a')
    assert site.hosts['a'].duties.holds()


def test_former_holder_does_not_wait_for_its_own_notices():
    # Hubs sent them back, so that it began to watch the log 2.7 s later.
    site = make_site('a', 'b')
    holder = site.hosts['a']
    holder.host.feed.through_hubs = True
    copy = site.store.take_copy()
    site.advance(lease.RENEW_INTERVAL_MS + 250, 'a')
    holder.announce_to(holder)
    site.store.restore(copy)
    site.advance(1500, 'a')
    assert holder.duties.holds()


def test_successor_without_records_of_the_former_era_closes_its_windows():
    # It took the start of its own process for the time of the loss.
    site = DrillSite(('a', 'b'))
    site.hosts['b'].act()
    site.advance(TAKEOVER_MS, 'a')
    copy = site.store.take_copy()
    count_and_report(site, 'a', a=5, b=3)
    site.store.restore(copy)
    succeed(site, 'b')
    check_reports(site)


def test_append_from_before_a_restore_does_not_make_a_holder():
    # The former holder's append was executed where another host's log ended.
    site = make_site('a', 'b')
    copy = site.store.take_copy()
    count_and_report(site, 'a', a=5)
    end = site.store.get_topic('duties').end
    site.store.restore(copy)
    while site.store.get_topic('duties').end < end:
        site.advance(250, 'b')
        site.hosts['b'].report_to(site.hosts['b'])
    assert site.hosts['b'].duties.holds()
    site.hosts['a'].act()
    assert site.list_holders() == [site.hosts['b']]
    assert site.hosts['a'].duties.view.holder != (
        site.hosts['a'].duties.view.run
    )


def test_record_written_before_and_executed_after_a_restore_is_void():
    view = LeaseView('c/1')
    late = LeaseRecord(RecordKind.USAGE, 'a/1', 7, {'anna': 1}, era=1)
    claim = LeaseRecord(RecordKind.CLAIM, 'b/1', 6, era=2)
    view.apply(make_position(2, 4), claim)
    view.apply(make_position(2, 5), late)
    assert view.holder == 'b/1'
    assert not view.committed_counts
    assert view.last_committed_window == 6
    assert view.end == make_position(2, 6)


def test_record_of_the_copy_is_kept():
    view = LeaseView('c/1')
    record = LeaseRecord(RecordKind.USAGE, 'a/1', 7, {'anna': 1}, era=1)
    view.apply(make_position(2, 3), record)
    assert view.committed_counts == {7: {'anna': 1}}


def test_window_closed_before_a_restore_is_not_trusted():
    # An entry of the copy named an older window than the last one committed.
    store = PlatformStore()
    store.era = 1
    log = UsageLog(make_store_client(store))

    async def main():
        await log.close_window(7, make_position(1, 3))
        assert (await log.read_closed()).window == 7
        store.restore(store.take_copy())
        assert await log.read_closed() is None
        await log.close_window(9, make_position(2, 3))
        assert (await log.read_closed()).window == 9

    asyncio.run(main())


def test_append_executed_at_an_offset_of_another_era_is_no_success():
    store = PlatformStore()
    store.era = 1
    client = make_store_client(store)

    async def main():
        end = await client.append('t', [b'a']) + 1
        copy = store.take_copy()
        store.restore(copy)
        with pytest.raises(exceptions.StoreRestoredError):
            await client.append('t', [b'b'], at=end)
        with pytest.raises(exceptions.StoreRestoredError):
            await client.read('t', end)
        assert (await client.read('t', None)).records == [b'a', b'b']

    asyncio.run(main())


def test_response_of_an_earlier_era_is_void():
    store = PlatformStore()
    store.era = 3
    client = make_store_client(store)

    async def main():
        await client.read('t', None)
        store.era = 2
        with pytest.raises(exceptions.StoreUnavailableError):
            await client.read('t', None)
        store.era = None
        assert (await client.read('t', None)).next == make_position(3, 0)

    asyncio.run(main())


def test_store_is_read_again_after_one_response_of_a_wrong_era():
    # The host took all further responses for outdated ones.
    store = PlatformStore()
    store.era = 3
    client = make_store_client(store)

    async def main():
        await client.read('t', None)
        store.era = 999
        await client.read('t', None)
        store.era = 3
        for _ in range(MAX_CONNECTIONS):
            with pytest.raises(exceptions.StoreUnavailableError):
                await client.read('t', None)
        assert (await client.read('t', None)).next == make_position(3, 0)

    asyncio.run(main())


@given(
    st.integers(0, MAX_ERA),
    st.integers(0, 2**32 - 1),
    st.integers(0, MAX_ERA),
    st.integers(0, 2**32 - 1),
)
def test_positions_are_ordered_by_era_and_offset(era, offset, era2, offset2):
    position = make_position(era, offset)
    assert (get_era(position), get_offset(position)) == (era, offset)
    assert position < 2**63
    is_before = position < make_position(era2, offset2)
    assert is_before == ((era, offset) < (era2, offset2))


def test_records_of_the_first_era_are_read_by_builds_without_eras():
    record = LeaseRecord(RecordKind.CLAIM, 'a/1', 3)
    kind, run, window, counts = cbor2.loads(leaselog.encode(record))
    assert (kind, run, window, counts) == ('claim', 'a/1', 3, None)
    later = LeaseRecord(RecordKind.CLAIM, 'a/1', 3, era=4)
    assert leaselog.decode(leaselog.encode(later)) == later


class RestoredStoreMachine(RuleBasedStateMachine):
    """Hosts hold the lease and report usage on a store that is restored.

    Hosts are killed, frozen or cut off from the store; appends are executed
    late or without an answer.  Only the store is shared, and what hosts report
    to the one that they take for the holder.
    """

    names = tuple('abcd')

    def __init__(self):
        super().__init__()
        self.site = DrillSite(self.names)
        self.copies = [(self.site.clock.now(), self.site.store.take_copy())]
        self.cut_off = set()

    @rule(ms=st.sampled_from([100, 250, 250, 500, 1000, 2500, 4000]))
    def pass_time(self, ms):
        self.site.clock.advance(ms)

    @rule(name=st.sampled_from(names))
    def act(self, name):
        status = self.site.store.faults.status
        if name in self.cut_off:
            self.site.store.faults.status = 503
        self.site.hosts[name].act()
        self.site.store.faults.status = status

    @rule()
    def act_all(self):
        for name in self.names:
            self.act(name)

    @rule(
        steps=st.integers(4, 24),
        names=st.sets(st.sampled_from(names), min_size=1),
    )
    def run_for_some_time(self, steps, names):
        """Some hosts serve calls; the others are frozen."""
        for step in range(steps):
            self.site.clock.advance(250)
            for number, name in enumerate(sorted(names)):
                self.count_calls(name, 1 + (step + number) % 3)
                self.act(name)
                self.report_counts(name)
            if step % 4 == 0:
                self.take_copy()

    @rule(name=st.sampled_from(names), count=st.integers(1, 9))
    def count_calls(self, name, count):
        self.site.hosts[name].count_calls(count)

    @rule(name=st.sampled_from(names))
    def report_counts(self, name):
        for holder in self.site.list_holders():
            self.site.hosts[name].report_to(holder)

    @rule(name=st.sampled_from(names))
    def announce(self, name):
        for holder in self.site.list_holders():
            if holder is not self.site.hosts[name]:
                holder.announce_to(self.site.hosts[name])

    @rule(name=st.sampled_from(names))
    def restart(self, name):
        self.site.restart(name)

    @rule()
    def restart_all(self):
        for name in self.names:
            self.site.restart(name)

    @rule(name=st.sampled_from(names))
    def cut_off_from_store(self, name):
        self.cut_off ^= {name}

    @rule(is_away=st.booleans())
    def fail_store(self, is_away):
        self.site.store.faults.status = 503 if is_away else 0

    @rule(count=st.integers(1, 3))
    def hold_appends(self, count):
        self.site.store.faults.hold_appends = count

    @rule()
    def apply_held_appends(self):
        self.site.store.apply_held_appends()

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.site.store.faults.lose_answers = count

    @rule()
    def take_copy(self):
        self.copies.append(
            (self.site.clock.now(), self.site.store.take_copy())
        )

    @rule(
        age_ms=st.integers(0, 10_000), away_ms=st.sampled_from([0, 500, 3000])
    )
    def restore(self, age_ms, away_ms):
        """The store comes back from the latest copy of some age."""
        now = self.site.clock.now()
        old = [copy for at, copy in self.copies if now - at >= age_ms]
        self.site.clock.advance(away_ms)
        self.site.store.restore(old[-1] if old else self.copies[0][1])

    @rule(topic=st.sampled_from(['duties', 'keyed.usage']))
    def delete_history(self, topic):
        self.site.store.delete_history(topic)

    @invariant()
    def reports_are_consistent(self):
        check_reports(self.site)

    @invariant()
    def at_most_one_host_holds(self):
        assert len(self.site.list_holders()) <= 1

    @invariant()
    def holders_do_not_alternate_quickly(self):
        turns = []
        for report in self.site.reports:
            if not turns or turns[-1][0] != report.holder:
                turns.append((report.holder, report.at_ms, report.at_ms))
            else:
                turns[-1] = (report.holder, turns[-1][1], report.at_ms)
        for before, after in zip(turns, turns[2:], strict=False):
            if before[0] == after[0]:
                assert after[1] - before[2] >= 3000


def test_hosts_on_a_restored_store_report_each_window_once():
    run_state_machine_as_test(
        RestoredStoreMachine,
        settings=hypothesis_settings(
            max_examples=60, stateful_step_count=30, deadline=None
        ),
    )
