"""Finds the software version at which a stream has to go on.

What two versions of a service write does not fit together, and endpoints do
not check where a stream began.
"""

import asyncio

from pearrun.clock import to_seconds
from pearrun.decisions import streamversion
from pearrun.decisions.streamversion import StreamVersion

# How long the origin of a stream may be on its way through a hub.
ORIGIN_WAIT_MS = 400
# How long after its start a host may not know of earlier streams: the others
# have to list it and to open their links.
STARTUP_MS = 2500
# How long a list of endpoints is waited for that was read after a call came: a
# host whose list gets older reads it itself.
LIST_WAIT_MS = 2000
LIST_POLL_MS = 20


class ResumePoint:
    """Where the next endpoint continues a stream.

    :param last_event_id: id of the last event that the caller has
        received, or ``None``.
    :param version: the version that began the stream; ``None`` until its
        first event.
    """

    def __init__(self, last_event_id=None, version=None):
        self.last_event_id = last_event_id
        self.version = version


class Resumption:
    """Finds where the streams that callers resume have begun.

    :param host: the :class:`HostContext`.
    """

    def __init__(self, host):
        self.host = host
        self.started_ms = host.clock.now()

    async def find(self, call):
        """Return the :class:`StreamVersion` that began a call's stream.

        :returns: ``None`` if it is unknown.
        """
        origin = None
        if call.resumes:
            origin = await self.host.origins.wait(
                call.resumes, self._get_origin_wait_ms()
            )
        if origin is not None and streamversion.belongs_to(origin, call):
            found = StreamVersion(origin.service, origin.version)
            history = self.host.version_history
            if not history.has_listed(found.service, found.version):
                await self._wait_for_list(call.request.received_ms)
            return found
        service = streamversion.find_only_service(call.route)
        if service is None:
            return None
        if not self._find_only(service, call):
            return None
        if not await self._wait_for_list(call.request.received_ms):
            return None
        return self._find_only(service, call)

    def _get_origin_wait_ms(self):
        age_ms = self.host.clock.since(self.started_ms)
        return max(ORIGIN_WAIT_MS, STARTUP_MS - age_ms)

    def _find_only(self, service, call):
        """Return the only version at which a call's stream can have begun."""
        waits = self.host.caller_waits
        if not waits.is_complete:
            return None
        held_ms = self.host.clock.since(call.request.received_ms)
        window_ms = waits.get_ms(service, call.route) + held_ms
        version = self.host.version_history.find_only(service, window_ms)
        return None if version is None else StreamVersion(service, version)

    async def _wait_for_list(self, since_ms):
        """Wait for a list of endpoints that was read after a time.

        Another host may have known of an endpoint before this one.

        :returns: whether there is one.
        """
        deadline_ms = self.host.clock.now() + LIST_WAIT_MS
        while self.host.clock.now() < deadline_ms:
            listed_ms = self.host.fleet.listed_ms
            if listed_ms is not None and listed_ms >= since_ms:
                return True
            await asyncio.sleep(to_seconds(LIST_POLL_MS))
        return False
