"""The learnt models of the services' engines."""

from pearrun.decisions import enginemodel
from pearrun.decisions.enginemodel import EMPTY_SUMS
from pearrun.decisions.enginemodel import EngineModelSettings
from pearrun.shared.runreports import RunReports


class Engines:
    """What this host and the others saw of each service's engines."""

    def __init__(self, clock):
        self.settings = EngineModelSettings()
        self.others = RunReports(clock, enginemodel.add_sums)
        self.own = {}

    def note_first(self, service_name, tokens, waited_ms):
        """Learn from the time to a first token.

        :param tokens: prompt tokens that were to be read until then, those
            of calls before it included.
        :param waited_ms: milliseconds from its sending.
        """
        model = self.of_service(service_name)
        if enginemodel.is_outlier(model, tokens, waited_ms, self.settings):
            return
        known = self.own.get(service_name, EMPTY_SUMS)
        seen = enginemodel.make_sums(tokens, waited_ms)
        self.own[service_name] = known.scale(self.settings.decay).combine(seen)

    def of_service(self, service_name):
        """Return a service's :class:`EngineModel`.

        It is a guess until answers came.
        """
        own = self.own.get(service_name, EMPTY_SUMS)
        others = self.others.sum().get(service_name, EMPTY_SUMS)
        return enginemodel.fit_model(own.combine(others), self.settings)
