"""Calls that were under way at endpoints when these crashed.

A connection that breaks says little: an endpoint may spoil one answer and
go on.  It has crashed if nothing listens at its address right afterwards.
Endpoints that fall silent are behind a cut path or without power, and those
that announced their end were asked to; neither counts.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.ids import Fingerprint
from pearrun.states import EndpointState

# A broken connection and a refused one within this time are one crash.
CONFIRM_MS = 5000
# Broken calls kept of one endpoint, and endpoints they are kept of.
MAX_CALLS = 256
MAX_ENDPOINTS = 256


@dataclasses.dataclass(frozen=True)
class BrokenCall:
    """A call whose connection to an endpoint broke.

    :param ran_ms: milliseconds since it was sent there.
    :param at_ms: monotonic time of the break.
    :param ran_well: see :func:`pearrun.decisions.quarantine.runs_well`.
    """

    fingerprint: Fingerprint
    ran_ms: int
    at_ms: int
    ran_well: bool = False


class Crashes:
    """Finds crashes from broken and refused connections.

    ``take_crash`` is called with an endpoint's id and the
    :class:`BrokenCall` objects that its crash broke.

    :param fleet: the :class:`Fleet`.
    """

    def __init__(self, clock, fleet):
        self.clock = clock
        self.fleet = fleet
        self.take_crash = lambda endpoint_id, calls: None
        self.total = 0
        self._broken = collections.OrderedDict()
        self._down_ms = collections.OrderedDict()

    def note_broken(self, endpoint, broken):
        """Note that a call's connection was closed before its answer ended.

        :param endpoint: the :class:`Endpoint`.
        :param broken: the :class:`BrokenCall`.
        :returns: whether it has to be found out if the endpoint crashed.
        """
        now = self.clock.now()
        known = self.fleet.endpoints.get(endpoint.id)
        if known is None or known.record.state is not EndpointState.LIVE:
            return False
        down_ms = self._down_ms.get(endpoint.id)
        if down_ms is not None and now - down_ms < CONFIRM_MS:
            self._report(endpoint.id, [broken])
            return False
        calls = self._broken.setdefault(
            endpoint.id, collections.deque(maxlen=MAX_CALLS)
        )
        calls.append(broken)
        self._broken.move_to_end(endpoint.id)
        while len(self._broken) > MAX_ENDPOINTS:
            self._broken.popitem(last=False)
        return True

    def note_down(self, endpoint_id):
        """Note that nothing listens at an endpoint's address any more."""
        now = self.clock.now()
        if endpoint_id not in self._down_ms:
            self.total += 1
        self._down_ms[endpoint_id] = now
        self._down_ms.move_to_end(endpoint_id)
        while len(self._down_ms) > MAX_ENDPOINTS:
            self._down_ms.popitem(last=False)
        calls = [
            call
            for call in self._broken.pop(endpoint_id, ())
            if now - call.at_ms < CONFIRM_MS
        ]
        if calls:
            self._report(endpoint_id, calls)

    def _report(self, endpoint_id, calls):
        logger.bind(
            endpoint=endpoint_id,
            calls=[(call.fingerprint, call.ran_ms) for call in calls],
        ).info('endpoint crashed')
        self.take_crash(endpoint_id, calls)
