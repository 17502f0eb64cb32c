"""Tracks which prompt parts are likely cached at which endpoint.

Load pattern: calls on the same subject share a long prompt prefix.  A host
records which parts it sent to which endpoint.  The entries expire, because an
endpoint evicts the least recently used parts.
"""

import collections

# How long a part is assumed to stay cached after its last use.
ENTRY_TTL_MS = 20_000
# Maximum number of (endpoint, part) pairs; at about 200 bytes each, 1.6 MB.
MAX_ENTRIES = 8_000


class PrefixIndex:
    """Time of last use of prompt parts by endpoint."""

    def __init__(self):
        self._used = collections.OrderedDict()
        self._by_part = {}

    def note_cached(self, endpoint_id, parts, now_ms):
        """Record that an endpoint has processed the shared prompt parts."""
        for part in parts:
            key = (part.id, endpoint_id)
            self._used[key] = now_ms
            self._used.move_to_end(key)
            self._by_part.setdefault(part.id, {})[endpoint_id] = now_ms
        while len(self._used) > MAX_ENTRIES:
            self._forget_oldest()

    def find_cached(self, parts, now_ms):
        """Return the number of leading tokens that endpoints have cached.

        :returns: tokens by endpoint id; endpoints without any are left out.
        """
        cached = {}
        common = None
        for part in parts:
            holders = {
                endpoint_id
                for endpoint_id, used_ms in self._by_part.get(
                    part.id, {}
                ).items()
                if now_ms - used_ms <= ENTRY_TTL_MS
            }
            common = holders if common is None else common & holders
            for endpoint_id in common:
                cached[endpoint_id] = cached.get(endpoint_id, 0) + part.tokens
        return cached

    def holds(self, endpoint_id, part_id):
        """Return whether a part is recorded for an endpoint."""
        return (part_id, endpoint_id) in self._used

    def _forget_oldest(self):
        (part_id, endpoint_id), _ = self._used.popitem(last=False)
        holders = self._by_part[part_id]
        del holders[endpoint_id]
        if not holders:
            del self._by_part[part_id]
