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
