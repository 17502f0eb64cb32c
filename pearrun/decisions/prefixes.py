"""What prompt parts are cached where, by what was sent there.

Load pattern: calls on one subject share a long prompt beginning.  A
host notes which parts it sent to which endpoint; entries age, because
an endpoint drops the parts it used least recently.
"""

import collections

# How long a part is taken to stay cached after its last use.
KEPT_MS = 20_000
# Most (endpoint, part) pairs kept; at some 200 bytes each, 1.6 MB.
MAX_ENTRIES = 8_000


class PrefixIndex:
    """Last use of prompt parts by endpoint."""

    def __init__(self):
        self._used = collections.OrderedDict()

    def note(self, endpoint_id, parts, now_ms):
        """Note that an endpoint has read a prompt's shared parts."""
        for part in parts:
            key = (endpoint_id, part.id)
            self._used.pop(key, None)
            self._used[key] = now_ms
        while len(self._used) > MAX_ENTRIES:
            self._used.popitem(last=False)

    def cached_tokens(self, endpoint_id, parts, now_ms):
        """Return how many leading tokens an endpoint should have."""
        total = 0
        for part in parts:
            used_ms = self._used.get((endpoint_id, part.id))
            if used_ms is None or now_ms - used_ms > KEPT_MS:
                break
            total += part.tokens
        return total
