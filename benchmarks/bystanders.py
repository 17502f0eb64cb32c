"""Count good requests that are quarantined because endpoints crashed.

Plays calls on endpoints that crash: one at a time by themselves, many at
once, and under requests that crash each endpoint which begins to run them
and come again.  Good callers send again what broke; some send the same
request all the time.  Hosts are taken to know the same at once.  Prints the
good calls, those refused, and the crashes that each crashing request caused:

    python -m benchmarks.bystanders --seeds=20
"""

import collections
import dataclasses
import heapq
import itertools
import random

from absl import app as absl_app
from absl import flags

from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import is_call_stable
from pearrun.decisions.quarantine import Suspects

FLAGS = flags.FLAGS

# How long after its begin a crashing request ends its endpoint.
CRASH_MS = (5, 150)


@dataclasses.dataclass(frozen=True)
class Load:
    """What is played.

    :param endpoints: number of endpoints.
    :param per_s: good calls a second.
    :param long_share: part of them that run for seconds.
    :param hot_share: part of them that are one and the same request.
    :param crashes_per_s: endpoints that crash by themselves.
    :param mass_every_s: pause between crashes of many at once.
    :param mass_share: part of the endpoints that crash then.
    :param crashing: number of requests that crash endpoints.
    :param again_s: mean pause after which each of them comes again.
    :param restart_s: time until a crashed endpoint is back.
    :param repeats: times that a caller sends a broken call again.
    """

    endpoints: int = 12
    per_s: float = 45.0
    long_share: float = 0.2
    hot_share: float = 0.05
    crashes_per_s: float = 0.0
    mass_every_s: float = 0.0
    mass_share: float = 0.5
    crashing: int = 0
    again_s: float = 1.0
    restart_s: float = 5.0
    repeats: int = 3


LOADS = {
    'endpoints crash one by one': Load(crashes_per_s=0.3),
    'endpoints crash all the time': Load(crashes_per_s=1.5),
    'half of them crash at once': Load(mass_every_s=6.0),
    'all of them crash at once': Load(mass_every_s=8.0, mass_share=1.0),
    'three requests crash them': Load(crashing=3),
    'all of it': Load(crashes_per_s=0.5, mass_every_s=10.0, crashing=3),
    'many endpoints': Load(
        endpoints=200, per_s=400.0, crashes_per_s=10.0, crashing=5
    ),
}


@dataclasses.dataclass(frozen=True)
class Run:
    """A request's run at an endpoint.

    :param left: times that it may still be sent again if it breaks.
    """

    fingerprint: str
    begun_ms: float
    left: int


@dataclasses.dataclass
class Counts:
    """What became of the calls.

    :param good: good calls sent, repeats included.
    :param hot: calls of the request that comes all the time, among those
        refused.
    :param crashes: endpoints crashed by each crashing request.
    """

    good: int = 0
    refused: int = 0
    hot: int = 0
    crashes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Play:
    """One run of a load."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.suspects = Suspects()
        self.counts = Counts()
        self.numbers = itertools.count()
        self.events = []
        self.incarnations = [f'e{n}.0' for n in range(load.endpoints)]
        self.running = {name: {} for name in self.incarnations}
        self.answered_ms = {}
        self.now = 0.0

    def run(self, seconds):
        """Play for some simulated seconds; return the :class:`Counts`."""
        self._after(0, self._send_good)
        if self.load.crashes_per_s:
            self._after(0, self._crash_one)
        if self.load.mass_every_s:
            self._after(self.load.mass_every_s * 1000, self._crash_many)
        for number in range(self.load.crashing):
            self._after(0, self._send_crashing, f'bad-{number}')
        while self.events and self.events[0][0] < seconds * 1000:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self.counts

    def _after(self, wait_ms, action, *args):
        at_ms = self.now + wait_ms
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, args))

    def _send_good(self):
        self._after(
            self.rng.expovariate(self.load.per_s) * 1000, self._send_good
        )
        hot = self.rng.random() < self.load.hot_share
        fingerprint = 'hot' if hot else f'good-{next(self.numbers)}'
        self._start(fingerprint, self.load.repeats)

    def _send_crashing(self, fingerprint):
        self._after(
            self.rng.expovariate(1 / self.load.again_s) * 1000,
            self._send_crashing,
            fingerprint,
        )
        if fingerprint in self.suspects.quarantined:
            return
        name = self._choose()
        if name is None:
            return
        run_id = next(self.numbers)
        self.running[name][run_id] = Run(fingerprint, self.now, 0)
        self._after(
            self.rng.uniform(*CRASH_MS), self._crash_under, name, fingerprint
        )

    def _crash_under(self, name, fingerprint):
        if name in self.running:
            self.counts.crashes[fingerprint] += 1
            self._crash(name)

    def _start(self, fingerprint, left):
        self.counts.good += 1
        if fingerprint in self.suspects.quarantined:
            self.counts.refused += 1
            self.counts.hot += fingerprint == 'hot'
            return
        name = self._choose()
        if name is None:
            return
        run_id = next(self.numbers)
        self.running[name][run_id] = Run(fingerprint, self.now, left)
        is_long = self.rng.random() < self.load.long_share
        mean_ms = 2500 if is_long else 180
        lasts_ms = self.rng.uniform(0.5, 1.5) * mean_ms
        self._after(lasts_ms, self._answer, name, run_id)

    def _choose(self):
        names = list(self.running)
        return self.rng.choice(names) if names else None

    def _answer(self, name, run_id):
        run = self.running.get(name, {}).pop(run_id, None)
        if run is not None:
            self.suspects.note_answered(run.fingerprint, self.now)
            self.answered_ms[run.fingerprint] = self.now

    def _crash_one(self):
        self._after(
            self.rng.expovariate(self.load.crashes_per_s) * 1000,
            self._crash_one,
        )
        name = self._choose()
        if name is not None:
            self._crash(name)

    def _crash_many(self):
        self._after(self.load.mass_every_s * 1000, self._crash_many)
        for name in list(self.running):
            if self.rng.random() < self.load.mass_share:
                self._crash(name)

    def _crash(self, name):
        broken = self.running.pop(name).values()
        for run in broken:
            ran_ms = self.now - run.begun_ms
            crash = Crash(
                name, self.now, ran_ms, is_call_stable(ran_ms, ran_ms)
            )
            self.suspects.note_crash(run.fingerprint, crash)
            answered_ms = self.answered_ms.get(run.fingerprint)
            if answered_ms is not None:
                self.suspects.note_answered(run.fingerprint, answered_ms)
        self.suspects.evaluate(self.now)
        self._after(self.load.restart_s * 1000, self._restart, name)
        for run in broken:
            if run.left and not run.fingerprint.startswith('bad'):
                self._after(1, self._start, run.fingerprint, run.left - 1)

    def _restart(self, name):
        place, _, number = name.partition('.')
        self.running[f'{place}.{int(number) + 1}'] = {}


def main(argv):
    """Play all loads and print what became of the calls."""
    del argv
    for name, load in LOADS.items():
        good = refused = hot = 0
        crashes = []
        for seed in range(FLAGS.seeds):
            counts = Play(load, seed).run(FLAGS.seconds)
            good += counts.good
            refused += counts.refused
            hot += counts.hot
            crashes.extend(counts.crashes.values())
        most = max(crashes, default=0)
        print(
            f'{name}: {good} good calls, {refused} refused '
            f'({hot} hot); '
            f'at most {most} crashes by one request'
        )


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 20, 'how many runs')
    flags.DEFINE_integer('seconds', 120, 'simulated seconds of a run')
    absl_app.run(main)
