"""Evidence on new versions, exchanged between hosts."""

import dataclasses

from pearrun.decisions.versiontest import Evidence
from pearrun.decisions.versiontest import Tally
from pearrun.ids import ServiceName
from pearrun.rollouts.answers import OLD_VERSION
from pearrun.run import Run


@dataclasses.dataclass(frozen=True)
class RolloutNote:
    """Answers that a host has counted since the order of a roll-out.

    :param number: number of the order.
    :param tallies: :class:`Tally` by route and endpoint id, which is empty
        for the old version.
    :param answer_ms: mean time of an answer by route, in milliseconds.
    """

    run: Run
    service: ServiceName
    number: int
    tallies: dict[tuple[str, str], Tally]
    answer_ms: dict[str, float]


def make_note(run, known, now_ms):
    """Return the :class:`RolloutNote` of a host.

    :param known: :class:`ServiceVersions` with an open roll-out.
    :param now_ms: the current time.
    """
    return RolloutNote(
        run,
        known.order.service,
        known.order.number,
        known.counts.sum_with_overdue(now_ms),
        {
            route: round(times.total_ms)
            for route, times in known.counts.times.items()
        },
    )


def encode_note(note):
    """Return the fields of a :class:`RolloutNote` behind its run."""
    tallies = [
        [route, endpoint, tally.answers, tally.bad]
        for (route, endpoint), tally in note.tallies.items()
    ]
    return [note.service, note.number, tallies, note.answer_ms]


def decode_note(run, fields):
    """Decode the fields of a :class:`RolloutNote`."""
    service, number, tallies, answer_ms = fields
    return RolloutNote(
        run,
        service,
        number,
        {
            (route, endpoint): Tally(answers, bad)
            for route, endpoint, answers, bad in tallies
        },
        answer_ms,
    )


class EvidenceBoard:
    """The latest notes of all runs of hosts.

    Counts only increase within a run, and those of ended runs stay, so that
    a host's restart loses no evidence.
    """

    def __init__(self):
        self._notes = {}

    def put(self, note):
        """Store a host's note, unless a newer order's is known."""
        key = (note.service, note.run.host, note.run.started_ms)
        known = self._notes.get(key)
        if known is None or note.number >= known.number:
            self._notes[key] = note

    def sum(self, service, number):
        """Return the :class:`Evidence` on a roll-out."""
        old = {}
        new = {}
        for note in self._find(service, number):
            for (route, endpoint), tally in note.tallies.items():
                if endpoint == OLD_VERSION:
                    old[route] = old.get(route, Tally()) + tally
                else:
                    key = (route, endpoint)
                    new[key] = new.get(key, Tally()) + tally
        return Evidence(old, new)

    def count_runs(self, service, number):
        """Return from how many runs of hosts there are notes."""
        return len(self._find(service, number))

    def get_answer_ms(self, service, number):
        """Return the mean time of an answer by route, in milliseconds."""
        by_route = {}
        for note in self._find(service, number):
            for route, answer_ms in note.answer_ms.items():
                by_route.setdefault(route, []).append(answer_ms)
        return {
            route: sum(values) / len(values)
            for route, values in by_route.items()
        }

    def _find(self, service, number):
        return [
            note
            for note in self._notes.values()
            if note.service == service and note.number == number
        ]

    def remove_before(self, service, number):
        """Remove the notes on earlier orders of a service."""
        self._notes = {
            key: note
            for key, note in self._notes.items()
            if note.service != service or note.number >= number
        }
