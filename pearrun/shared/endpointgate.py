"""Which endpoints a host may send a call to, by the notices in their answers.

An answer may announce that its endpoint leaves, wants rest, has a rate limit
or is brittle.  All of that is binding, unlike pauses after failures, which are
lifted if no other endpoint is left.
"""

import dataclasses
import enum

from pearrun.decisions import rest

# Expected wait for a free slot of a brittle endpoint: hosts learn of free
# slots several times a second.
BRITTLE_WAIT_MS = 500


class WaitReason(enum.Enum):
    """Why no endpoint of a service may get a call now."""

    RESTS = 'endpoints at rest'
    LIMITS = 'endpoint limits'
    BRITTLE = 'brittle endpoints'


@dataclasses.dataclass(frozen=True)
class EndpointWait:
    """Why and for how long no endpoint of a service may get a call."""

    reason: WaitReason
    wait_ms: float


class EndpointGate:
    """Applies the notices of endpoints to calls.

    :param fleet: the :class:`Fleet`, without endpoints that leave.
    :param rests: the :class:`Rests`.
    :param limits: the :class:`EndpointLimits`.
    :param brittle: the :class:`BrittleEndpoints`.
    :param count_hosts: returns among how many hosts to divide slots.
    """

    def __init__(self, fleet, rests, limits, brittle, count_hosts):
        self.fleet = fleet
        self.rests = rests
        self.limits = limits
        self.brittle = brittle
        self.count_hosts = count_hosts

    def filter_allowed(self, service_name, endpoints):
        """Return the endpoints to which a call may be sent now.

        :param endpoints: a list of :class:`Endpoint` of the service.
        """
        if self.rests.has_any():
            endpoints = [
                item
                for item in endpoints
                if self.rests.allows_call(item.id, self._compute_share(item))
            ]
        endpoints = self.limits.filter_allowed(endpoints)
        return self.brittle.filter_allowed(service_name, endpoints)

    def may_send(self, endpoint_id):
        """Return whether a call that has been started may still be sent.

        A notice may have been received while a connection was opened.
        """
        is_resting = self.rests.is_resting(endpoint_id)
        return not is_resting and self.fleet.accepts_calls(endpoint_id)

    def begin_call(self, endpoint):
        """Count a call that is about to be sent to an :class:`Endpoint`."""
        self.limits.take(endpoint)
        self.brittle.take(endpoint)
        self.rests.begin_call(endpoint.id)

    def end_call(self, endpoint):
        """Record the end of a call that :meth:`begin_call` has counted."""
        self.rests.end_call(endpoint.id)

    def find_wait(self, service_name, version=None):
        """Return the :class:`EndpointWait` of a service.

        :param version: the version that began a call's stream, if it has one;
            only endpoints of that version count then.
        :returns: ``None`` if no notice is the reason.
        """
        listed = self.fleet.find_by_service(service_name)
        waits_ms = [
            self.rests.get_wait_ms(item.id, self._compute_share(item))
            for item in listed
            if version in (None, item.record.version)
        ]
        if waits_ms and all(waits_ms):
            return EndpointWait(WaitReason.RESTS, min(waits_ms))
        wait_ms = self.limits.get_wait_ms(service_name)
        if wait_ms:
            return EndpointWait(WaitReason.LIMITS, wait_ms)
        if self.brittle.is_brittle(service_name):
            return EndpointWait(WaitReason.BRITTLE, BRITTLE_WAIT_MS)
        return None

    def _compute_share(self, endpoint):
        """Return how many calls this host may start after a rest."""
        return rest.compute_share(endpoint.record.slots, self.count_hosts())
