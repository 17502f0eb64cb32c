"""When the counts of a usage window are final.

Load pattern: a window ends while some hosts cannot reach the lease holder,
because a failure domain is partitioned, the lease has just moved, or links are
being reopened.  These hosts go on serving, so the counts that the holder knows
lack theirs.  The holder therefore waits for them, but not so long that a
successor could no longer report the window in time.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class WindowSettings:
    """Limits of the wait for counts.

    :param settle_ms: time after the end of a window before its counts are
        final; covers a round of reports and the difference between clocks.
    :param takeover_ms: time that a successor needs before it can report, if
        the holder is lost.
    :param silent_ms: hosts that have not been heard for this long are not
        waited for.
    """

    settle_ms: int = 1_500
    takeover_ms: int = 4_500
    silent_ms: int = 20_000


def is_final(since_end_ms, due_ms, missing, settings):
    """Return whether to commit the counts of a window now.

    :param since_end_ms: time since the end of the window.
    :param due_ms: time after its end by which the report is due.
    :param missing: whether counts of some host are still expected.
    :param settings: :class:`WindowSettings`.
    """
    if since_end_ms < settings.settle_ms:
        return False
    return not missing or since_end_ms >= due_ms - settings.takeover_ms
