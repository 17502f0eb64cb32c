"""Weighs endpoint crashes as evidence against requests and prompt parts.

Load pattern: a crash of an endpoint breaks all calls that run there, and many
endpoints may crash at once.  A call that had been running stably, or that was
sent to several endpoints of one failure domain, rarely is the cause.  Neither
is a prompt part with which another call was answered shortly before.
"""

import collections
import dataclasses

from pearrun.fingerprints import is_part
from pearrun.ids import EndpointId
from pearrun.ids import Fingerprint
from pearrun.ids import RequestId
from pearrun.ids import ZoneName

# A call is considered stable once its response has been streaming for
# STABLE_ANSWER_MS, or once it has been in progress for STABLE_CALL_MS.  A
# request that crashes endpoints rarely takes that long.
STABLE_ANSWER_MS = 1000
STABLE_CALL_MS = 5000
# Weight of a crash as evidence against a stable call.  Crashes within
# CLUSTER_WINDOW_MS count once, since simultaneous crashes of endpoints have
# another cause.
STABLE_CALL_WEIGHT = 0.5
CLUSTER_WINDOW_MS = 1000
# After a successful run, crashes within CLUSTER_WINDOW_MS count once for this
# long: what was answered just before may still be running on many endpoints
# that fail together.
TRUST_MS = 30_000
# Weight of each additional crash within a group, and the maximum weight of a
# group.  A call may be sent to several endpoints of a failure domain that
# fails as a whole.
ADDITIONAL_WEIGHT = 0.5
MAX_GROUP_WEIGHT = 2.0


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash of an endpoint while a request was running there.

    :param at_ms: monotonic time of the crash.
    :param ran_ms: milliseconds since the request was sent to the endpoint.
    :param call_was_stable: see :func:`is_call_stable`.
    :param call_id: the attempt that was running.
    :param zone: the failure domain of the endpoint.
    :param proven: whether the crash is confirmed; otherwise the endpoint may
        just be unreachable.
    """

    endpoint_id: EndpointId
    at_ms: int
    ran_ms: int
    call_was_stable: bool = False
    call_id: RequestId = ''
    zone: ZoneName = ''
    proven: bool = True


@dataclasses.dataclass
class Suspect:
    """A request or prompt part that was running when endpoints crashed.

    :param crashes: :class:`Crash` by endpoint id.
    :param answered_ms: time of the last successful run, if any.
    """

    fingerprint: Fingerprint
    crashes: dict[EndpointId, Crash] = dataclasses.field(default_factory=dict)
    answered_ms: int | None = None

    @property
    def first_crash_ms(self):
        """Time of its first crash that is still known."""
        return min(crash.at_ms for crash in self.crashes.values())

    @property
    def last_crash_ms(self):
        """Time of its most recent crash."""
        return max(crash.at_ms for crash in self.crashes.values())

    @property
    def last_event_ms(self):
        """Time of its most recent crash or successful run."""
        times = [crash.at_ms for crash in self.crashes.values()]
        if self.answered_ms is not None:
            times.append(self.answered_ms)
        return max(times)

    def to_ages(self, now_ms):
        """Return a copy with ages in milliseconds instead of times.

        Times in the future, caused by a different clock, get the age 0.
        """
        return self._shift(lambda at_ms: max(0, now_ms - at_ms))

    def to_times(self, now_ms):
        """Return a copy with times instead of ages; see :meth:`to_ages`."""
        return self._shift(lambda age_ms: now_ms - age_ms)

    def to_clock(self, now_ms, target_ms):
        """Return a copy with its times converted to another clock.

        :param now_ms: current time of the clock of its times.
        :param target_ms: current time of the other clock.
        """
        return self.to_ages(now_ms).to_times(target_ms)

    def adds_call(self, crash):
        """Return whether a crash of a known endpoint names another call.

        Several calls may run on an endpoint that crashes, and one is kept.
        Calls are counted, so that one without another endpoint is preferred.
        """
        known = self.crashes[crash.endpoint_id]
        elsewhere = {
            item.call_id
            for item in self.crashes.values()
            if item.endpoint_id != crash.endpoint_id
        }
        return known.call_id in elsewhere and crash.call_id not in elsewhere

    def _shift(self, convert):
        crashes = {
            crash.endpoint_id: dataclasses.replace(
                crash, at_ms=convert(crash.at_ms)
            )
            for crash in self.crashes.values()
        }
        answered_ms = self.answered_ms
        if answered_ms is not None:
            answered_ms = convert(answered_ms)
        return Suspect(self.fingerprint, crashes, answered_ms)

    def weigh(
        self, explained=frozenset(), include_unproven=True, trust_ms=TRUST_MS
    ):
        """Return the total weight of its crashes.

        :param explained: ids of endpoints whose crash is attributed to another
            suspect.
        :param include_unproven: whether unconfirmed crashes count.
        :param trust_ms: time after a successful run during which crashes are
            only counted by clusters.
        """
        trusted_until_ms = -1
        if self.answered_ms is not None:
            trusted_until_ms = self.answered_ms + trust_ms
        remaining = []
        trusted = []
        for endpoint_id, crash in self.crashes.items():
            if endpoint_id in explained:
                continue
            if crash.at_ms > trusted_until_ms:
                remaining.append(crash)
            elif crash.proven or include_unproven:
                trusted.append(crash)
        weight = weigh_clusters(trusted)
        return weight + self._weigh_untrusted(remaining, include_unproven)

    def _weigh_untrusted(self, remaining, include_unproven):
        proven = [crash for crash in remaining if crash.proven]
        weight = weigh_proven(proven)
        if include_unproven:
            known = {crash.call_id for crash in proven}
            calls = {c.call_id for c in remaining if not c.proven} - known
            weight += len(calls)
        return weight

    def compute_mean_run_ms(self):
        """Return its mean running time at the time of the crashes."""
        total_ms = sum(crash.ran_ms for crash in self.crashes.values())
        return total_ms / max(1, len(self.crashes))


def select_most_suspect(suspects, count):
    """Return the suspects with the strongest evidence.

    Among equals, prompt parts go before requests, most of which never come
    again.

    :param suspects: :class:`Suspect` objects.
    :returns: a list of at most ``count`` of them.
    """
    suspects = list(suspects)
    if len(suspects) <= count:
        return suspects
    suspects.sort(
        key=lambda item: (
            item.weigh(),
            is_part(item.fingerprint),
            item.last_event_ms,
        )
    )
    return suspects[-count:]


def weigh_clusters(crashes):
    """Return the total weight of crashes, each cluster counted once."""
    stable = [crash for crash in crashes if crash.call_was_stable]
    others = [crash for crash in crashes if not crash.call_was_stable]
    return STABLE_CALL_WEIGHT * count_clusters(stable) + count_clusters(others)


def weigh_proven(crashes):
    """Return the total weight of confirmed crashes."""
    stable = [crash for crash in crashes if crash.call_was_stable]
    groups = collections.Counter(
        (crash.call_id, crash.zone) if crash.call_id else crash.endpoint_id
        for crash in crashes
        if not crash.call_was_stable
    )
    weight = STABLE_CALL_WEIGHT * count_clusters(stable)
    for size in groups.values():
        weight += min(MAX_GROUP_WEIGHT, 1.0 + ADDITIONAL_WEIGHT * (size - 1))
    return weight


def is_call_stable(ran_ms, answered_ms):
    """Return whether a call had been running stably until it broke.

    :param ran_ms: milliseconds since it was sent.
    :param answered_ms: milliseconds since its response began.
    """
    return ran_ms >= STABLE_CALL_MS or answered_ms >= STABLE_ANSWER_MS


def count_clusters(crashes):
    """Count crashes, with those close together counted once."""
    count = 0
    last_crash_ms = None
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if last_crash_ms is None or at_ms - last_crash_ms > CLUSTER_WINDOW_MS:
            count += 1
            last_crash_ms = at_ms
    return count


def make_sort_key(suspect, explained):
    """Return the key of a suspect for the attribution of crashes.

    Crashes are attributed to the suspect with the highest key; suspects
    without an answer come before the others.  Among suspects with the same
    crashes, the one with the shortest running time has the highest key.  The
    fingerprint makes the order the same on every host.
    """
    return (
        suspect.answered_ms is None,
        suspect.weigh(explained),
        -suspect.compute_mean_run_ms(),
        suspect.fingerprint,
    )


def is_refuted(crash, answered_ms):
    """Return whether a later answer shows that the cause is another."""
    return answered_ms is not None and crash.at_ms <= answered_ms
