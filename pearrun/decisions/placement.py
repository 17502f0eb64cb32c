"""Placement: which endpoint a call is sent to.

Load pattern: waves and bursts of short urgent prompts mixed with long ones,
where prompts on the same subject share a long prefix.  A prompt is sent to
the endpoint with the least expected time to its first token.  The estimate
converts to milliseconds the prompt tokens queued there, the tokens of the
prompt itself that are not cached there, and the calls running there.
Rendezvous hashing gives all hosts the same preferred endpoint for a prefix
that none of them has placed yet, so that it is processed only once without
coordination.

In a large fleet most placements of other hosts are reported too late.  If each
host chose the endpoint with the least expected time, all would choose the same
one until the next reports.  Calls are therefore distributed randomly in
proportion to the headroom that endpoints have for the expected placements of
all hosts.
"""

import dataclasses
import random

from pearrun.decisions import rendezvous


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """Weights of the placement decision.

    :param per_call_ms: how much a running call delays the first token of
        another.  A batch step takes about 0.1 ms longer for each call, and a
        first token waits for several steps.
    :param cross_zone_ms: penalty for sending to another zone, for latency and
        price.
    :param preferred_bonus_ms: bonus of the endpoint preferred by rendezvous
        hashing, so that hosts agree while loads are similar.
    :param affinity_tokens: prompts with a shared prefix of at least this many
        tokens stay with the endpoint that has it cached while that endpoint
        has headroom.
    :param spread_factor: multiplier of the unreported load of other hosts
        when other calls are distributed by headroom; above 1, since
        placements are uneven in size.
    """

    per_call_ms: float = 1.0
    cross_zone_ms: float = 2.0
    preferred_bonus_ms: float = 4.0
    affinity_tokens: int = 1000
    spread_factor: float = 2.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that a call could be sent to.

    Not frozen, because one is created for each endpoint and call, and creating
    an instance of a frozen class takes three times as long.

    :param calls: calls of all hosts that run or wait there.
    :param queued_tokens: prompt tokens, of the calls of all hosts, that it
        has yet to process.
    :param cached_tokens: prompt tokens of the call that are cached there.
    """

    id: str
    same_zone: bool
    slots: int
    calls: int
    queued_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class CallDemand:
    """What a call requires of an endpoint.

    :param tokens: its prompt tokens; 0 for plain services.
    :param affinity: id of the shared prompt prefix, by which similar calls
        prefer the same endpoint; ``None`` if nothing is shared.
    :param shared_tokens: prompt tokens that it shares with other calls.
    :param answer_ms: typical duration of calls to the service, after which an
        occupied slot is expected to be free.
    """

    tokens: int = 0
    affinity: str | None = None
    shared_tokens: int = 0
    answer_ms: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """The cost of sending a call to an endpoint.

    :param cost_ms: value by which endpoints are compared.
    :param wait_ms: expected time to the first token.
    """

    candidate: Candidate
    cost_ms: float
    wait_ms: float


@dataclasses.dataclass(frozen=True)
class UnreportedLoad:
    """Expected placements of other hosts since their last reports.

    :param calls: calls at all endpoints of the service together.
    :param work_ms: total time that they add to the time to a first token.
    """

    calls: float = 0.0
    work_ms: float = 0.0


NO_UNREPORTED_LOAD = UnreportedLoad()


def estimate_unreported_load(others, age_ms, answer_ms, model, settings):
    """Estimate what other hosts have placed since their last reports.

    :param others: their :class:`pearrun.decisions.demand.Demand`.
    :param age_ms: age of their reports at the time of use.
    :param answer_ms: typical duration of a call.
    :param model: the :class:`EngineModel` of the service.
    :returns: :class:`UnreportedLoad`.
    """
    # Calls that complete before they are reported add no load.
    calls = others.busy / answer_ms * min(age_ms, answer_ms)
    tokens = others.tokens_per_s * age_ms / 1000.0
    work_ms = tokens / model.tokens_per_ms + calls * settings.per_call_ms
    return UnreportedLoad(calls, work_ms)


def estimate_first_token_ms(
    candidate, demand, model, settings, unreported_calls=0.0
):
    """Estimate the time to the first token of a call at an endpoint.

    :param model: the :class:`EngineModel` of its service.
    :param unreported_calls: expected calls there that are not reported yet.
    :returns: milliseconds.
    """
    uncached = max(0, demand.tokens - candidate.cached_tokens)
    calls = candidate.calls + unreported_calls
    queued = max(0, calls + 1 - candidate.slots)
    return (
        model.predict_ms(candidate.queued_tokens + uncached)
        + candidate.calls * settings.per_call_ms
        + queued * demand.answer_ms / candidate.slots
    )


def choose(
    candidates,
    demand,
    model,
    settings,
    unreported=NO_UNREPORTED_LOAD,
    rng=random,
):
    """Choose an endpoint by the expected time to the first token.

    The endpoint with the least time is the best choice only if no other host
    chooses it at the same time.  With unreported load, the endpoint is drawn
    at random instead.  The probability of each endpoint is the share of that
    load that it would get if the load were distributed so as to even out the
    expected times.

    :param candidates: a list of :class:`Candidate`.
    :param model: the :class:`EngineModel` of their service.
    :param unreported: the :class:`UnreportedLoad` of other hosts.
    :param rng: source of random numbers.
    :returns: ``(candidate, milliseconds)``; ``(None, 0)`` without candidates.
    """
    if not candidates:
        return None, 0.0
    preferred = find_preferred(candidates, demand.affinity)
    per_endpoint = unreported.calls / len(candidates)
    costs = []
    for candidate in candidates:
        wait_ms = estimate_first_token_ms(
            candidate, demand, model, settings, per_endpoint
        )
        cost_ms = wait_ms
        if not candidate.same_zone:
            cost_ms += settings.cross_zone_ms
        if candidate.id == preferred:
            cost_ms -= settings.preferred_bonus_ms
        costs.append(Cost(candidate, cost_ms, wait_ms))
    costs.sort(key=lambda cost: cost.cost_ms)
    chosen = costs[0]
    if unreported.work_ms:
        chosen = choose_by_headroom(
            costs, demand, preferred, unreported, settings, rng
        )
    return chosen.candidate, chosen.wait_ms


def choose_by_headroom(
    costs, demand, preferred, unreported, settings, rng=random
):
    """Choose an endpoint while other hosts place calls concurrently.

    A call with a long shared prefix is sent to an endpoint that has the prefix
    cached and has headroom, otherwise to its preferred endpoint if that has
    headroom.  There are so many prefixes that these calls are distributed
    anyway.

    :param costs: a list of :class:`Cost`, the least first.
    :param preferred: id of the endpoint that all hosts prefer.
    :param rng: source of random numbers.
    :returns: one of ``costs``.
    """
    if demand.shared_tokens >= settings.affinity_tokens:
        level = find_fill_level(costs, unreported.work_ms)
        with_headroom = [cost for cost in costs if cost.cost_ms < level]
        affine = find_affine(with_headroom, demand, preferred)
        if affine is not None:
            return affine
    level = find_fill_level(costs, unreported.work_ms * settings.spread_factor)
    headrooms = [max(0.0, level - cost.cost_ms) for cost in costs]
    return rng.choices(costs, headrooms)[0]


def find_affine(costs, demand, preferred):
    """Find the endpoint with affinity to a shared prefix.

    :returns: a :class:`Cost`; ``None`` if there is no such endpoint.
    """
    holders = [
        cost
        for cost in costs
        if cost.candidate.cached_tokens * 2 >= demand.shared_tokens
    ]
    preferred_costs = [
        cost for cost in costs if cost.candidate.id == preferred
    ]
    preferred_holders = [cost for cost in preferred_costs if cost in holders]
    return next(iter([*preferred_holders, *holders, *preferred_costs]), None)


def find_fill_level(costs, work_ms):
    """Find the common cost after distributing work (water-filling).

    :param costs: a list of :class:`Cost`, the least first.
    :param work_ms: work to distribute so that the costs of the least loaded
        endpoints are evened out.
    """
    total = 0.0
    for count, cost in enumerate(costs):
        if count and cost.cost_ms >= (work_ms + total) / count:
            return (work_ms + total) / count
        total += cost.cost_ms
    return (work_ms + total) / len(costs)


def find_preferred(candidates, affinity):
    """Return the id of the endpoint that all hosts prefer for a key."""
    if affinity is None or not candidates:
        return None
    key = rendezvous.hash_name(affinity)
    preferred = None
    highest = -1
    for candidate in candidates:
        weight = rendezvous.compute_weight(key, candidate.id)
        if weight > highest:
            preferred, highest = candidate.id, weight
    return preferred
