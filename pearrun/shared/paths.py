"""Failed network paths to endpoints, exchanged between hosts.

Load pattern: endpoints fall silent, or a failure domain is partitioned, while
every host keeps idle connections to many endpoints.  A call sent on such a
connection may have run, so one that must not be repeated is lost, and without
an exchange each host loses calls at each endpoint.  Hosts tell each other
which paths have failed and close their idle connections on them.  The next
call then opens a connection: if that fails, the call has not run, and another
endpoint can serve it.
"""

import asyncio
import dataclasses
import random

from loguru import logger

from pearrun import exceptions
from pearrun.http1 import client
from pearrun.ids import EndpointId
from pearrun.ids import HostName
from pearrun.ids import ZoneName
from pearrun.shared.pools import CONNECT_TIMEOUT_MS
from pearrun.shared.pools import TCP_USER_TIMEOUT_MS
from pearrun.states import EndpointState

# Further endpoints of a failure domain that must all be unreachable before it
# is considered unreachable itself.  A few endpoints may be down together.
PROBED_ENDPOINTS = 3
# A failure that is reported again within this time is the same one: its age
# is not known exactly after several hops.
SAME_FAILURE_MS = 500
# Older failures are ignored, since the path may work again.
MAX_AGE_MS = 2000
# Failures sent in one message, and remembered to recognize copies.
MAX_SENT = 64
MAX_KNOWN = 1024


@dataclasses.dataclass(frozen=True)
class PathFailure:
    """A path on which a host could not reach endpoints.

    :param reporter: the host that observed it.
    :param source: the host's zone.
    :param zone: zone of the endpoints.
    :param endpoint_id: the endpoint; ``None`` for the whole zone.
    :param at_ms: when it was observed, by this host's clock; in messages,
        the time since then.
    """

    reporter: HostName
    source: ZoneName
    zone: ZoneName
    endpoint_id: EndpointId | None
    at_ms: int

    @property
    def key(self):
        """What identifies repeated reports of the same failure."""
        return self.reporter, self.zone, self.endpoint_id


class Paths:
    """Records failed paths of this host and of others.

    :param name: this host's name.
    :param zone: its zone.
    :param fleet: the :class:`Fleet`.
    :param selection: the :class:`Selection`, which avoids unreachable zones.
    :param pools: the :class:`EndpointPools`.

    ``notify_peers`` is called to report a failure to the other hosts
    immediately.
    """

    def __init__(self, clock, name, zone, fleet, selection, pools):
        self.clock = clock
        self.name = name
        self.zone = zone
        self.fleet = fleet
        self.selection = selection
        self.pools = pools
        self.notify_peers = lambda: None
        self._known = {}
        self._pending = []
        self._probes = {}

    def note_silent(self, record):
        """Record that an endpoint did not respond at all.

        :param record: its :class:`EndpointRecord`.
        """
        self._report(record.zone, record.id)

    def note_broken(self, record):
        """Record that a connection to an endpoint was refused or reset.

        If other endpoints of its zone cannot be reached either, the zone is
        considered unreachable.
        """
        zone = record.zone
        if zone == self.zone or zone in self._probes:
            return
        if self.selection.is_zone_paused(zone):
            return
        task = asyncio.create_task(self._probe_zone(record))
        self._probes[zone] = task
        task.add_done_callback(lambda done: self._probes.pop(zone))

    def merge(self, failures, forward):
        """Apply failures that another host has reported.

        :param failures: :class:`PathFailure` objects with times by this
            host's clock.
        :param forward: whether to send what is new to other hosts.
        """
        new = [failure for failure in failures if self._remember(failure)]
        for failure in new:
            self._apply(failure)
        if forward:
            self._pending.extend(new)

    def collect_updates(self):
        """Return the :class:`PathFailure` objects to send now."""
        pending, self._pending = self._pending[:MAX_SENT], []
        return pending

    async def _probe_zone(self, record):
        others = [
            endpoint.record
            for endpoint in self.fleet.endpoints.values()
            if endpoint.record.zone == record.zone
            and endpoint.record.state is EndpointState.LIVE
            and endpoint.id != record.id
        ]
        if not others:
            return
        for other in random.sample(others, min(PROBED_ENDPOINTS, len(others))):
            if await can_connect(other.address):
                return
        self._report(record.zone, None)

    def _report(self, zone, endpoint_id):
        failure = PathFailure(
            self.name, self.zone, zone, endpoint_id, self.clock.now()
        )
        if self._remember(failure):
            self._apply(failure)
            self._pending.append(failure)
            self.notify_peers()

    def _remember(self, failure):
        """Record a failure.

        :returns: whether it is new, and recent enough to act on.
        """
        known_ms = self._known.get(failure.key)
        if known_ms is not None and (
            failure.at_ms - known_ms < SAME_FAILURE_MS
        ):
            return False
        if self.clock.since(failure.at_ms) > MAX_AGE_MS:
            return False
        self._known.pop(failure.key, None)
        self._known[failure.key] = failure.at_ms
        while len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]
        return True

    def _apply(self, failure):
        if failure.endpoint_id is not None:
            self.pools.close_idle(failure.endpoint_id)
            return
        if failure.source != self.zone:
            # Hosts of other zones use other paths.
            return
        self.selection.pause_zone(failure.zone)
        for endpoint in self.fleet.endpoints.values():
            if endpoint.record.zone == failure.zone:
                self.pools.close_idle(endpoint.id)
        logger.bind(
            zone=failure.zone,
            reporter=failure.reporter,
            age_ms=self.clock.since(failure.at_ms),
        ).info('zone unreachable')


async def can_connect(address):
    """Return whether an address accepts connections.

    :param address: ``IP:PORT``.
    """
    try:
        connection = await client.connect(
            address, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS
        )
    except exceptions.EndpointUnreachableError:
        return False
    connection.abort()
    return True
