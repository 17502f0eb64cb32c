"""Messages between entry hosts, encoded as CBOR."""

import dataclasses

import cbor2

from pearrun import exceptions
from pearrun.ids import HostName
from pearrun.shared import cbor
from pearrun.shared.loads import Load
from pearrun.shared.quotas import Admitted


@dataclasses.dataclass(frozen=True)
class DutyNotice:
    """That the sender holds the duties' lease.

    :param fencing: its fencing token.
    :param left_ms: milliseconds for which the lease still holds.
    """

    fencing: int
    left_ms: int


@dataclasses.dataclass(frozen=True)
class HostReport:
    """What a host tells the others a few times a second.

    :param started_ms: when it started; tells its runs apart.
    :param wall_ms: its own time of day.
    :param config_age_ms: how long ago that version was confirmed as
        the newest.
    :param loads: its :class:`Load` by endpoint id.
    :param admitted: :class:`Admitted` by customer.
    :param usage: counts by customer, by window number.
    :param placed: ``(endpoint id, part ids)`` of prompts sent lately.
    """

    host: HostName
    started_ms: int
    wall_ms: int
    config_version: int
    config_age_ms: int
    loads: dict[str, Load]
    admitted: dict[str, Admitted]
    usage: dict[int, dict[str, int]]
    placed: tuple[tuple[str, tuple[str, ...]], ...] = ()
    duty: DutyNotice | None = None


@dataclasses.dataclass(frozen=True)
class ConfigCopy:
    """The configuration in force at the sender, as the store had it."""

    host: HostName
    raw: bytes


def encode(message):
    """Encode a message.

    :param message: a :class:`HostReport` or :class:`ConfigCopy`.
    :returns: bytes.
    """
    match message:
        case HostReport():
            return cbor2.dumps(encode_report(message))
        case ConfigCopy(host, raw):
            return cbor2.dumps(['config', host, raw])
    raise TypeError(f'not a message: {message!r}')


def encode_report(report):
    """Return a report as a list; short, since it is sent often."""
    duty = report.duty
    return [
        'report',
        report.host,
        report.started_ms,
        report.wall_ms,
        report.config_version,
        report.config_age_ms,
        {
            endpoint_id: [load.calls, load.reading_tokens]
            for endpoint_id, load in report.loads.items()
        },
        {
            name: [round(use.total), round(use.rate)]
            for name, use in report.admitted.items()
        },
        report.usage,
        report.placed,
        [duty.fencing, duty.left_ms] if duty else None,
    ]


def decode(data):
    """Decode a message.

    :returns: a :class:`HostReport` or :class:`ConfigCopy`.
    :raises WireFormatError: it is neither.
    """
    try:
        kind, host, *fields = cbor.load(data, 'peer')
        match kind:
            case 'report':
                return decode_report(host, fields)
            case 'config':
                return ConfigCopy(host, fields[0])
    except (ValueError, TypeError, IndexError, AttributeError) as exc:
        raise exceptions.WireFormatError(f'peer: {exc}') from exc
    raise exceptions.WireFormatError(f'peer: unknown message {kind!r}')


def decode_report(host, fields):
    """Decode the fields of a report."""
    (started, wall, version, age, loads, admitted, usage, placed, duty) = (
        fields
    )
    return HostReport(
        host=host,
        started_ms=started,
        wall_ms=wall,
        config_version=version,
        config_age_ms=age,
        loads={
            endpoint_id: Load(calls, tokens)
            for endpoint_id, (calls, tokens) in loads.items()
        },
        admitted={name: Admitted(*use) for name, use in admitted.items()},
        usage=usage,
        placed=tuple((item[0], tuple(item[1])) for item in placed),
        duty=DutyNotice(*duty) if duty else None,
    )
