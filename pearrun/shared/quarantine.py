"""Requests that this host keeps from endpoints because they crash them.

See :mod:`pearrun.decisions.quarantine` for how they are found.  Hosts tell
each other what they know of such requests, and those that saw the crashes
save it on the store, so that it outlasts the loss of all hosts.
"""

import collections
import dataclasses

from loguru import logger

from pearrun.decisions.evidence import select_most_suspect
from pearrun.decisions.quarantine import Suspects
from pearrun.shared.crashes import READ_MARGIN_MS

# Answered requests remembered, and suspects told to other hosts.
MAX_ANSWERED = 4096
MAX_TOLD = 64
# How often all is told again to hosts that have been told before.
REPEAT_MS = 5000
# A request is saved this long after its quarantine began: until then other
# hosts' crashes may show that another request is behind it.
SETTLE_MS = 300


@dataclasses.dataclass(frozen=True)
class Begun:
    """When a request's quarantine began here, and whether it is proven."""

    at_ms: int
    proven: bool


class Quarantine:
    """Takes crashes and answers, and says which calls to refuse.

    A call is whatever has a ``fingerprint``.
    """

    def __init__(self, clock):
        self.clock = clock
        self.known = Suspects()
        self.refused = 0
        self.tell_others = lambda: None
        self._answered = collections.OrderedDict()
        self._own = set()
        self._news = set()
        self._told_ms = clock.now()
        self._begun = {}
        self._saved_ms = {}

    def left_ms(self, call):
        """Return for how long a call is quarantined; 0 if it is not.

        While nothing is quarantined, the call is not looked at.
        """
        if not self.known.quarantined:
            return 0
        until_ms = self.known.quarantined.get(call.fingerprint, 0)
        return max(0, until_ms - self.clock.now())

    def note_answered(self, call):
        """Note that an endpoint answered a call and went on."""
        fingerprint = call.fingerprint
        now = self.clock.now()
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if self.known.note_answered(fingerprint, now):
            self._news.add(fingerprint)
            self._judge('answer')

    def take_crashes(self, crashes):
        """Take crashes under this host's calls.

        :param crashes: pairs of a fingerprint and a :class:`Crash`.
        """
        for fingerprint, crash in crashes:
            if self._note_crash(fingerprint, crash):
                self._own.add(fingerprint)
                self._news.add(fingerprint)
        self._judge('own calls')
        if self._news:
            self.tell_others()

    def note_heard(self, endpoint_id, asked_ms):
        """Note an endpoint's heartbeat; see :meth:`Crashes.note_heard`."""
        crashed_ms = self.known.find_crash_ms(endpoint_id)
        if crashed_ms is not None and asked_ms >= crashed_ms + READ_MARGIN_MS:
            self.take_back(endpoint_id)

    def take_back(self, endpoint_id):
        """Take back an endpoint's crash: it is still there, or has left."""
        self.known.retract_crash(endpoint_id, self.clock.now())
        self._judge('endpoint not crashed')

    def merge(self, suspects, source, pass_on):
        """Take what is known elsewhere.

        :param suspects: :class:`Suspect` objects, their times by this
            host's clock.
        :param source: who says so, for the log.
        :param pass_on: whether to tell other hosts what is news.
        """
        news = {
            suspect.fingerprint for suspect in suspects if self._take(suspect)
        }
        if not news:
            return
        if pass_on:
            self._news |= news
        self._judge(source)

    def take_told(self):
        """Return the suspects to be told to other hosts now.

        :returns: :class:`Suspect` objects: those with news, and now and
            then all that are worth it.
        """
        if not self.known.suspects:
            return []
        now = self.clock.now()
        if now - self._told_ms >= REPEAT_MS:
            self._told_ms = now
            self._news.clear()
            self._judge('time')
            return self.list_known()
        suspects = self.known.suspects
        told = [suspects[key] for key in self._news if key in suspects]
        self._news.clear()
        return select_most_suspect(told, MAX_TOLD)

    def list_known(self):
        """Return what another host should know that was told nothing yet.

        :returns: :class:`Suspect` objects.
        """
        return select_most_suspect(self.known.suspects.values(), MAX_TOLD)

    def list_unsaved(self):
        """Return the suspects that this host has to save on the store."""
        now = self.clock.now()
        return [
            self.known.suspects[fingerprint]
            for fingerprint, begun in self._begun.items()
            if fingerprint in self._own
            and begun.proven
            and now - begun.at_ms >= SETTLE_MS
            and self._saved_ms.get(fingerprint, -1) < begun.at_ms
        ]

    def note_saved(self, suspects):
        """Note that suspects are on the store."""
        for suspect in suspects:
            self._saved_ms[suspect.fingerprint] = self.clock.now()

    def _take(self, suspect):
        """Merge one suspect; say whether something was news."""
        fingerprint = suspect.fingerprint
        news = [
            self._note_crash(fingerprint, crash)
            for crash in suspect.crashes.values()
        ]
        if suspect.answered_ms is not None:
            news.append(
                self.known.note_answered(fingerprint, suspect.answered_ms)
            )
        return any(news)

    def _note_crash(self, fingerprint, crash):
        """Note a crash; an answer that this host remembers comes with it."""
        news = self.known.note_crash(fingerprint, crash)
        answered_ms = self._answered.get(fingerprint)
        if answered_ms is not None:
            news |= self.known.note_answered(fingerprint, answered_ms)
        return news

    def _judge(self, source):
        """Find out what is quarantined now; log what has changed."""
        now = self.clock.now()
        self.known.evaluate(now)
        quarantined = self.known.quarantined
        for fingerprint in set(self._begun) - set(quarantined):
            del self._begun[fingerprint]
            logger.bind(fingerprint=fingerprint, source=source).info(
                'quarantine ended'
            )
        for fingerprint in quarantined:
            proven = self.known.is_proven(fingerprint)
            begun = self._begun.get(fingerprint)
            if begun is None or begun.proven < proven:
                self._begun[fingerprint] = Begun(now, proven)
                self._log_begin(fingerprint, proven, source)
        self._own.intersection_update(self.known.suspects)
        for fingerprint in set(self._saved_ms) - set(self.known.suspects):
            del self._saved_ms[fingerprint]

    def _log_begin(self, fingerprint, proven, source):
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
