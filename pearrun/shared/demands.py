"""Demand for each service: at this host, and summed over all hosts."""

from pearrun.decisions.demand import add_demands
from pearrun.decisions.demand import DemandMeter
from pearrun.decisions.demand import NO_DEMAND
from pearrun.shared.runreports import RunReports


class Demands:
    """Measures this host's demand and adds the other hosts' reports."""

    def __init__(self, clock):
        self.clock = clock
        self.others = RunReports(clock, add_by_service)
        self._meters = {}

    def note_call(self, service_name, tokens, target_ms):
        """Record a call; see :meth:`DemandMeter.note_call`."""
        meter = self._get_meter(service_name)
        meter.note_call(tokens, target_ms, self.clock.now())

    def note_answer(self, service_name, took_ms):
        """Record the duration of a call that was answered completely."""
        self._get_meter(service_name).note_answer(took_ms)

    def get_answer_ms(self, service_name):
        """Return the mean duration of a service's answered calls."""
        return self._get_meter(service_name).answer_ms

    def measure_own(self):
        """Return this host's :class:`Demand` by service."""
        now = self.clock.now()
        return {
            name: meter.measure(now) for name, meter in self._meters.items()
        }

    def sum_all(self, service_name):
        """Return the :class:`Demand` for a service, over all hosts."""
        own = self.measure_own().get(service_name, NO_DEMAND)
        others = self.others.sum().get(service_name, NO_DEMAND)
        return add_demands((own, others))

    def _get_meter(self, service_name):
        if service_name not in self._meters:
            self._meters[service_name] = DemandMeter()
        return self._meters[service_name]


def add_by_service(reports):
    """Add up several hosts' :class:`Demand` by service."""
    sums = {}
    for report in reports:
        for name, demand in report.items():
            known = sums.get(name, NO_DEMAND)
            sums[name] = add_demands((known, demand))
    return sums
