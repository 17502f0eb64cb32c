"""Brittle endpoints, as known to this host.

All endpoints of a service are brittle at the same time and say so in their
answers, so that each host learns of it from its own calls.
"""

import dataclasses

from loguru import logger

from pearrun.decisions import brittleness
from pearrun.decisions.brittleness import Brittleness
from pearrun.decisions.brittleness import StartAllowance

# Shorter answers than this tell little about what an endpoint can serve.
MIN_ANSWER_S = 0.001


@dataclasses.dataclass
class BrittleService:
    """A service with brittle endpoints.

    :param said_ms: when an answer last said so.
    :param allowances: the :class:`StartAllowance` by endpoint id.
    """

    brittleness: Brittleness
    said_ms: int
    allowances: dict = dataclasses.field(default_factory=dict)


class BrittleEndpoints:
    """The services whose endpoints are brittle.

    :param loads: the :class:`Loads` of the other hosts.
    :param demands: the :class:`Demands`, for the duration of answers.
    :param feed: the :class:`Feed`; says whether the hosts use hubs.
    :param limits: the :class:`EndpointLimits`, which all hosts share.
    :param count_hosts: returns among how many hosts to divide free slots.
    """

    def __init__(self, clock, loads, demands, feed, limits, count_hosts):
        self.clock = clock
        self.loads = loads
        self.demands = demands
        self.feed = feed
        self.limits = limits
        self.count_hosts = count_hosts
        self._services = {}

    def is_brittle(self, service_name):
        """Return whether the endpoints of a service are brittle now."""
        return self._find(service_name) is not None

    def count(self):
        """Return the number of services whose endpoints are brittle."""
        return sum(self.is_brittle(name) for name in list(self._services))

    def note_brittle(self, service_name, brittle):
        """Record that an answer said that its endpoint is brittle.

        :param brittle: the :class:`Brittleness`.
        """
        now = self.clock.now()
        known = self._find(service_name)
        if known is None or known.brittleness != brittle:
            logger.bind(
                service=service_name,
                max_refusals_per_s=brittle.max_refusals_per_s,
            ).info('endpoints brittle')
        if known is None:
            known = self._services[service_name] = BrittleService(brittle, now)
        known.brittleness = brittle
        known.said_ms = now

    def note_sound(self, service_name, sent_ms):
        """Record that an answer did not say that its endpoint is brittle.

        :param sent_ms: when its call was sent; answers may overtake each
            other.
        """
        known = self._services.get(service_name)
        if known is not None and sent_ms > known.said_ms:
            del self._services[service_name]
            logger.bind(service=service_name).info('endpoints sound')

    def note_refused(self, endpoint):
        """Limit the calls to an endpoint that refused one for want of room.

        :param endpoint: the :class:`Endpoint`.
        """
        record = endpoint.record
        known = self._find(record.service)
        if known is None:
            return
        answer_s = self.demands.get_answer_ms(record.service) / 1000.0
        served_per_s = record.slots / max(MIN_ANSWER_S, answer_s)
        limit = known.brittleness.compute_limit(
            self.limits.get_rate(endpoint), served_per_s
        )
        self.limits.note_advertised(endpoint.id, limit)

    def filter_allowed(self, service_name, endpoints):
        """Return the endpoints at which this host may start a call now.

        :param endpoints: a list of :class:`Endpoint`.
        """
        known = self._find(service_name)
        if known is None:
            return endpoints
        loads = self.loads.sum()
        return [
            item for item in endpoints if self._is_allowed(known, item, loads)
        ]

    def take(self, endpoint):
        """Count a call that is about to be sent to an endpoint."""
        known = self._services.get(endpoint.record.service)
        if known is not None and endpoint.id in known.allowances:
            known.allowances[endpoint.id].take()

    def _is_allowed(self, known, endpoint, loads):
        now = self.clock.now()
        allowance = known.allowances.get(endpoint.id)
        if allowance is None:
            allowance = known.allowances[endpoint.id] = StartAllowance(now)
        load = loads.get(endpoint.id)
        others = load.calls if load else 0
        free = endpoint.record.slots - endpoint.calls - others
        hosts = self.count_hosts()
        turnover_ms = self._get_turnover_ms(endpoint.record.service)
        allowance.refill(free, hosts, turnover_ms, now)
        return free > 0 and allowance.has_call()

    def _get_turnover_ms(self, service_name):
        report_age_ms = brittleness.REPORT_AGE_MS
        if self.feed.through_hubs:
            report_age_ms = brittleness.HUB_REPORT_AGE_MS
        answer_ms = self.demands.get_answer_ms(service_name)
        return max(1.0, min(report_age_ms, answer_ms))

    def _find(self, service_name):
        """Return a service's :class:`BrittleService` while it is valid."""
        known = self._services.get(service_name)
        if known is None:
            return None
        if self.clock.since(known.said_ms) > brittleness.VALID_MS:
            del self._services[service_name]
            return None
        return known
