"""Which service and software version began each stream.

Load pattern: hosts are lost with all of their streams, alone or most of them
at once, and callers resume these streams at the other hosts within
milliseconds.  A host therefore tells the others of a stream before it forwards
the first event.  Nobody acknowledges that: a stream whose origin has not
arrived is not resumed at all.
"""

import asyncio
import collections
import contextlib
import dataclasses

from pearrun.clock import to_seconds
from pearrun.ids import RequestId
from pearrun.ids import ServiceName
from pearrun.ids import Version

# Maximum number of origins kept; the oldest are dropped first.
MAX_ORIGINS = 32_768
# Maximum number of origins that wait for one link; the oldest are dropped.
MAX_QUEUED = 4096
# Maximum number of origins that a new link carries first.
MAX_SNAPSHOT = 8192
SWEEP_INTERVAL_MS = 1000


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began.

    :param id: id of the request that brought its first event.
    :param customer: name of the customer; empty if there are none.
    :param until_ms: when the caller gives up the stream; in messages, the
        time left until then.
    """

    id: RequestId
    service: ServiceName
    version: Version
    customer: str
    until_ms: int

    def to_left(self, now_ms):
        """Return a copy for a message, with the time left."""
        return dataclasses.replace(self, until_ms=self.until_ms - now_ms)

    def to_time(self, now_ms):
        """Return a copy of a message's origin, with a time."""
        return dataclasses.replace(self, until_ms=self.until_ms + now_ms)


class Outbox:
    """Origins that have to be sent over one link."""

    def __init__(self):
        self._queued = collections.deque(maxlen=MAX_QUEUED)
        self._filled = asyncio.Event()

    def put(self, origin):
        """Queue an origin."""
        self._queued.append(origin)
        self._filled.set()

    async def take(self):
        """Wait for origins and return all that are queued."""
        await self._filled.wait()
        self._filled.clear()
        origins = tuple(self._queued)
        self._queued.clear()
        return origins


class StreamOrigins:
    """The streams that began at this host or at others.

    ``is_hub`` says whether this host forwards origins to its zone;
    ``note_wait`` is called with the service of each new origin and with how
    long its caller still waits.
    """

    def __init__(self, clock):
        self.clock = clock
        self.is_hub = False
        self.note_wait = lambda service, wait_ms: None
        self._own = {}
        self._known = collections.OrderedDict()
        self._outboxes = set()
        self._unforwarded = []
        self._unsaved = collections.deque(maxlen=MAX_QUEUED)
        self._waiters = {}
        self._swept_ms = clock.now()

    def __len__(self):
        return len(self._known)

    def publish(self, origin):
        """Record the origin of a stream of this host and tell the others."""
        if not self._put(origin):
            return
        self._unsaved.append(origin)
        self._own[origin.id] = origin
        if self.is_hub:
            self._unforwarded.append(origin)
        self._send(origin)

    def merge(self, origins, from_hub):
        """Record origins that another host has sent.

        A hub passes on what the hosts of its zone send, to the other hubs at
        once and to its zone with the next round; what another hub sends goes
        to its zone only.

        :param origins: :class:`StreamOrigin` objects with times.
        :param from_hub: whether the sender is one.
        """
        fresh = [origin for origin in origins if self._put(origin)]
        self._unsaved.extend(fresh)
        if not self.is_hub:
            return
        self._unforwarded.extend(fresh)
        if not from_hub:
            for origin in fresh:
                self._send(origin)

    def find(self, request_id):
        """Return the :class:`StreamOrigin` of a stream, or ``None``."""
        origin = self._known.get(request_id)
        if origin is None or origin.until_ms <= self.clock.now():
            return None
        return origin

    async def wait(self, request_id, timeout_ms):
        """Return the origin of a stream, which may still be on its way.

        :returns: a :class:`StreamOrigin`; ``None`` if none has arrived.
        """
        origin = self.find(request_id)
        if origin is not None:
            return origin
        arrived = asyncio.Event()
        waiting = self._waiters.setdefault(request_id, [])
        waiting.append(arrived)
        try:
            async with asyncio.timeout(to_seconds(timeout_ms)):
                await arrived.wait()
        except TimeoutError:
            return None
        finally:
            waiting.remove(arrived)
            if not waiting:
                self._waiters.pop(request_id, None)
        return self.find(request_id)

    @contextlib.contextmanager
    def open_outbox(self):
        """Provide an :class:`Outbox` with the origins to send from now on."""
        outbox = Outbox()
        self._outboxes.add(outbox)
        try:
            yield outbox
        finally:
            self._outboxes.discard(outbox)

    def take_unforwarded(self):
        """Return the origins for this hub's zone since the last call."""
        origins, self._unforwarded = self._unforwarded, []
        return tuple(origins)

    def restore(self, origins):
        """Record origins that were saved before this host's start."""
        for origin in origins:
            self._put(origin)

    def mark_unsaved(self):
        """Mark the latest origins of all hosts as new."""
        self._unsaved.clear()
        self._unsaved.extend(self._known.values())

    def take_unsaved(self):
        """Return the origins that are new since the last call."""
        origins = tuple(self._unsaved)
        self._unsaved.clear()
        return origins

    def make_snapshot(self, own_only=False):
        """Return the latest origins, for a newly connected host.

        :param own_only: whether to leave out the streams of other hosts.
        """
        origins = self._own if own_only else self._known
        now = self.clock.now()
        current = [item for item in origins.values() if item.until_ms > now]
        return tuple(current[-MAX_SNAPSHOT:])

    def _put(self, origin):
        """Record an origin.

        :returns: whether it was new.
        """
        self._sweep()
        wait_ms = origin.until_ms - self.clock.now()
        if origin.id in self._known or wait_ms <= 0:
            return False
        self.note_wait(origin.service, wait_ms)
        self._known[origin.id] = origin
        while len(self._known) > MAX_ORIGINS:
            dropped_id, _ = self._known.popitem(last=False)
            self._own.pop(dropped_id, None)
        for arrived in self._waiters.get(origin.id, ()):
            arrived.set()
        return True

    def _send(self, origin):
        for outbox in self._outboxes:
            outbox.put(origin)

    def _sweep(self):
        """Drop the origins of streams that nobody can resume any more."""
        now = self.clock.now()
        if now - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now
        ended = [
            origin.id
            for origin in self._known.values()
            if origin.until_ms <= now
        ]
        for request_id in ended:
            del self._known[request_id]
            self._own.pop(request_id, None)
