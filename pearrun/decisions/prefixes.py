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
        self._by_part = {}

    def note(self, endpoint_id, parts, now_ms):
        """Note that an endpoint has read a prompt's shared parts."""
        for part in parts:
            key = (part.id, endpoint_id)
            self._used[key] = now_ms
            self._used.move_to_end(key)
            self._by_part.setdefault(part.id, {})[endpoint_id] = now_ms
        while len(self._used) > MAX_ENTRIES:
            self._forget_oldest()

    def find_cached(self, parts, now_ms):
        """Return how many leading tokens each endpoint should have.

        :returns: tokens by endpoint id; endpoints without any are left
            out.
        """
        cached = {}
        known = None
        for part in parts:
            holders = {
                endpoint_id
                for endpoint_id, used_ms in self._by_part.get(
                    part.id, {}
                ).items()
                if now_ms - used_ms <= KEPT_MS
            }
            known = holders if known is None else known & holders
            for endpoint_id in known:
                cached[endpoint_id] = cached.get(endpoint_id, 0) + part.tokens
        return cached

    def holds(self, endpoint_id, part_id):
        """Say whether an endpoint was noted to have read a part."""
        return (part_id, endpoint_id) in self._used

    def _forget_oldest(self):
        (part_id, endpoint_id), _ = self._used.popitem(last=False)
        holders = self._by_part[part_id]
        del holders[endpoint_id]
        if not holders:
            del self._by_part[part_id]
