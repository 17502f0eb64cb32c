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
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class RolloutSettings:
    """Limits of roll-outs.

    :param enabled: whether this deployment has roll-outs; otherwise all
        versions serve side by side.
    :param exposed_share: share of a service's calls that a bad version may
        get between the order and its deadline.
    :param budget_fraction: fraction of that share that is planned for.
    :param smallest_canary_share: smallest share of the calls that the new
        version gets before they move.
    :param largest_canary_share: the largest one, for services with few calls.
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
    :param evidence_threshold: logarithm of the likelihood ratio from which a
        version is bad.  A good one passes it in less than one of e to that
        power sequences of answers.
    :param good_evidence: negated logarithm of the likelihood ratio without
        which the calls do not move.
    :param endpoint_fraction: fraction of the threshold that the answers of one
        endpoint can contribute, so that its own failure is not taken for one
        of the version.
    """

    enabled: bool = True
    exposed_share: float = 0.1
    budget_fraction: float = 0.95
    smallest_canary_share: float = 0.015
    largest_canary_share: float = 0.03
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
    evidence_threshold: float = 9.5
    good_evidence: float = 2.0
    endpoint_fraction: float = 0.6


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
class Trial:
    """A trial of a few endpoints under load.

    :param share: share of the calls that it takes.
    """

    share: float
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Progress:
    """What is known about a roll-out at a moment.

    :param elapsed_ms: time since the order.
    :param duration_ms: time from the order to its deadline.
    :param score: evidence that the new version is bad, 1 if it is.
    :param balance: log-likelihood ratio of all answers.
    :param moved_ms: how long all calls have gone to the new version;
        ``None`` if they do not yet.
    :param answer_ms: mean time of an answer by route.
    :param endpoints: number of endpoints of the new version.
    """

    elapsed_ms: float
    duration_ms: float
    score: float
    balance: float
    moved_ms: float | None
    answer_ms: dict[str, float]
    endpoints: int


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
    is_suspect = progress.score >= settings.suspicion_fraction
    if progress.moved_ms is not None:
        is_due = left_ms <= settings.completion_margin_ms
        settle_ms = (
            settings.shortest_settle_ms if is_due else settings.settle_ms
        )
        done = progress.moved_ms >= settle_ms and not is_suspect
        stage = Stage.COMPLETE if done else Stage.MOVE
        return Plan(stage, frozenset(counts))
    share = compute_canary_share(progress, evidence, settings)
    shares = divide_share(share, counts)
    is_proven = (
        evidence.count_new() >= settings.min_answers
        and progress.balance <= -settings.good_evidence
    )
    if is_suspect or not counts:
        return Plan(Stage.CANARY, share=share, route_shares=shares)
    leads = compute_leads(progress, evidence, settings)
    routes = frozenset()
    if is_proven:
        routes = frozenset(
            route for route, lead_ms in leads.items() if left_ms <= lead_ms
        )
    if routes == frozenset(counts):
        return Plan(Stage.MOVE, routes)
    trial = plan_trial(progress, settings)
    if left_ms <= min(leads.values()) + trial.duration_ms:
        share = max(share, trial.share)
        shares = dict.fromkeys(counts, share)
    return Plan(Stage.CANARY, routes, share, shares)


def divide_share(share, counts):
    """Divide a share of all calls so that all routes get as many answers.

    A version may be bad on a route with few calls only.

    :param counts: number of calls by route.
    :returns: the share by route.
    """
    total = sum(counts.values())
    shares = {}
    left = share * total
    by_count = sorted(counts, key=counts.get)
    for position, route in enumerate(by_count):
        # Half of a route's calls at most; the others get the rest.
        part = min(left / (len(by_count) - position), counts[route] / 2)
        shares[route] = round(part / counts[route], 3) if counts[route] else 0
        left -= part
    return shares


def plan_trial(progress, settings):
    """Return the :class:`Trial` that precedes the move of the calls."""
    load = settings.trial_endpoints * settings.trial_load
    share = min(0.5, load / max(1, progress.endpoints))
    most_ms = settings.trial_share * progress.duration_ms / share
    return Trial(round(share, 3), min(settings.trial_ms, most_ms))


def count_canaries(endpoints, share, settings):
    """Return how many endpoints of the new version get a share of the calls.

    They are few, so that they run at least as full as the old ones.
    """
    return max(1, int(endpoints * share / settings.trial_load + 0.01))


def compute_canary_share(progress, evidence, settings):
    """Return the share of the calls that give the answers aimed for."""
    answers = sum(evidence.count_by_route().values())
    if not answers:
        return settings.smallest_canary_share
    expected = answers * progress.duration_ms / max(1.0, progress.elapsed_ms)
    share = round(settings.canary_answers / expected, 3)
    return max(
        settings.smallest_canary_share,
        min(settings.largest_canary_share, share),
    )


def compute_leads(progress, evidence, settings):
    """Return how long before the deadline the calls of each route move.

    All routes get the time that completion takes, or less if the exposed
    share would be exceeded; completion is then late.  What is left of the
    share goes to the routes with long answers.

    :returns: milliseconds by route.
    """
    elapsed_ms = max(1.0, progress.elapsed_ms)
    counts = evidence.count_by_route()
    rates = {route: n / elapsed_ms for route, n in counts.items()}
    expected = sum(rates.values()) * progress.duration_ms
    budget = settings.budget_fraction * settings.exposed_share * expected
    budget -= evidence.count_new()
    lead_ms = min(
        settings.completion_margin_ms + settings.settle_ms,
        settings.spread_ms + max(0.0, budget) / max(1e-9, sum(rates.values())),
    )
    budget -= sum(rates.values()) * max(0.0, lead_ms - settings.spread_ms)
    leads = dict.fromkeys(counts, lead_ms)
    for route in sorted(rates, key=rates.get):
        if not rates[route] or budget <= 0:
            continue
        wanted_ms = settings.completion_margin_ms
        wanted_ms += settings.long_call_factor * progress.answer_ms.get(
            route, 0.0
        )
        more_ms = min(wanted_ms - lead_ms, budget / rates[route])
        if more_ms > 0:
            leads[route] += more_ms
            budget -= rates[route] * more_ms
    return leads
