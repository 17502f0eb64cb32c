"""Probes endpoints that broke a connection, to detect crashes."""

import asyncio

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1 import client
from pearrun.shared.pools import CONNECT_TIMEOUT_MS
from pearrun.shared.pools import TCP_USER_TIMEOUT_MS

# A terminating process may close its connections before it stops listening,
# so that one successful connect does not show that it is alive.
PROBE_INTERVAL_MS = 50
PROBE_COUNT = 3


class CrashProbe:
    """Connects to endpoints that broke a call, in background tasks.

    :param crashes: the :class:`CrashDetector`.
    """

    def __init__(self, crashes):
        self.crashes = crashes
        self._tasks = {}

    def note_broken(self, endpoint, broken):
        """Record a broken call and probe its endpoint if necessary.

        See :meth:`CrashDetector.note_broken`.
        """
        needs_probe = self.crashes.note_broken(endpoint, broken)
        if not needs_probe or endpoint.id in self._tasks:
            return
        task = asyncio.create_task(self._probe(endpoint.record))
        self._tasks[endpoint.id] = task
        task.add_done_callback(lambda done: self._tasks.pop(endpoint.id))

    async def _probe(self, record):
        if await is_down(record.address):
            self.crashes.note_down(record.id)


async def is_down(address):
    """Return whether an address refuses connections.

    :param address: ``IP:PORT``.
    :returns: ``False`` also if the address is unreachable: after a crash of
        the endpoint's process, its machine would refuse the connection.
    """
    try:
        for _ in range(PROBE_COUNT):
            connection = await client.connect(
                address, CONNECT_TIMEOUT_MS, TCP_USER_TIMEOUT_MS
            )
            connection.abort()
            await asyncio.sleep(to_seconds(PROBE_INTERVAL_MS))
    except exceptions.EndpointDownError:
        return True
    except exceptions.EndpointUnreachableError:
        return False
    return False
