"""Verdicts on suspects that crash endpoints, and suspects that look alike.

Load pattern: crashing calls always have the same two parts in their prompts,
so that both have the same crashes, while sound calls have one of them.
"""

import dataclasses

from pearrun.decisions.evidence import make_sort_key
from pearrun.fingerprints import is_part
from pearrun.ids import Fingerprint


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Suspects that are quarantined together.

    :param fingerprint: the one that stands for all of them: the request, if
        there is one among them.
    :param members: fingerprints that a call must have to be refused.
    :param until_ms: monotonic time at which the quarantine ends.
    :param others: fingerprints of parts that may be the causes instead; if
        there are any, a call must have one of them to be refused.
    """

    fingerprint: Fingerprint
    members: frozenset[Fingerprint]
    until_ms: int
    others: frozenset[Fingerprint] = frozenset()

    @property
    def has_parts_only(self):
        """Whether it names no single request."""
        return all(map(is_part, self.members))

    def applies_to(self, fingerprints):
        """Return whether a call with these fingerprints is refused."""
        if not self.members <= fingerprints:
            return False
        return not self.others or bool(self.others & fingerprints)

    def is_tested_by(self, fingerprints):
        """Return whether the outcome of a call tells the suspects apart."""
        if self.applies_to(fingerprints):
            return False
        if self.others:
            return self.members <= fingerprints
        shared = self.members & fingerprints
        return any(is_part(fingerprint) for fingerprint in shared)


def find_indistinguishable(strongest, candidates, explained):
    """Return the suspects with the same crashes as the strongest one.

    Of several requests only one is returned, since no call is more than one
    of them.  If some were never answered, only these are returned.

    :param explained: ids of endpoints whose crash is attributed to another
        suspect.
    :returns: a list of :class:`Suspect` objects, ``strongest`` among them.
    """
    crashed = strongest.crashes.keys() - explained
    equal = [
        suspect
        for suspect in candidates
        if suspect.crashes.keys() - explained == crashed
    ]
    requests = [item for item in equal if not is_part(item.fingerprint)]
    if strongest in requests:
        requests = [strongest]
    elif requests:
        requests = [
            max(requests, key=lambda item: make_sort_key(item, explained))
        ]
    parts = [item for item in equal if is_part(item.fingerprint)]
    group = [*requests, *parts]
    never_answered = [item for item in group if item.answered_ms is None]
    return never_answered or group


def find_others(group, suspects, explained):
    """Return parts that together explain the crashes of a single part.

    All but one have several of these crashes, since parts with one crash each
    point to the other parts of the same calls.  None has an answer.

    :param group: the :class:`Suspect` objects of a verdict.
    :param suspects: all :class:`Suspect` objects.
    :param explained: ids of endpoints whose crash is attributed to another
        suspect.
    :returns: their fingerprints; empty if they do not explain all.
    """
    suspect = group[0]
    if len(group) > 1 or not is_part(suspect.fingerprint):
        return frozenset()
    if suspect.answered_ms is not None:
        return frozenset()
    crashed = suspect.crashes.keys() - explained
    others = [
        item
        for item in suspects
        if is_part(item.fingerprint)
        and item is not suspect
        and item.answered_ms is None
        and item.crashes
        and item.crashes.keys() <= crashed
    ]
    covered = {name for item in others for name in item.crashes}
    single = sum(len(item.crashes) == 1 for item in others)
    if covered != crashed or single > 1:
        return frozenset()
    return frozenset(item.fingerprint for item in others)
