"""Stores that come back from copies in a soak, beside lost hosts."""

import random

from tests.soak import faults

INITIAL_CALM_MS = 4000
MEAN_INTERVAL_MS = 4000
MAX_AGE_MS = 8000
MIN_AWAY_MS = 100
MAX_AWAY_MS = 3500
# Two restores follow each other within this time.
MAX_PAIR_MS = 2500


def generate_restores(seed, length_ms, hosts):
    """Generate restores of the store.

    Hosts are killed in some of them, all at once in a few; some come in pairs.

    :param hosts: names of the entry hosts.
    :returns: a list of :class:`TimedFault`.
    """
    rng = random.Random(f'restores-{seed}')
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms - MAX_AWAY_MS:
        starts_ms = [start_ms]
        if rng.random() < 0.3:
            starts_ms.append(start_ms + rng.randint(500, MAX_PAIR_MS))
        for at_ms in starts_ms:
            timed.extend(make_restore(rng, at_ms, hosts))
        start_ms = starts_ms[-1] + int(rng.expovariate(1 / MEAN_INTERVAL_MS))
    return timed


def make_restore(rng, at_ms, hosts):
    """Return one restore and what happens to hosts beside it."""
    away_ms = rng.randint(MIN_AWAY_MS, MAX_AWAY_MS)
    restore = faults.RestoreStore(
        rng.randint(0, MAX_AGE_MS), rng.choice((0, 503)), away_ms
    )
    count = rng.choice((0, 0, 1, 2, len(hosts)))
    killed = [
        faults.TimedFault(
            at_ms + rng.randint(0, away_ms), faults.KillHost(host)
        )
        for host in rng.sample(hosts, min(count, len(hosts)))
    ]
    return [faults.TimedFault(at_ms, restore), *killed]
