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

    def put(self, host, loads):
        """Take a host's report.

        :param loads: :class:`Load` by endpoint id.
        """
        self._reports[host] = (self.clock.now(), loads)
        self._sums = None

    def remove(self, host):
        """Forget a host that has left."""
        self._reports.pop(host, None)
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
            self._sums = self._sum(now)
            self._summed_ms = now
        return self._sums

    def _sum(self, now):
        sums = {}
        for received_ms, loads in self._reports.values():
            if now - received_ms > REPORT_VALID_MS:
                continue
            for endpoint_id, load in loads.items():
                known = sums.get(endpoint_id, NO_LOAD)
                sums[endpoint_id] = Load(
                    known.calls + load.calls,
                    known.reading_tokens + load.reading_tokens,
                )
        return sums
