"""How many calls of a service a new version gets during a roll-out.

Load pattern: a version that turns out to be bad may have got only a small
share of the calls until the deadline.  Most of that share is needed when all
calls move; the rest is spent on answers that tell whether the version is bad.
See :mod:`pearrun.decisions.rollout`, which has the settings.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Budget:
    """Calls that the new version may get until the deadline.

    :param expected: calls of both versions until then.
    :param rate: their number per millisecond.
    :param total: calls that the new version may get.
    :param left: what is left of them.
    :param move: what the move of all calls needs of them.
    """

    expected: float
    rate: float
    total: float
    left: float
    move: float


def compute_budget(progress, evidence, settings):
    """Return the :class:`Budget` of a roll-out."""
    elapsed_ms = max(1.0, progress.elapsed_ms)
    rate = sum(evidence.count_by_route().values()) / elapsed_ms
    expected = rate * progress.duration_ms
    total = settings.budget_fraction * settings.exposed_share * expected
    slack = settings.exposed_slack - rate * settings.unheard_ms
    total += settings.slack_fraction * max(0.0, slack)
    move_ms = settings.completion_margin_ms + settings.settle_ms
    return Budget(
        expected,
        rate,
        total,
        total - evidence.count_new(),
        rate * (move_ms - settings.spread_ms),
    )


@dataclasses.dataclass(frozen=True)
class Trial:
    """A trial of a few endpoints under load.

    :param share: share of the calls that it takes.
    """

    share: float
    duration_ms: float


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


def compute_canary_share(budget, settings):
    """Return the share of the calls that give the answers aimed for.

    :param budget: the :class:`Budget`.
    """
    expected = max(1.0, budget.expected)
    spare = budget.total - budget.move - settings.trial_share * expected
    largest = max(settings.largest_canary_share, min(0.5, spare / expected))
    share = min(largest, settings.canary_answers / expected)
    return round(max(settings.smallest_canary_share, share), 3)


def compute_suspect_share(budget, left_ms, settings):
    """Return the share of the calls that settles what speaks against it.

    It takes what the move of the calls does not need.

    :param budget: the :class:`Budget`.
    :param left_ms: time until the deadline.
    """
    calls = max(1.0, budget.rate * left_ms)
    move = min(budget.move, calls)
    share = min(settings.largest_suspect_share, (budget.left - move) / calls)
    return max(settings.smallest_canary_share, math.floor(share * 1000) / 1000)


def compute_leads(progress, evidence, budget, settings):
    """Return how long before the deadline the calls of each route move.

    All routes get the time that completion takes, or less if the exposed
    share would be exceeded; completion is then late.  What is left of the
    share goes to the routes with long answers.

    :returns: milliseconds by route.
    """
    elapsed_ms = max(1.0, progress.elapsed_ms)
    counts = evidence.count_by_route()
    rates = {route: n / elapsed_ms for route, n in counts.items()}
    lead_ms = min(
        settings.completion_margin_ms + settings.settle_ms,
        settings.spread_ms + max(0.0, budget.left) / max(1e-9, budget.rate),
    )
    left = budget.left
    left -= budget.rate * max(0.0, lead_ms - settings.spread_ms)
    leads = dict.fromkeys(counts, lead_ms)
    for route in sorted(rates, key=rates.get):
        if not rates[route] or left <= 0:
            continue
        wanted_ms = settings.completion_margin_ms
        wanted_ms += settings.long_call_factor * progress.answer_ms.get(
            route, 0.0
        )
        more_ms = min(wanted_ms - lead_ms, left / rates[route])
        if more_ms > 0:
            leads[route] += more_ms
            left -= rates[route] * more_ms
    return leads
