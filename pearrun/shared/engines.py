"""The learnt models of the services' engines."""

from pearrun.decisions.enginemodel import EngineModel


class Engines:
    """One :class:`EngineModel` for each service."""

    def __init__(self):
        self._models = {}

    def of_service(self, service_name):
        """Return a service's model; a first guess until answers came."""
        if service_name not in self._models:
            self._models[service_name] = EngineModel()
        return self._models[service_name]
