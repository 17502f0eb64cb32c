"""Subtraction of this host's own reports from the sums of its zone's hub.

Load pattern: a hub that forwards every report of a zone with 39 hosts sends
40 KB per round to each of them, and each decodes all reports.  A sum has the
same size for any number of hosts, but includes the receiver's own
contribution as of the last report that reached the hub.  The hub therefore
states which report of each host the sum covers, and the receiver subtracts
that report.
"""

import collections
import dataclasses

from pearrun.decisions.demand import Demand
from pearrun.shared.loads import Load
from pearrun.shared.quotas import AdmittedUnits
from pearrun.shared.quotas import NO_UNITS

# Own reports kept for sums that cover an older one: several times the number
# of rounds from sending a report to receiving a sum that covers it.
MAX_REPORTS = 32


class OwnReports:
    """Keeps this host's latest reports and subtracts them from sums.

    ``run`` is this host's :class:`Run`; ``None`` before its first report.
    """

    def __init__(self):
        self.run = None
        self._reports = collections.OrderedDict()
        self._hubs = {}

    def add(self, report):
        """Add a report of this host."""
        self.run = report.run
        self._reports[report.number] = report
        while len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def subtract_from(self, sums, number):
        """Subtract this host's contribution from a hub's sums.

        :param sums: the hub's :class:`HostReport` of the whole zone.
        :param number: sequence number of this host's report that they cover;
            ``None`` if they cover none.
        :returns: the sums of the other hosts; ``None`` if the covered
            report is no longer kept.
        """
        own = None
        if number is not None:
            own = self._reports.get(number)
            if own is None:
                return None
        admitted = self._subtract_own_admitted(sums, own)
        if own is None:
            return dataclasses.replace(sums, admitted=admitted)
        return dataclasses.replace(
            sums,
            loads=subtract_loads(sums.loads, own.loads),
            demands=subtract_demands(sums.demands, own.demands),
            engines=subtract_engine_sums(sums.engines, own.engines),
            admitted=admitted,
        )

    def _subtract_own_admitted(self, sums, own):
        """Subtract the units that this host admitted from a hub's totals.

        A hub counts a host's units from the first report that it received.
        While it receives no reports from this host, its totals continue to
        include the last one.
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
    """Subtract what this host admitted between two of its reports.

    :param use: the hub's :class:`AdmittedUnits` for one customer.
    :param name: the customer.
    """
    before = first.admitted.get(name, NO_UNITS)
    own = last.admitted.get(name, NO_UNITS)
    return AdmittedUnits(
        use.total - (own.total - before.total), max(0.0, use.rate - own.rate)
    )


def subtract_loads(sums, own):
    """Subtract own :class:`Load` by endpoint, with zero as the minimum."""
    rest = dict(sums)
    for endpoint_id, load in own.items():
        known = rest.pop(endpoint_id, None)
        if known is None:
            continue
        calls = known.calls - load.calls
        if calls > 0:
            tokens = max(0, known.queued_tokens - load.queued_tokens)
            rest[endpoint_id] = Load(calls, tokens)
    return rest


def subtract_demands(sums, own):
    """Subtract own :class:`Demand` by service, with zero as the minimum."""
    rest = dict(sums)
    for name, demand in own.items():
        known = rest.get(name)
        if known is not None:
            rest[name] = Demand(
                max(0.0, known.busy - demand.busy),
                max(0.0, known.tokens_per_s - demand.tokens_per_s),
                max(0.0, known.squares_per_s - demand.squares_per_s),
                known.target_ms,
            )
    return rest


def subtract_engine_sums(sums, own):
    """Subtract own :class:`RegressionSums` by service."""
    rest = dict(sums)
    for name, own_sums in own.items():
        known = rest.get(name)
        if known is None:
            continue
        others = known.combine(own_sums.scale(-1.0))
        if others.weight > 0:
            rest[name] = others
        else:
            del rest[name]
    return rest
