"""Calls that were under way at endpoints when these crashed.

Load pattern: connections break because an endpoint crashes, because it spoils
an answer and goes on, because it leaves as announced, or because the path to
it is cut, which may look like a crash of all endpoints behind the cut.  An
endpoint has crashed if nothing listens at its address any more and the
platform does not hear it either: its heartbeats have ended.  While the list
of endpoints cannot be read, only those of the host's own failure domain can
be told from endpoints behind a cut.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.decisions.evidence import Crash
from pearrun.ids import Fingerprint
from pearrun.ids import RequestId
from pearrun.ids import ZoneName
from pearrun.states import EndpointState

# A heartbeat that was read this long after an endpoint was found down was
# sent after that: reads pause, and say what came meanwhile.
READ_MARGIN_MS = 400
# Heartbeats come this much later than they are due at the most, as a part of
# the time between them; a read that waits for one is begun before it.
BEAT_JITTER = 0.25
READ_WAIT_MS = 300
# The list of endpoints cannot be read if it is older than this.
LIST_STALE_MS = 2500
# How long what an endpoint broke is kept.
KEEP_MS = 10_000
# Broken calls kept of one endpoint, and endpoints they are kept of.
MAX_CALLS = 256
MAX_ENDPOINTS = 256


@dataclasses.dataclass(frozen=True)
class BrokenCall:
    """A call whose connection to an endpoint broke.

    :param ran_ms: milliseconds since it was sent there.
    :param at_ms: monotonic time of the break.
    :param ran_well: see :func:`pearrun.decisions.evidence.is_call_stable`.
    :param call_id: the attempt; one may meet several endpoints.
    """

    fingerprint: Fingerprint
    ran_ms: int
    at_ms: int
    ran_well: bool = False
    call_id: RequestId = ''


@dataclasses.dataclass
class Outage:
    """An endpoint that broke calls or took no connection.

    :param begun_ms: monotonic time of the first sign.
    :param down_ms: when nothing listened there; ``None`` if unknown.
    :param proven: whether it has crashed.
    :param told: how many of the calls were reported as not proven.
    """

    zone: ZoneName
    begun_ms: int
    down_ms: int | None = None
    proven: bool = False
    told: int = 0
    calls: list = dataclasses.field(default_factory=list)


class Crashes:
    """Finds crashes from broken connections, refused ones and heartbeats.

    ``take_crashes`` is called with pairs of a fingerprint and a
    :class:`Crash`: as soon as an endpoint is found down, and once more when
    its crash is proven.  ``take_back`` is called with the id of an endpoint
    that has not crashed.

    :param fleet: the :class:`Fleet`.
    :param zone: this host's failure domain.
    :param beat_ms: time between an endpoint's heartbeats.
    """

    def __init__(self, clock, fleet, zone, beat_ms):
        self.clock = clock
        self.fleet = fleet
        self.zone = zone
        longest_beat_ms = int(beat_ms * (1 + BEAT_JITTER))
        self.proof_ms = READ_MARGIN_MS + longest_beat_ms + READ_WAIT_MS
        self.take_crashes = lambda crashes: None
        self.take_back = lambda endpoint_id: None
        self.total = 0
        self._outages = collections.OrderedDict()

    def note_broken(self, endpoint, broken):
        """Note that a call's connection was closed before its answer ended.

        :param endpoint: the :class:`Endpoint`.
        :param broken: the :class:`BrokenCall`.
        :returns: whether it has to be found out if something listens there.
        """
        outage = self._find(endpoint.id)
        if outage is None:
            return False
        if len(outage.calls) < MAX_CALLS:
            outage.calls.append(broken)
        self._report(endpoint.id, outage)
        return outage.down_ms is None

    def note_down(self, endpoint_id):
        """Note that nothing listens at an endpoint's address any more."""
        outage = self._find(endpoint_id)
        if outage is not None and outage.down_ms is None:
            outage.down_ms = self.clock.now()
            self._report(endpoint_id, outage)

    def note_heard(self, endpoint_id, asked_ms):
        """Note an endpoint's heartbeat.

        :param asked_ms: when the read that told it was begun.
        """
        outage = self._outages.get(endpoint_id)
        if outage is None or outage.down_ms is None:
            return
        if asked_ms >= outage.down_ms + READ_MARGIN_MS:
            self._rule_out(endpoint_id, 'heartbeat')

    def note_leaving(self, endpoint_id):
        """Note that an endpoint has announced that it leaves."""
        outage = self._outages.get(endpoint_id)
        if outage is not None and not outage.proven:
            self._rule_out(endpoint_id, 'leaves')

    def note_removed(self, endpoint_id):
        """Note that an endpoint's entry was removed.

        One that leaves serves for some time after that; one that was down
        before has crashed, and its entry has lapsed.
        """
        outage = self._outages.get(endpoint_id)
        if outage is None or outage.proven:
            return
        if outage.down_ms is None:
            self._rule_out(endpoint_id, 'left')
        else:
            self._prove(endpoint_id, outage)

    def has_outages(self):
        """Say whether an endpoint is watched."""
        return bool(self._outages)

    def note_missed(self):
        """Note that heartbeats may have been missed: proofs begin anew."""
        now = self.clock.now()
        for outage in self._outages.values():
            if outage.down_ms is not None:
                outage.down_ms = now

    def check(self):
        """Report the endpoints that are proven to have crashed by now."""
        now = self.clock.now()
        for endpoint_id, outage in list(self._outages.items()):
            if now - outage.begun_ms > KEEP_MS:
                del self._outages[endpoint_id]
            elif not outage.proven and self._is_proven(outage, now):
                self._prove(endpoint_id, outage)

    def _find(self, endpoint_id):
        """Return the outage of an endpoint in use, begun now if need be."""
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
        self.take_back(endpoint_id)
        logger.bind(
            endpoint=endpoint_id, reason=reason, calls=len(outage.calls)
        ).info('endpoint has not crashed')

    def _report(self, endpoint_id, outage):
        """Report the calls of an endpoint that is down, or has crashed."""
        if outage.down_ms is None:
            return
        calls = outage.calls[outage.told :]
        if outage.proven:
            calls, outage.calls = outage.calls, []
            outage.told = 0
        else:
            outage.told = len(outage.calls)
        if not calls:
            return
        logger.bind(
            endpoint=endpoint_id,
            proven=outage.proven,
            calls=[(call.fingerprint, call.ran_ms) for call in calls],
        ).info('endpoint crashed')
        crashes = [
            (call.fingerprint, make_crash(endpoint_id, outage, call))
            for call in calls
        ]
        self.take_crashes(crashes)


def make_crash(endpoint_id, outage, call):
    """Return the :class:`Crash` of an endpoint under a call."""
    return Crash(
        endpoint_id,
        call.at_ms,
        call.ran_ms,
        call.ran_well,
        call.call_id,
        outage.zone,
        outage.proven,
    )
