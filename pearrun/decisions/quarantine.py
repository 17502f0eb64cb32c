"""Which requests are kept from endpoints because they crash them.

Load pattern: a request crashes each endpoint that begins to run it, and its
caller sends it again and again, to any host.  Each crash breaks the good
calls beside it too, many of them several times in a row, and endpoints also
crash for reasons of their own, many at once.

A request is quarantined when enough endpoints have crashed under it and none
of its runs was answered shortly before: one that endpoints survive has not
crashed them.  A crash is held against one request only, the one under which
most endpoints crashed, so that calls which were beside it by chance go on.
"""

import collections
import dataclasses

from pearrun.decisions.evidence import rank
from pearrun.decisions.evidence import select_worst
from pearrun.decisions.evidence import Suspect


@dataclasses.dataclass(frozen=True)
class QuarantineSettings:
    """Limits of the quarantine.

    :param min_crashes: endpoints that must have crashed under a request.
    :param trust_ms: how long after an answer crashes do not count.
    :param hold_ms: time in quarantine, from the last crash on.
    :param keep_ms: time from the last crash until a request is forgotten;
        after the quarantine one crash begins it anew.
    :param max_suspects: requests remembered.
    :param max_crashes: crashes remembered of each.
    :param unproven_ms: how long a crash counts that is not proven; a request
        is quarantined for no longer than that because of it.
    :param max_alive: endpoints remembered whose crash was taken back.
    """

    min_crashes: int = 3
    trust_ms: int = 30_000
    hold_ms: int = 600_000
    keep_ms: int = 1_200_000
    max_suspects: int = 256
    max_crashes: int = 32
    unproven_ms: int = 3500
    max_alive: int = 256


class Suspects:
    """What is known of requests under which endpoints crashed.

    What several hosts know can be merged in any order, and again.

    ``quarantined`` has the end of each quarantine, by fingerprint.
    """

    def __init__(self, settings=None):
        self.settings = settings or QuarantineSettings()
        self.suspects = {}
        self.quarantined = {}
        self._crashed_ms = {}
        self._alive = collections.OrderedDict()

    def note_crash(self, fingerprint, crash):
        """Note that an endpoint crashed under a request.

        :param crash: the :class:`Crash`; known ones change nothing.
        :returns: whether it was news.
        """
        alive_ms = self._alive.get(crash.endpoint_id)
        if alive_ms is not None and crash.at_ms <= alive_ms:
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
        """Note that an endpoint answered a request and went on.

        :returns: whether it was news.
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
        """Return when an endpoint crashed; ``None`` if it has not."""
        return self._crashed_ms.get(endpoint_id)

    def rule_out(self, endpoint_id, now_ms):
        """Take back an endpoint's crash: it is still there."""
        self._alive.pop(endpoint_id, None)
        self._alive[endpoint_id] = now_ms
        while len(self._alive) > self.settings.max_alive:
            self._alive.popitem(last=False)
        for suspect in list(self.suspects.values()):
            suspect.crashes.pop(endpoint_id, None)
            if not suspect.crashes and suspect.answered_ms is None:
                del self.suspects[suspect.fingerprint]

    def judge(self, now_ms):
        """Forget what is old and find out what is quarantined now."""
        self._forget_old(now_ms)
        self._crashed_ms = {
            crash.endpoint_id: crash.at_ms
            for suspect in self.suspects.values()
            for crash in suspect.crashes.values()
        }
        least = self.settings.min_crashes
        open_cases = [
            suspect
            for suspect in self.suspects.values()
            if suspect.weigh() >= least
        ]
        explained = set()
        quarantined = {}
        while open_cases:
            worst = max(open_cases, key=lambda item: rank(item, explained))
            if worst.weigh(explained) < least:
                break
            open_cases.remove(worst)
            until_ms = self._find_end(worst, explained)
            explained.update(worst.crashes)
            if now_ms < until_ms:
                quarantined[worst.fingerprint] = until_ms
        self.quarantined = quarantined

    def is_proven(self, fingerprint):
        """Say whether a request is quarantined for crashes that are proven."""
        weight = self.suspects[fingerprint].weigh(with_unproven=False)
        return weight >= self.settings.min_crashes

    def _find_end(self, suspect, explained):
        """Return until when a suspect is quarantined."""
        weight = suspect.weigh(explained, with_unproven=False)
        if weight >= self.settings.min_crashes:
            return suspect.last_ms + self.settings.hold_ms
        return suspect.last_ms + self.settings.unproven_ms

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
            keep_ms = (
                settings.keep_ms if suspect.crashes else settings.trust_ms
            )
            if now_ms - suspect.touched_ms > keep_ms:
                del self.suspects[suspect.fingerprint]
        if len(self.suspects) > settings.max_suspects:
            worst = select_worst(self.suspects.values(), settings.max_suspects)
            self.suspects = {item.fingerprint: item for item in worst}
