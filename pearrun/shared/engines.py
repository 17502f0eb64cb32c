"""Performance models of the services' engines, fitted to their answers."""

from pearrun.decisions import enginemodel
from pearrun.decisions.enginemodel import EMPTY_SUMS
from pearrun.decisions.enginemodel import EngineModelSettings
from pearrun.shared.runreports import RunReports


class Engines:
    """Time-to-first-token samples of each service, from all hosts."""

    def __init__(self, clock):
        self.settings = EngineModelSettings()
        self.others = RunReports(clock, enginemodel.add_sums)
        self.own = {}

    def note_first_token(self, service_name, tokens, waited_ms):
        """Update a service's model with a time to first token.

        Outliers are ignored.

        :param tokens: prompt tokens to prefill before the first token,
            including those of calls queued ahead.
        :param waited_ms: milliseconds from sending the call.
        """
        model = self.find_by_service(service_name)
        if enginemodel.is_outlier(model, tokens, waited_ms, self.settings):
            return
        past = self.own.get(service_name, EMPTY_SUMS)
        sample = enginemodel.make_sums(tokens, waited_ms)
        self.own[service_name] = past.scale(self.settings.decay).combine(
            sample
        )

    def find_by_service(self, service_name):
        """Return a service's :class:`EngineModel`.

        Without any samples it is the prior.
        """
        own = self.own.get(service_name, EMPTY_SUMS)
        others = self.others.sum().get(service_name, EMPTY_SUMS)
        return enginemodel.fit_model(own.combine(others), self.settings)
