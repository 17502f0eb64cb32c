"""Endpoints of several software versions in a soak, and resumed streams."""

import asyncio
import random

from pearrun.clock import to_seconds
from tests import versions
from tests.soak import checks
from tests.soak import faults

VERSIONS = ('v1', 'v2')
CALLERS = 20
# Attempts of a caller for one stream.
MAX_ATTEMPTS = 4
# Mean pause between two streams of a caller, and before a resumption.
THINK_MS = 40
# Mean interval between the kills of hosts, beside other faults.
KILL_INTERVAL_MS = 900
INITIAL_CALM_MS = 2500


def choose_version(replica):
    """Return the version of a replica's current endpoint.

    The replicas of a service have different ones, and change them with each
    endpoint, so that the last endpoint of a version leaves at times.
    """
    position = sum(replica.name.encode()) + replica.generation
    return VERSIONS[position % len(VERSIONS)]


def generate_kills(seed, length_ms, hosts):
    """Generate kills of hosts, apart from other faults.

    :param hosts: names of the entry hosts.
    :returns: a list of :class:`TimedFault`.
    """
    rng = random.Random(f'kills-{seed}')
    timed = []
    start_ms = INITIAL_CALM_MS
    while start_ms < length_ms:
        fault = faults.KillHost(rng.choice(hosts))
        timed.append(faults.TimedFault(start_ms, fault))
        start_ms += int(rng.expovariate(1 / KILL_INTERVAL_MS))
    return timed


class ResumingCallers:
    """Callers that resume their streams at any host until they end.

    :param site: the :class:`SoakSite`.

    ``hosts`` holds the name of the host by attempt id.
    """

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(f'versions-{seed}')
        self.streams = []
        self.hosts = {}
        self.stopped = False

    async def run(self):
        """Run all callers until ``stopped`` is set."""
        await asyncio.gather(*(self._run_caller() for _ in range(CALLERS)))

    async def _run_caller(self):
        while not self.stopped:
            stream = versions.Stream(f'stream-{len(self.streams)}')
            self.streams.append(stream)
            while not stream.complete and len(stream.statuses) < MAX_ATTEMPTS:
                host, address = self.rng.choice(
                    list(self.site.front_addresses.items())
                )
                self.hosts[stream.next_attempt_id] = host
                await stream.attempt_at(address)
                pause_ms = self.rng.expovariate(1 / THINK_MS)
                await asyncio.sleep(to_seconds(pause_ms))


def check_versions(streams):
    """Check that no stream has events of several versions."""
    for stream_id, mixed in versions.find_mixed(streams):
        yield checks.Finding('versions', f'{stream_id}: {sorted(mixed)}')


def count_resumed(streams):
    """Return how many streams were resumed, and how many of them went on."""
    resumed = [
        stream
        for stream in streams
        if stream.origin and stream.origin != stream.last_attempt_id
    ]
    return len(resumed), sum(stream.complete for stream in resumed)
