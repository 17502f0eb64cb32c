"""How a :class:`Suspect` is written for other hosts and for the store."""

from pearrun.decisions.evidence import Crash
from pearrun.decisions.evidence import Suspect


def to_fields(suspect):
    """Return a suspect's fields: plain values."""
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
    """Return the :class:`Suspect` with these fields.

    :raises ValueError: they are malformed.
    :raises TypeError: the same.
    """
    fingerprint, answered_ms, items = fields
    crashes = [decode_crash(*item) for item in items]
    if answered_ms is not None:
        answered_ms = int(answered_ms)
    if not crashes and answered_ms is None:
        raise ValueError('neither a crash nor an answer')
    by_endpoint = {crash.endpoint_id: crash for crash in crashes}
    return Suspect(str(fingerprint), by_endpoint, answered_ms)


def decode_crash(endpoint_id, at_ms, ran_ms, ran_well, call_id, zone, proven):
    """Return a :class:`Crash` of checked fields.

    :raises ValueError: one is malformed.
    :raises TypeError: the same.
    """
    return Crash(
        str(endpoint_id),
        int(at_ms),
        int(ran_ms),
        bool(ran_well),
        str(call_id),
        str(zone),
        bool(proven),
    )
