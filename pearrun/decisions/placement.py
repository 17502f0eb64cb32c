"""Which endpoint a call goes to.

Load pattern: waves and bursts of short urgent prompts mixed with long
ones, where prompts of one subject share a long beginning.  A prompt
goes where the time to its first token is expected to be least: tokens
waiting to be read there, its own tokens that are not cached there, and
the calls running there, each turned into milliseconds.  Rendezvous
hashing gives all hosts the same favourite for a beginning that none of
them has placed yet, so that it is read once without their talking.
"""

import dataclasses
import functools
import hashlib

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
    """

    call_ms: float = 1.0
    zone_ms: float = 2.0
    favourite_ms: float = 4.0


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
    :param answer_ms: how long calls to the service take; a slot is free
        again after as long.
    """

    tokens: int = 0
    affinity: str | None = None
    answer_ms: float = 1000.0


def estimate_ms(candidate, demand, model, settings):
    """Estimate the time to a call's first token at an endpoint.

    :param model: the :class:`EngineModel` of its service.
    :returns: milliseconds.
    """
    fresh = max(0, demand.tokens - candidate.cached_tokens)
    waiting = max(0, candidate.calls + 1 - candidate.slots)
    return (
        model.expect_ms(candidate.reading_tokens + fresh)
        + candidate.calls * settings.call_ms
        + waiting * demand.answer_ms / candidate.slots
    )


def choose(candidates, demand, model, settings):
    """Choose the endpoint with the least expected time.

    :param candidates: a list of :class:`Candidate`.
    :param model: the :class:`EngineModel` of their service.
    :returns: ``(candidate, milliseconds)``; ``(None, 0)`` without any.
    """
    best = None
    best_ms = 0.0
    favourite = find_favourite(candidates, demand.affinity)
    for candidate in candidates:
        wait_ms = estimate_ms(candidate, demand, model, settings)
        cost_ms = wait_ms
        if not candidate.same_zone:
            cost_ms += settings.zone_ms
        if candidate.id == favourite:
            cost_ms -= settings.favourite_ms
        if best is None or cost_ms < best[0]:
            best = (cost_ms, candidate)
            best_ms = wait_ms
    return (best[1], best_ms) if best else (None, 0.0)


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
