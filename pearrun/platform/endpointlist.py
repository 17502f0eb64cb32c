"""The list of endpoints, read from the entries they write to the store."""

import asyncio

from loguru import logger

from pearrun.clock import to_seconds
from pearrun.platform import decoding
from pearrun.platform.followers import SharedFollower
from pearrun.states import EndpointState

# Long-poll wait of a read, as a fraction of the time within which a drain
# must be acted on.  Two reads, the pauses between them and one round of
# reports must fit into the maximum list age below, after which the other
# hosts read the store themselves.
POLL_WAIT_FRACTION = 0.25
# Maximum age of the list before a host reads the store itself, as a fraction
# of the time within which a drain must be acted on.  The remainder is for that
# read, and for a second one if the first hangs.
MAX_LIST_AGE_FRACTION = 0.8
# Pause between reads.  Without it, heartbeats, which endpoints write many
# times a second, would end each wait at once.  It has to be short, since a
# drain must be acted on within 2 s.
READ_PAUSE_MS = 150
# Pause between reads in a large fleet, where hubs read the store for all
# hosts.  It halves the number of calls, and a drain still reaches all hosts
# within a second.
HUB_READ_PAUSE_MS = 300
# Endpoint entries that expired during a store outage are written again within
# 2 s of its recovery.  Until then, an endpoint whose entry was removed may be
# used if no other is available, but only for this fraction of the time within
# which a draining endpoint must stop receiving work.
REMOVAL_GRACE_FRACTION = 0.75


class EndpointFollower(SharedFollower):
    """Follows endpoints' entries and keeps the host's list up to date."""

    def __init__(self, host, store):
        super().__init__(
            host,
            store,
            host.feed,
            int(host.settings.drain_ms * POLL_WAIT_FRACTION),
            READ_PAUSE_MS,
        )
        self.removals = {}
        self.removal_grace_ms = int(
            host.settings.drain_ms * REMOVAL_GRACE_FRACTION
        )
        self.max_list_age_ms = int(
            host.settings.drain_ms * MAX_LIST_AGE_FRACTION
        )

    def get_read_deadline_ms(self):
        """Return when the list reaches its maximum age.

        The limit applies to the age of the data, also if another host read
        them, not to the time since that host last sent a message.  Otherwise
        a forwarded read that missed a drain would restart the timer, and its
        long-poll wait would add to the delay.
        """
        return self.host.fleet.listed_ms + self.max_list_age_ms

    def get_read_pause_ms(self):
        """See :class:`SharedFollower`."""
        return HUB_READ_PAUSE_MS if self.feed.through_hubs else READ_PAUSE_MS

    def apply_snapshot(self, records, read_start_ms):
        """See :class:`Follower`."""
        listed = {record.key for record in records}
        self.host.crashes.restart_proofs()
        self.host.version_history.note_snapshot(read_start_ms)
        fleet = self.host.fleet
        for record in records:
            # The store may have restored an entry that was removed.  Endpoints
            # that still run write theirs several times a second.
            if record.key not in fleet.unlisted:
                self._put_entry(record)
        for endpoint in list(fleet.endpoints.values()):
            if endpoint.record.name not in listed:
                self._handle_missing(endpoint)
        self._record_list_read(read_start_ms)

    def apply_changes(self, records, read_start_ms):
        """See :class:`Follower`."""
        super().apply_changes(records, read_start_ms)
        if self.host.awaits_heartbeats():
            self._note_heartbeats(records, read_start_ms)
        self._record_list_read(read_start_ms)

    def _note_heartbeats(self, records, read_start_ms):
        for record in records:
            endpoint = self.host.fleet.find(record.key)
            if endpoint is not None and record.value is not None:
                self.host.note_heartbeat(endpoint.id, read_start_ms)

    def _record_list_read(self, read_start_ms):
        fleet = self.host.fleet
        fleet.listed_ms = max(fleet.listed_ms or 0, read_start_ms)
        self.host.version_history.position = self.position

    def _handle_put(self, record):
        self.host.fleet.unlisted.pop(record.key, None)
        self._put_entry(record)

    def _put_entry(self, record):
        entry = self.decode_or_skip(
            decoding.decode_endpoint, record.key, record.value
        )
        if entry is None or self.host.fleet.is_outdated(entry):
            return
        previous = self.host.fleet.find(entry.name)
        if previous is not None and previous.id != entry.id:
            self._cancel_removal(previous.id)
            self.host.drop_endpoint(previous, 'restarted')
        self._cancel_removal(entry.id)
        if entry.state is not EndpointState.LIVE:
            self.host.crashes.note_leaving(entry.id)
        self.host.rollouts.note_listed(entry)
        if self.host.fleet.put(entry):
            # The endpoint may have announced that it leaves.
            state = self.host.fleet.find(entry.name).record.state
            logger.bind(
                endpoint=entry.id,
                service=entry.service,
                zone=entry.zone,
                address=entry.address,
                state=state.value,
                version=entry.version,
                reclaimable=entry.reclaimable,
                leaves_ms=entry.leaves_ms,
                source=self.source.value,
                list_age_ms=self.host.list_age_ms(self.host.clock.now()),
            ).info('endpoint state')

    def _cancel_removal(self, endpoint_id):
        timer = self.removals.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()

    def _handle_missing(self, endpoint):
        """Handle that a snapshot lacks an endpoint's entry.

        A restored store lacks those that are not written again yet.
        """
        left_ms = self.get_rewrite_left_ms()
        if not left_ms:
            self._handle_removal(endpoint.record.name)
        elif endpoint.id not in self.removals:
            self._remove_later(endpoint, left_ms)

    def _handle_removal(self, name):
        self.host.fleet.note_unlisted(name)
        endpoint = self.host.fleet.find(name)
        if endpoint is None or endpoint.id in self.removals:
            return
        left_ms = self._get_remaining_grace_ms()
        if not left_ms:
            self.host.drop_endpoint(endpoint, 'entry removed')
            return
        endpoint.pause.until_ms = self.host.clock.now() + left_ms
        self._remove_later(endpoint, left_ms)

    def _remove_later(self, endpoint, left_ms):
        """Remove an endpoint unless its entry is back by then."""
        loop = asyncio.get_running_loop()
        self.removals[endpoint.id] = loop.call_later(
            to_seconds(left_ms), self._remove_after_grace, endpoint.id
        )

    def _remove_after_grace(self, endpoint_id):
        self.removals.pop(endpoint_id, None)
        endpoint = self.host.fleet.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.host.fleet.note_unlisted(endpoint.record.name)
            self.host.drop_endpoint(
                endpoint, 'entry not restored after outage'
            )

    def _get_remaining_grace_ms(self):
        """Return the remaining grace period of expired entries.

        The period starts at the store's recovery, even if the removal is
        learnt of later: the endpoint may have left on its own.

        :returns: milliseconds; 0 if there was no recent store outage.
        """
        if not self.reachable:
            return self.removal_grace_ms
        if self.recovered_at_ms is None:
            return 0
        return max(
            0,
            self.removal_grace_ms
            - self.host.clock.since(self.recovered_at_ms),
        )
