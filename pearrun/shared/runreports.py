"""The latest reports of other hosts, while they are valid."""

# Older reports no longer describe the current load, since most of their calls
# have ended.  This is ten report intervals, so that a few lost reports have no
# effect.
REPORT_VALID_MS = 2000


class RunReports:
    """The latest report of each run, and their sum.

    :param add: returns the sum of an iterable of reports.
    """

    def __init__(self, clock, add):
        self.clock = clock
        self.add = add
        self._reports = {}
        self._sum = None
        self._summed_ms = 0

    def put(self, run, report):
        """Store a report, replacing the run's previous one.

        :param run: the :class:`Run` that reports.
        """
        self._reports[run] = (self.clock.now(), report)
        self._sum = None

    def remove(self, run):
        """Remove the report of a run that has ended."""
        self._reports.pop(run, None)
        self._sum = None

    def sum(self):
        """Return the sum of all valid reports.

        The sum is cached until a report changes, or for at most
        ``REPORT_VALID_MS``.
        """
        now = self.clock.now()
        if self._sum is None or now - self._summed_ms > REPORT_VALID_MS:
            self._sum = self.add(self._list_valid(now).values())
            self._summed_ms = now
        return self._sum

    def sum_zone(self, zone, own):
        """Return the sum of the valid reports of a zone's hosts.

        :param own: this host's own report.
        """
        reports = [
            report
            for run, report in self._list_valid(self.clock.now()).items()
            if run.zone == zone and not run.whole_zone
        ]
        return self.add([own, *reports])

    def _list_valid(self, now):
        """Return the valid reports by run."""
        return {
            run: report
            for run, (received_ms, report) in self._reports.items()
            if now - received_ms <= REPORT_VALID_MS
        }
