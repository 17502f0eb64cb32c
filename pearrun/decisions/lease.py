"""The lease of the host that performs the cluster-wide duties.

Load pattern: hosts are killed, frozen or partitioned, or lose responses of the
store, while exactly one of them has to act.  The lease is decided by a log: a
record is appended only at the position up to which its writer has read, so two
concurrent claims cannot both succeed.  A holder acts until a fixed time after
it *sent* its last acknowledged record.  Another host claims the lease only
after the log has been unchanged for longer than that by its own clock.  The
clocks include suspended time, so a host that was frozen notices that its lease
has expired.

The store may come back from a copy that lacks the latest records.  Fencing
tokens are positions, which rise all the same.  A new holder that cannot tell
which windows were committed in the lost part takes all that had ended for
committed.  A former holder knows that no other host has claimed the lease
within the takeover delay after its last record, and claims it at once.
"""

import dataclasses
import enum

from pearrun import positions

# How long a holder may act after it sent a record that was acknowledged.
LEASE_DURATION_MS = 2500
# How often a holder renews; two renewals may fail before it has to stop.
RENEW_INTERVAL_MS = 900
# How long the log must be unchanged before another host claims.  Longer than
# the lease, so that a call sent at its end has arrived, and longer than the
# period within which the duties must not alternate between hosts.
TAKEOVER_DELAY_MS = 3800
# Added to the configured period within which the duties must not alternate, so
# that a call sent at the very end of a lease has arrived.
TAKEOVER_MARGIN_MS = 800


class RecordKind(enum.Enum):
    """Kind of a record in the lease log."""

    CLAIM = 'claim'
    RENEW = 'renew'
    USAGE = 'usage'


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """A record of the lease log.

    :param run: host name and start time of the writer.
    :param window: number of the usage window of ``counts``; in other records,
        of the last window that may have been committed.
    :param counts: final usage counts by customer.
    :param era: era of the store in which its writer read the log.
    """

    kind: RecordKind
    run: str
    window: int = 0
    counts: dict[str, int] | None = None
    era: int = 0


class LeaseView:
    """The state of the lease as known to one host.

    :param run: name and start time of this host.
    :param takeover_delay_ms: how long the log must be unchanged before a
        claim.

    Times are in milliseconds of a clock that includes suspended time.
    ``end`` is the position after the last known record.  ``committed_counts``
    holds the usage counts that holders wrote to the log, by window.
    ``last_committed_window`` is the number of the latest of these windows,
    also of those whose record this host has not read; -1 if there is none.
    ``history_lost_ms`` is the time at which this host found that records had
    been lost which may have committed others.  ``record_era`` is the latest
    era in which a record was written.  No other host can hold the lease before
    ``sole_until_ms``.
    """

    def __init__(self, run, takeover_delay_ms=TAKEOVER_DELAY_MS):
        self.run = run
        self.takeover_delay_ms = takeover_delay_ms
        self.end = None
        self.holder = None
        self.fencing = 0
        self.unchanged_since_ms = None
        self.valid_until_ms = None
        self.committed_counts = {}
        self.announced_end = None
        self.announced_ms = None
        self.last_committed_window = -1
        self.history_lost_ms = None
        self.record_era = 0
        self.sole_until_ms = None

    def apply(self, position, record):
        """Apply a record that was read from, or appended to, the log.

        A record whose writer had read an earlier era than that of a record
        before it is void: its append was executed after the store had been
        restored.
        """
        self.end = position + 1
        self.unchanged_since_ms = None
        if record.era < self.record_era:
            return
        self.record_era = record.era
        if record.era == positions.get_era(position):
            # Its writer knew which windows had been committed until then.
            self.history_lost_ms = None
            if record.run != self.run:
                self.sole_until_ms = None
        match record.kind:
            case RecordKind.CLAIM:
                self.holder = record.run
                self.fencing = position + 1
                self.valid_until_ms = None
            case RecordKind.USAGE:
                # Only a holder appends counts.  Its claim may be deleted.
                self.committed_counts.setdefault(record.window, record.counts)
        self.last_committed_window = max(
            self.last_committed_window, record.window
        )

    def note_restored(self):
        """Record that the store has come back from a copy.

        The log has to be read from its beginning.  Windows that were committed
        before remain committed.
        """
        self.end = None
        self.holder = None
        self.fencing = 0
        self.valid_until_ms = None
        self.unchanged_since_ms = None
        self.announced_end = None
        self.record_era = 0
        self.history_lost_ms = None

    def note_expired(self, first, now_ms):
        """Record that records before a position were deleted unread.

        Another host may have written them, so the log does not count as
        unchanged.  Unless this host's lease is still valid, another host's
        claim may be among them.
        """
        self.end = first
        self.unchanged_since_ms = None
        if not self.holds(now_ms):
            self.holder = None
            self.fencing = 0
            self.valid_until_ms = None

    def note_history_lost(self, now_ms):
        """Record that committed counts may be lost with the log's records."""
        self.history_lost_ms = now_ms

    def note_closed(self, window):
        """Record what is known of the windows committed before the loss.

        :param window: no later window has been committed.
        """
        self.last_committed_window = max(self.last_committed_window, window)
        self.history_lost_ms = None

    def note_end(self, end, now_ms):
        """Record where the log ended at a given time.

        The log is unchanged if there were no records since the last call, or
        since the holder announced the same end.
        """
        if self.end is None or end != self.end:
            self.end = end
            self.unchanged_since_ms = None
        if self.unchanged_since_ms is None:
            was_announced = end == self.announced_end
            self.unchanged_since_ms = (
                self.announced_ms if was_announced else now_ms
            )
        if self.history_lost_ms is None and self._may_lack_commits(now_ms):
            self.note_history_lost(now_ms)

    def _may_lack_commits(self, now_ms):
        """Return whether a restore may have lost commits of other hosts."""
        is_recorded = positions.get_era(self.end) <= self.record_era
        return not is_recorded and not self.is_sole(now_ms)

    def is_sole(self, now_ms):
        """Return whether no other host can have claimed the lease."""
        return self.sole_until_ms is not None and now_ms < self.sole_until_ms

    def note_announced_end(self, end, now_ms):
        """Record the end of the log as announced by a holder.

        A host that receives announcements knows how long the log has been
        unchanged without having read it, so a failed holder is replaced
        sooner.
        """
        if end != self.announced_end:
            self.announced_end = end
            self.announced_ms = now_ms

    def may_claim(self, now_ms):
        """Return whether no other host can be acting any more."""
        if self.end is None or self.unchanged_since_ms is None:
            return False
        if self.end == 0 or self.is_sole(now_ms):
            return True
        return now_ms - self.unchanged_since_ms >= self.takeover_delay_ms

    def note_written(self, position, record, sent_ms):
        """Record that a record of this host was acknowledged."""
        self.apply(position, record)
        if self.holder == self.run:
            self.valid_until_ms = sent_ms + LEASE_DURATION_MS
            self.sole_until_ms = sent_ms + self.takeover_delay_ms

    def holds(self, now_ms):
        """Return whether this host holds the lease and may act."""
        return (
            self.holder == self.run
            and self.valid_until_ms is not None
            and now_ms < self.valid_until_ms
        )

    def should_renew(self, now_ms):
        """Return whether the holder should renew its lease."""
        if self.valid_until_ms is None:
            return False
        return (
            now_ms
            >= self.valid_until_ms - LEASE_DURATION_MS + RENEW_INTERVAL_MS
        )
