"""Quarantine of requests that crash the endpoints they are sent to.

See :mod:`pearrun.decisions.quarantine` for how such requests are identified.
Hosts exchange what they know of them, and the hosts that observed the crashes
save it in the store, so that it survives the loss of all hosts.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.decisions.evidence import select_most_suspect
from pearrun.decisions.quarantine import Suspects
from pearrun.shared.crashdetector import READ_MARGIN_MS

# Maximum number of answered requests kept, and of suspects in one message.
MAX_ANSWERED = 4096
MAX_SENT = 64
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


class Quarantine:
    """Collects crashes and answers, and decides which calls to refuse.

    A call may be any object with a ``fingerprint`` attribute.

    ``notify_peers`` is called to report new crashes to the other hosts
    immediately.
    """

    def __init__(self, clock):
        self.clock = clock
        self.known = Suspects()
        self.refused = 0
        self.notify_peers = lambda: None
        self._answered = collections.OrderedDict()
        self._local = set()
        self._pending = set()
        self._full_update_ms = clock.now()
        self._started = {}
        self._saved_ms = {}

    def left_ms(self, call):
        """Return how long a call stays quarantined; 0 if it is not.

        While nothing is quarantined, the fingerprint of the call is not
        accessed.

        :returns: milliseconds.
        """
        if not self.known.quarantined:
            return 0
        until_ms = self.known.quarantined.get(call.fingerprint, 0)
        return max(0, until_ms - self.clock.now())

    def note_answered(self, call):
        """Record that an endpoint answered a call and did not crash."""
        fingerprint = call.fingerprint
        now = self.clock.now()
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if self.known.note_answered(fingerprint, now):
            self._pending.add(fingerprint)
            self._update_quarantine('answer')

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
        changed = {
            suspect.fingerprint
            for suspect in suspects
            if self._merge_suspect(suspect)
        }
        if not changed:
            return
        if forward:
            self._pending |= changed
        self._update_quarantine(source)

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
        return [
            self.known.suspects[fingerprint]
            for fingerprint, start in self._started.items()
            if fingerprint in self._local
            and start.proven
            and now - start.at_ms >= SAVE_DELAY_MS
            and self._saved_ms.get(fingerprint, -1) < start.at_ms
        ]

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
        answered_ms = self._answered.get(fingerprint)
        if answered_ms is not None:
            is_new |= self.known.note_answered(fingerprint, answered_ms)
        return is_new

    def _update_quarantine(self, source):
        """Recompute which requests are quarantined and log the changes.

        :param source: what led to the update, for the log.
        """
        now = self.clock.now()
        self.known.evaluate(now)
        quarantined = self.known.quarantined
        for fingerprint in set(self._started) - set(quarantined):
            del self._started[fingerprint]
            logger.bind(fingerprint=fingerprint, source=source).info(
                'quarantine ended'
            )
        for fingerprint in quarantined:
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
        crashes = self.known.suspects[fingerprint].crashes.values()
        logger.bind(
            fingerprint=fingerprint,
            proven=proven,
            source=source,
            left_ms=self.known.quarantined[fingerprint] - now,
            crashes=[
                (crash.endpoint_id, now - crash.at_ms, crash.ran_ms)
                for crash in crashes
            ],
        ).warning('request quarantined')
