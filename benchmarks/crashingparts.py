"""Simulation of prompt parts that crash endpoints, and of ways to find them.

Calls consist of a first part that many share, a second part that few share,
and a body of their own.  A part crashes every endpoint that begins to answer
a call with it; endpoints also crash for other reasons.  All hosts learn of a
crash after :data:`DETECTION_MS`; it is proven after :data:`PROOF_MS`.

Three ways of judging see the same calls: the cover that the quarantine uses,
the ratio of crashes to survived runs, and a Bayesian estimate for each part
alone.  Prints, for each scenario and way, means over the seeds: crashes by
crashing calls, how many of these calls were sent more than :data:`TOUCH_MS`
after the fifth crash, and the share of sound calls that were refused, of all
and of those with the first part of the crashing calls:

    python -m benchmarks.crashingparts --seeds=5
"""

import collections
import dataclasses
import itertools
import math
import random

from absl import app as absl_app
from absl import flags

from benchmarks.events import EventQueue
from pearrun.decisions import rendezvous
from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import is_call_stable
from pearrun.decisions.quarantine import Suspects
from pearrun.fingerprints import make_part_fingerprint

FLAGS = flags.FLAGS

DETECTION_MS = 150
PROOF_MS = 2700
TOUCH_MS = 3000
RESTART_MS = 5000
# Time from the start of a run until its answer begins, and until the answer
# has shown that no part crashes endpoints.
PREFILL_MS = 100
BEGUN_MS = PREFILL_MS + 250
# Probability that a call goes to the endpoint that has its second part.
AFFINITY = 0.7
LATE_CRASHES = 5


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Calls and crashes to simulate.

    :param crashing: the parts of crashing calls, for each kind of them;
        ``None`` stands for one drawn for each call.
    :param body_crashes: whether the cause is the body, the same in all calls.
    :param sound_per_s: sound calls per second.
    :param burst: crashing calls that arrive together.
    :param interval_s: mean time between such bursts.
    :param begin_s: when crashing calls begin.
    :param mass_crash_s: interval of crashes of half of the endpoints.
    """

    crashing: tuple = ((None, 'bad'),)
    body_crashes: bool = False
    sound_per_s: float = 33.0
    burst: int = 1
    interval_s: float = 1.0
    begin_s: float = 10.0
    mass_crash_s: float = 0.0
    endpoints: int = 12
    firsts: int = 8
    seconds: int = 486


SCENARIOS = {
    'second part': Scenario(),
    'slow': Scenario(interval_s=4.0),
    'bursts': Scenario(burst=6, interval_s=5.0),
    'same first part': Scenario(crashing=(('first-0', 'bad'),)),
    'same first part, few calls': Scenario(
        crashing=(('first-0', 'bad'),), sound_per_s=2.0
    ),
    'same first part, new': Scenario(
        crashing=(('first-0', 'bad'),), sound_per_s=2.0, begin_s=0.0
    ),
    'first part': Scenario(crashing=(('bad', None),)),
    'first part, one second part': Scenario(
        crashing=(('bad', 'second-0'),), seconds=20
    ),
    'two parts': Scenario(
        crashing=(('first-0', 'bad'), ('first-0', 'worse')), interval_s=0.5
    ),
    'two parts, few calls': Scenario(
        crashing=(('first-0', 'bad'), ('first-0', 'worse')),
        interval_s=2.0,
        sound_per_s=2.0,
    ),
    'body': Scenario(crashing=(('first-0', 'second-0'),), body_crashes=True),
    'mass crashes': Scenario(crashing=(), mass_crash_s=6.0),
    'mass crashes, few parts': Scenario(
        crashing=(), mass_crash_s=6.0, firsts=2, seconds=12
    ),
    'part and mass crashes': Scenario(mass_crash_s=8.0),
    'many endpoints': Scenario(
        endpoints=150, sound_per_s=300.0, interval_s=0.3
    ),
}


class CoverJudge:
    """The quarantine's own way; see :mod:`pearrun.decisions.quarantine`."""

    def __init__(self):
        self.suspects = Suspects()
        self.answered_ms = {}
        self.tested_ms = -math.inf

    def note_crash(self, run, endpoint, at_ms, proven, causes):
        """Record that an endpoint crashed during a run."""
        ran_ms = at_ms - run.started_ms
        answered_ms = max(0, ran_ms - PREFILL_MS)
        stable = is_call_stable(ran_ms, answered_ms)
        crash = Crash(endpoint, at_ms, ran_ms, stable, run.id, 'z', proven)
        for cause in causes:
            self.suspects.note_crash(cause, crash)
            if cause in self.answered_ms:
                self.suspects.note_answered(cause, self.answered_ms[cause])

    def note_survived(self, causes, at_ms):
        """Record a run that did not crash its endpoint."""
        for cause in causes:
            self.answered_ms[cause] = at_ms
            self.suspects.note_answered(cause, at_ms)

    def refuses(self, causes, at_ms):
        """Return whether a call is refused."""
        self.suspects.evaluate(at_ms)
        if self.suspects.find_verdict(causes):
            return True
        return bool(self.suspects.find_tested(causes)) and self._is_busy(at_ms)

    def _is_busy(self, at_ms):
        """Return whether another call tests an ambiguous verdict now."""
        if at_ms - self.tested_ms < PREFILL_MS + DETECTION_MS:
            return True
        self.tested_ms = at_ms
        return False


class RatioJudge:
    """Refuses what crashed in at least half of its recent runs."""

    MIN_CRASHES = 3
    MIN_RATIO = 0.5
    WINDOW_MS = 30_000

    def __init__(self):
        self.crashes = collections.defaultdict(dict)
        self.survived = collections.defaultdict(collections.deque)

    def note_crash(self, run, endpoint, at_ms, proven, causes):
        """Record that an endpoint crashed during a run."""
        for cause in causes:
            self.crashes[cause][endpoint] = at_ms

    def note_survived(self, causes, at_ms):
        """Record a run that did not crash its endpoint."""
        for cause in causes:
            self.survived[cause].append(at_ms)

    def refuses(self, causes, at_ms):
        """Return whether a call is refused."""
        return any(
            self._is_refused(cause, at_ms)
            for cause in causes
            if cause in self.crashes
        )

    def _is_refused(self, cause, at_ms):
        crashes = len(self.crashes[cause])
        survived = self.survived[cause]
        while survived and at_ms - survived[0] > self.WINDOW_MS:
            survived.popleft()
        ratio = crashes / (crashes + len(survived))
        return crashes >= self.MIN_CRASHES and ratio >= self.MIN_RATIO


class BayesJudge:
    """Refuses what more likely than not crashes endpoints, by itself.

    The odds of each cause rise with each crash by the inverse of the share of
    runs that crashed, and return to the prior with each survived run.
    """

    PRIOR = math.log(1e-4)

    def __init__(self):
        self.odds = {}
        self.seen = set()
        self.runs = 1.0
        self.broken = 1.0

    def note_crash(self, run, endpoint, at_ms, proven, causes):
        """Record that an endpoint crashed during a run."""
        if proven:
            return
        self.broken += 1
        self.runs += 1
        gain = math.log(self.runs / self.broken)
        for cause in causes:
            if (cause, endpoint) not in self.seen:
                self.seen.add((cause, endpoint))
                self.odds[cause] = self.odds.get(cause, self.PRIOR) + gain

    def note_survived(self, causes, at_ms):
        """Record a run that did not crash its endpoint."""
        self.runs += 1
        for cause in causes:
            self.odds.pop(cause, None)

    def refuses(self, causes, at_ms):
        """Return whether a call is refused."""
        return any(self.odds.get(cause, -1) > 0 for cause in causes)


JUDGES = {'cover': CoverJudge, 'ratio': RatioJudge, 'Bayes': BayesJudge}


@dataclasses.dataclass
class Run:
    """A call that runs on an endpoint.

    :param causes: fingerprints of its body and of its parts.
    :param crashes: whether it crashes its endpoint.
    """

    id: str
    causes: tuple
    started_ms: float
    crashes: bool = False


@dataclasses.dataclass
class Counts:
    """Results of a simulation.

    :param late: crashing calls sent too long after the fifth crash.
    :param related: sound calls with a first part of crashing calls.
    """

    crashes: int = 0
    late: int = 0
    sound: int = 0
    refused: int = 0
    related: int = 0
    related_refused: int = 0


class Simulation(EventQueue):
    """Discrete-event simulation of a scenario with one way of judging."""

    def __init__(self, scenario, judge, seed):
        self.scenario = scenario
        self.judge = judge
        self.rng = random.Random(seed)
        self.counts = Counts()
        super().__init__()
        self.ids = itertools.count()
        self.running = {f'e{n}.0': {} for n in range(scenario.endpoints)}
        self.fifth_ms = None
        self.shared_firsts = {item[0] for item in scenario.crashing}

    def run(self, seconds):
        """Run the simulation; return its :class:`Counts`."""
        self.schedule(0, self._send_sound)
        for number in range(len(self.scenario.crashing)):
            begin_ms = self.scenario.begin_s * 1000
            self.schedule(begin_ms, self._send_crashing, number)
        if self.scenario.mass_crash_s:
            self.schedule(self.scenario.mass_crash_s * 1000, self._crash_half)
        self.run_until(seconds * 1000)
        return self.counts

    def _draw_parts(self):
        first = f'first-{self.rng.randrange(self.scenario.firsts)}'
        second = f'second-{self.rng.randrange(self.scenario.seconds)}'
        return first, second

    def _send_sound(self):
        gap_s = self.rng.expovariate(self.scenario.sound_per_s)
        self.schedule(gap_s * 1000, self._send_sound)
        parts = self._draw_parts()
        related = parts[0] in self.shared_firsts
        run = self._make_run(parts, f'{next(self.ids):024}')
        refused = self.judge.refuses(run.causes, self.now_ms)
        self.counts.sound += 1
        self.counts.refused += refused
        self.counts.related += related
        self.counts.related_refused += related and refused
        if not refused:
            self._start(run, parts)

    def _send_crashing(self, number):
        gap_s = self.rng.expovariate(1 / self.scenario.interval_s)
        self.schedule(gap_s * 1000, self._send_crashing, number)
        for _ in range(self.scenario.burst):
            drawn = self._draw_parts()
            named = self.scenario.crashing[number]
            parts = tuple(a or b for a, b in zip(named, drawn, strict=True))
            body = f'{next(self.ids):024}'
            if self.scenario.body_crashes:
                body = 'crashing-body'
            run = self._make_run(parts, body)
            if self.judge.refuses(run.causes, self.now_ms):
                continue
            run.crashes = True
            late_ms = (self.fifth_ms or math.inf) + TOUCH_MS
            self.counts.late += self.now_ms > late_ms
            self._start(run, parts)

    def _make_run(self, parts, body):
        causes = (body, *map(make_part_fingerprint, parts))
        return Run(f'{next(self.ids)}', causes, self.now_ms)

    def _start(self, run, parts):
        names = sorted(self.running)
        if not names:
            return
        preferred = names[rendezvous.hash_name(parts[1]) % len(names)]
        if self.rng.random() > AFFINITY:
            preferred = self.rng.choice(names)
        self.running[preferred][run.id] = run
        if run.crashes:
            self.schedule(PREFILL_MS, self._crash_by, preferred, run)
            return
        is_long = self.rng.random() < 0.2
        mean_ms = 2500 if is_long else 200
        answer_ms = self.rng.uniform(0.5, 1.5) * mean_ms
        self.schedule(BEGUN_MS, self._begin, preferred, run)
        self.schedule(PREFILL_MS + answer_ms, self._complete, preferred, run)

    def _begin(self, name, run):
        if run.id in self.running.get(name, ()):
            self.judge.note_survived(run.causes[1:], self.now_ms)

    def _complete(self, name, run):
        if self.running.get(name, {}).pop(run.id, None):
            self.judge.note_survived(run.causes, self.now_ms)

    def _crash_by(self, name, run):
        if run.id not in self.running.get(name, ()):
            return
        self.counts.crashes += 1
        if self.counts.crashes == LATE_CRASHES:
            self.fifth_ms = self.now_ms
        self._crash(name)

    def _crash_half(self):
        self.schedule(self.scenario.mass_crash_s * 1000, self._crash_half)
        for name in sorted(self.running):
            if self.rng.random() < 0.5:
                self._crash(name)

    def _crash(self, name):
        broken = list(self.running.pop(name).values())
        base, _, number = name.partition('.')
        restarted = f'{base}.{int(number) + 1}'
        self.schedule(RESTART_MS, self.running.__setitem__, restarted, {})
        for delay_ms, proven in ((DETECTION_MS, False), (PROOF_MS, True)):
            args = (broken, name, self.now_ms, proven)
            self.schedule(delay_ms, self._report, *args)

    def _report(self, broken, name, at_ms, proven):
        for run in broken:
            begun = at_ms - run.started_ms >= BEGUN_MS
            causes = run.causes[:1] if begun else run.causes
            self.judge.note_crash(run, name, at_ms, proven, causes)


def compare(scenario, seeds, seconds):
    """Return the mean :class:`Counts` of each way, by its name."""
    results = {}
    for name, make_judge in JUDGES.items():
        total = Counts()
        for seed in range(seeds):
            counts = Simulation(scenario, make_judge(), seed).run(seconds)
            for field in dataclasses.fields(Counts):
                value = getattr(total, field.name)
                value += getattr(counts, field.name) / seeds
                setattr(total, field.name, value)
        results[name] = total
    return results


def main(argv):
    """Simulate all scenarios and print the results."""
    del argv
    for name, scenario in SCENARIOS.items():
        results = compare(scenario, FLAGS.seeds, FLAGS.seconds)
        for way, counts in results.items():
            related = counts.related_refused / max(1, counts.related)
            print(
                f'{name:28} {way:6} crashes {counts.crashes:5.1f}, '
                f'late {counts.late:5.1f}, refused of all '
                f'{counts.refused / counts.sound:6.2%}, of the first part '
                f'{related:6.2%}',
                flush=True,
            )


if __name__ == '__main__':
    flags.DEFINE_integer('seeds', 5, 'number of runs')
    flags.DEFINE_integer('seconds', 60, 'simulated seconds per run')
    absl_app.run(main)
