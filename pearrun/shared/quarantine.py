"""Quarantine of what crashes the endpoints that it is sent to.

See :mod:`pearrun.decisions.quarantine` for how such requests and prompt parts
are identified.
Hosts exchange what they know of them, and the hosts that observed the crashes
save it in the store, so that it survives the loss of all hosts.
"""

import dataclasses

from loguru import logger

from pearrun.decisions.evidence import select_most_suspect
from pearrun.decisions.halfopen import RouteRefusals
from pearrun.decisions.quarantine import Suspects
from pearrun.decisions.verdicts import Verdict
from pearrun.shared.crashdetector import READ_MARGIN_MS
from pearrun.shared.recentanswers import RecentAnswers
from pearrun.shared.trials import TRIAL_RETRY_MS
from pearrun.shared.trials import Trials

# Maximum number of suspects in one message.
MAX_SENT = 128
# Interval at which known suspects are sent again, also to hosts that have
# received them before.
FULL_UPDATE_MS = 5000
# Delay between the start of a quarantine and saving it: until then, crashes
# reported by other hosts may show that a different request is the cause.
SAVE_DELAY_MS = 300


@dataclasses.dataclass(frozen=True)
class QuarantineStart:
    """When a quarantine started on this host, and whether it is proven."""

    at_ms: int
    proven: bool


@dataclasses.dataclass(frozen=True)
class QuarantineRefusal:
    """Why a call is refused.

    :param verdict: the :class:`Verdict`.
    :param retry_after_ms: when the caller may retry.
    """

    verdict: Verdict
    retry_after_ms: int


class Quarantine:
    """Collects crashes and answers, and decides which calls to refuse.

    A call may be any object with the attributes ``fingerprints`` and
    ``route``.

    ``notify_peers`` is called to report new crashes to the other hosts
    immediately.

    :param members: the :class:`Members`; ``None`` for a single host.
    """

    def __init__(self, clock, members=None):
        self.clock = clock
        self.trials = Trials(members)
        self.known = Suspects()
        self.refused = 0
        self.notify_peers = lambda: None
        self.answers = RecentAnswers()
        self.refusals = RouteRefusals()
        self._local = set()
        self._pending = set()
        self._full_update_ms = clock.now()
        self._started = {}
        self._saved_ms = {}

    def left_ms(self, call):
        """Return how long a call stays quarantined; 0 if it is not.

        :returns: milliseconds.
        """
        verdict = self.find_verdict(call)
        return verdict.until_ms - self.clock.now() if verdict else 0

    def admit(self, call):
        """Decide whether to serve a call; :meth:`end` must follow.

        :returns: ``None`` if it is served, otherwise a
            :class:`QuarantineRefusal`.
        """
        verdict = self.find_verdict(call)
        if verdict is not None:
            if self._begin_route_test(verdict, call):
                return None
            self.refusals.note_refused(call.route.name)
            left_ms = verdict.until_ms - self.clock.now()
            return QuarantineRefusal(verdict, left_ms)
        if not self.known.verdicts:
            return None
        self.refusals.note_admitted(call.route.name)
        tested = self.known.find_tested(call.fingerprints)
        if tested is None or self.trials.begin(tested, call):
            return None
        return QuarantineRefusal(tested, TRIAL_RETRY_MS)

    def _begin_route_test(self, verdict, call):
        """Return whether to send a call of a route that is refused wholly."""
        suspect = self.known.suspects[verdict.fingerprint]
        is_due = self.refusals.is_test_due(
            call.route.name, verdict, suspect, self.clock.now()
        )
        return is_due and self.trials.begin(verdict, call, hosts=1)

    def end(self, call):
        """Record that a call has ended."""
        self.trials.end(call)

    def find_verdict(self, call):
        """Return the :class:`Verdict` that a call is refused for, if any.

        While nothing is quarantined, the fingerprints of the call are not
        accessed.
        """
        if not self.known.verdicts:
            return None
        verdict = self.known.find_verdict(call.fingerprints)
        if verdict is None or verdict.until_ms <= self.clock.now():
            return None
        return verdict

    def note_answered(self, call):
        """Record that an endpoint answered a call and did not crash."""
        self._note_survived(call.fingerprints, call)

    def note_begun(self, call):
        """Record that an endpoint has been answering a call for a while.

        A prompt part that crashes endpoints does so as the answer begins; the
        request as a whole may still crash its endpoint.
        """
        self._note_survived(call.part_fingerprints, call)

    def _note_survived(self, fingerprints, call):
        now = self.clock.now()
        cleared = False
        for fingerprint in fingerprints:
            self.answers.note(fingerprint, now)
            suspect = self.known.suspects.get(fingerprint)
            if suspect is None:
                continue
            crashes = len(suspect.crashes)
            if self.known.note_answered(fingerprint, now):
                self._pending.add(fingerprint)
            if len(suspect.crashes) < crashes:
                cleared = True
                logger.bind(
                    fingerprint=fingerprint,
                    request_id=call.id,
                    crashes=crashes,
                ).info('suspect cleared')
        if not cleared:
            return
        verdicts = self.known.verdicts
        self._update_quarantine('answer')
        if self.known.verdicts != verdicts:
            self.notify_peers()

    def handle_crashes(self, crashes):
        """Add crashes that broke calls of this host.

        :param crashes: pairs of a fingerprint and a :class:`Crash`.
        """
        for fingerprint, crash in crashes:
            if self._note_crash(fingerprint, crash):
                self._local.add(fingerprint)
                self._pending.add(fingerprint)
        self._update_quarantine('own calls')
        if self._pending:
            self.notify_peers()

    def note_heartbeat(self, endpoint_id, asked_ms):
        """Record a heartbeat of an endpoint.

        See :meth:`CrashDetector.note_heartbeat`.
        """
        crashed_ms = self.known.find_crash_ms(endpoint_id)
        if crashed_ms is not None and asked_ms >= crashed_ms + READ_MARGIN_MS:
            self.retract_crash(endpoint_id)

    def retract_crash(self, endpoint_id):
        """Discard the crash of an endpoint that is running or has left."""
        self.known.retract_crash(endpoint_id, self.clock.now())
        self._update_quarantine('endpoint not crashed')

    def merge(self, suspects, source, forward):
        """Merge suspects that were received from elsewhere.

        :param suspects: :class:`Suspect` objects with times by this host's
            clock.
        :param source: where they came from, for the log.
        :param forward: whether to send what is new to other hosts.
        """
        changed = set()
        has_crashes = False
        for suspect in suspects:
            fingerprint = suspect.fingerprint
            had_crashes = self._has_crashes(fingerprint)
            if self._merge_suspect(suspect):
                changed.add(fingerprint)
                has_crashes |= had_crashes or self._has_crashes(fingerprint)
        if forward:
            self._pending |= changed
        if has_crashes:
            self._update_quarantine(source)

    def _has_crashes(self, fingerprint):
        suspect = self.known.suspects.get(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def collect_updates(self):
        """Return the suspects to send to the connected hosts now.

        :returns: :class:`Suspect` objects: those that have changed since
            the last call, and periodically the most relevant of all.
        """
        if not self.known.suspects:
            return []
        now = self.clock.now()
        if now - self._full_update_ms >= FULL_UPDATE_MS:
            self._full_update_ms = now
            self._pending.clear()
            self._update_quarantine('time')
            return self.take_snapshot()
        suspects = self.known.suspects
        changed = [suspects[key] for key in self._pending if key in suspects]
        self._pending.clear()
        return select_most_suspect(changed, MAX_SENT)

    def take_snapshot(self):
        """Return the suspects to send to a newly connected host.

        :returns: :class:`Suspect` objects.
        """
        return select_most_suspect(self.known.suspects.values(), MAX_SENT)

    def list_unsaved(self):
        """Return the suspects that this host has yet to save."""
        now = self.clock.now()
        unsaved = {}
        for fingerprint, start in self._started.items():
            members = self.known.verdicts[fingerprint].members
            if (
                start.proven
                and self._local & members
                and now - start.at_ms >= SAVE_DELAY_MS
            ):
                unsaved |= {
                    member: self.known.suspects[member]
                    for member in members
                    if self._saved_ms.get(member, -1) < start.at_ms
                }
        return list(unsaved.values())

    def mark_unsaved(self):
        """Mark all suspects as not saved."""
        self._saved_ms.clear()

    def note_saved(self, suspects):
        """Record that suspects were saved in the store."""
        for suspect in suspects:
            self._saved_ms[suspect.fingerprint] = self.clock.now()

    def _merge_suspect(self, suspect):
        """Merge one suspect.

        :returns: whether anything in it was new.
        """
        fingerprint = suspect.fingerprint
        changes = [
            self._note_crash(fingerprint, crash)
            for crash in suspect.crashes.values()
        ]
        if suspect.answered_ms is not None:
            changes.append(
                self.known.note_answered(fingerprint, suspect.answered_ms)
            )
        return any(changes)

    def _note_crash(self, fingerprint, crash):
        """Add a crash, and the last answer if this host remembers one.

        :returns: whether either was new.
        """
        is_new = self.known.note_crash(fingerprint, crash)
        answered_ms = self.answers.get(fingerprint)
        if answered_ms is not None and self.known.note_answered(
            fingerprint, answered_ms
        ):
            # The hosts that reported the crash may not know of this answer.
            self._pending.add(fingerprint)
            return True
        return is_new

    def _update_quarantine(self, source):
        """Recompute what is quarantined and log the changes.

        :param source: what led to the update, for the log.
        """
        now = self.clock.now()
        self.known.evaluate(now)
        verdicts = self.known.verdicts
        for fingerprint in set(self._started) - set(verdicts):
            del self._started[fingerprint]
            logger.bind(fingerprint=fingerprint, source=source).info(
                'quarantine ended'
            )
        for fingerprint in verdicts:
            proven = self.known.is_proven(fingerprint)
            start = self._started.get(fingerprint)
            if start is None or start.proven < proven:
                self._started[fingerprint] = QuarantineStart(now, proven)
                self._log_start(fingerprint, proven, source)
        self._local.intersection_update(self.known.suspects)
        for fingerprint in set(self._saved_ms) - set(self.known.suspects):
            del self._saved_ms[fingerprint]

    def _log_start(self, fingerprint, proven, source):
        now = self.clock.now()
        suspect = self.known.suspects[fingerprint]
        verdict = self.known.verdicts[fingerprint]
        answered_ms = suspect.answered_ms
        logger.bind(
            fingerprint=fingerprint,
            members=sorted(verdict.members),
            others=sorted(verdict.others),
            proven=proven,
            source=source,
            left_ms=verdict.until_ms - now,
            answered_ms_ago=None if answered_ms is None else now - answered_ms,
            crashes=[
                (
                    crash.endpoint_id,
                    now - crash.at_ms,
                    crash.ran_ms,
                    crash.call_id,
                )
                for crash in suspect.crashes.values()
            ],
        ).warning('request quarantined')
