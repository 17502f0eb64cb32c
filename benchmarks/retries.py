"""Simulation of the retries of all hosts while endpoints refuse calls.

Hosts are killed, drained and added, and read the list of hosts late or never.
Callers whose host is down call another.  For each day it
prints the largest number of retries that a service got in a window, the number
allowed there, and how many calls a retry saved:

    python -m benchmarks.retries --seeds=5
"""

import bisect
import dataclasses
import math
import random

from absl import app as absl_app
from absl import flags

from benchmarks.events import EventQueue
from pearrun.clock import Clock
from pearrun.platform.settings import RetrySettings
from pearrun.shared.members import Member
from pearrun.shared.members import Members
from pearrun.shared.retrybudgets import RetryBudgets

FLAGS = flags.FLAGS

SERVICE = 'model'
MAX_ATTEMPTS = 4
# How long an endpoint takes to refuse a call.
REFUSAL_MS = 2
# A host that is told to stop takes calls for this long.
STOP_ACCEPT_MS = 2600
# The fault begins once the hosts have been up for longer than a window.
FAULT_START_MS = 12_000


@dataclasses.dataclass(frozen=True)
class Restart:
    """Hosts that end and start again.

    :param at_ms: relative to the start of the fault.
    :param share: fraction of the hosts.
    :param down_ms: how long they are down.
    :param drained: whether they are told to stop and leave the list.
    :param gap_ms: time between one host and the next.
    :param list_ms: how long after its start a host reads the list of hosts;
        ``None`` if it cannot read it.
    """

    at_ms: int
    share: float = 1.0
    down_ms: int = 500
    drained: bool = False
    gap_ms: int = 0
    list_ms: int | None = 30


@dataclasses.dataclass(frozen=True)
class Day:
    """A day to simulate.

    :param hosts: number of hosts at the start.
    :param calls_per_s: calls per second of all callers.
    :param slack: slack of the budget.
    :param refused_share: share of the calls that endpoints refuse during
        the fault.
    :param fault_ms: length of the fault.
    :param faulty_hosts: fraction of the hosts whose calls are refused, as if
        the endpoints of one failure domain failed.
    :param added: number of hosts that are added one second into the fault.
    :param added_list_ms: how long after their start these read the list.
    :param stale: whether the first hosts do not learn of added ones.
    :param max_delay_ms: maximum time from the grant of a retry to its
        arrival.
    :param length_ms: the length, from the start of the fault.
    """

    hosts: int = 9
    calls_per_s: float = 140.0
    slack: float = 58.0
    refused_share: float = 0.85
    fault_ms: int = 12_000
    faulty_hosts: float = 1.0
    restarts: tuple[Restart, ...] = ()
    added: int = 0
    added_list_ms: int | None = 30
    stale: bool = False
    max_delay_ms: int = 5
    length_ms: int = 16_000


@dataclasses.dataclass
class Result:
    """Outcome of a day.

    :param worst: retries in the window with the largest excess.
    :param allowed: retries allowed in that window.
    :param saved: calls that were served after a retry.
    """

    worst: int = 0
    allowed: float = math.inf
    saved: int = 0

    @property
    def excess(self):
        """Retries beyond the allowed number in the worst window."""
        return self.worst - self.allowed


class SimulatedClock(Clock):
    """The clock of a simulation."""

    def __init__(self, simulation):
        self.__dict__['simulation'] = simulation

    def now(self):
        """See :class:`Clock`."""
        return round(self.simulation.now_ms)


class SimulatedHost:
    """One host; each run has budgets and a list of hosts of its own."""

    def __init__(self, name, clock, settings):
        self.name = name
        self.clock = clock
        self.settings = settings
        self.run = 0
        self.up = False
        self.members = None
        self.budgets = None

    def start(self):
        """Begin a new run."""
        self.run += 1
        self.up = True
        self.members = Members(self.clock, self.name)
        self.budgets = RetryBudgets(self.clock, self.settings, self.members)

    def read_list(self, names):
        """Apply the list of hosts."""
        for name in names:
            self.members.put(Member(name, f'{name}:1', 'zone-a', self.run))
        self.members.listed = True


class Simulation(EventQueue):
    """Simulates a :class:`Day`."""

    def __init__(self, day, seed):
        super().__init__()
        self.day = day
        self.rng = random.Random(seed)
        self.clock = SimulatedClock(self)
        self.settings = RetrySettings(0.2, day.slack, 10_000)
        self.hosts = []
        self.listed = set()
        self.calls_ms = []
        self.retries_ms = []
        self.saved = 0

    def run(self):
        """Simulate the day.

        :returns: the :class:`Result`.
        """
        day = self.day
        for _ in range(day.hosts):
            self._add_host(0)
        self._schedule_restarts()
        for _ in range(day.added):
            self.schedule(
                FAULT_START_MS + 1000, self._add_host, day.added_list_ms
            )
        self.schedule(0, self._call)
        self.run_until(FAULT_START_MS + day.length_ms)
        return self._evaluate()

    def _schedule_restarts(self):
        for restart in self.day.restarts:
            count = round(restart.share * self.day.hosts)
            chosen = self.rng.sample(self.hosts, count)
            for index, host in enumerate(chosen):
                at_ms = FAULT_START_MS + restart.at_ms + index * restart.gap_ms
                self.schedule(at_ms, self._end, host, restart)

    def _add_host(self, list_ms):
        host = SimulatedHost(
            f'host-{len(self.hosts)}', self.clock, self.settings
        )
        self.hosts.append(host)
        self._start(host, list_ms)

    def _start(self, host, list_ms):
        host.start()
        self._register(host)
        if list_ms is not None:
            self.schedule(list_ms, self._read_list, host, host.run)

    def _register(self, host):
        self.listed.add(host.name)
        for other in self.hosts:
            knows = other.up and other.members.listed
            if knows and not (self.day.stale and other.run == 1):
                other.read_list([host.name])

    def _read_list(self, host, run):
        if host.up and host.run == run:
            host.read_list(self.listed)

    def _end(self, host, restart):
        if not host.up:
            return
        if not restart.drained:
            self._stop(host, restart)
            return
        self.listed.discard(host.name)
        for other in self.hosts:
            if other.up:
                other.members.remove(host.name)
        self.schedule(STOP_ACCEPT_MS, self._stop, host, restart)

    def _stop(self, host, restart):
        host.up = False
        self.schedule(restart.down_ms, self._start, host, restart.list_ms)

    def _call(self):
        """Begin one call at a random host, and schedule the next call."""
        self.calls_ms.append(self.now_ms)
        mean_ms = 1000.0 / self.day.calls_per_s
        self.schedule(self.rng.expovariate(1.0 / mean_ms), self._call)
        host = self._choose_host()
        if host is not None:
            host.budgets.count_call(SERVICE)
            self._send(host, host.run, 1)

    def _choose_host(self):
        """Return the host that a caller reaches, or ``None``."""
        host = self.rng.choice(self.hosts)
        if host.up:
            return host
        others = [other for other in self.hosts if other.up]
        return self.rng.choice(others) if others else None

    def _send(self, host, run, attempt):
        """Let an attempt arrive; ``attempt`` is 1 for the first one."""
        if attempt > 1:
            self.retries_ms.append(self.now_ms)
        if not self._is_refused(host):
            self.saved += attempt > 1 and host.run == run
            return
        self.schedule(REFUSAL_MS, self._retry, host, run, attempt)

    def _is_refused(self, host):
        since_ms = self.now_ms - FAULT_START_MS
        if not 0 <= since_ms < self.day.fault_ms:
            return False
        affected = self.hosts.index(host) < (
            self.day.faulty_hosts * len(self.hosts)
        )
        return affected and self.rng.random() < self.day.refused_share

    def _retry(self, host, run, attempt):
        if not host.up or host.run != run or attempt >= MAX_ATTEMPTS:
            return
        if host.budgets.take(SERVICE).granted:
            delay_ms = self.rng.uniform(0, self.day.max_delay_ms)
            self.schedule(delay_ms, self._send, host, run, attempt + 1)

    def _evaluate(self):
        """Return the :class:`Result` of the window that is worst."""
        window_ms = self.settings.window_ms
        result = Result(saved=self.saved)
        for index, end_ms in enumerate(self.retries_ms):
            oldest = bisect.bisect_left(self.retries_ms, end_ms - window_ms)
            count = index + 1 - oldest
            calls = max(
                self._count_calls(end_ms - shift_ms)
                for shift_ms in (0, window_ms / 2, window_ms)
            )
            allowed = self.settings.ratio * calls + self.settings.slack
            if count - allowed > result.excess:
                result.worst = count
                result.allowed = allowed
        return result

    def _count_calls(self, end_ms):
        begin_ms = end_ms - self.settings.window_ms
        return bisect.bisect_right(self.calls_ms, end_ms) - (
            bisect.bisect_left(self.calls_ms, begin_ms)
        )


def simulate(day, seed):
    """Return the :class:`Result` of a :class:`Day`."""
    return Simulation(day, seed).run()


def repeat_restart(times_ms, **fields):
    """Return a :class:`Restart` for each of some times."""
    return tuple(Restart(at_ms, **fields) for at_ms in times_ms)


DAYS = {
    'nothing restarts': Day(),
    'one call in five is refused': Day(refused_share=0.2),
    'one failure domain refuses': Day(faulty_hosts=0.34),
    'few calls': Day(calls_per_s=20.0),
    'all killed once': Day(restarts=repeat_restart([1500])),
    'all killed twice': Day(restarts=repeat_restart([1500, 5500])),
    'all killed four times': Day(
        restarts=repeat_restart([1500, 3500, 5500, 7500])
    ),
    'list read late': Day(restarts=repeat_restart([1500], list_ms=6000)),
    'list never read, killed twice': Day(
        restarts=repeat_restart([1500, 5500], list_ms=None)
    ),
    'five killed three times, list never read': Day(
        restarts=repeat_restart([1000, 4000, 7000], share=0.55, list_ms=None)
    ),
    'rolled': Day(restarts=repeat_restart([500], drained=True, gap_ms=700)),
    'rolled twice': Day(
        restarts=repeat_restart([500, 6000], drained=True, gap_ms=300)
    ),
    'most leave at once': Day(
        restarts=repeat_restart([500], share=0.8, drained=True, down_ms=60_000)
    ),
    'most killed for long': Day(
        restarts=repeat_restart([1500], share=0.8, down_ms=60_000)
    ),
    'fleet doubled': Day(added=9),
    'fleet doubled, lists stale': Day(added=9, stale=True),
    'hosts added that read no list': Day(added=9, added_list_ms=None),
    'retries arrive late': Day(max_delay_ms=600),
    '84 hosts, list never read, killed twice': Day(
        hosts=84,
        calls_per_s=400.0,
        slack=206.0,
        restarts=repeat_restart([1500, 5500], list_ms=None),
    ),
    '84 hosts, nothing restarts': Day(
        hosts=84, calls_per_s=400.0, slack=206.0
    ),
    '300 hosts, all killed three times': Day(
        hosts=300,
        calls_per_s=1400.0,
        slack=660.0,
        restarts=repeat_restart([1500, 4500, 7500], list_ms=4000),
    ),
}


def main(argv):
    """Print the results of all days."""
    del argv
    for name, day in DAYS.items():
        results = [simulate(day, seed) for seed in range(FLAGS.seeds)]
        worst = max(results, key=lambda result: result.excess)
        saved = sum(result.saved for result in results) / len(results)
        print(
            f'{name}: {worst.worst} retries in the worst window, '
            f'{worst.allowed:.0f} allowed; {saved:.0f} calls saved'
        )


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 5, 'Number of simulated days of each kind.')
    absl_app.run(main)
