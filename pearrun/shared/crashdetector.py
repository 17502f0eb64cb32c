"""Detects endpoint crashes and the calls that were in flight there.

Load pattern: a connection breaks because the endpoint crashes, because it
sends a broken response but keeps running, because it shuts down as announced,
or because of a network partition, which can look like a crash of all endpoints
on the other side.  An endpoint counts as crashed if its address refuses
connections and its heartbeats at the platform have stopped as well.  While
the endpoint list cannot be read, heartbeats are not available, and only for
endpoints in the host's own failure domain can a partition be excluded.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.decisions.evidence import Crash
from pearrun.ids import Fingerprint
from pearrun.ids import RequestId
from pearrun.ids import ZoneName
from pearrun.states import EndpointState

# If a read started at least this long after an endpoint was found to be down,
# the heartbeats it returns were sent after that time.  Reads are separated by
# pauses, and each returns everything written since the previous one.
READ_MARGIN_MS = 400
# Maximum delay of a heartbeat, as a fraction of the heartbeat interval.
HEARTBEAT_JITTER = 0.25
# A long poll may start this long before the heartbeat that it returns is sent;
# its start counts as the time of the read.
READ_LEAD_MS = 300
# An endpoint list older than this is considered unreadable.
LIST_STALE_MS = 2500
# How long an outage and its broken calls are kept.
EXPIRY_MS = 10_000
# Limits: broken calls kept per endpoint, and endpoints with kept calls.
MAX_CALLS = 256
MAX_ENDPOINTS = 256


@dataclasses.dataclass(frozen=True)
class BrokenCall:
    """A call whose connection to an endpoint broke.

    :param fingerprint: that of the request; ``None`` if it cannot be the
        cause.
    :param ran_ms: milliseconds between sending the call and the break.
    :param at_ms: monotonic time of the break.
    :param call_was_stable: see
        :func:`pearrun.decisions.evidence.is_call_stable`.
    :param call_id: id of the call, shared by its attempts at several
        endpoints.
    :param part_fingerprints: of the prompt parts that may be the cause.
    """

    fingerprint: Fingerprint | None
    ran_ms: int
    at_ms: int
    call_was_stable: bool = False
    call_id: RequestId = ''
    part_fingerprints: tuple[Fingerprint, ...] = ()

    @property
    def fingerprints(self):
        """Fingerprints of everything that may have crashed the endpoint."""
        if self.fingerprint is None:
            return self.part_fingerprints
        return (self.fingerprint, *self.part_fingerprints)


@dataclasses.dataclass
class Outage:
    """An endpoint that broke calls or refused connections.

    :param begun_ms: monotonic time of the first failure.
    :param down_ms: when it was found to refuse connections; ``None`` if it
        was not.
    :param proven: whether the crash is confirmed.
    :param reported_count: how many of the calls were reported before the
        crash was proven.
    :param calls: the :class:`BrokenCall` objects.
    """

    zone: ZoneName
    begun_ms: int
    down_ms: int | None = None
    proven: bool = False
    reported_count: int = 0
    calls: list = dataclasses.field(default_factory=list)


class CrashDetector:
    """Detects crashes from heartbeats and from broken or refused connections.

    ``handle_crashes`` is a callback that gets pairs of the fingerprint of a
    request or prompt part and a :class:`Crash`: first when the endpoint is
    found to be down, and again when its crash is proven.  ``retract_crash`` is
    a callback that gets the id of an endpoint that turned out not to have
    crashed.

    :param fleet: the :class:`Fleet`.
    :param zone: this host's failure domain.
    :param heartbeat_ms: interval between an endpoint's heartbeats.
    """

    def __init__(self, clock, fleet, zone, heartbeat_ms):
        self.clock = clock
        self.fleet = fleet
        self.zone = zone
        max_interval_ms = int(heartbeat_ms * (1 + HEARTBEAT_JITTER))
        self.proof_ms = READ_MARGIN_MS + max_interval_ms + READ_LEAD_MS
        self.handle_crashes = lambda crashes: None
        self.retract_crash = lambda endpoint_id: None
        self.total = 0
        self._outages = collections.OrderedDict()

    def note_broken(self, endpoint, broken):
        """Record that a connection closed before the response was complete.

        :param endpoint: the :class:`Endpoint`.
        :param broken: the :class:`BrokenCall`.
        :returns: whether to check by a probe that the endpoint is down.
        """
        outage = self._find_outage(endpoint.id)
        if outage is None:
            return False
        if len(outage.calls) < MAX_CALLS:
            outage.calls.append(broken)
        self._report(endpoint.id, outage)
        return outage.down_ms is None

    def note_down(self, endpoint_id):
        """Record that an endpoint's address refuses connections."""
        outage = self._find_outage(endpoint_id)
        if outage is not None and outage.down_ms is None:
            outage.down_ms = self.clock.now()
            self._report(endpoint_id, outage)

    def note_heartbeat(self, endpoint_id, asked_ms):
        """Record a heartbeat of an endpoint.

        A heartbeat sent after the endpoint was found to be down rules out a
        crash.

        :param asked_ms: start of the read that returned the heartbeat.
        """
        outage = self._outages.get(endpoint_id)
        if outage is None or outage.down_ms is None:
            return
        if asked_ms >= outage.down_ms + READ_MARGIN_MS:
            self._rule_out(endpoint_id, 'heartbeat')

    def note_leaving(self, endpoint_id):
        """Record that an endpoint has announced its shutdown."""
        outage = self._outages.get(endpoint_id)
        if outage is not None and not outage.proven:
            self._rule_out(endpoint_id, 'leaves')

    def note_removed(self, endpoint_id):
        """Record that an endpoint's entry was removed from the list.

        An endpoint that shuts down removes its entry and keeps serving for
        some time.  If it was down before, it has crashed, and the entry
        has expired.
        """
        outage = self._outages.get(endpoint_id)
        if outage is None or outage.proven:
            return
        if outage.down_ms is None:
            self._rule_out(endpoint_id, 'left')
        else:
            self._prove(endpoint_id, outage)

    def has_outages(self):
        """Return whether any endpoint is suspected to have crashed."""
        return bool(self._outages)

    def restart_proofs(self):
        """Restart all proofs, because heartbeats may have been missed."""
        now = self.clock.now()
        for outage in self._outages.values():
            if outage.down_ms is not None:
                outage.down_ms = now

    def check(self):
        """Report crashes that are proven by now; drop expired outages."""
        now = self.clock.now()
        for endpoint_id, outage in list(self._outages.items()):
            if now - outage.begun_ms > EXPIRY_MS:
                del self._outages[endpoint_id]
            elif not outage.proven and self._is_proven(outage, now):
                self._prove(endpoint_id, outage)

    def _find_outage(self, endpoint_id):
        """Return the outage of an endpoint, creating one if necessary.

        :returns: an :class:`Outage`, or ``None`` if the endpoint is unknown
            or not live.
        """
        known = self.fleet.endpoints.get(endpoint_id)
        if known is None or known.record.state is not EndpointState.LIVE:
            return None
        outage = self._outages.get(endpoint_id)
        if outage is None:
            outage = Outage(known.record.zone, self.clock.now())
            self._outages[endpoint_id] = outage
            while len(self._outages) > MAX_ENDPOINTS:
                self._outages.popitem(last=False)
        return outage

    def _is_proven(self, outage, now):
        if outage.down_ms is None:
            return False
        listed_ms = self.fleet.listed_ms or 0
        if now - listed_ms > LIST_STALE_MS:
            return outage.zone == self.zone
        return listed_ms >= outage.down_ms + self.proof_ms

    def _prove(self, endpoint_id, outage):
        outage.proven = True
        self.total += 1
        self._report(endpoint_id, outage)

    def _rule_out(self, endpoint_id, reason):
        outage = self._outages.pop(endpoint_id)
        self.retract_crash(endpoint_id)
        logger.bind(
            endpoint=endpoint_id, reason=reason, calls=len(outage.calls)
        ).info('endpoint has not crashed')

    def _report(self, endpoint_id, outage):
        """Report calls of an endpoint that is down.

        Unproven calls are reported once each; with the proof, all calls
        are reported again.
        """
        if outage.down_ms is None:
            return
        calls = outage.calls[outage.reported_count :]
        if outage.proven:
            calls, outage.calls = outage.calls, []
            outage.reported_count = 0
        else:
            outage.reported_count = len(outage.calls)
        if not calls:
            return
        logger.bind(
            endpoint=endpoint_id,
            proven=outage.proven,
            calls=[
                (call.fingerprint, call.ran_ms, call.part_fingerprints)
                for call in calls
            ],
        ).info('endpoint crashed')
        crashes = [
            (fingerprint, make_crash(endpoint_id, outage, call))
            for call in calls
            for fingerprint in call.fingerprints
        ]
        self.handle_crashes(crashes)


def make_crash(endpoint_id, outage, call):
    """Return the :class:`Crash` for a broken call."""
    return Crash(
        endpoint_id,
        call.at_ms,
        call.ran_ms,
        call.call_was_stable,
        call.call_id,
        outage.zone,
        outage.proven,
    )
