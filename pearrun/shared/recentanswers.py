"""When requests and prompt parts were last answered on this host."""

import collections

from pearrun.fingerprints import is_part

# Maximum number of requests kept, and the same of prompt parts.
MAX_ANSWERED = 4096


class RecentAnswers:
    """Times of answers by fingerprint.

    Requests and prompt parts do not displace each other: callers choose the
    ids of the parts.
    """

    def __init__(self):
        self.requests = collections.OrderedDict()
        self.parts = collections.OrderedDict()

    def note(self, fingerprint, now_ms):
        """Record an answer; drop what was not answered for longest."""
        answered_ms = self._select(fingerprint)
        answered_ms[fingerprint] = now_ms
        answered_ms.move_to_end(fingerprint)
        if len(answered_ms) > MAX_ANSWERED:
            answered_ms.popitem(last=False)

    def get(self, fingerprint):
        """Return when it was last answered; ``None`` if that is unknown."""
        return self._select(fingerprint).get(fingerprint)

    def _select(self, fingerprint):
        return self.parts if is_part(fingerprint) else self.requests
