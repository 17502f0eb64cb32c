"""Choice of the hosts through which a host reaches endpoints.

Load pattern: some hosts, or all of a failure domain, lose their paths to the
endpoints at the same moment, and each has to find hosts that still have
theirs.  In a large fleet no host knows the paths of all others, so hosts are
asked in random order, and those that work are kept.  A host spreads its calls
over several of them; since each host chooses at random, the hosts that lost
their paths do not all use the same ones.  If no host reaches the endpoints,
searches become rare, so that calls do not wander between hosts.
"""

import collections
import random

# Other hosts are tried until this many are known to work.
WANTED_PROXIES = 3
# A host that could not help is not asked again for this long.
UNAVAILABLE_MS = 1000
# Pause after a search that found no host, doubled up to the maximum.
INITIAL_PAUSE_MS = 250
MAX_PAUSE_MS = 2000


class ProxyTable:
    """What is known of the other hosts as proxies to one service.

    :param rng: source of randomness.
    """

    def __init__(self, rng=random):
        self.rng = rng
        self._working = set()
        self._unavailable_until_ms = {}
        self._in_use = collections.Counter()
        self._pause_ms = 0
        self._paused_until_ms = 0

    def may_search(self, now_ms):
        """Return whether hosts may be asked now."""
        return now_ms >= self._paused_until_ms

    def choose(self, names, asked, now_ms):
        """Choose the next host to ask.

        :param names: names of the other hosts.
        :param asked: those that were asked for this call already.
        :returns: a name; ``None`` if no host is left.
        """
        available = [
            name
            for name in names
            if name not in asked
            and now_ms >= self._unavailable_until_ms.get(name, 0)
        ]
        working = [name for name in available if name in self._working]
        unknown = [name for name in available if name not in self._working]
        if len(working) < WANTED_PROXIES and unknown:
            return self.rng.choice([*working, self.rng.choice(unknown)])
        if not working:
            return None
        least = min(self._in_use[name] for name in working)
        return self.rng.choice(
            [name for name in working if self._in_use[name] == least]
        )

    def note_working(self, name):
        """Record that a host reached endpoints of the service."""
        self._working.add(name)
        self._unavailable_until_ms.pop(name, None)
        self._pause_ms = 0

    def note_unavailable(self, name, now_ms):
        """Record that a host could not help, or did not respond."""
        self._working.discard(name)
        self._unavailable_until_ms[name] = now_ms + UNAVAILABLE_MS

    def note_search_failed(self, now_ms):
        """Record that none of the hosts that were asked could help."""
        doubled = min(MAX_PAUSE_MS, self._pause_ms * 2)
        self._pause_ms = max(INITIAL_PAUSE_MS, doubled)
        self._paused_until_ms = now_ms + self._pause_ms

    def begin(self, name):
        """Record that a connection through a host was opened."""
        self._in_use[name] += 1

    def end(self, name):
        """Record that a connection through a host has ended."""
        self._in_use[name] -= 1
        if self._in_use[name] <= 0:
            del self._in_use[name]
