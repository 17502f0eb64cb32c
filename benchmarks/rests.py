"""Simulation of hosts whose calls are refused with a time of rest.

Some endpoints of a service refuse all calls for a while, and name a time for
which they want none from the host that they refuse.  For each fleet and each
way of keeping the rests it prints what the endpoints and the callers saw:

    python -m benchmarks.rests --seeds=3
"""

import dataclasses
import random

from absl import app as absl_app
from absl import flags

from benchmarks.events import EventQueue
from pearrun.clock import Clock
from pearrun.decisions import rest
from pearrun.shared.rests import Rests

FLAGS = flags.FLAGS

# Calls that reach an endpoint so soon after it asked for rest do not count.
GRACE_MS = 500
# Calls of a host for which no endpoint is allowed are refused, and made again
# by their callers once, after a third of their time at most.
CALLER_MS = 3000
LENGTH_MS = 14_000
FAULT_START_MS = 2000
# Window in which calls to an endpoint that has rested are counted.
BURST_MS = 50


@dataclasses.dataclass(frozen=True)
class Fleet:
    """A fleet to simulate.

    :param hosts: number of hosts.
    :param endpoints: number of endpoints.
    :param slots: calls that an endpoint runs at a time.
    :param waiting: calls that wait at an endpoint before it refuses more.
    :param service_ms: mean time that a call takes.
    :param head_ms: time after which an answer begins, if it takes longer.
    :param load: calls per second, as a share of what all endpoints serve.
    :param refusing: number of endpoints that refuse all calls in the fault.
    :param fault_ms: length of the fault.
    :param rest_ms: the time of rest that they name, also when they are full.
    :param max_delay_ms: maximum time of a message in one direction; the mean
        is a fifth of it.
    """

    hosts: int = 9
    endpoints: int = 12
    slots: int = 16
    waiting: int = 8
    service_ms: float = 300.0
    head_ms: float = 80.0
    load: float = 0.5
    refusing: int = 3
    fault_ms: int = 3000
    rest_ms: int = 3000
    max_delay_ms: float = 15.0


@dataclasses.dataclass(frozen=True)
class Way:
    """How hosts keep rests.

    :param kept: whether they keep them at all.
    :param trials: which calls go first after a rest: one, this host's share
        of the endpoint's slots (``None``), or all (0).
    """

    name: str
    kept: bool = True
    trials: int | None = None


WAYS = (
    Way('not kept', kept=False),
    Way('kept, all at its end', trials=0),
    Way('kept, one first', trials=1),
    Way('kept, share first'),
)
FLEETS = {
    '9 hosts': Fleet(),
    '9 hosts, slow links': Fleet(max_delay_ms=250.0),
    '9 hosts, all refuse': Fleet(refusing=12, rest_ms=2000),
    '9 hosts, all refuse, 64 slots': Fleet(
        refusing=12, rest_ms=2000, slots=64, waiting=16
    ),
    '84 hosts': Fleet(hosts=84, endpoints=45, refusing=15),
    '84 hosts, all refuse': Fleet(
        hosts=84, endpoints=45, refusing=45, rest_ms=2000
    ),
    '300 hosts': Fleet(hosts=300, endpoints=60, refusing=20),
}


class SimulatedClock(Clock):
    """A clock that follows a simulation."""

    def __init__(self, simulation):
        self.simulation = simulation

    def now(self):
        return round(self.simulation.now_ms)


class Endpoint:
    """An endpoint's calls, and when each host may call it again."""

    def __init__(self):
        self.running = 0
        self.queue = []
        self.rests = {}
        self.arrivals = []


class Simulation(EventQueue):
    """One fleet, one way and one seed."""

    def __init__(self, fleet, way, seed):
        super().__init__()
        self.fleet = fleet
        self.way = way
        self.rng = random.Random(seed)
        clock = SimulatedClock(self)
        share = way.trials
        if share is None:
            share = rest.compute_share(fleet.slots, fleet.hosts)
        self.first_calls = share
        self.rests = [Rests(clock) for _ in range(fleet.hosts)]
        self.in_flight = [[0] * fleet.endpoints for _ in range(fleet.hosts)]
        self.endpoints = [Endpoint() for _ in range(fleet.endpoints)]
        self.calls = self.served = 0
        self.broken = self.refused = 0

    def run(self):
        """Run to the end; return the :class:`Result`."""
        capacity = self.fleet.slots * 1000.0 / self.fleet.service_ms
        per_s = self.fleet.load * capacity * self.fleet.endpoints
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            at_ms += self.rng.expovariate(per_s / 1000.0)
            self.schedule(at_ms, self._call, 1, CALLER_MS + at_ms)
            self.calls += 1
        self.run_until(LENGTH_MS + CALLER_MS)
        return Result(
            self.served / self.calls,
            self.broken,
            self.refused,
            max(map(self._count_burst, range(self.fleet.refusing))),
        )

    def _call(self, retries, deadline_ms):
        """Let a caller call a host, which sends the call to an endpoint."""
        host = self.rng.randrange(self.fleet.hosts)
        allowed = [
            number
            for number in range(self.fleet.endpoints)
            if self._allows(host, number)
        ]
        if not allowed:
            waits = [
                self.rests[host].get_wait_ms(number, self.first_calls or 1)
                for number in range(self.fleet.endpoints)
            ]
            self._return_later(retries, deadline_ms, min(waits))
            return
        flying = self.in_flight[host]
        least = min(flying[number] for number in allowed)
        chosen = self.rng.choice([n for n in allowed if flying[n] == least])
        flying[chosen] += 1
        if self.first_calls:
            self.rests[host].begin_call(chosen)
        call = (host, chosen, self.now_ms, retries, deadline_ms)
        self.schedule(self._draw_delay_ms(), self._arrive, call)

    def _allows(self, host, number):
        return not self.way.kept or self.rests[host].allows_call(
            number, self.first_calls or 1
        )

    def _return_later(self, retries, deadline_ms, wait_ms):
        if not retries:
            return
        wait_ms *= self.rng.uniform(1.0, 1.25)
        longest_ms = (deadline_ms - self.now_ms) / 3
        self.schedule(
            min(longest_ms, wait_ms), self._call, retries - 1, deadline_ms
        )

    def _draw_delay_ms(self):
        mean_ms = self.fleet.max_delay_ms / 5
        return min(
            self.fleet.max_delay_ms, self.rng.expovariate(1.0 / mean_ms)
        )

    def _arrive(self, call):
        host, number, *_ = call
        endpoint = self.endpoints[number]
        self._count_arrival(endpoint, host)
        fleet = self.fleet
        in_fault = 0 <= self.now_ms - FAULT_START_MS < fleet.fault_ms
        is_refusing = in_fault and number < fleet.refusing
        full = len(endpoint.queue) >= fleet.waiting
        if is_refusing or full:
            self.refused += 1
            until_ms = self.now_ms + fleet.rest_ms
            endpoint.rests.setdefault(host, []).append([until_ms, 0])
            self.schedule(self._draw_delay_ms(), self._handle_refusal, call)
        elif endpoint.running < fleet.slots:
            self._begin(endpoint, call)
        else:
            endpoint.queue.append(call)

    def _count_arrival(self, endpoint, host):
        endpoint.arrivals.append(self.now_ms)
        for entry in endpoint.rests.get(host, ()):
            begin_ms = entry[0] - self.fleet.rest_ms + GRACE_MS
            if begin_ms < self.now_ms < entry[0]:
                entry[1] += 1
                self.broken += entry[1] == 3

    def _begin(self, endpoint, call):
        endpoint.running += 1
        took_ms = self.rng.expovariate(1.0 / self.fleet.service_ms)
        head_ms = min(took_ms, self.fleet.head_ms) + self._draw_delay_ms()
        self.schedule(head_ms, self._handle_head, call)
        self.schedule(took_ms, self._end, endpoint, call)

    def _end(self, endpoint, call):
        endpoint.running -= 1
        if endpoint.queue:
            self._begin(endpoint, endpoint.queue.pop(0))
        self.schedule(self._draw_delay_ms(), self._handle_answer, call)

    def _handle_head(self, call):
        host, number, sent_ms, *_ = call
        self.rests[host].note_accepted(number, sent_ms)

    def _handle_answer(self, call):
        host, number, _, _, deadline_ms = call
        self._finish(host, number)
        self.served += self.now_ms <= deadline_ms

    def _handle_refusal(self, call):
        host, number, _, retries, deadline_ms = call
        self._finish(host, number)
        self.rests[host].note_rest(number, self.fleet.rest_ms)
        self._return_later(retries, deadline_ms, 500)

    def _finish(self, host, number):
        self.in_flight[host][number] -= 1
        if self.first_calls:
            self.rests[host].end_call(number)

    def _count_burst(self, number):
        """Return the most calls of a window once an endpoint has rested."""
        begin_ms = FAULT_START_MS + self.fleet.fault_ms
        late = [at for at in self.endpoints[number].arrivals if at >= begin_ms]
        return max(
            (
                sum(at <= other < at + BURST_MS for other in late)
                for at in late
            ),
            default=0,
        )


@dataclasses.dataclass(frozen=True)
class Result:
    """What endpoints and callers saw.

    :param served: share of the calls that were answered in time.
    :param broken: rests in which a host sent more than two calls.
    :param refused: calls that endpoints refused.
    :param burst: most calls that a rested endpoint got within ``BURST_MS``.
    """

    served: float
    broken: int
    refused: int
    burst: int


def simulate(fleet, way, seed):
    """Return the :class:`Result` of a fleet that keeps rests in one way."""
    return Simulation(fleet, way, seed).run()


def main(argv):
    """Print a line for each fleet and way."""
    del argv
    for name, fleet in FLEETS.items():
        for way in WAYS:
            results = [
                simulate(fleet, way, seed) for seed in range(FLAGS.seeds)
            ]
            served = sum(item.served for item in results) / len(results)
            print(
                f'{name:22} {way.name:22} served {served:.3f}  rests broken '
                f'{max(item.broken for item in results):4}  refused '
                f'{sum(item.refused for item in results) // len(results):6}  '
                f'burst {max(item.burst for item in results):4}',
                flush=True,
            )


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 3, 'Number of seeds.')
    absl_app.run(main)
