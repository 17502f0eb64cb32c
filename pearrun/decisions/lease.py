"""The lease of the duties, as read from its log.

Load pattern: hosts are killed, frozen, cut off or lose answers of the
store while one of them has to act alone.  The log of the lease decides:
a record is only appended at the offset its writer has read up to, so
two claims cannot both succeed.  A holder acts until a fixed time after
it *sent* its last acknowledged record; another host claims only after
the log has stood still for longer than that, by its own clock.  Clocks
used count suspended time, so a host that was frozen knows it.
"""

import dataclasses
import enum

# How long a holder may act after sending an acknowledged record.
HOLD_MS = 2500
# How often a holder writes; two writes may fail before it has to stop.
RENEW_MS = 900
# How long the log must stand still before another host claims: longer
# than the lease, so that a call sent at its end has arrived, and longer
# than the span in which duties must not alternate between hosts.
QUIET_MS = 3800
# Added to that span: a call sent in the last moment of a lease arrives.
QUIET_MARGIN_MS = 800


class RecordKind(enum.Enum):
    """What a record of the lease's log says."""

    CLAIM = 'claim'
    RENEW = 'renew'
    USAGE = 'usage'


@dataclasses.dataclass(frozen=True)
class LeaseRecord:
    """One record of the log.

    :param run: the writer's host name and start time.
    :param window: number of a usage window: that of ``counts``, or the last
        one that was agreed before a renewal.
    """

    kind: RecordKind
    run: str
    window: int = 0
    counts: dict[str, int] | None = None


class LeaseView:
    """What a host knows of the lease.

    :param run: the host's own name and start time.
    :param quiet_ms: how long the log must stand still before a claim.

    Times are milliseconds of a clock that counts suspended time.
    ``agreed_until`` is the last usage window that any holder agreed on, and
    ``lost_ms`` when this host found that the log was deleted.
    """

    def __init__(self, run, quiet_ms=QUIET_MS):
        self.run = run
        self.quiet_ms = quiet_ms
        self.end = None
        self.holder = None
        self.fencing = 0
        self.still_since_ms = None
        self.valid_until_ms = None
        self.reported = {}
        self.told_end = None
        self.told_ms = None
        self.agreed_until = -1
        self.lost_ms = None

    def apply(self, offset, record):
        """Take a record read from, or appended to, the log."""
        match record.kind:
            case RecordKind.CLAIM:
                self.holder = record.run
                self.fencing = offset + 1
                self.valid_until_ms = None
            case RecordKind.RENEW:
                self.agreed_until = max(self.agreed_until, record.window)
            case RecordKind.USAGE:
                if record.run == self.holder:
                    self.reported[record.window] = record.counts
                    self.agreed_until = max(self.agreed_until, record.window)
        self.end = offset + 1
        self.still_since_ms = None

    def note_expired(self, first):
        """Note that records up to an offset were deleted unread.

        Another host may have written them: the log has not stood still.
        """
        self.end = first
        self.still_since_ms = None

    def note_history_lost(self, now_ms):
        """Note that nothing is left of the log: what was agreed is unknown."""
        self.lost_ms = now_ms

    def note_end(self, end, now_ms):
        """Note that the log ended at an offset at a time.

        Without records since the last time, or since the holder told where
        it ends, the log has stood still.
        """
        if self.end is None or end != self.end:
            self.end = end
            self.still_since_ms = None
        if self.still_since_ms is None:
            told = end == self.told_end
            self.still_since_ms = self.told_ms if told else now_ms

    def note_told(self, end, now_ms):
        """Note that a holder told where the log ends.

        A host that hears of the log need not have read it to know for how
        long it has stood still, so a lost holder is succeeded sooner.
        """
        if end != self.told_end:
            self.told_end = end
            self.told_ms = now_ms

    def may_claim(self, now_ms):
        """Say whether no other host can be acting any more."""
        if self.end is None or self.still_since_ms is None:
            return False
        if self.end == 0:
            return True
        return now_ms - self.still_since_ms >= self.quiet_ms

    def note_written(self, offset, record, sent_ms):
        """Note that a record of ours was appended and acknowledged."""
        self.apply(offset, record)
        if self.holder == self.run:
            self.valid_until_ms = sent_ms + HOLD_MS

    def holds(self, now_ms):
        """Say whether this host may act now."""
        return (
            self.holder == self.run
            and self.valid_until_ms is not None
            and now_ms < self.valid_until_ms
        )

    def should_renew(self, now_ms):
        """Say whether the holder should write again."""
        if self.valid_until_ms is None:
            return False
        return now_ms >= self.valid_until_ms - HOLD_MS + RENEW_MS
