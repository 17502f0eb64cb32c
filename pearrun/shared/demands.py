"""What is asked of each service: through this host, and through all."""

from pearrun.decisions.demand import add_demands
from pearrun.decisions.demand import DemandMeter
from pearrun.decisions.demand import NO_DEMAND
from pearrun.shared.runreports import RunReports


class Demands:
    """Measures this host's part; sums the other hosts' reports."""

    def __init__(self, clock):
        self.clock = clock
        self.others = RunReports(clock, add_by_service)
        self._meters = {}

    def note_call(self, service_name, tokens, target_ms):
        """Note a call; see :meth:`DemandMeter.note_call`."""
        meter = self._meter(service_name)
        meter.note_call(tokens, target_ms, self.clock.now())

    def note_answer(self, service_name, took_ms):
        """Note how long a call took that was answered whole."""
        self._meter(service_name).note_answer(took_ms)

    def answer_ms(self, service_name):
        """Return how long an answered call of a service takes."""
        return self._meter(service_name).answer_ms

    def own(self):
        """Return this host's :class:`Demand` by service."""
        now = self.clock.now()
        return {
            name: meter.measure(now) for name, meter in self._meters.items()
        }

    def total(self, service_name):
        """Return the :class:`Demand` of all hosts for a service."""
        own = self.own().get(service_name, NO_DEMAND)
        others = self.others.sum().get(service_name, NO_DEMAND)
        return add_demands((own, others))

    def _meter(self, service_name):
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
