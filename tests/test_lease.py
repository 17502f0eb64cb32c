"""The lease under lost responses, freezes and concurrent claims."""

import dataclasses

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from pearrun.decisions import lease
from pearrun.decisions.lease import LeaseRecord
from pearrun.decisions.lease import LeaseView
from pearrun.decisions.lease import RecordKind


@dataclasses.dataclass
class DelayedAppend:
    """An append that the store executes later, without a response."""

    offset: int
    record: LeaseRecord


class LeaseMachine(RuleBasedStateMachine):
    """Hosts that read, claim, renew and act on one log.

    Time advances only by rules; a frozen host is one that no rule picks.
    """

    names = ('a/1', 'b/1', 'c/1')

    def __init__(self):
        super().__init__()
        self.now = 1000
        self.log = []
        self.delayed = []
        self.views = {name: LeaseView(name) for name in self.names}
        self.actions = []
        self.announcements = []
        self.reports = {}

    @rule(ms=st.sampled_from([50, 300, 1000, 2500, 4000]))
    def pass_time(self, ms):
        self.now += ms

    @rule(name=st.sampled_from(names))
    def read(self, name):
        view = self.views[name]
        for offset in range(view.end or 0, len(self.log)):
            view.apply(offset, self.log[offset])
        view.note_end(len(self.log), self.now)

    @rule(
        name=st.sampled_from(names), lost=st.booleans(), delayed=st.booleans()
    )
    def claim(self, name, lost, delayed):
        view = self.views[name]
        if view.may_claim(self.now):
            record = LeaseRecord(RecordKind.CLAIM, name)
            self._append(view, record, lost, delayed)

    @rule(
        name=st.sampled_from(names), lost=st.booleans(), delayed=st.booleans()
    )
    def renew(self, name, lost, delayed):
        view = self.views[name]
        if view.holder == name and view.should_renew(self.now):
            record = LeaseRecord(RecordKind.RENEW, name)
            self._append(view, record, lost, delayed)

    @rule(
        name=st.sampled_from(names),
        window=st.integers(0, 3),
        count=st.integers(0, 9),
        lost=st.booleans(),
    )
    def commit_usage(self, name, window, count, lost):
        view = self.views[name]
        if view.holds(self.now) and window not in view.committed_counts:
            counts = {'anna': count}
            record = LeaseRecord(RecordKind.USAGE, name, window, counts)
            self._append(view, record, lost, False)

    @rule(name=st.sampled_from(names))
    def act(self, name):
        view = self.views[name]
        if not view.holds(self.now):
            return
        self.actions.append((self.now, name, view.fencing))
        for window, counts in view.committed_counts.items():
            sent = self.reports.setdefault(window, counts)
            assert sent == counts, 'one window reported in two versions'

    @rule(name=st.sampled_from(names))
    def announce_end(self, name):
        view = self.views[name]
        if view.holds(self.now):
            self.announcements.append(view.end)

    @rule(name=st.sampled_from(names), index=st.integers(0, 5))
    def receive_announced_end(self, name, index):
        """Receive an announcement of a holder, late and in any order."""
        if index < len(self.announcements):
            self.views[name].note_announced_end(
                self.announcements[-1 - index], self.now
            )

    @rule(index=st.integers(0, 5))
    def complete_delayed_append(self, index):
        if index < len(self.delayed):
            delayed = self.delayed.pop(index)
            if delayed.offset == len(self.log):
                self.log.append(delayed.record)

    def _append(self, view, record, lost, delayed):
        offset = view.end
        if delayed:
            self.delayed.append(DelayedAppend(offset, record))
            return
        if offset != len(self.log):
            return
        self.log.append(record)
        if not lost:
            view.note_written(offset, record, self.now)

    @invariant()
    def at_most_one_host_holds(self):
        holders = [
            name for name, view in self.views.items() if view.holds(self.now)
        ]
        assert len(holders) <= 1

    @invariant()
    def fencing_tokens_increase_and_belong_to_one_host(self):
        owners = {}
        highest = 0
        for _, name, fencing in self.actions:
            assert fencing >= highest
            highest = fencing
            assert owners.setdefault(fencing, name) == name

    @invariant()
    def holders_do_not_alternate_quickly(self):
        runs = []
        for at_ms, name, _ in self.actions:
            if not runs or runs[-1][0] != name:
                runs.append((name, at_ms, at_ms))
            else:
                runs[-1] = (name, runs[-1][1], at_ms)
        for before, after in zip(runs, runs[2:], strict=False):
            if before[0] == after[0]:
                assert after[1] - before[2] >= 3000


TestLease = LeaseMachine.TestCase
TestLease.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=60, deadline=None
)


class DeletedLogMachine(RuleBasedStateMachine):
    """Hosts that commit usage windows to a log whose records are deleted.

    A host that restarts knows nothing but what is left of the log.
    """

    names = ('a', 'b', 'c')
    window_ms = 1000

    def __init__(self):
        super().__init__()
        self.now = 10_000
        self.runs = 0
        self.log = []
        self.first = 0
        self.views = {}
        self.committed = {}
        self.closed = set()
        self.delayed = set()
        for name in self.names:
            self.restart(name)
        self.maintain('a', lost=False)

    @rule(ms=st.sampled_from([300, 300, 1000, 1000, 4000, 9000]))
    def pass_time(self, ms):
        self.now += ms

    @rule(name=st.sampled_from(names))
    def restart(self, name):
        self.runs += 1
        self.views[name] = LeaseView(f'{name}/{self.runs}')

    @rule(keep=st.integers(0, 4))
    def delete_records(self, keep):
        self.first = max(self.first, len(self.log) - keep)

    @rule(name=st.sampled_from(names))
    def read(self, name):
        view = self.views[name]
        start = view.end or 0
        if start < self.first:
            start = self.first
            view.note_expired(start, self.now)
            if start == len(self.log):
                view.note_history_lost(self.now)
        for offset in range(start, len(self.log)):
            view.apply(offset, self.log[offset])
        view.note_end(len(self.log), self.now)

    @rule(name=st.sampled_from(names), lost=st.booleans())
    def maintain(self, name, lost):
        self.read(name)
        view = self.views[name]
        if view.holder == view.run:
            if view.should_renew(self.now):
                self._append(view, RecordKind.RENEW, lost)
        elif view.may_claim(self.now):
            if view.history_lost_ms is not None and self.closed:
                view.note_closed(max(self.closed))
            self._append(view, RecordKind.CLAIM, lost)

    @rule()
    def deliver(self):
        """The store executes delayed writes of closed windows."""
        self.closed |= self.delayed
        self.delayed.clear()

    @rule()
    def remove_outdated(self):
        """A holder removes the closed windows before its own."""
        for view in self.views.values():
            if view.holds(self.now):
                last = self._find_last_closed(view)
                self.closed = {w for w in self.closed if w > last} | {last}

    @rule(count=st.integers(0, 9), lost=st.booleans())
    def commit_usage(self, count, lost):
        window = self.now // self.window_ms - 1
        for view in self.views.values():
            if view.holds(self.now) and window > self._find_last_closed(view):
                counts = {'anna': count}
                self.delayed.add(window - 1)
                self.closed.add(window)
                self._append(view, RecordKind.USAGE, lost, window, counts)

    def _find_last_closed(self, view):
        if view.history_lost_ms is None:
            return view.last_committed_window
        return max(
            view.last_committed_window,
            view.history_lost_ms // self.window_ms - 1,
        )

    def _append(self, view, kind, lost, window=None, counts=None):
        if window is None:
            window = self._find_last_closed(view)
        if view.end != len(self.log):
            return
        record = LeaseRecord(kind, view.run, window, counts)
        self.log.append(record)
        if kind is RecordKind.USAGE:
            assert window not in self.committed, 'window committed twice'
            self.committed[window] = counts
        if not lost:
            view.note_written(view.end, record, self.now)

    @invariant()
    def at_most_one_host_holds(self):
        holders = [
            name for name, view in self.views.items() if view.holds(self.now)
        ]
        assert len(holders) <= 1

    @invariant()
    def views_know_the_committed_counts(self):
        for view in self.views.values():
            for window, counts in view.committed_counts.items():
                assert counts == self.committed[window]

    @invariant()
    def every_suffix_of_the_log_tells_that_its_windows_are_closed(self):
        view = LeaseView('reader/1')
        for offset in range(self.first, len(self.log)):
            view.apply(offset, self.log[offset])
        if self.first < len(self.log) and self.committed:
            assert self._find_last_closed(view) >= max(self.committed)


TestDeletedLog = DeletedLogMachine.TestCase
TestDeletedLog.settings = hypothesis_settings(
    max_examples=200, stateful_step_count=60, deadline=None
)


def test_counts_behind_a_deleted_claim_are_committed():
    # The window was committed again, and reported with other counts.
    view = LeaseView('b/1')
    view.note_expired(7, 0)
    view.apply(7, LeaseRecord(RecordKind.USAGE, 'a/1', 3, {'anna': 5}))
    assert view.committed_counts == {3: {'anna': 5}}
    assert view.last_committed_window == 3


def test_former_holder_does_not_renew_behind_a_deleted_claim():
    view = LeaseView('a/1')
    view.note_end(0, 0)
    view.note_written(0, LeaseRecord(RecordKind.CLAIM, 'a/1'), 0)
    view.note_expired(5, 10_000)
    view.apply(5, LeaseRecord(RecordKind.RENEW, 'b/1'))
    assert view.holder is None
    assert not view.should_renew(10_000)


def test_holder_keeps_a_valid_lease_when_its_log_is_deleted():
    view = LeaseView('a/1')
    view.note_end(0, 0)
    view.note_written(0, LeaseRecord(RecordKind.CLAIM, 'a/1'), 0)
    view.note_expired(2, 500)
    assert view.holds(501)


def test_empty_log_can_be_claimed_immediately():
    view = LeaseView('a/1')
    assert not view.may_claim(0)
    view.note_end(0, 0)
    assert view.may_claim(0)


def test_new_record_restarts_takeover_delay():
    view = LeaseView('a/1')
    view.note_end(4, 0)
    assert not view.may_claim(lease.TAKEOVER_DELAY_MS - 1)
    view.apply(4, LeaseRecord(RecordKind.RENEW, 'b/1'))
    view.note_end(5, lease.TAKEOVER_DELAY_MS)
    assert not view.may_claim(lease.TAKEOVER_DELAY_MS + 100)
    assert view.may_claim(2 * lease.TAKEOVER_DELAY_MS)


def test_takeover_delay_starts_at_first_announcement():
    view = LeaseView('a/1')
    view.note_announced_end(5, 1000)
    view.note_announced_end(5, 2000)
    view.note_end(5, 4000)
    assert not view.may_claim(1000 + lease.TAKEOVER_DELAY_MS - 1)
    assert view.may_claim(1000 + lease.TAKEOVER_DELAY_MS)


def test_record_after_announcement_restarts_takeover_delay():
    view = LeaseView('a/1')
    view.note_announced_end(5, 1000)
    view.note_end(6, 4000)
    assert not view.may_claim(1000 + lease.TAKEOVER_DELAY_MS)
    assert view.may_claim(4000 + lease.TAKEOVER_DELAY_MS)


def test_suspended_host_loses_its_lease():
    view = LeaseView('a/1')
    view.note_end(0, 0)
    view.note_written(0, LeaseRecord(RecordKind.CLAIM, 'a/1'), 0)
    assert view.holds(lease.LEASE_DURATION_MS - 1)
    assert not view.holds(lease.LEASE_DURATION_MS)
