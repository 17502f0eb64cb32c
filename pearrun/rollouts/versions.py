"""Which version of a service a call may be sent to, as known to one host.

Load pattern: the endpoints of a new version appear before or after the order
that names it, while hosts are partitioned, restart or read old records.  A
host that does not hear from the lease holder sends nothing to the new version.
"""

import zlib

from loguru import logger

from pearrun.decisions import exposure
from pearrun.rollouts.orders import is_written_again
from pearrun.rollouts.orders import RolloutState
from pearrun.rollouts.serviceversions import ServiceVersions
from pearrun.states import EndpointState

# A notice of the lease holder permits calls to a new version for this long: a
# few lost rounds of reports are bridged, and a host that is cut off stops.
PERMIT_VALID_MS = 1500
# If no endpoint of the version in force has been listed for this long, other
# versions serve too.  Entries that expired during an outage of the store are
# back within two seconds.
MISSING_VERSION_MS = 3000


class Rollouts:
    """The versions of all services and the roll-outs that change them.

    :param clock: the :class:`Clock`.
    :param fleet: the :class:`Fleet`.
    :param settings: :class:`RolloutSettings`.
    """

    def __init__(self, clock, fleet, settings):
        self.clock = clock
        self.fleet = fleet
        self.settings = settings
        self.services = {}
        self.fencing = 0

    def get(self, service):
        """Return the :class:`ServiceVersions` of a service."""
        known = self.services.get(service)
        if known is None:
            known = self.services[service] = ServiceVersions()
        return known

    def list_open(self):
        """Return the :class:`ServiceVersions` with an open roll-out."""
        return [known for known in self.services.values() if known.is_open]

    def list_closed(self):
        """Return the :class:`ServiceVersions` whose roll-out has ended."""
        return [
            known
            for known in self.services.values()
            if known.order is not None and not known.is_open
        ]

    def has_orders(self):
        """Return whether there was a roll-out of any service."""
        return any(known.order for known in self.services.values())

    # orders, statuses and notices

    def put_order(self, order):
        """Begin a roll-out, unless the order is known already.

        :param order: :class:`RolloutOrder` or :class:`RolloutNotice`.
        """
        known = self.get(order.service)
        if known.order is not None and order.number <= known.order.number:
            if order.number == known.order.number:
                known.complete_order(order)
            return
        if known.order is not None and is_written_again(order, known.order):
            known.renumber(order)
            return
        self._find_current(order.service, known, excluded=order.to)
        superseded = known.order if known.is_open else None
        if superseded is not None:
            known.reject(superseded.to)
        known.is_repeated = (
            known.order is not None and known.order.to == order.to
        )
        known.order = order
        known.ordered_ms = self.clock.now()
        known.notice = None
        known.state = RolloutState.RUNNING
        known.rejected.discard(order.to)
        known.counts.restart()
        logger.bind(
            service=order.service,
            to=order.to,
            number=order.number,
            current=known.current,
            superseded=superseded.to if superseded else None,
        ).info('roll-out ordered')

    def put_status(self, status):
        """Apply a state that the store holds from before this host's start.

        :param status: :class:`RolloutStatus`.
        """
        known = self.get(status.service)
        if known.order is None or known.is_repeated:
            return
        if known.order.to == status.to:
            self._close(known, status.state, 'store')

    def put_notice(self, notice, fencing, created_ms):
        """Apply a notice of the lease holder.

        :param notice: :class:`RolloutNotice`.
        :param fencing: fencing token of the holder.
        :param created_ms: when the holder created it, in this host's time.
        """
        if fencing < self.fencing:
            return
        self.fencing = fencing
        self.put_order(notice)
        known = self.get(notice.service)
        if known.order.number != notice.number:
            return
        self._close(known, notice.state, 'holder')
        valid_until_ms = created_ms + PERMIT_VALID_MS
        if known.is_open and valid_until_ms >= known.permit_until_ms:
            known.permit_until_ms = valid_until_ms
            known.notice = notice

    def close(self, service, state):
        """End a roll-out; called by the lease holder.

        :param state: ``DONE`` or ``REVERTED``.
        """
        self._close(self.get(service), state, 'own decision')

    def _close(self, known, state, source):
        """Apply a final state; a roll-out that has one keeps it."""
        if not known.is_open or state is RolloutState.RUNNING:
            return
        known.state = state
        known.notice = None
        order = known.order
        if state is RolloutState.DONE:
            self._replace_old(known)
        else:
            known.reject(order.to)
        logger.bind(
            service=order.service,
            to=order.to,
            number=order.number,
            state=state.value,
            source=source,
        ).info('roll-out ended')

    def _replace_old(self, known):
        """Put the new version into force and reject those before it."""
        order = known.order
        old = {
            endpoint.record.version
            for endpoint in self.fleet.endpoints.values()
            if endpoint.record.service == order.service
        }
        old.add(known.current)
        now = self.clock.now()
        known.replace_by(order.to, old - {None, order.to}, now)

    # endpoints

    def note_listed(self, record):
        """Record that an endpoint is listed.

        :param record: its :class:`EndpointRecord`.
        """
        known = self.get(record.service)
        known.note_listed(record.version, self.clock.now())

    def select(self, service, endpoints, call_id, route, is_retry):
        """Return the endpoints that a call may be sent to.

        During a roll-out, a small share of the calls goes to a few endpoints
        of the new version, and retries go to the old one.

        :param endpoints: a list of :class:`Endpoint` of the service.
        :param route: name of the call's route.
        """
        if not self.settings.enabled:
            return endpoints
        known = self.get(service)
        if known.current is None:
            excluded = known.order.to if known.order else None
            self._find_current(service, known, excluded)
        if all(item.record.version == known.current for item in endpoints):
            known.missing_since_ms = None
            return endpoints
        now = self.clock.now()
        if known.is_permitted(now):
            new = self._select_new(known, endpoints, call_id, route, is_retry)
            if new:
                return new
        for endpoint in endpoints:
            known.note_listed(endpoint.record.version, now)
        serving = [
            endpoint
            for endpoint in endpoints
            if known.serves(endpoint.record.version, now)
        ]
        if serving:
            known.missing_since_ms = None
            return serving
        return self._select_other(service, known, endpoints)

    def select_version(self, service, endpoints, version):
        """Return the endpoints at which a stream of a version may go on.

        :param endpoints: a list of :class:`Endpoint` of the service.
        """
        endpoints = [
            endpoint
            for endpoint in endpoints
            if endpoint.record.version == version
        ]
        if not self.settings.enabled:
            return endpoints
        known = self.get(service)
        if known.is_in_force(version, self.clock.now()):
            return endpoints
        is_new = known.is_open and version == known.order.to
        if is_new and known.is_permitted(self.clock.now()):
            return endpoints
        return []

    def _select_new(self, known, endpoints, call_id, route, is_retry):
        """Return endpoints of the new version for a call, if it gets one."""
        notice = known.notice
        moved = notice.moved or route in notice.routes
        share = notice.route_shares.get(route, notice.share)
        if not moved and (is_retry or not is_canary(notice, call_id, share)):
            return []
        new = [
            endpoint
            for endpoint in endpoints
            if endpoint.record.version == notice.to
        ]
        return new if moved else self._choose_canaries(known, new)

    def _choose_canaries(self, known, new):
        """Return the endpoints of the new version that get the small share."""
        prefix = f'{known.order.number}/{known.notice.turn}/'
        count = exposure.count_canaries(
            len(new), known.notice.share, self.settings
        )
        ranked = sorted(
            new, key=lambda item: zlib.crc32(f'{prefix}{item.id}'.encode())
        )
        return ranked[:count]

    def _select_other(self, service, known, endpoints):
        """Return endpoints of other versions, if none that serves is listed.

        A version without an order replaces at once what says that it leaves.
        """
        now = self.clock.now()
        listed = self.fleet.find_by_service(service)
        if any(known.serves(item.record.version, now) for item in listed):
            known.missing_since_ms = None
            return []
        if known.missing_since_ms is None:
            known.missing_since_ms = now
        is_missing = now - known.missing_since_ms >= MISSING_VERSION_MS
        is_leaving = self._is_leaving(service, known.current)
        return [
            endpoint
            for endpoint in endpoints
            if (is_missing and endpoint.record.version not in known.rejected)
            or (is_leaving and known.is_in_force(endpoint.record.version, now))
        ]

    def _is_leaving(self, service, version):
        """Return whether a version's endpoints are listed as draining."""
        return any(
            endpoint.record.service == service
            and endpoint.record.version == version
            and endpoint.record.state is not EndpointState.LIVE
            for endpoint in self.fleet.endpoints.values()
        )

    def _find_current(self, service, known, excluded):
        """Take the version of most listed endpoints as the one in force."""
        if known.current is not None:
            return
        versions = [
            endpoint.record.version
            for endpoint in self.fleet.find_by_service(service)
            if endpoint.record.version not in known.rejected
            and endpoint.record.version != excluded
        ]
        if versions:
            known.current = max(sorted(set(versions)), key=versions.count)

    def is_in_force(self, record):
        """Return whether an endpoint has a version in force.

        :param record: the :class:`EndpointRecord`.
        """
        known = self.get(record.service)
        if not self.settings.enabled or known.current is None:
            return True
        return known.is_in_force(record.version, self.clock.now())

    def count_endpoints(self, service, version):
        """Return how many endpoints of a version accept calls."""
        return sum(
            endpoint.record.version == version
            for endpoint in self.fleet.find_by_service(service)
        )

    def is_retiring(self, record):
        """Return whether an endpoint is stopped as its roll-out completes."""
        known = self.get(record.service)
        if known.is_open:
            return (
                known.notice is not None
                and known.notice.moved
                and known.is_in_force(record.version, self.clock.now())
            )
        return known.state is RolloutState.DONE and known.is_replaced(
            record.version, self.clock.now()
        )

    # evidence

    def note_sent(self, call, selected):
        """Record that a call was sent to an endpoint.

        :param selected: the :class:`Selected` endpoint.
        """
        record = selected.endpoint.record
        known = self.get(record.service)
        if known.is_open and record.version == known.order.to:
            known.counts.note_sent(
                call.id,
                call.route.name,
                record.id,
                selected.expected_ms,
                self.clock.now(),
            )

    def note_first_byte(self, call, record):
        """Record that a call does not wait for its answer any more."""
        self.get(record.service).counts.waiting.pop(call.id, None)

    def note_answer(self, record, route, failed, times):
        """Count an answer of an endpoint.

        :param record: its :class:`EndpointRecord`.
        :param route: name of the call's route.
        :param failed: whether the call failed after it had been delivered.
        :param times: :class:`AnswerTimes`.
        """
        known = self.get(record.service)
        if known.is_open and record.version == known.order.to:
            known.counts.note_new(route, record.id, failed, times)
        elif known.is_in_force(record.version, self.clock.now()):
            known.counts.note_current(route, failed, times)


def is_canary(notice, call_id, share):
    """Return whether a call belongs to the share of the new version."""
    key = f'{notice.number}/{call_id}'.encode()
    return zlib.crc32(key) < share * 2**32
