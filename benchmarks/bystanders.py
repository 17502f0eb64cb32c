"""Simulation of good requests that are quarantined by mistake.

Simulates calls to endpoints that crash: individually, many at once, or
because of requests that crash every endpoint which starts to run them and
are sent repeatedly.  Callers retry good calls that were interrupted, and a
fraction of the good calls is one identical request ("hot").  All hosts are
assumed to share their knowledge immediately.  Prints the number of good
calls, how many of them were refused, and the maximum number of crashes caused
by a single request:

    python -m benchmarks.bystanders --seeds=20
"""

import collections
import dataclasses
import itertools
import random

from absl import app as absl_app
from absl import flags

from benchmarks.events import EventQueue
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import is_call_stable
from pearrun.decisions.quarantine import Suspects

FLAGS = flags.FLAGS

# Range of the time from the start of a crashing request to the crash.
CRASH_MS = (5, 150)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Calls and crashes to simulate.

    :param endpoints: number of endpoints.
    :param calls_per_s: good calls per second.
    :param long_share: fraction of them that run for seconds.
    :param hot_share: fraction of them that are one identical request.
    :param crashes_per_s: rate of individual crashes with another cause.
    :param mass_crash_interval_s: time between mass crashes; 0 for none.
    :param mass_crash_share: fraction of the endpoints in a mass crash.
    :param crashing_requests: number of requests that crash endpoints.
    :param resend_interval_s: mean time between two calls of each of them.
    :param restart_s: time until a crashed endpoint is available again.
    :param max_retries: how often a caller retries an interrupted call.
    """

    endpoints: int = 12
    calls_per_s: float = 45.0
    long_share: float = 0.2
    hot_share: float = 0.05
    crashes_per_s: float = 0.0
    mass_crash_interval_s: float = 0.0
    mass_crash_share: float = 0.5
    crashing_requests: int = 0
    resend_interval_s: float = 1.0
    restart_s: float = 5.0
    max_retries: int = 3


SCENARIOS = {
    'endpoints crash one by one': Scenario(crashes_per_s=0.3),
    'endpoints crash all the time': Scenario(crashes_per_s=1.5),
    'half of them crash at once': Scenario(mass_crash_interval_s=6.0),
    'all of them crash at once': Scenario(
        mass_crash_interval_s=8.0, mass_crash_share=1.0
    ),
    'three requests crash them': Scenario(crashing_requests=3),
    'all of it': Scenario(
        crashes_per_s=0.5, mass_crash_interval_s=10.0, crashing_requests=3
    ),
    'many endpoints': Scenario(
        endpoints=200,
        calls_per_s=400.0,
        crashes_per_s=10.0,
        crashing_requests=5,
    ),
}


@dataclasses.dataclass(frozen=True)
class Run:
    """A request running on an endpoint.

    :param retries_left: how often it may still be retried if interrupted.
    """

    fingerprint: str
    started_ms: float
    retries_left: int


@dataclasses.dataclass
class Counts:
    """Results of a simulation.

    :param good: number of good calls sent, including retries.
    :param refused: number of good calls that were refused.
    :param hot: number of refused calls of the hot request.
    :param crashes: number of crashes by fingerprint of the crashing request.
    """

    good: int = 0
    refused: int = 0
    hot: int = 0
    crashes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Simulation(EventQueue):
    """Discrete-event simulation of a scenario."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.suspects = Suspects()
        self.counts = Counts()
        super().__init__()
        self.ids = itertools.count()
        self.endpoint_ids = [f'e{n}.0' for n in range(scenario.endpoints)]
        self.running = {name: {} for name in self.endpoint_ids}
        self.answered_ms = {}

    def run(self, seconds):
        """Run the simulation.

        :param seconds: its duration in simulated time.
        :returns: the :class:`Counts`.
        """
        self.schedule(0, self._send_good)
        if self.scenario.crashes_per_s:
            self.schedule(0, self._crash_one)
        if self.scenario.mass_crash_interval_s:
            self.schedule(
                self.scenario.mass_crash_interval_s * 1000, self._crash_many
            )
        for number in range(self.scenario.crashing_requests):
            self.schedule(0, self._send_crashing, f'bad-{number}')
        self.run_until(seconds * 1000)
        return self.counts

    def _send_good(self):
        self.schedule(
            self.rng.expovariate(self.scenario.calls_per_s) * 1000,
            self._send_good,
        )
        hot = self.rng.random() < self.scenario.hot_share
        fingerprint = 'hot' if hot else f'good-{next(self.ids)}'
        self._start_good(fingerprint, self.scenario.max_retries)

    def _send_crashing(self, fingerprint):
        self.schedule(
            self.rng.expovariate(1 / self.scenario.resend_interval_s) * 1000,
            self._send_crashing,
            fingerprint,
        )
        if fingerprint in self.suspects.quarantined:
            return
        name = self._choose_endpoint()
        if name is None:
            return
        run_id = next(self.ids)
        self.running[name][run_id] = Run(fingerprint, self.now_ms, 0)
        self.schedule(
            self.rng.uniform(*CRASH_MS),
            self._crash_by_request,
            name,
            fingerprint,
        )

    def _crash_by_request(self, name, fingerprint):
        if name in self.running:
            self.counts.crashes[fingerprint] += 1
            self._crash_endpoint(name)

    def _start_good(self, fingerprint, retries_left):
        self.counts.good += 1
        if fingerprint in self.suspects.quarantined:
            self.counts.refused += 1
            self.counts.hot += fingerprint == 'hot'
            return
        name = self._choose_endpoint()
        if name is None:
            return
        run_id = next(self.ids)
        self.running[name][run_id] = Run(
            fingerprint, self.now_ms, retries_left
        )
        is_long = self.rng.random() < self.scenario.long_share
        mean_ms = 2500 if is_long else 180
        duration_ms = self.rng.uniform(0.5, 1.5) * mean_ms
        self.schedule(duration_ms, self._complete, name, run_id)

    def _choose_endpoint(self):
        names = list(self.running)
        return self.rng.choice(names) if names else None

    def _complete(self, name, run_id):
        run = self.running.get(name, {}).pop(run_id, None)
        if run is not None:
            self.suspects.note_answered(run.fingerprint, self.now_ms)
            self.answered_ms[run.fingerprint] = self.now_ms

    def _crash_one(self):
        self.schedule(
            self.rng.expovariate(self.scenario.crashes_per_s) * 1000,
            self._crash_one,
        )
        name = self._choose_endpoint()
        if name is not None:
            self._crash_endpoint(name)

    def _crash_many(self):
        self.schedule(
            self.scenario.mass_crash_interval_s * 1000, self._crash_many
        )
        for name in list(self.running):
            if self.rng.random() < self.scenario.mass_crash_share:
                self._crash_endpoint(name)

    def _crash_endpoint(self, name):
        interrupted = self.running.pop(name).values()
        for run in interrupted:
            ran_ms = self.now_ms - run.started_ms
            crash = Crash(
                name, self.now_ms, ran_ms, is_call_stable(ran_ms, ran_ms)
            )
            self.suspects.note_crash(run.fingerprint, crash)
            answered_ms = self.answered_ms.get(run.fingerprint)
            if answered_ms is not None:
                self.suspects.note_answered(run.fingerprint, answered_ms)
        self.suspects.evaluate(self.now_ms)
        self.schedule(self.scenario.restart_s * 1000, self._restart, name)
        for run in interrupted:
            if run.retries_left and not run.fingerprint.startswith('bad'):
                self.schedule(
                    1, self._start_good, run.fingerprint, run.retries_left - 1
                )

    def _restart(self, name):
        base_name, _, number = name.partition('.')
        self.running[f'{base_name}.{int(number) + 1}'] = {}


def main(argv):
    """Simulate all scenarios and print the results."""
    del argv
    for name, scenario in SCENARIOS.items():
        good = refused = hot = 0
        crashes = []
        for seed in range(FLAGS.seeds):
            counts = Simulation(scenario, seed).run(FLAGS.seconds)
            good += counts.good
            refused += counts.refused
            hot += counts.hot
            crashes.extend(counts.crashes.values())
        max_crashes = max(crashes, default=0)
        print(
            f'{name}: {good} good calls, {refused} refused '
            f'({hot} hot); '
            f'at most {max_crashes} crashes by one request'
        )


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 20, 'number of runs')
    flags.DEFINE_integer('seconds', 120, 'simulated seconds per run')
    absl_app.run(main)
