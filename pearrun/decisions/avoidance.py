"""Circuit breaking: when to stop sending to a failing endpoint or zone.

Load pattern: endpoints crash, stop responding or fail some of their calls
while their heartbeats look healthy, and whole zones become unreachable.  The
decision depends on the results of calls.  Each consecutive failure doubles
the pause, and one success ends it.  When a pause expires, a single call
probes the endpoint; other calls keep avoiding it for a while.
"""

import dataclasses

# Pause after the first connection failure: a tenth of the time that the
# platform's endpoint list takes to show that an endpoint is gone.
INITIAL_PAUSE_MS = 300
MAX_PAUSE_MS = 4000
# A pause starts after this many consecutive failed calls on established
# connections.  A plain service, one without a model engine, fails 14 of 100
# calls in normal operation.
FAILURE_THRESHOLD = 4

# Number of unresponsive endpoints in a zone, without a response from the zone
# in between, after which the whole zone is treated as unreachable.  A single
# endpoint may be down by itself.
SILENT_ENDPOINT_THRESHOLD = 2
# How long other calls avoid an endpoint or zone that is being probed.
PROBE_TIMEOUT_MS = 600


@dataclasses.dataclass
class Pause:
    """The period during which an endpoint or a zone gets no calls.

    :param length_ms: length of the current pause; 0 for none.
    """

    until_ms: int = 0
    length_ms: int = 0

    def begin(self, now_ms):
        """Start a pause, twice as long as the previous one, up to a limit."""
        self.length_ms = compute_pause_ms(self.length_ms)
        self.until_ms = now_ms + self.length_ms

    def clear(self):
        """End the pause after a success."""
        self.until_ms = 0
        self.length_ms = 0

    def holds(self, now_ms):
        """Return whether the pause is in effect."""
        return now_ms < self.until_ms

    def start_probe(self, now_ms):
        """Keep other calls away while a single call probes after a pause."""
        if self.length_ms:
            self.until_ms = max(self.until_ms, now_ms + PROBE_TIMEOUT_MS)


@dataclasses.dataclass
class ZoneHealth:
    """Health of a zone as seen by calls to its endpoints.

    :param silent: ids of endpoints that did not respond since the last
        response from the zone.
    """

    pause: Pause = dataclasses.field(default_factory=Pause)
    silent: set = dataclasses.field(default_factory=set)

    def note_silence(self, endpoint_id, now_ms):
        """Record that an endpoint did not respond at all."""
        self.silent.add(endpoint_id)
        if len(self.silent) >= SILENT_ENDPOINT_THRESHOLD and (
            not self.pause.holds(now_ms)
        ):
            self.pause.begin(now_ms)

    def note_answer(self):
        """Record that an endpoint of the zone responded."""
        self.silent.clear()
        self.pause.clear()


def compute_pause_ms(previous_ms):
    """Return the length of the pause after another failure.

    :param previous_ms: length of the previous pause; 0 for none.
    """
    if previous_ms <= 0:
        return INITIAL_PAUSE_MS
    return min(MAX_PAUSE_MS, previous_ms * 2)


def should_pause(failures, refused):
    """Return whether an endpoint should get no calls for a while.

    :param failures: number of consecutive failed calls.
    :param refused: whether the last call could not connect, or got no
        response at all.
    """
    return refused or failures >= FAILURE_THRESHOLD


def filter_usable(items, is_paused):
    """Drop the paused items, unless all of them are paused.

    :param is_paused: predicate that returns whether an item is paused.
    """
    usable = [item for item in items if not is_paused(item)]
    return usable or items
