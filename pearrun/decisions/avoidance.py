"""When an endpoint that fails calls is left alone, and for how long.

Load pattern: endpoints that crash, go silent or fail part of their
calls while their heartbeats look good, and zones cut off as a whole.
What callers see decides.  Each failure in a row doubles the pause; one
success ends it.  When a pause is over, one call tries; others wait for
how it ends.
"""

import dataclasses

# First pause after a failed connection: about the time in which the
# platform's list can show that the endpoint is gone, divided by ten.
FIRST_PAUSE_MS = 300
LONGEST_PAUSE_MS = 4000
# Failed calls in a row, on standing connections, that begin a pause; a
# plain service fails 14 calls in 100 in ordinary use.
FAILURES_IN_A_ROW = 4

# Endpoints of one zone that fall silent, with no success between, until
# the whole zone is taken to be cut off.  One may be dark by itself.
SILENT_ENDPOINTS = 2
# Time that the one call which tries again has before another may.
PROBE_MS = 600


@dataclasses.dataclass
class Pause:
    """How long an endpoint or a zone is left alone.

    :param length_ms: the present pause; 0 for none.
    """

    until_ms: int = 0
    length_ms: int = 0

    def begin(self, now_ms):
        """Begin a pause, or a longer one after another failure."""
        self.length_ms = next_pause_ms(self.length_ms)
        self.until_ms = now_ms + self.length_ms

    def clear(self):
        """End the pause after a success."""
        self.until_ms = 0
        self.length_ms = 0

    def holds(self, now_ms):
        """Say whether the pause is on."""
        return now_ms < self.until_ms

    def note_try(self, now_ms):
        """Keep others away while one call tries after the pause."""
        if self.length_ms:
            self.until_ms = max(self.until_ms, now_ms + PROBE_MS)


@dataclasses.dataclass
class ZoneHealth:
    """What calls to one zone's endpoints showed.

    :param silent: ids of endpoints that fell silent since the last
        success in the zone.
    """

    pause: Pause = dataclasses.field(default_factory=Pause)
    silent: set = dataclasses.field(default_factory=set)

    def note_silence(self, endpoint_id, now_ms):
        """Note that an endpoint did not answer at all."""
        self.silent.add(endpoint_id)
        if len(self.silent) >= SILENT_ENDPOINTS and (
            not self.pause.holds(now_ms)
        ):
            self.pause.begin(now_ms)

    def note_answer(self):
        """Note that an endpoint of the zone answered."""
        self.silent.clear()
        self.pause.clear()


def next_pause_ms(previous_ms):
    """Return the pause after another failure.

    :param previous_ms: the pause before; 0 for none.
    """
    if previous_ms <= 0:
        return FIRST_PAUSE_MS
    return min(LONGEST_PAUSE_MS, previous_ms * 2)


def should_avoid(failures, refused):
    """Say whether an endpoint is to be left alone for a while.

    :param failures: failed calls in a row.
    :param refused: whether the last one got no connection at all.
    """
    return refused or failures >= FAILURES_IN_A_ROW


def filter_usable(items, is_paused):
    """Drop what is left alone now, but never everything.

    :param is_paused: says of an item whether it is.
    """
    usable = [item for item in items if not is_paused(item)]
    return usable or items
