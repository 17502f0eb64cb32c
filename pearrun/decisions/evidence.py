"""Crashes as evidence against the requests that were running.

Load pattern: an endpoint's crash breaks all calls that it runs, and endpoints
may crash many at once.  A call that had run well, or one that met several
endpoints of one failure domain, is seldom what crashed them.
"""

import collections
import dataclasses

from pearrun.ids import EndpointId
from pearrun.ids import Fingerprint
from pearrun.ids import RequestId
from pearrun.ids import ZoneName

# A call that was being answered for so long, or under way for so long at all,
# ran well: what crashes an endpoint seldom takes that time.
ANSWERED_WELL_MS = 1000
UNDER_WAY_WELL_MS = 5000
# What crashes count against a call that ran well, and those within this time
# count as one: endpoints that crash at once have another cause.
WELL_RUN_WEIGHT = 0.5
SAME_MOMENT_MS = 1000
# What further crashes of one group count, and all of them at the most: a call
# may meet several endpoints of a failure domain that is lost as a whole.
FURTHER_WEIGHT = 0.5
GROUP_WEIGHT = 2.0


@dataclasses.dataclass(frozen=True)
class Crash:
    """An endpoint's crash while a request was running there.

    :param at_ms: monotonic time.
    :param ran_ms: milliseconds since the request was sent there.
    :param ran_well: see :func:`runs_well`.
    :param call_id: the attempt that was running.
    :param zone: the endpoint's failure domain.
    :param proven: whether the endpoint is known to have crashed; until then
        the path to it may be cut.
    """

    endpoint_id: EndpointId
    at_ms: int
    ran_ms: int
    ran_well: bool = False
    call_id: RequestId = ''
    zone: ZoneName = ''
    proven: bool = True


@dataclasses.dataclass
class Suspect:
    """A request under which endpoints crashed.

    :param crashes: :class:`Crash` by endpoint id.
    :param answered_ms: when one of its runs was answered last.
    """

    fingerprint: Fingerprint
    crashes: dict[EndpointId, Crash] = dataclasses.field(default_factory=dict)
    answered_ms: int | None = None

    @property
    def last_ms(self):
        """When an endpoint crashed under it last."""
        return max(crash.at_ms for crash in self.crashes.values())

    @property
    def touched_ms(self):
        """When it crashed an endpoint or was answered last."""
        times = [crash.at_ms for crash in self.crashes.values()]
        if self.answered_ms is not None:
            times.append(self.answered_ms)
        return max(times)

    def to_ages(self, now_ms):
        """Return it with ages, in milliseconds, in place of times.

        Times that lie ahead, by another clock, count as now.
        """
        return self._shift(lambda at_ms: max(0, now_ms - at_ms))

    def to_times(self, now_ms):
        """Return it with times in place of ages; see :meth:`to_ages`."""
        return self._shift(lambda age_ms: now_ms - age_ms)

    def to_clock(self, now_ms, there_ms):
        """Return it with times by another clock.

        :param now_ms: the present by the clock of its times.
        :param there_ms: the present by the other clock.
        """
        return self.to_ages(now_ms).to_times(there_ms)

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

    def weigh(self, explained=frozenset(), with_unproven=True):
        """Return how much its crashes count.

        :param explained: ids of endpoints that another request crashed.
        :param with_unproven: whether those count that are not proven.
        """
        left = [
            crash
            for endpoint_id, crash in self.crashes.items()
            if endpoint_id not in explained
        ]
        proven = [crash for crash in left if crash.proven]
        weight = weigh_proven(proven)
        if with_unproven:
            known = {crash.call_id for crash in proven}
            calls = {c.call_id for c in left if not c.proven} - known
            weight += len(calls)
        return weight

    def mean_run_ms(self):
        """Return how long it had run when endpoints crashed."""
        total_ms = sum(crash.ran_ms for crash in self.crashes.values())
        return total_ms / max(1, len(self.crashes))


def select_worst(suspects, count):
    """Return the suspects that are worth most to be known.

    :param suspects: :class:`Suspect` objects.
    :returns: a list of at most ``count`` of them.
    """
    suspects = list(suspects)
    if len(suspects) <= count:
        return suspects
    suspects.sort(key=lambda item: (item.weigh(), item.touched_ms))
    return suspects[-count:]


def weigh_proven(crashes):
    """Return how much crashes count that are known to be ones."""
    well_run = [crash for crash in crashes if crash.ran_well]
    groups = collections.Counter(
        (crash.call_id, crash.zone) if crash.call_id else crash.endpoint_id
        for crash in crashes
        if not crash.ran_well
    )
    weight = WELL_RUN_WEIGHT * count_moments(well_run)
    for size in groups.values():
        weight += min(GROUP_WEIGHT, 1.0 + FURTHER_WEIGHT * (size - 1))
    return weight


def runs_well(ran_ms, answered_ms):
    """Say whether a call that has just broken had run well until then.

    :param ran_ms: milliseconds since it was sent.
    :param answered_ms: milliseconds since its answer began.
    """
    return ran_ms >= UNDER_WAY_WELL_MS or answered_ms >= ANSWERED_WELL_MS


def count_moments(crashes):
    """Return how many crashes there are, those close together once."""
    count = 0
    last_ms = None
    for at_ms in sorted(crash.at_ms for crash in crashes):
        if last_ms is None or at_ms - last_ms > SAME_MOMENT_MS:
            count += 1
            last_ms = at_ms
    return count


def rank(suspect, explained):
    """Return the key by which crashes are held against requests.

    Of two that were under the same crashes, the one that had just begun goes
    first; the fingerprint makes the order the same on every host.
    """
    return (
        suspect.weigh(explained),
        -suspect.mean_run_ms(),
        suspect.fingerprint,
    )
