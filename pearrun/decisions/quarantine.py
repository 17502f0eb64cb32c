"""Quarantine of requests and prompt parts that crash endpoints.

Load pattern: a request crashes every endpoint that starts to run it, and its
caller keeps sending it again, through any host; or all requests with a certain
part in their prompt do, no two of which are equal.  Each crash also breaks the
unrelated calls on the endpoint, many of them several times in a row.
Endpoints also crash for other reasons, many at once.

Each request and each part of its prompt that other requests may share is a
suspect.  A suspect is quarantined if enough endpoints crashed while running it
since it was last answered, because what endpoints survive is not the cause.
Each crash is attributed to a single suspect, the one with the most crashes, so
that calls that were running on the same endpoints by coincidence are not
quarantined.

Suspects with the same crashes and no answer cannot be told apart.  They are
quarantined together: calls that have all of them are refused, and a call with
some of them shows which one is the cause.  So does a call with a suspect whose
crashes several others explain as well, and with none of these.  Few such calls
are sent at a time.
"""

import collections
import dataclasses

from pearrun.decisions.evidence import is_refuted
from pearrun.decisions.evidence import make_sort_key
from pearrun.decisions.evidence import select_most_suspect
from pearrun.decisions.evidence import Suspect
from pearrun.decisions.evidence import TRUST_MS
from pearrun.decisions.verdicts import find_indistinguishable
from pearrun.decisions.verdicts import find_others
from pearrun.decisions.verdicts import Verdict
from pearrun.fingerprints import is_part


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """Limits of the quarantine.

    :param min_crashes: minimum total weight of a suspect's crashes for which
        it is quarantined; see :meth:`Suspect.weigh`.
    :param trust_ms: time after a successful run during which crashes close
        together count once.
    :param quarantine_ms: duration of the quarantine, from the last crash.
    :param retention_ms: time from the last crash until a suspect is
        forgotten; until then, a single crash renews a quarantine that has
        ended.
    :param max_suspects: maximum number of suspects remembered.
    :param max_crashes: maximum number of crashes remembered for each suspect.
    :param answer_resolution_ms: answers of a suspect without crashes are
        recorded at this interval, since each is sent to the other hosts.
    :param unproven_ms: how long an unconfirmed crash counts; also the maximum
        duration of a quarantine that is based on it.
    :param max_retracted: maximum number of endpoints remembered whose crash
        was retracted.
    """

    min_crashes: int = 3
    trust_ms: int = TRUST_MS
    quarantine_ms: int = 600_000
    retention_ms: int = 1_200_000
    max_suspects: int = 512
    max_crashes: int = 32
    unproven_ms: int = 3500
    max_retracted: int = 256
    answer_resolution_ms: int = 1000


class Suspects:
    """Requests and prompt parts that are suspected of crashing endpoints.

    Reports of several hosts can be merged in any order and repeatedly.

    ``verdicts`` maps the fingerprint of each :class:`Verdict` to it.
    """

    def __init__(self, settings=None):
        self.settings = settings or QuarantineSettings()
        self.suspects = {}
        self.verdicts = {}
        self._crashed_ms = {}
        self._retracted = collections.OrderedDict()

    @property
    def quarantined(self):
        """The end of each quarantine by its fingerprint."""
        return {
            fingerprint: verdict.until_ms
            for fingerprint, verdict in self.verdicts.items()
        }

    def find_verdict(self, fingerprints):
        """Return the verdict that applies to a call, the longest if several.

        :param fingerprints: the call's fingerprints.
        :returns: a :class:`Verdict` or ``None``.
        """
        known = frozenset(fingerprints)
        applicable = [
            verdict
            for verdict in self.verdicts.values()
            if verdict.applies_to(known)
        ]
        return max(applicable, key=lambda item: item.until_ms, default=None)

    def find_tested(self, fingerprints):
        """Return a verdict that a call would test, if any.

        :param fingerprints: the call's fingerprints.
        :returns: a :class:`Verdict` or ``None``.
        """
        known = frozenset(fingerprints)
        for verdict in self.verdicts.values():
            if verdict.is_tested_by(known):
                return verdict
        return None

    def note_crash(self, fingerprint, crash):
        """Record that an endpoint crashed while running a request.

        :param crash: the :class:`Crash`; a known one changes nothing.
        :returns: whether it was new.
        """
        retracted_ms = self._retracted.get(crash.endpoint_id)
        if retracted_ms is not None and crash.at_ms <= retracted_ms:
            return False
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = self.suspects[fingerprint] = Suspect(fingerprint)
        known = suspect.crashes.get(crash.endpoint_id)
        if known is not None and (known.proven or not crash.proven):
            if not suspect.adds_call(crash):
                return False
            crash = dataclasses.replace(crash, proven=known.proven)
        if is_refuted(crash, suspect.answered_ms):
            return False
        suspect.crashes[crash.endpoint_id] = crash
        while len(suspect.crashes) > self.settings.max_crashes:
            oldest = min(suspect.crashes.values(), key=lambda c: c.at_ms)
            del suspect.crashes[oldest.endpoint_id]
        return True

    def note_answered(self, fingerprint, at_ms):
        """Record that an endpoint answered a request without crashing.

        :returns: whether it was new.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.answered_ms is not None:
            interval_ms = self.settings.answer_resolution_ms
            min_interval_ms = 1 if suspect.crashes else interval_ms
            if at_ms < suspect.answered_ms + min_interval_ms:
                return False
        suspect.answered_ms = at_ms
        suspect.crashes = {
            crash.endpoint_id: crash
            for crash in suspect.crashes.values()
            if not is_refuted(crash, at_ms)
        }
        return True

    def find_crash_ms(self, endpoint_id):
        """Return when an endpoint crashed; ``None`` if no crash is known."""
        return self._crashed_ms.get(endpoint_id)

    def retract_crash(self, endpoint_id, now_ms):
        """Retract the crash of an endpoint that turned out to be alive."""
        self._retracted.pop(endpoint_id, None)
        self._retracted[endpoint_id] = now_ms
        while len(self._retracted) > self.settings.max_retracted:
            self._retracted.popitem(last=False)
        for suspect in list(self.suspects.values()):
            suspect.crashes.pop(endpoint_id, None)
            if not suspect.crashes and suspect.answered_ms is None:
                del self.suspects[suspect.fingerprint]

    def evaluate(self, now_ms):
        """Drop expired records and determine what is quarantined."""
        self._forget_old(now_ms)
        self._crashed_ms = {
            crash.endpoint_id: crash.at_ms
            for suspect in self.suspects.values()
            for crash in suspect.crashes.values()
        }
        min_weight = self.settings.min_crashes
        candidates = [
            suspect
            for suspect in self.suspects.values()
            if self._weigh(suspect) >= min_weight
        ]
        explained = set()
        verdicts = {}
        while candidates:
            strongest = max(
                candidates, key=lambda item: make_sort_key(item, explained)
            )
            if self._weigh(strongest, explained) < min_weight:
                break
            group = find_indistinguishable(strongest, candidates, explained)
            candidates = [item for item in candidates if item is not strongest]
            until_ms = self._compute_end_ms(strongest, explained)
            explained_before = frozenset(explained)
            explained.update(strongest.crashes)
            if now_ms < until_ms:
                members = [item.fingerprint for item in group]
                key = min(members, key=lambda item: (is_part(item), item))
                verdicts[key] = Verdict(
                    key,
                    frozenset(members),
                    until_ms,
                    find_others(
                        group, self.suspects.values(), explained_before
                    ),
                )
        self.verdicts = verdicts

    def is_proven(self, fingerprint):
        """Return whether confirmed crashes alone justify a quarantine."""
        suspect = self.suspects[fingerprint]
        weight = self._weigh(suspect, include_unproven=False)
        return weight >= self.settings.min_crashes

    def _weigh(self, suspect, explained=frozenset(), include_unproven=True):
        trust_ms = self.settings.trust_ms
        return suspect.weigh(explained, include_unproven, trust_ms)

    def _compute_end_ms(self, suspect, explained):
        """Return the end of the quarantine of a suspect."""
        weight = self._weigh(suspect, explained, include_unproven=False)
        if weight >= self.settings.min_crashes:
            return suspect.last_crash_ms + self.settings.quarantine_ms
        return suspect.last_crash_ms + self.settings.unproven_ms

    def _forget_old(self, now_ms):
        settings = self.settings
        for suspect in list(self.suspects.values()):
            suspect.crashes = {
                crash.endpoint_id: crash
                for crash in suspect.crashes.values()
                if crash.proven or now_ms - crash.at_ms <= settings.unproven_ms
            }
            if not suspect.crashes and suspect.answered_ms is None:
                del self.suspects[suspect.fingerprint]
                continue
            expiry_ms = (
                settings.retention_ms if suspect.crashes else settings.trust_ms
            )
            if now_ms - suspect.last_event_ms > expiry_ms:
                del self.suspects[suspect.fingerprint]
        if len(self.suspects) > settings.max_suspects:
            strongest = select_most_suspect(
                self.suspects.values(), settings.max_suspects
            )
            self.suspects = {item.fingerprint: item for item in strongest}
