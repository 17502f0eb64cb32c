"""Store topics that lose their calls in a soak, and losses of all hosts."""

import random

from tests.soak import faults

TOPICS = (
    'keyed.op',
    'keyed.op',
    'keyed.hosts',
    'keyed.servers',
    'keyed.status',
    'keyed.quarantine',
    'streams',
    'duties',
)
INITIAL_CALM_MS = 3000
MEAN_INTERVAL_MS = 1800
# Calls in progress at one moment are lost, or all calls for some time.
DURATIONS_MS = (0, 0, 300, 1500, 4000)
# Routes change up to this long after a loss begins.
MAX_CHANGE_DELAY_MS = 3000
# Share of the losses beside which all hosts are killed.
KILL_SHARE = 0.15


def generate_losses(seed, length_ms, hosts):
    """Generate losses of topics, changes of routes and kills of all hosts.

    :param hosts: names of the entry hosts.
    :returns: a list of :class:`TimedFault`.
    """
    rng = random.Random(f'losses-{seed}')
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms:
        loss = faults.LoseTopic(rng.choice(TOPICS), rng.choice(DURATIONS_MS))
        timed.append(faults.TimedFault(start_ms, loss))
        change_ms = start_ms + rng.randint(0, MAX_CHANGE_DELAY_MS)
        timed.append(faults.TimedFault(change_ms, faults.ChangeRoutes()))
        if rng.random() < KILL_SHARE:
            kill_ms = start_ms + rng.randint(0, MAX_CHANGE_DELAY_MS)
            timed.extend(
                faults.TimedFault(kill_ms, faults.KillHost(host))
                for host in hosts
            )
        start_ms += int(rng.expovariate(1 / MEAN_INTERVAL_MS))
    return timed
