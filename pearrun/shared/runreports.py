"""What other hosts reported last, as long as it says something."""

# Reports older than this say nothing of the work now: most calls have
# ended.  Ten report periods, so a few lost ones do not matter.
REPORT_VALID_MS = 2000


class RunReports:
    """The last report of each run, and a sum over them.

    :param add: adds up an iterable of reports.
    """

    def __init__(self, clock, add):
        self.clock = clock
        self.add = add
        self._reports = {}
        self._sum = None
        self._summed_ms = 0

    def put(self, run, report):
        """Take a report.

        :param run: the :class:`Run` that reports.
        """
        self._reports[run] = (self.clock.now(), report)
        self._sum = None

    def remove(self, run):
        """Forget a run that has ended."""
        self._reports.pop(run, None)
        self._sum = None

    def sum(self):
        """Return the sum of all reports that are not too old."""
        now = self.clock.now()
        if self._sum is None or now - self._summed_ms > REPORT_VALID_MS:
            self._sum = self.add(self._valid(now).values())
            self._summed_ms = now
        return self._sum

    def sum_zone(self, zone, own):
        """Return the sum of the reports of a zone's hosts.

        :param own: this host's own report.
        """
        reports = [
            report
            for run, report in self._valid(self.clock.now()).items()
            if run.zone == zone and not run.whole_zone
        ]
        return self.add([own, *reports])

    def _valid(self, now):
        """Return the reports by run that are not too old."""
        return {
            run: report
            for run, (received_ms, report) in self._reports.items()
            if now - received_ms <= REPORT_VALID_MS
        }
