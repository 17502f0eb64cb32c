"""Decides which connections of callers a process can bear.

Load pattern: clients that this system does not control open thousands of
connections, send many large bodies at once, send ahead without reading
answers, send or read slowly, or stop half-way.  Each client alone may be
within the limits; all together they would take the memory and the descriptors
of the process, which serves other callers and needs connections itself.

All listening addresses of a process share one :class:`Intake`.  Each
connection is charged for the memory that it occupies.  Where that exceeds the
process's limit, connections are closed: of those that wait for their client,
the ones that have waited longest, and idle ones after all others.  A request
that is being served is never given up for this, unless its caller does not
read the answer.  Large bodies are admitted only if they fit as a whole, so
that those that have begun can be completed.
"""

import collections
import dataclasses
import enum

MB = 1024 * 1024
# Memory and descriptors if the settings do not give them.
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 4096
# What a process occupies without callers, at any size of fleet.
BASE_MEMORY_MB = 64
# Share of the rest for callers' connections.  The remainder is for calls in
# progress, answers of endpoints, tunnels, links, and unused memory between
# blocks in use.
INTAKE_SHARE = 0.5
MIN_INTAKE_BYTES = 8 * MB
# Share of that for large bodies and heads; the remainder is for all others.
LARGE_SHARE = 0.7
# The platform keeps this many descriptors for files.
FILE_DESCRIPTORS = 200
# Share of the other descriptors for callers.  Endpoints, the store and other
# hosts need the rest.
CALLER_DESCRIPTOR_SHARE = 0.5
MIN_CONNECTIONS = 16
# Memory of a connection on which nothing has been received.
CONNECTION_BYTES = 8 * 1024
# Memory of a parsed header field.
FIELD_BYTES = 256


class Phase(enum.Enum):
    """What a connection is doing.

    :cvar WAITING: no request was received on it yet.
    :cvar READING: a request is being received.
    :cvar ADMITTED: a large request that was admitted is being received.
    :cvar SERVING: a request is being served.
    :cvar STALLED: the caller does not read the answer.
    :cvar LINGERING: the rest of a rejected request is being discarded.
    :cvar IDLE: an answered request was the last one so far.
    """

    WAITING = 'waiting'
    READING = 'reading'
    ADMITTED = 'admitted'
    SERVING = 'serving'
    STALLED = 'stalled'
    LINGERING = 'lingering'
    IDLE = 'idle'


# Phases in which a connection waits for its client.
CLOSED_FIRST = (
    Phase.WAITING,
    Phase.READING,
    Phase.STALLED,
    Phase.LINGERING,
)


@dataclasses.dataclass(frozen=True)
class IntakeSettings:
    """Limits of what all callers' connections occupy.

    :param max_connections: open connections.
    :param max_bytes: memory that they occupy.
    :param max_large_bytes: memory that large requests may occupy.
    :param large_bytes: size beyond which a request counts as large; larger
        than any usual one.
    """

    max_connections: int
    max_bytes: int
    max_large_bytes: int
    large_bytes: int = 128 * 1024


def derive_settings(memory_mb=0, descriptors=0):
    """Derive the limits from those of the process.

    :param memory_mb: memory of the process in MB; 0 if unknown.
    :param descriptors: its descriptors; 0 if unknown.
    :returns: :class:`IntakeSettings`.
    """
    free_mb = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MEMORY_MB
    max_bytes = max(MIN_INTAKE_BYTES, int(free_mb * INTAKE_SHARE * MB))
    sockets = (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS
    return IntakeSettings(
        max_connections=max(
            MIN_CONNECTIONS, int(sockets * CALLER_DESCRIPTOR_SHARE)
        ),
        max_bytes=max_bytes,
        max_large_bytes=int(max_bytes * LARGE_SHARE),
    )


@dataclasses.dataclass
class Share:
    """What one connection occupies.

    :param large_bytes: what was admitted for a large request.
    :param since_ms: when its phase began.
    """

    phase: Phase = Phase.WAITING
    charged_bytes: int = CONNECTION_BYTES
    large_bytes: int = 0
    since_ms: int = 0


class Intake:
    """What the callers' connections of a process occupy.

    :param settings: :class:`IntakeSettings`; ``None`` for no limits.

    Connections are any hashable objects.  ``closed`` counts those that were
    closed for others by phase, and ``refused`` the large requests that were
    not admitted.
    """

    def __init__(self, settings=None):
        self.settings = settings
        self.shares = {}
        self.bytes = 0
        self.large_bytes = 0
        self.closed = collections.Counter()
        self.refused = 0
        self._phases = {phase: collections.OrderedDict() for phase in Phase}

    def add(self, connection, now_ms):
        """Add a new connection.

        :returns: the connections to close for it.
        """
        self.shares[connection] = Share(since_ms=now_ms)
        self._phases[Phase.WAITING][connection] = None
        self.bytes += CONNECTION_BYTES
        return self._choose_closed(connection)

    def remove(self, connection):
        """Remove a connection that has ended."""
        share = self.shares.pop(connection, None)
        if share is not None:
            del self._phases[share.phase][connection]
            self.bytes -= share.charged_bytes + share.large_bytes
            self.large_bytes -= share.large_bytes

    def enter(self, connection, phase, now_ms):
        """Record that a connection enters a phase."""
        share = self.shares.get(connection)
        if share is None or share.phase is phase:
            return
        del self._phases[share.phase][connection]
        self._phases[phase][connection] = None
        share.phase = phase
        share.since_ms = now_ms

    def charge(self, connection, used_bytes):
        """Record how much memory a connection occupies besides its own.

        :param used_bytes: what is buffered for it, except what was admitted.
        :returns: the connections to close, perhaps this one.
        """
        share = self.shares.get(connection)
        if share is None:
            return []
        charged_bytes = CONNECTION_BYTES + used_bytes
        grown = charged_bytes > share.charged_bytes
        self.bytes += charged_bytes - share.charged_bytes
        share.charged_bytes = charged_bytes
        return self._choose_closed(connection) if grown else []

    def admit(self, connection, size):
        """Admit a large request if it fits.

        :param size: the memory that it needs at most.
        :returns: whether it is admitted, and the connections to close for it.
        """
        share = self.shares.get(connection)
        if share is None or self.settings is None:
            return True, []
        added = max(0, size - share.large_bytes)
        if self.large_bytes + added > self.settings.max_large_bytes:
            self.refused += 1
            return False, []
        self.large_bytes += added
        self.bytes += added
        share.large_bytes += added
        return True, self._choose_closed(connection)

    def settle(self, connection, size):
        """Give back what an admitted request does not need after all."""
        share = self.shares.get(connection)
        if share is not None and size < share.large_bytes:
            self.large_bytes -= share.large_bytes - size
            self.bytes -= share.large_bytes - size
            share.large_bytes = size

    def find_stalled(self, before_ms):
        """Return the connection that has stalled longest.

        :param before_ms: it has stalled since before this time.
        :returns: ``None`` if there is none.
        """
        connection = next(iter(self._phases[Phase.STALLED]), None)
        if connection is None:
            return None
        is_due = self.shares[connection].since_ms <= before_ms
        return connection if is_due else None

    def count(self, phase):
        """Return the number of connections in a phase."""
        return len(self._phases[phase])

    def _choose_closed(self, newest):
        """Return the connections to close so that the limits are kept.

        :param newest: the connection that occupies more, which is closed if
            no other one can be.
        """
        chosen = []
        while self._is_exceeded():
            connection = self._find_longest(newest)
            self.closed[self.shares[connection].phase] += 1
            self.remove(connection)
            chosen.append(connection)
            if connection is newest:
                break
        return chosen

    def _is_exceeded(self):
        settings = self.settings
        return settings is not None and (
            len(self.shares) > settings.max_connections
            or self.bytes > settings.max_bytes
        )

    def _find_longest(self, newest):
        """Return the connection that has waited longest for its client."""
        firsts = [
            first
            for phase in CLOSED_FIRST
            if (first := self._find_first(phase, newest)) is not None
        ]
        if firsts:
            return min(firsts, key=lambda item: self.shares[item].since_ms)
        idle = self._find_first(Phase.IDLE, newest)
        return newest if idle is None else idle

    def _find_first(self, phase, newest):
        """Return the connection of a phase that has been in it longest."""
        for connection in self._phases[phase]:
            if connection is not newest:
                return connection
        return None
