"""This host's own part of the sums that a hub tells its zone.

Load pattern: a hub of a zone with 39 hosts that passed on every host's
report sent 40 KB a round to each of them, and each decoded all of them.
A sum costs the same at any number of hosts, but holds what its reader did
itself, as far as the hub has heard of it.  The hub says which report of
each host the sum covers; that report's part is left out again.
"""

import collections
import dataclasses

from pearrun.decisions.demand import Demand
from pearrun.shared.loads import Load
from pearrun.shared.quotas import Admitted
from pearrun.shared.quotas import NOTHING

# Own reports kept for sums that cover an older one: several times the
# rounds that a report is on its way to a hub and back.
KEPT_REPORTS = 32


class OwnShare:
    """Keeps this host's last reports, and leaves them out of sums.

    ``run`` is the :class:`Run` that reports; ``None`` before its first one.
    """

    def __init__(self):
        self.run = None
        self._reports = collections.OrderedDict()
        self._hubs = {}

    def keep(self, report):
        """Keep a report of this host's own."""
        self.run = report.run
        self._reports[report.number] = report
        while len(self._reports) > KEPT_REPORTS:
            self._reports.popitem(last=False)

    def leave_out(self, sums, number):
        """Leave this host's part out of a hub's sums.

        :param sums: the hub's :class:`HostReport` of the whole zone.
        :param number: which own report they cover; ``None`` for none.
        :returns: the sums of the other hosts; ``None`` where the covered
            report is no longer known.
        """
        own = None
        if number is not None:
            own = self._reports.get(number)
            if own is None:
                return None
        admitted = self._leave_out_admitted(sums, own)
        if own is None:
            return dataclasses.replace(sums, admitted=admitted)
        return dataclasses.replace(
            sums,
            loads=subtract_loads(sums.loads, own.loads),
            demands=subtract_demands(sums.demands, own.demands),
            engines=subtract_lines(sums.engines, own.engines),
            admitted=admitted,
        )

    def _leave_out_admitted(self, sums, own):
        """Leave out what this host admitted since the hub covers it.

        A hub counts from the first report that it heard.  What it was told
        last stays in its sums while it does not hear this host.
        """
        first, last = self._hubs.get(sums.run, (None, None))
        if own is not None:
            first = first or own
            last = own
            self._hubs = {sums.run: (first, last)}
        if last is None:
            return sums.admitted
        return {
            name: subtract_admitted(use, name, first, last)
            for name, use in sums.admitted.items()
        }


def subtract_admitted(use, name, first, last):
    """Subtract what was admitted between two own reports."""
    before = first.admitted.get(name, NOTHING)
    own = last.admitted.get(name, NOTHING)
    return Admitted(
        use.total - (own.total - before.total), max(0.0, use.rate - own.rate)
    )


def subtract_loads(sums, own):
    """Subtract own :class:`Load` by endpoint; what is left is not negative."""
    left = dict(sums)
    for endpoint_id, load in own.items():
        known = left.pop(endpoint_id, None)
        if known is None:
            continue
        calls = known.calls - load.calls
        if calls > 0:
            tokens = max(0, known.reading_tokens - load.reading_tokens)
            left[endpoint_id] = Load(calls, tokens)
    return left


def subtract_demands(sums, own):
    """Subtract own :class:`Demand` by service."""
    left = dict(sums)
    for name, demand in own.items():
        known = left.get(name)
        if known is not None:
            left[name] = Demand(
                max(0.0, known.busy - demand.busy),
                max(0.0, known.tokens_per_s - demand.tokens_per_s),
                max(0.0, known.squares_per_s - demand.squares_per_s),
                known.target_ms,
            )
    return left


def subtract_lines(sums, own):
    """Subtract own :class:`RegressionSums` by service."""
    left = dict(sums)
    for name, lines in own.items():
        known = left.get(name)
        if known is None:
            continue
        others = known.combine(lines.scale(-1.0))
        if others.weight > 0:
            left[name] = others
        else:
            del left[name]
    return left
