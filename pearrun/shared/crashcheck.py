"""Finds out whether an endpoint that broke a connection has crashed."""

import asyncio

from pearrun import exceptions
from pearrun.clock import to_seconds
from pearrun.http1 import client
from pearrun.shared.pools import CONNECT_MS
from pearrun.shared.pools import SILENCE_MS

# A process that ends may close its connections before it stops listening.
RECHECK_MS = 50
CHECKS = 3


class CrashCheck:
    """Connects to endpoints that broke a call, apart from that call.

    :param crashes: the :class:`Crashes`.
    """

    def __init__(self, crashes):
        self.crashes = crashes
        self._tasks = {}

    def note_broken(self, endpoint, broken):
        """Note a broken call; see :meth:`Crashes.note_broken`."""
        unknown = self.crashes.note_broken(endpoint, broken)
        if not unknown or endpoint.id in self._tasks:
            return
        task = asyncio.create_task(self._check(endpoint.record))
        self._tasks[endpoint.id] = task
        task.add_done_callback(lambda done: self._tasks.pop(endpoint.id))

    async def _check(self, record):
        if await is_down(record.address):
            self.crashes.note_down(record.id)


async def is_down(address):
    """Find out whether nothing listens at an address any more.

    :param address: ``IP:PORT``.
    :returns: ``False`` also where the address is out of reach: after a crash
        it would refuse the connection.
    """
    try:
        for _ in range(CHECKS):
            connection = await client.connect(address, CONNECT_MS, SILENCE_MS)
            connection.abort()
            await asyncio.sleep(to_seconds(RECHECK_MS))
    except exceptions.EndpointDownError:
        return True
    except exceptions.EndpointUnreachableError:
        return False
    return False
