"""Work of the other hosts on endpoints, from their reports."""

import dataclasses

# Reports older than this say nothing of the work now: most calls have
# ended.  Ten report periods, so a few lost ones do not matter.
REPORT_VALID_MS = 2000


@dataclasses.dataclass(frozen=True)
class Load:
    """Work on one endpoint."""

    calls: int = 0
    reading_tokens: int = 0


NO_LOAD = Load()


class Loads:
    """Sums the reports of all other hosts."""

    def __init__(self, clock):
        self.clock = clock
        self._reports = {}
        self._sums = None
        self._summed_ms = 0

    def put(self, run, loads):
        """Take a report.

        :param run: the :class:`Run` that reports.
        :param loads: :class:`Load` by endpoint id.
        """
        self._reports[run] = (self.clock.now(), loads)
        self._sums = None

    def remove(self, run):
        """Forget a run that has ended."""
        self._reports.pop(run, None)
        self._sums = None

    def get(self, endpoint_id):
        """Return the other hosts' :class:`Load` on an endpoint."""
        return self.sums().get(endpoint_id, NO_LOAD)

    def sums(self):
        """Return the other hosts' :class:`Load` by endpoint id.

        Endpoints without work of theirs are left out.
        """
        now = self.clock.now()
        if self._sums is None or now - self._summed_ms > REPORT_VALID_MS:
            self._sums = add_loads(self._valid(now).values())
            self._summed_ms = now
        return self._sums

    def sum_zone(self, zone, own):
        """Return the work of a zone's hosts by endpoint id.

        :param own: this host's own work.
        """
        reports = [
            loads
            for run, loads in self._valid(self.clock.now()).items()
            if run.zone == zone and not run.whole_zone
        ]
        return add_loads([own, *reports])

    def _valid(self, now):
        """Return the loads by run of the reports that are not too old."""
        return {
            run: loads
            for run, (received_ms, loads) in self._reports.items()
            if now - received_ms <= REPORT_VALID_MS
        }


def add_loads(reports):
    """Add up several hosts' :class:`Load` by endpoint id."""
    sums = {}
    for loads in reports:
        for endpoint_id, load in loads.items():
            known = sums.get(endpoint_id)
            if known is None:
                sums[endpoint_id] = load
                continue
            sums[endpoint_id] = Load(
                known.calls + load.calls,
                known.reading_tokens + load.reading_tokens,
            )
    return sums
