"""Simulation of roll-outs: ``python -m benchmarks.rollout --runs=1000``.

Plays the decisions on good and bad versions with the calls, hosts and delays
of a deployment, and prints what each kind of version got.
"""

import collections
import dataclasses
import enum
import random
import statistics

from absl import app
from absl import flags

from pearrun.decisions import exposure
from pearrun.decisions import rollout
from pearrun.decisions import versiontest
from pearrun.decisions.rollout import Stage
from pearrun.decisions.versiontest import Tally
from pearrun.rollouts.answers import SLOW_FACTOR

FLAGS = flags.FLAGS

STEP_MS = 100
# The operator reads completion with a delay of up to this long.
OPERATOR_DELAY_MS = 450
# Calls to a bad version must stop this long after its fiftieth bad answer.
REVERT_MS = 5000
REVERT_ANSWERS = 50
SLACK = 50


class Version(enum.Enum):
    """What is wrong with the new version."""

    GOOD = 'good'
    GOOD_UNDER_TROUBLE = 'good, under trouble'
    BAD = 'bad at once'
    BAD_LATER = 'bad later'
    BAD_ON_ROUTE = 'bad on one route'
    BAD_UNDER_LOAD = 'bad under full load'

    @property
    def is_good(self):
        """Whether the roll-out should complete."""
        return self in (Version.GOOD, Version.GOOD_UNDER_TROUBLE)


@dataclasses.dataclass(frozen=True)
class Site:
    """Load of a deployment.

    :param endpoints: endpoints of each version.
    :param rates: calls per second by route.
    :param answer_ms: time of an answer by route.
    :param report_ms: time until the holder knows an answer, at most.
    """

    endpoints: int
    rates: dict[str, float]
    answer_ms: dict[str, float]
    report_ms: int


ANSWER_MS = {'long': 1300, 'short': 150}
# By number of hosts.
SITES = {
    9: Site(9, {'long': 12, 'short': 45}, ANSWER_MS, 250),
    84: Site(72, {'long': 41, 'short': 262}, ANSWER_MS, 400),
    300: Site(90, {'long': 150, 'short': 900}, ANSWER_MS, 600),
}


@dataclasses.dataclass
class Result:
    """What one roll-out came to.

    :param exposed: calls to the new version until the deadline.
    :param allowed: calls that a bad version may get until then.
    :param reverted_ms: when it was reverted; ``None`` if it was not.
    :param done_ms: when completion was written; ``None`` if it was not.
    :param late_calls: calls sent too long after the fiftieth bad answer.
    """

    exposed: int = 0
    allowed: float = 0.0
    reverted_ms: int | None = None
    done_ms: int | None = None
    late_calls: int = 0


class Simulation:
    """One roll-out.

    :param version: the :class:`Version`.
    :param site: the :class:`Site`.
    :param rng: source of random numbers.
    :param policy: function that returns the share of the calls before they
        move; replaces the one that stands.
    """

    def __init__(self, version, site, rng, settings, policy=None):
        self.version = version
        self.site = site
        self.rng = rng
        self.settings = settings
        self.policy = policy
        self.duration_ms = rng.choice([12_000, 14_000, 16_000])
        self.bad_rate = rng.uniform(0.25, 1.0)
        self.bad_from_ms = rng.uniform(0.2, 0.9) * self.duration_ms
        self.is_slow = rng.random() < 0.5
        self.bad_route = rng.choice(list(site.rates))
        self.trouble = [
            rng.uniform(0, self.duration_ms - 3000) for _ in range(2)
        ]
        self.old = collections.defaultdict(Tally)
        self.new = collections.defaultdict(Tally)
        self.pending = []
        self.words = []
        self.result = Result()
        self.bad_answers_ms = []

    def run(self):
        """Play the roll-out until two seconds after its deadline."""
        test = versiontest.BadVersionTest(self.settings)
        plan = rollout.Plan(Stage.CANARY)
        moved_since_ms = None
        total = 0
        for now in range(0, self.duration_ms + 2000, STEP_MS):
            total += self._send_calls(now)
            self._collect(now)
            evidence = versiontest.Evidence(dict(self.old), dict(self.new))
            delay_ms = self.settings.judge_delay_ms
            test.update(evidence, now, 0 if moved_since_ms else delay_ms)
            progress = rollout.Progress(
                now + STEP_MS,
                self.duration_ms,
                test.score,
                test.suspicion,
                test.balance,
                dict(test.provisional.route_balances),
                None if moved_since_ms is None else now - moved_since_ms,
                self.site.answer_ms,
                self.site.endpoints,
            )
            if self.result.done_ms is not None:
                continue
            plan = self._decide(progress, evidence)
            if plan.stage is Stage.MOVE and moved_since_ms is None:
                moved_since_ms = now
            if plan.stage is Stage.COMPLETE:
                self.result.done_ms = now
            if plan.stage is Stage.REVERT and self.result.reverted_ms is None:
                self.result.reverted_ms = now
            self.words.append((now, plan))
        self.result.allowed = self.settings.exposed_share * total + SLACK
        return self.result

    def _decide(self, progress, evidence):
        if self.result.reverted_ms is not None:
            return rollout.Plan(Stage.REVERT)
        plan = rollout.decide(progress, evidence, self.settings)
        if self.policy is None or plan.stage is Stage.REVERT:
            return plan
        return self.policy(progress, evidence, plan, self.settings)

    def _find_plan(self, now):
        """Return what one of the hosts has heard last."""
        heard_ms = now - self.rng.uniform(0, 2 * self.settings.spread_ms)
        for said_ms, plan in reversed(self.words):
            if said_ms <= heard_ms:
                return plan
        return rollout.Plan(Stage.CANARY)

    def _send_calls(self, now):
        sent = 0
        for route, rate in self.site.rates.items():
            count = self._draw(rate * STEP_MS / 1000)
            sent += count
            for _ in range(count):
                self._send_call(now, route)
        return sent if now < self.duration_ms else 0

    def _draw(self, mean):
        whole = int(mean)
        return whole + (self.rng.random() < mean - whole)

    def _send_call(self, now, route):
        plan = self._find_plan(now)
        moved = plan.stage in (Stage.MOVE, Stage.COMPLETE)
        moved = moved or route in plan.routes
        share = plan.route_shares.get(route, plan.share)
        is_new = moved or self.rng.random() < share
        if plan.stage is Stage.REVERT:
            is_new = False
        endpoints = self.site.endpoints
        count = exposure.count_canaries(endpoints, plan.share, self.settings)
        is_loaded = moved or plan.share * endpoints / count >= 1
        if moved:
            endpoint = self.rng.randrange(endpoints)
        else:
            endpoint = now // 3000 + self.rng.randrange(count)
        bad = self.rng.random() < self._get_bad_rate(
            now, route, is_new, is_loaded, endpoint
        )
        if is_new and now < self.duration_ms:
            self.result.exposed += 1
        if is_new and len(self.bad_answers_ms) >= REVERT_ANSWERS:
            last_ms = self.bad_answers_ms[REVERT_ANSWERS - 1] + REVERT_MS
            self.result.late_calls += now > last_ms
        # A slow answer counts as bad before it has come.
        factor = SLOW_FACTOR if bad and self.is_slow else 1
        answered_ms = now + self.rng.uniform(0.3, 1) * 250 * factor
        if bad and is_new:
            self.bad_answers_ms.append(answered_ms)
        known_ms = answered_ms + self.rng.uniform(0, self.site.report_ms)
        self.pending.append((known_ms, is_new, route, str(endpoint), bad))

    def _get_bad_rate(self, now, route, is_new, is_loaded, endpoint):
        base = 0.03
        if self.version is Version.GOOD_UNDER_TROUBLE:
            if any(at <= now < at + 3000 for at in self.trouble):
                base = 0.25
            if is_new and endpoint == 1 and now < 6000:
                return 1.0
        if not is_new or self.version.is_good:
            return base
        match self.version:
            case Version.BAD_LATER:
                is_bad = now >= self.bad_from_ms
            case Version.BAD_ON_ROUTE:
                is_bad = route == self.bad_route
            case Version.BAD_UNDER_LOAD:
                is_bad = is_loaded
            case _:
                is_bad = True
        return self.bad_rate if is_bad else base

    def _collect(self, now):
        """Count the answers that the holder knows by now."""
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, is_new, route, endpoint, bad in due:
            if is_new:
                self.new[route, endpoint] += Tally(1, int(bad))
            else:
                self.old[route] += Tally(1, int(bad))


def ramp(progress, evidence, plan, settings):
    """Policy to compare with: double the share as evidence grows."""
    answers = evidence.count_new()
    share = min(1.0, 0.015 * 2 ** (answers / 40))
    if share < 1:
        return rollout.Plan(Stage.CANARY, share=share)
    if progress.elapsed_ms >= progress.duration_ms / 2:
        return rollout.Plan(Stage.COMPLETE)
    return rollout.Plan(Stage.MOVE)


def simulate(version, site, runs, seed, policy=None):
    """Return the :class:`Result` of some roll-outs."""
    return [play(version, site, seed, n, policy) for n in range(runs)]


def play(version, site, seed, number, policy=None):
    """Return the :class:`Result` of one of the roll-outs of a seed."""
    settings = rollout.RolloutSettings(exposed_slack=SLACK)
    rng = random.Random(f'{version.value}/{seed}/{number}')
    return Simulation(version, site, rng, settings, policy).run()


def count_done(results):
    """Return how many roll-outs completed before their deadline."""
    return sum(result.done_ms is not None for result in results)


def count_over_exposed(results):
    """Return how many bad versions got more calls than they may.

    One that completed gets all calls from then on.
    """
    return sum(
        result.exposed > result.allowed
        or result.late_calls > 0
        or result.done_ms is not None
        for result in results
    )


def main(argv):
    """Print the results of all versions and sizes."""
    del argv
    policies = {'held': None, 'ramp': ramp}
    print('policy hosts version: done, reverted, over the exposure, exposed/')
    print('allowed (median, worst), time to revert (median, worst, ms)')
    for name, policy in policies.items():
        for hosts, site in SITES.items():
            for version in Version:
                results = simulate(
                    version, site, FLAGS.runs, FLAGS.seed, policy
                )
                shares = [item.exposed / item.allowed for item in results]
                reverts = [
                    item.reverted_ms
                    for item in results
                    if item.reverted_ms is not None
                ] or [0]
                exceeded = 0
                if not version.is_good:
                    exceeded = count_over_exposed(results)
                print(
                    f'{name} {hosts} {version.value}: {count_done(results)}, '
                    f'{sum(r.reverted_ms is not None for r in results)}, '
                    f'{exceeded}, '
                    f'{statistics.median(shares):.2f} {max(shares):.2f}, '
                    f'{statistics.median(reverts):.0f} {max(reverts)}',
                    flush=True,
                )


if __name__ == '__main__':
    flags.DEFINE_integer('runs', 100, 'Roll-outs of each kind and size.')
    flags.DEFINE_integer('seed', 1, 'Seed of the random numbers.')
    app.run(main)
