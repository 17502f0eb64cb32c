"""Serialization of a :class:`Suspect` for other hosts and the store."""

from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import Suspect


def to_fields(suspect):
    """Convert a suspect to a list of plain values."""
    crashes = [
        [
            crash.endpoint_id,
            crash.at_ms,
            crash.ran_ms,
            crash.call_was_stable,
            crash.call_id,
            crash.zone,
            crash.proven,
        ]
        for crash in suspect.crashes.values()
    ]
    return [suspect.fingerprint, suspect.answered_ms, crashes]


def from_fields(fields):
    """Convert the result of :func:`to_fields` back to a :class:`Suspect`.

    :raises ValueError: the fields are malformed.
    :raises TypeError: a field has the wrong type.
    """
    fingerprint, answered_ms, items = fields
    crashes = [decode_crash(*item) for item in items]
    if answered_ms is not None:
        answered_ms = int(answered_ms)
    if not crashes and answered_ms is None:
        raise ValueError('neither a crash nor an answer')
    by_endpoint = {crash.endpoint_id: crash for crash in crashes}
    return Suspect(str(fingerprint), by_endpoint, answered_ms)


def decode_crash(
    endpoint_id, at_ms, ran_ms, call_was_stable, call_id, zone, proven
):
    """Return a :class:`Crash` after converting its fields.

    :raises ValueError: a field is malformed.
    :raises TypeError: a field has the wrong type.
    """
    return Crash(
        str(endpoint_id),
        int(at_ms),
        int(ran_ms),
        bool(call_was_stable),
        str(call_id),
        str(zone),
        bool(proven),
    )
