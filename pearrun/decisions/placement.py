"""Which endpoint a call goes to.

Load pattern: waves and bursts of short urgent prompts mixed with long
ones, where prompts of one subject share a long beginning.  A prompt
goes where the time to its first token is expected to be least: tokens
waiting to be read there, its own tokens that are not cached there, and
the calls running there, each turned into milliseconds.  Rendezvous
hashing gives all hosts the same favourite for a beginning that none of
them has placed yet, so that it is read once without their talking.

In a large fleet most of what is placed is not heard of in time.  If each
host chose the least expected time, all would choose the same endpoint until
the next reports; so calls are spread by the room that endpoints have for
what all hosts place meanwhile.
"""

import dataclasses
import functools
import hashlib
import random

# Hashes of endpoint ids and prompt parts kept, at some 150 bytes each:
# more than the endpoints and the subjects in use at once.
KEPT_HASHES = 8192
HASH_BYTES = 8
HASH_MASK = (1 << (8 * HASH_BYTES)) - 1


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """Weights of the choice.

    :param call_ms: what one running call adds to another one's first
        token: a step of a batch grows by about 0.1 ms a call, and a
        first token waits for some steps.
    :param zone_ms: what a hop to another zone costs, in time and price.
    :param favourite_ms: head start of the hashed favourite, so that
        hosts agree while loads are alike.
    :param affinity_tokens: prompts with a shared beginning of so many tokens
        stay with the endpoint that holds it while that one has room.
    :param spread: other calls spread over endpoints with room for so many
        times what others place unheard of; its parts are of unequal size.
    """

    call_ms: float = 1.0
    zone_ms: float = 2.0
    favourite_ms: float = 4.0
    affinity_tokens: int = 1000
    spread: float = 2.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint a call could go to.

    Not frozen: one is made for each endpoint and call, and a frozen
    class takes three times as long to make.

    :param calls: calls of all hosts running or waiting there.
    :param reading_tokens: prompt tokens of all hosts not read yet.
    :param cached_tokens: the call's own tokens that are cached there.
    """

    id: str
    same_zone: bool
    slots: int
    calls: int
    reading_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a call asks of an endpoint.

    :param tokens: its prompt's tokens; 0 for plain services.
    :param affinity: the prompt part that should draw alike calls to
        one endpoint; ``None`` where nothing is shared.
    :param shared_tokens: tokens that it shares with other calls.
    :param answer_ms: how long calls to the service take; a slot is free
        again after as long.
    """

    tokens: int = 0
    affinity: str | None = None
    shared_tokens: int = 0
    answer_ms: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What an endpoint costs a call.

    :param cost_ms: what it is compared by.
    :param wait_ms: the expected time to the first token.
    """

    candidate: Candidate
    cost_ms: float
    wait_ms: float


@dataclasses.dataclass(frozen=True)
class Unseen:
    """What other hosts have placed since they reported, as expected.

    :param calls: calls, at all endpoints of the service together.
    :param work_ms: what they add to the time to a first token, summed up.
    """

    calls: float = 0.0
    work_ms: float = 0.0


NOTHING_UNSEEN = Unseen()


def expect_unseen(others, age_ms, answer_ms, model, settings):
    """Estimate what others have placed since they reported.

    :param others: their :class:`pearrun.decisions.demand.Demand`.
    :param age_ms: how old their reports are as they are used.
    :param answer_ms: how long a call takes.
    :param model: the :class:`EngineModel` of the service.
    :returns: :class:`Unseen`.
    """
    # Calls that are answered sooner than they are heard of are gone again.
    calls = others.busy / answer_ms * min(age_ms, answer_ms)
    tokens = others.tokens_per_s * age_ms / 1000.0
    work_ms = tokens / model.tokens_per_ms + calls * settings.call_ms
    return Unseen(calls, work_ms)


def estimate_ms(candidate, demand, model, settings, unseen_calls=0.0):
    """Estimate the time to a call's first token at an endpoint.

    :param model: the :class:`EngineModel` of its service.
    :param unseen_calls: calls that it may have got unheard of.
    :returns: milliseconds.
    """
    fresh = max(0, demand.tokens - candidate.cached_tokens)
    calls = candidate.calls + unseen_calls
    waiting = max(0, calls + 1 - candidate.slots)
    return (
        model.expect_ms(candidate.reading_tokens + fresh)
        + candidate.calls * settings.call_ms
        + waiting * demand.answer_ms / candidate.slots
    )


def choose(candidates, demand, model, settings, unseen=NOTHING_UNSEEN):
    """Choose an endpoint by the expected time to the first token.

    The least one is right only while nobody else chooses it too.  Where
    others place much that is not heard of yet, each endpoint is drawn with
    the part that it would get if all of that were placed so that it evens
    out the expected times.

    :param candidates: a list of :class:`Candidate`.
    :param model: the :class:`EngineModel` of their service.
    :param unseen: the :class:`Unseen` work of other hosts.
    :returns: ``(candidate, milliseconds)``; ``(None, 0)`` without any.
    """
    if not candidates:
        return None, 0.0
    favourite = find_favourite(candidates, demand.affinity)
    each = unseen.calls / len(candidates)
    costs = []
    for candidate in candidates:
        wait_ms = estimate_ms(candidate, demand, model, settings, each)
        cost_ms = wait_ms
        if not candidate.same_zone:
            cost_ms += settings.zone_ms
        if candidate.id == favourite:
            cost_ms -= settings.favourite_ms
        costs.append(Cost(candidate, cost_ms, wait_ms))
    costs.sort(key=lambda cost: cost.cost_ms)
    chosen = costs[0]
    if unseen.work_ms:
        chosen = choose_by_room(costs, demand, favourite, unseen, settings)
    return chosen.candidate, chosen.wait_ms


def choose_by_room(costs, demand, favourite, unseen, settings):
    """Choose an endpoint where others choose at the same time.

    A long shared beginning goes to an endpoint that holds it while that one
    has room, and else to its favourite: beginnings are many, and spread by
    themselves.

    :param costs: a list of :class:`Cost`, the least first.
    :param favourite: id of the endpoint that all hosts prefer.
    :returns: one of ``costs``.
    """
    if demand.shared_tokens >= settings.affinity_tokens:
        level = find_level(costs, unseen.work_ms)
        fit = [cost for cost in costs if cost.cost_ms < level]
        kept = find_kept(fit, demand, favourite)
        if kept is not None:
            return kept
    level = find_level(costs, unseen.work_ms * settings.spread)
    rooms = [max(0.0, level - cost.cost_ms) for cost in costs]
    return random.choices(costs, rooms)[0]


def find_kept(costs, demand, favourite):
    """Find the endpoint at which a shared beginning stays.

    :returns: a :class:`Cost`; ``None`` where none is to be preferred.
    """
    holders = [
        cost
        for cost in costs
        if cost.candidate.cached_tokens * 2 >= demand.shared_tokens
    ]
    first = [cost for cost in costs if cost.candidate.id == favourite]
    both = [cost for cost in first if cost in holders]
    return next(iter([*both, *holders, *first]), None)


def find_level(costs, work_ms):
    """Find the cost that all get to that have room for some work.

    :param costs: a list of :class:`Cost`, the least first.
    :param work_ms: milliseconds to spread over them so that the least
        loaded ones are evened out.
    """
    total = 0.0
    for count, cost in enumerate(costs):
        if count and cost.cost_ms >= (work_ms + total) / count:
            return (work_ms + total) / count
        total += cost.cost_ms
    return (work_ms + total) / len(costs)


def find_favourite(candidates, affinity):
    """Return the id of the endpoint that all hosts prefer for a key."""
    if affinity is None or not candidates:
        return None
    key = hash_name(affinity)
    favourite = None
    highest = -1
    for candidate in candidates:
        weight = (key * hash_name(candidate.id)) & HASH_MASK
        if weight > highest:
            favourite, highest = candidate.id, weight
    return favourite


@functools.lru_cache(KEPT_HASHES)
def hash_name(name):
    """Return a name's hash, odd, the same on every host.

    The product of two of them, cut to their size, ranks endpoints for a
    key as well as a hash of both names would, without hashing anew.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest) | 1
