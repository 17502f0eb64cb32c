"""When an endpoint that fails calls is left alone, and for how long.

Load pattern: endpoints that crash, go silent or fail part of their
calls while their heartbeats look good.  What callers see decides.  Each
failure in a row doubles the pause; one success ends it.
"""

# First pause after a failed connection: about the time in which the
# platform's list can show that the endpoint is gone, divided by ten.
FIRST_PAUSE_MS = 300
LONGEST_PAUSE_MS = 4000
# Failed calls in a row, on standing connections, that begin a pause; a
# plain service fails 14 calls in 100 in ordinary use.
FAILURES_IN_A_ROW = 4


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


def filter_usable(endpoints, now_ms):
    """Drop endpoints that are left alone now, but never all of them."""
    usable = [item for item in endpoints if item.avoid_until_ms <= now_ms]
    return usable or endpoints
