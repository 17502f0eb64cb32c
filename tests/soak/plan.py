"""Draws a run's faults from its seed."""

import dataclasses
import random

from pearrun.standins.link import LinkMode
from tests.soak import faults

# Longest fault: longer than the lease, the silence limits and a pause
# between reads of the store.
LONGEST_MS = 4500
SHORTEST_MS = 300
# Calm at the begin, until the hosts know each other, and at the end.
CALM_BEGIN_MS = 2500
# Mean time between two faults; most last longer, so they overlap.
BETWEEN_MS = 900


@dataclasses.dataclass(frozen=True)
class Plan:
    """What one run plays.

    :param length_ms: how long calls are sent.
    """

    seed: int
    length_ms: int
    hosts: tuple[str, ...]
    endpoints: tuple[str, ...]
    faults: tuple[faults.TimedFault, ...]


def draw_plan(seed, length_ms, hosts, endpoints):
    """Draw a plan; the same seed and site give the same one.

    :param hosts: names of the entry hosts.
    :param endpoints: names of the endpoints' places.
    :returns: a :class:`Plan`.
    """
    rng = random.Random(seed)
    drawn = []
    at_ms = CALM_BEGIN_MS
    while at_ms < length_ms - LONGEST_MS:
        drawn.append(
            faults.TimedFault(at_ms, draw_fault(rng, hosts, endpoints))
        )
        at_ms += int(rng.expovariate(1 / BETWEEN_MS))
    return Plan(seed, length_ms, tuple(hosts), tuple(endpoints), tuple(drawn))


def draw_fault(rng, hosts, endpoints):
    """Draw one fault."""
    for_ms = rng.randint(SHORTEST_MS, LONGEST_MS)
    host = rng.choice(hosts)
    endpoint = rng.choice(endpoints)
    links = [f'{kind}-{name}' for name in hosts for kind in ('store', 'api')]
    links += [f'endpoint-{name}' for name in endpoints]
    modes = [mode for mode in LinkMode if mode is not LinkMode.OPEN]
    makers = {
        faults.StopHost: (3, lambda: faults.StopHost(host)),
        faults.KillHost: (2, lambda: faults.KillHost(host)),
        faults.PauseHost: (2, lambda: faults.PauseHost(host, for_ms)),
        faults.HangUpHost: (1, lambda: faults.HangUpHost(host)),
        faults.BreakLink: (
            5,
            lambda: faults.BreakLink(
                rng.choice(links), rng.choice(modes), for_ms
            ),
        ),
        faults.FailStore: (
            1,
            lambda: faults.FailStore(rng.choice((0, 429, 503)), for_ms),
        ),
        faults.LoseStoreAnswers: (
            1,
            lambda: faults.LoseStoreAnswers(rng.randint(1, 4)),
        ),
        faults.ForgetHistory: (1, faults.ForgetHistory),
        faults.SpoilEndpoint: (
            3,
            lambda: faults.SpoilEndpoint(
                endpoint, rng.choice(list(faults.EndpointFault)), for_ms
            ),
        ),
        faults.ReplaceEndpoint: (
            3,
            lambda: faults.ReplaceEndpoint(
                endpoint, rng.random() < 0.5, rng.random() < 0.5
            ),
        ),
        faults.ChangeRoutes: (2, faults.ChangeRoutes),
    }
    weights = [weight for weight, _ in makers.values()]
    kind = rng.choices(list(makers), weights)[0]
    return makers[kind][1]()
