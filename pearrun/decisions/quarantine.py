"""Quarantine of requests that crash endpoints.

Load pattern: a request crashes every endpoint that starts to run it, and its
caller keeps sending it again, through any host.  Each crash also breaks the
unrelated calls on the endpoint, many of them several times in a row.
Endpoints also crash for other reasons, many at once.

A request is quarantined if enough endpoints crashed while running it and none
of its runs was answered shortly before, since a request that endpoints survive
is not the cause.  Each crash is attributed to a single request, the one with
the most crashes, so that calls that were running on the same endpoints by
coincidence are not quarantined.
"""

import collections
import dataclasses

from pearrun.decisions.evidence import make_sort_key
from pearrun.decisions.evidence import select_most_suspect
from pearrun.decisions.evidence import Suspect


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """Limits of the quarantine.

    :param min_crashes: minimum total weight of a request's crashes for which
        it is quarantined; see :meth:`Suspect.weigh`.
    :param trust_ms: time after a successful run during which crashes are not
        counted.
    :param quarantine_ms: duration of the quarantine, from the last crash.
    :param retention_ms: time from the last crash until a request is
        forgotten; until then, a single crash renews a quarantine that has
        ended.
    :param max_suspects: maximum number of requests remembered.
    :param max_crashes: maximum number of crashes remembered for each request.
    :param unproven_ms: how long an unconfirmed crash counts; also the maximum
        duration of a quarantine that is based on it.
    :param max_retracted: maximum number of endpoints remembered whose crash
        was retracted.
    """

    min_crashes: int = 3
    trust_ms: int = 30_000
    quarantine_ms: int = 600_000
    retention_ms: int = 1_200_000
    max_suspects: int = 256
    max_crashes: int = 32
    unproven_ms: int = 3500
    max_retracted: int = 256


class Suspects:
    """Requests that are suspected of crashing endpoints.

    Reports of several hosts can be merged in any order and repeatedly.

    ``quarantined`` maps fingerprints to the end of their quarantine.
    """

    def __init__(self, settings=None):
        self.settings = settings or QuarantineSettings()
        self.suspects = {}
        self.quarantined = {}
        self._crashed_ms = {}
        self._retracted = collections.OrderedDict()

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
            return False
        if self._is_trusted(suspect, crash):
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
        if suspect.answered_ms is not None and at_ms <= suspect.answered_ms:
            return False
        suspect.answered_ms = at_ms
        suspect.crashes = {
            crash.endpoint_id: crash
            for crash in suspect.crashes.values()
            if not self._is_trusted(suspect, crash)
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
        """Drop expired records and determine the quarantined requests."""
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
            if suspect.weigh() >= min_weight
        ]
        explained = set()
        quarantined = {}
        while candidates:
            strongest = max(
                candidates, key=lambda item: make_sort_key(item, explained)
            )
            if strongest.weigh(explained) < min_weight:
                break
            candidates.remove(strongest)
            until_ms = self._compute_end_ms(strongest, explained)
            explained.update(strongest.crashes)
            if now_ms < until_ms:
                quarantined[strongest.fingerprint] = until_ms
        self.quarantined = quarantined

    def is_proven(self, fingerprint):
        """Return whether confirmed crashes alone justify a quarantine."""
        weight = self.suspects[fingerprint].weigh(include_unproven=False)
        return weight >= self.settings.min_crashes

    def _compute_end_ms(self, suspect, explained):
        """Return the end of the quarantine of a suspect."""
        weight = suspect.weigh(explained, include_unproven=False)
        if weight >= self.settings.min_crashes:
            return suspect.last_crash_ms + self.settings.quarantine_ms
        return suspect.last_crash_ms + self.settings.unproven_ms

    def _is_trusted(self, suspect, crash):
        answered_ms = suspect.answered_ms
        if answered_ms is None:
            return False
        return crash.at_ms <= answered_ms + self.settings.trust_ms

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
