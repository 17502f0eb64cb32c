"""The list of endpoints, as they write it to the store."""

import asyncio

from loguru import logger

from pearrun.clock import to_seconds
from pearrun.platform import decoding
from pearrun.platform.following import SharedFollower
from pearrun.states import EndpointState

# Longest wait of a read for endpoints, as a part of the time in which a
# drain must be acted on.  Two reads, the pauses between them and a round of
# reports fit into the time after which the other hosts read for themselves.
ENDPOINT_WAIT_SHARE = 0.25
# A host reads the endpoints itself once its list is older than this part of
# the time in which a drain must be acted on; the rest is for that read, and
# for another one if it hangs.
OLDEST_LIST_SHARE = 0.8
# Pause between reads of the endpoints' heartbeats, which come many
# times a second: a drain has to be acted on within 2 s.
ENDPOINT_PAUSE_MS = 150
# The same in a large fleet, whose hubs read: half of the calls, and a drain
# is still known everywhere within a second.
HUB_PAUSE_MS = 300
# Entries that lapsed while the store was away come back within 2 s of
# its return; until then an endpoint that was removed may be used if there
# is no other, but for this part of the time in which a leaving endpoint
# must stop getting work at the most.
RETURN_SHARE = 0.75


class EndpointFollower(SharedFollower):
    """Keeps the list of endpoints."""

    def __init__(self, host, store):
        super().__init__(
            host,
            store,
            host.feed,
            int(host.settings.drain_ms * ENDPOINT_WAIT_SHARE),
            ENDPOINT_PAUSE_MS,
        )
        self.removals = {}
        self.return_ms = int(host.settings.drain_ms * RETURN_SHARE)
        self.oldest_list_ms = int(host.settings.drain_ms * OLDEST_LIST_SHARE)

    def due_ms(self):
        """Return when the list is too old, whoever read it.

        What counts is its age, not the silence of the host that reads: a
        read that missed a drain is news too, and its wait and this host's
        would add up.
        """
        return self.host.fleet.listed_ms + self.oldest_list_ms

    def reading_pause_ms(self):
        """See :class:`SharedFollower`."""
        return HUB_PAUSE_MS if self.feed.through_hubs else ENDPOINT_PAUSE_MS

    def take_all(self, records, asked_ms):
        """See :class:`Follower`."""
        listed = {record.key for record in records}
        self.host.crashes.restart_proofs()
        for record in records:
            self._put(record)
        for endpoint in list(self.host.fleet.endpoints.values()):
            if endpoint.record.name not in listed:
                self._remove(endpoint.record.name)
        self._confirm(asked_ms)

    def take_changes(self, records, asked_ms):
        """See :class:`Follower`."""
        super().take_changes(records, asked_ms)
        if self.host.awaits_heartbeats():
            self._note_heartbeats(records, asked_ms)
        self._confirm(asked_ms)

    def _note_heartbeats(self, records, asked_ms):
        for record in records:
            endpoint = self.host.fleet.find(record.key)
            if endpoint is not None and record.value is not None:
                self.host.note_heartbeat(endpoint.id, asked_ms)

    def _confirm(self, asked_ms):
        fleet = self.host.fleet
        fleet.listed_ms = max(fleet.listed_ms or 0, asked_ms)
        self.host.config.confirm_while_polling(self.host.clock.now())

    def _put(self, record):
        entry = self.decode(decoding.decode_endpoint, record.key, record.value)
        if entry is None or self.host.fleet.is_outdated(entry):
            return
        known = self.host.fleet.find(entry.name)
        if known is not None and known.id != entry.id:
            self._cancel_removal(known.id)
            self.host.drop_endpoint(known, 'started again')
        self._cancel_removal(entry.id)
        if entry.state is not EndpointState.LIVE:
            self.host.crashes.note_leaving(entry.id)
        if self.host.fleet.put(entry):
            logger.bind(
                endpoint=entry.id,
                service=entry.service,
                zone=entry.zone,
                address=entry.address,
                state=entry.state.value,
                reclaimable=entry.reclaimable,
                leaves_ms=entry.leaves_ms,
                source=self.source.value,
                list_age_ms=self.host.list_age_ms(self.host.clock.now()),
            ).info('endpoint state')

    def _cancel_removal(self, endpoint_id):
        timer = self.removals.pop(endpoint_id, None)
        if timer is not None:
            timer.cancel()

    def _remove(self, name):
        endpoint = self.host.fleet.find(name)
        if endpoint is None or endpoint.id in self.removals:
            return
        left_ms = self._return_left_ms()
        if not left_ms:
            self.host.drop_endpoint(endpoint, 'entry removed')
            return
        endpoint.pause.until_ms = self.host.clock.now() + left_ms
        loop = asyncio.get_running_loop()
        self.removals[endpoint.id] = loop.call_later(
            to_seconds(left_ms), self._remove_late, endpoint.id
        )

    def _remove_late(self, endpoint_id):
        self.removals.pop(endpoint_id, None)
        endpoint = self.host.fleet.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.host.drop_endpoint(endpoint, 'entry not back after outage')

    def _return_left_ms(self):
        """Return how long entries that lapsed may still come back.

        It counts from the store's return, however late a removal is heard
        of: the endpoint may have left by itself.

        :returns: milliseconds; 0 when the store has not been away lately.
        """
        if not self.reachable:
            return self.return_ms
        if self.regained_ms is None:
            return 0
        return max(0, self.return_ms - self.host.clock.since(self.regained_ms))
