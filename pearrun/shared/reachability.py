"""State of this host's network paths to endpoints, by service.

While the paths to all endpoints of a service are lost, new connections go
through other hosts (:mod:`pearrun.shared.tunnels`), and what this host
observes of single endpoints is not reported as their failure.
"""

import asyncio

from loguru import logger

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.decisions.directpaths import DirectPaths
from pearrun.http1 import client

# Interval of probes.  Paths that work again are used this much later.
PROBE_INTERVAL_MS = 500
# Reports of failures that wait for the result of a probe, by service.
MAX_PENDING_REPORTS = 64


class Reachability:
    """Tracks the direct paths to the endpoints of all services.

    :param fleet: the :class:`Fleet`.
    :param pool_settings: limits of the probes' connections; a
        :class:`PoolSettings`.

    ``close_idle`` is called with the id of each endpoint whose idle
    connections may be dead.
    """

    def __init__(self, fleet, pool_settings):
        self.fleet = fleet
        self.pool_settings = pool_settings
        self.close_idle = lambda endpoint_id: None
        self._services = {}
        self._probes = {}
        self._checks = {}
        self._pending = {}

    def is_lost(self, service_name):
        """Return whether no endpoint of a service can be reached directly."""
        paths = self._services.get(service_name)
        return paths is not None and paths.is_lost

    def is_lost_to(self, record):
        """Return whether an endpoint has to be reached in another way.

        :param record: its :class:`EndpointRecord`.
        """
        paths = self._services.get(record.service)
        return paths is not None and paths.is_lost_to(record.id)

    def is_suspect(self, service_name):
        """Return whether this host's paths, not endpoints, may have failed."""
        paths = self._services.get(service_name)
        if paths is None:
            return False
        return paths.is_suspect(self._list_live(service_name))

    def report_unless_lost(self, service_name, report):
        """Report an endpoint's failure unless this host's paths have failed.

        If that is not known yet, the report is delayed until it is.

        :param report: function that reports the failure.
        """
        if not self.is_suspect(service_name):
            report()
        elif not self.is_lost(service_name):
            pending = self._pending.setdefault(service_name, [])
            if len(pending) < MAX_PENDING_REPORTS:
                pending.append(report)

    def check_silence(self, record, handle_silence):
        """Find out whether an endpoint responds, by a new connection.

        :param record: its :class:`EndpointRecord`.
        :param handle_silence: called if it does not; calls of this method
            during a check of the same endpoint are ignored.
        """
        if record.id in self._checks:
            return
        task = asyncio.create_task(
            self._check_endpoint(record, handle_silence)
        )
        self._checks[record.id] = task
        task.add_done_callback(lambda done: self._checks.pop(record.id))

    async def _check_endpoint(self, record, handle_silence):
        if await self._probe_endpoint(record):
            handle_silence()

    def list_lost(self):
        """Return the names of the services that cannot be reached."""
        return [name for name in self._services if self.is_lost(name)]

    def note_unreached(self, record):
        """Record that an endpoint accepted no connection or fell silent.

        :param record: its :class:`EndpointRecord`.
        """
        service_name = record.service
        paths = self._services.setdefault(service_name, DirectPaths())
        paths.note_unreached(record.id)
        if service_name not in self._probes and self.is_suspect(service_name):
            self._start_probe(service_name)

    def note_connected(self, record):
        """Record that an endpoint accepted a direct connection."""
        paths = self._services.get(record.service)
        if paths is None:
            return
        was_lost = paths.is_lost
        paths.note_connected()
        for report in self._pending.pop(record.service, ()):
            report()
        if was_lost:
            self._reset_endpoints(record.service)
            logger.bind(service=record.service, endpoint=record.id).info(
                'endpoints reachable'
            )

    def _start_probe(self, service_name):
        task = asyncio.create_task(self._probe(service_name))
        self._probes[service_name] = task
        task.add_done_callback(lambda done: self._probes.pop(service_name))

    async def _probe(self, service_name):
        """Probe endpoints until the paths are no longer suspect."""
        paths = self._services[service_name]
        while paths.is_suspect(self._list_live(service_name)):
            silent = await self._probe_once(service_name)
            live = self._list_live(service_name)
            if not live:
                self._pending.pop(service_name, None)
                paths.note_connected()
            elif paths.is_suspect(live) and not paths.is_lost:
                self._note_lost(service_name, silent)
            await asyncio.sleep(to_seconds(PROBE_INTERVAL_MS))

    async def _probe_once(self, service_name):
        """Connect to a sample of the endpoints.

        :returns: the number of endpoints that did not respond at all.
        """
        paths = self._services[service_name]
        chosen = paths.choose_probes(self._list_live(service_name))
        records = [self.fleet.endpoints[item].record for item in chosen]
        return sum(
            await asyncio.gather(*(self._probe_endpoint(r) for r in records))
        )

    async def _probe_endpoint(self, record):
        """Try to connect to an endpoint.

        :returns: whether it did not respond at all.
        """
        try:
            connection = await client.connect(
                record.address,
                self.pool_settings.connect_timeout_ms,
                self.pool_settings.user_timeout_ms,
            )
        except exceptions.EndpointUnreachableError as exc:
            return isinstance(exc, exceptions.EndpointSilentError)
        connection.abort()
        self.note_connected(record)
        return False

    def _note_lost(self, service_name, silent):
        """Send new connections through other hosts from now on.

        Open connections may live on if new ones are refused, but not if
        endpoints do not respond at all.
        """
        live_ids = self._list_live(service_name)
        self._services[service_name].note_lost(live_ids)
        self._pending.pop(service_name, None)
        endpoints = self._reset_endpoints(service_name)
        if silent:
            for endpoint in endpoints:
                self.close_idle(endpoint.id)
        logger.bind(
            service=service_name, endpoints=len(endpoints), silent=silent
        ).warning('endpoints unreachable')

    def _reset_endpoints(self, service_name):
        """Forget the failures that were observed on the other paths."""
        endpoints = self.fleet.find_by_service(service_name)
        for endpoint in endpoints:
            endpoint.failures = 0
            endpoint.pause.clear()
        return endpoints

    def _list_live(self, service_name):
        return [
            endpoint.id
            for endpoint in self.fleet.find_by_service(service_name)
        ]
