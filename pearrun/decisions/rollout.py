"""Roll-outs: when a new version gets how many calls, and whether it is bad.

Load pattern: the operator starts endpoints of a new version beside the old
ones and asks that all calls move to them before a deadline.  Some versions
are bad: part of their answers fail or come several times later, at once,
later, under load or on one route only.  Until the deadline, a bad version may
get only a small share of the service's calls.

A share that grows with the evidence would expose callers to versions that turn
bad later.  The new version therefore gets a small share until shortly before
the deadline, on a few endpoints, which then run as full as the old ones.  The
calls move at the latest time that leaves the old endpoints' calls time to end,
and the roll-out completes unless the new version turns bad under full load.
While there is evidence against it, the calls do not move, and what the move
would have used of the exposed share is spent on more answers.
"""

import dataclasses
import enum

from pearrun.decisions import exposure


@dataclasses.dataclass(frozen=True)
class RolloutSettings:
    """Limits of roll-outs.

    :param enabled: whether this deployment has roll-outs; otherwise all
        versions serve side by side.
    :param exposed_share: share of a service's calls that a bad version may
        get between the order and its deadline.
    :param exposed_slack: number of calls by which that share may be exceeded.
    :param budget_fraction: fraction of that share that is planned for.
    :param slack_fraction: fraction of that number that is planned for.
    :param unheard_ms: time for which hosts may still follow an earlier
        decision; the calls of that time are taken off the slack.
    :param smallest_canary_share: smallest share of the calls that the new
        version gets before they move.
    :param largest_canary_share: the largest one, unless the exposed share
        leaves room for more.
    :param largest_suspect_share: the largest share while there is evidence
        against the new version.
    :param canary_answers: answers of the new version to aim for.
    :param trial_endpoints: endpoints of the new version that are tried under
        load before the calls move.
    :param trial_load: their load, as a multiple of an endpoint's usual one.
    :param trial_ms: duration of the trial.
    :param trial_share: share of all calls until the deadline that the trial
        may take.
    :param completion_margin_ms: time before the deadline at which completion
        is written to the store; the operator reads it with a delay.
    :param settle_ms: time for which all calls go to the new version before
        the old endpoints may stop.
    :param shortest_settle_ms: that time if completion would be late.
    :param spread_ms: mean time until a host has heard of a new stage.
    :param long_call_factor: multiple of a route's mean answer time for which
        its calls move ahead of completion.
    :param min_answers: answers of the new version without which the calls do
        not move.
    :param base_bad_rate: rate of bad answers assumed of any version.
    :param added_bad_rate: by how much the rate of a bad version is higher at
        least.
    :param suspicion_fraction: fraction of the threshold of evidence above
        which the calls do not move yet.
    :param judge_delay_ms: how long the answers of the new version wait for
        those that the old one gave at the same time.
    :param evidence_threshold: logarithm of the likelihood ratio from which a
        version is bad.  A good one passes it in less than one of e to that
        power sequences of answers.
    :param good_evidence: negated logarithm of the likelihood ratio without
        which the calls do not move.
    :param good_route_evidence: the same for each route.
    :param endpoint_fraction: fraction of the threshold that the answers of one
        endpoint can contribute, so that its own failure is not taken for one
        of the version.
    """

    enabled: bool = True
    exposed_share: float = 0.1
    exposed_slack: float = 0.0
    budget_fraction: float = 0.95
    slack_fraction: float = 0.5
    unheard_ms: float = 150
    smallest_canary_share: float = 0.015
    largest_canary_share: float = 0.03
    largest_suspect_share: float = 0.15
    canary_answers: int = 60
    trial_endpoints: int = 2
    trial_load: float = 1.5
    trial_ms: int = 2200
    trial_share: float = 0.025
    completion_margin_ms: int = 600
    settle_ms: int = 650
    shortest_settle_ms: int = 500
    spread_ms: int = 250
    long_call_factor: float = 2.5
    min_answers: int = 8
    base_bad_rate: float = 0.02
    added_bad_rate: float = 0.2
    suspicion_fraction: float = 0.4
    judge_delay_ms: float = 600
    evidence_threshold: float = 9.5
    good_evidence: float = 2.0
    good_route_evidence: float = 0.0
    endpoint_fraction: float = 0.52


class Stage(enum.Enum):
    """What the hosts do with the calls of a service during a roll-out."""

    CANARY = 'canary'
    MOVE = 'move'
    COMPLETE = 'complete'
    REVERT = 'revert'


@dataclasses.dataclass(frozen=True)
class Plan:
    """The current decision on a roll-out.

    :param routes: the routes whose calls all go to the new version.
    :param share: share of all calls that goes there otherwise.
    :param route_shares: that share by route.
    """

    stage: Stage
    routes: frozenset[str] = frozenset()
    share: float = 0.0
    route_shares: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Progress:
    """What is known about a roll-out at a moment.

    :param elapsed_ms: time since the order.
    :param duration_ms: time from the order to its deadline.
    :param score: evidence that the new version is bad, 1 if it is.
    :param suspicion: that evidence with the answers that wait for those of
        the old version.
    :param balance: log-likelihood ratio of all answers.
    :param route_balances: the same by route.
    :param moved_ms: how long all calls have gone to the new version;
        ``None`` if they do not yet.
    :param answer_ms: mean time of an answer by route.
    :param endpoints: number of endpoints of the new version.
    :param is_idle: whether the service is known to get no calls.
    """

    elapsed_ms: float
    duration_ms: float
    score: float
    suspicion: float
    balance: float
    route_balances: dict[str, float]
    moved_ms: float | None
    answer_ms: dict[str, float]
    endpoints: int
    is_idle: bool = False


def decide(progress, evidence, settings):
    """Decide how a roll-out goes on.

    :param progress: :class:`Progress`.
    :param evidence: :class:`Evidence`.
    :param settings: :class:`RolloutSettings`.
    :returns: a :class:`Plan`.
    """
    if progress.score >= 1:
        return Plan(Stage.REVERT)
    counts = evidence.count_by_route()
    left_ms = progress.duration_ms - progress.elapsed_ms
    is_due = left_ms <= settings.completion_margin_ms
    if not counts:
        # An idle service exposes no callers, and there will be no answers to
        # wait for.
        done = is_due and progress.is_idle
        return Plan(Stage.COMPLETE if done else Stage.CANARY)
    is_suspect = progress.suspicion >= settings.suspicion_fraction
    if progress.moved_ms is not None:
        settle_ms = (
            settings.shortest_settle_ms if is_due else settings.settle_ms
        )
        done = progress.moved_ms >= settle_ms and not is_suspect
        stage = Stage.COMPLETE if done else Stage.MOVE
        return Plan(stage, frozenset(counts))
    budget = exposure.compute_budget(progress, evidence, settings)
    if is_suspect:
        share = exposure.compute_suspect_share(budget, left_ms, settings)
        return Plan(
            Stage.CANARY,
            share=share,
            route_shares=exposure.divide_share(share, counts),
        )
    share = exposure.compute_canary_share(budget, settings)
    leads = exposure.compute_leads(progress, evidence, budget, settings)
    routes = frozenset()
    if is_proven(progress, evidence, settings):
        routes = frozenset(
            route for route, lead_ms in leads.items() if left_ms <= lead_ms
        )
    if routes == frozenset(counts):
        return Plan(Stage.MOVE, routes)
    shares = exposure.divide_share(share, counts)
    trial = exposure.plan_trial(progress, settings)
    if left_ms <= min(leads.values()) + trial.duration_ms:
        share = max(share, trial.share)
        shares = dict.fromkeys(counts, share)
    return Plan(Stage.CANARY, routes, share, shares)


def is_proven(progress, evidence, settings):
    """Return whether the answers speak for the new version."""
    return (
        evidence.count_new() >= settings.min_answers
        and progress.balance <= -settings.good_evidence
        and all(
            balance <= -settings.good_route_evidence
            for balance in progress.route_balances.values()
        )
    )
