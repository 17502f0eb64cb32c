"""Generation of a run's faults from its seed."""

import dataclasses
import random

from pearrun.standins.link import LinkMode
from tests.soak import faults

# Longest duration of a fault: longer than the lease, the time-outs of silent
# connections and the interval between reads of the store.
MAX_DURATION_MS = 4500
MIN_DURATION_MS = 300
# No faults for this long at the start, until the hosts know each other.
INITIAL_CALM_MS = 2500
# Mean interval between the starts of two faults; most last longer, so that
# they overlap.
MEAN_INTERVAL_MS = 900


@dataclasses.dataclass(frozen=True)
class Plan:
    """The faults of one run.

    :param length_ms: how long faults are injected; none starts within the
        last ``MAX_DURATION_MS``.
    """

    seed: int
    length_ms: int
    hosts: tuple[str, ...]
    endpoints: tuple[str, ...]
    faults: tuple[faults.TimedFault, ...]

    def add(self, timed):
        """Return a plan with further :class:`TimedFault` objects."""
        merged = sorted(
            (*self.faults, *timed), key=lambda fault: fault.start_ms
        )
        return dataclasses.replace(self, faults=tuple(merged))


def generate_plan(seed, length_ms, hosts, endpoints):
    """Generate a plan; equal arguments give equal plans.

    :param hosts: names of the entry hosts.
    :param endpoints: names of the endpoints' replicas.
    :returns: a :class:`Plan`.
    """
    rng = random.Random(seed)
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms - MAX_DURATION_MS:
        timed.append(
            faults.TimedFault(start_ms, choose_fault(rng, hosts, endpoints))
        )
        start_ms += int(rng.expovariate(1 / MEAN_INTERVAL_MS))
    return Plan(seed, length_ms, tuple(hosts), tuple(endpoints), tuple(timed))


def choose_fault(rng, hosts, endpoints):
    """Choose a fault at random, by weight."""
    duration_ms = rng.randint(MIN_DURATION_MS, MAX_DURATION_MS)
    host = rng.choice(hosts)
    endpoint = rng.choice(endpoints)
    links = [f'{kind}-{name}' for name in hosts for kind in ('store', 'api')]
    links += [f'endpoint-{name}' for name in endpoints]
    modes = [mode for mode in LinkMode if mode is not LinkMode.OPEN]
    factories = {
        faults.StopHost: (3, lambda: faults.StopHost(host)),
        faults.KillHost: (2, lambda: faults.KillHost(host)),
        faults.PauseHost: (2, lambda: faults.PauseHost(host, duration_ms)),
        faults.ReloadHost: (1, lambda: faults.ReloadHost(host)),
        faults.DisruptLink: (
            5,
            lambda: faults.DisruptLink(
                rng.choice(links), rng.choice(modes), duration_ms
            ),
        ),
        faults.FailStore: (
            1,
            lambda: faults.FailStore(rng.choice((0, 429, 503)), duration_ms),
        ),
        faults.LoseStoreResponses: (
            1,
            lambda: faults.LoseStoreResponses(rng.randint(1, 4)),
        ),
        faults.CompactStore: (1, faults.CompactStore),
        faults.DisruptEndpoint: (
            3,
            lambda: faults.DisruptEndpoint(
                endpoint, rng.choice(list(faults.EndpointFault)), duration_ms
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
    weights = [weight for weight, _ in factories.values()]
    kind = rng.choices(list(factories), weights)[0]
    return factories[kind][1]()
