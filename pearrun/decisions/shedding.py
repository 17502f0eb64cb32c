"""Sheds new connections while this host has no processor time left.

Load pattern: for some seconds most new connections of a zone or region reach
one host, whose event loop falls behind.  All its callers would be answered
late, while other hosts are idle.  A connection that is closed before its
request is read costs its caller one try, which meets another host.

The share of new connections that are shed follows the delay of the event
loop: it rises while the loop is late and falls while it is not.  The least of
several delays counts, because a process whose processor quota is used up for a
moment is late as well.  Some connections are accepted at any load, so that the
host never looks unreachable.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class SheddingSettings:
    """Limits of the shedding.

    :param high_lag_ms: delay of the event loop beyond which more connections
        are shed.
    :param low_lag_ms: delay below which fewer are shed.
    :param window: number of latest delays of which the least counts; with
        measurements every 50 ms, two periods of a processor quota.
    :param raise_step: increase of the shed share with a measurement at
        ``high_lag_ms``; in proportion with a later one.
    :param lower_step: its decrease with one that is not late.
    :param max_share: maximum share of new connections that are shed.
    :param max_gap_ms: at least one connection is accepted in this time.
    """

    high_lag_ms: float = 100.0
    low_lag_ms: float = 30.0
    window: int = 4
    raise_step: float = 0.25
    lower_step: float = 0.05
    max_share: float = 0.98
    max_gap_ms: int = 250


class Shedder:
    """Decides which new connections to accept.

    ``share`` is the current share of new connections that are shed.
    """

    def __init__(self, settings=None):
        self.settings = settings or SheddingSettings()
        self.share = 0.0
        self._lags_ms = collections.deque(maxlen=self.settings.window)
        self._credit = 0.0
        self._accepted_ms = None

    def note_lag(self, lag_ms):
        """Record a measurement of the event loop's delay."""
        settings = self.settings
        self._lags_ms.append(lag_ms)
        if len(self._lags_ms) < settings.window:
            return
        lag_ms = min(self._lags_ms)
        if lag_ms > settings.high_lag_ms:
            excess = lag_ms / settings.high_lag_ms
            raised = self.share + settings.raise_step * excess
            self.share = min(settings.max_share, raised)
        elif lag_ms < settings.low_lag_ms:
            self.share = max(0.0, self.share - settings.lower_step)

    def accept(self, now_ms):
        """Return whether to accept a new connection.

        Shed connections are spread evenly among the accepted ones.
        """
        self._credit += 1.0 - self.share
        accepted_ms = self._accepted_ms
        if accepted_ms is None:
            accepted_ms = now_ms - self.settings.max_gap_ms
        is_due = now_ms - accepted_ms >= self.settings.max_gap_ms
        if self._credit < 1.0 and not is_due:
            return False
        self._credit = max(0.0, self._credit - 1.0)
        self._accepted_ms = now_ms
        return True
