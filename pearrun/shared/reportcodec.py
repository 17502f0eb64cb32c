"""Encoding of the messages between entry hosts as CBOR.

A link carries bundles of messages.  Each message in a bundle is encoded
separately, so that a hub can forward it without decoding it.
"""

import dataclasses
import zlib

import cbor2

from pearrun import exceptions
from pearrun.decisions.demand import Demand
from pearrun.decisions.enginemodel import RegressionSums
from pearrun.rollouts import evidence
from pearrun.rollouts import orders
from pearrun.rollouts.evidence import RolloutNote
from pearrun.run import Run
from pearrun.shared import cbor
from pearrun.shared import suspects as suspect_codec
from pearrun.shared.endpointlimits import LimitReport
from pearrun.shared.loads import Load
from pearrun.shared.paths import PathFailure
from pearrun.shared.prompts import PromptPlacement
from pearrun.shared.quotas import AdmittedUnits
from pearrun.shared.reports import Bundle
from pearrun.shared.reports import ConfigCopy
from pearrun.shared.reports import Coverage
from pearrun.shared.reports import DepartureNote
from pearrun.shared.reports import DutyNotice
from pearrun.shared.reports import HostEnded
from pearrun.shared.reports import HostReport
from pearrun.shared.reports import LimitNote
from pearrun.shared.reports import OriginNote
from pearrun.shared.reports import PathNote
from pearrun.shared.reports import SuspectNote
from pearrun.shared.reports import TopicFeed
from pearrun.shared.reports import UsageNote
from pearrun.shared.reports import VersionNote
from pearrun.shared.streamorigins import StreamOrigin
from pearrun.shared.versionhistory import DepartedVersion

# Bundles of at least this size are compressed.
MIN_COMPRESSED_BYTES = 2048
# First byte of zlib data.  An uncompressed bundle starts with that of a CBOR
# array.
ZLIB_FIRST_BYTE = b'x'
# Bundles that are larger after decompression are rejected.
MAX_BUNDLE_BYTES = 4 * 1024 * 1024


def encode_bundle(sender, from_hub, encoded):
    """Encode a bundle.

    Large bundles are compressed: a hub sends the sums of several zones,
    which repeat the same endpoints and customers, to its whole zone.

    :param sender: name of the sending host.
    :param encoded: encoded messages; see :func:`encode`.
    """
    data = cbor2.dumps([sender, from_hub, list(encoded)])
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, level=1)


def decompress(data):
    """Return the uncompressed bytes of a bundle.

    :raises WireFormatError: the data is damaged or too large.
    """
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_BUNDLE_BYTES)
    except zlib.error as exc:
        raise exceptions.WireFormatError(f'peer: {exc}') from exc
    if not decompressor.eof:
        raise exceptions.WireFormatError('peer: bundle truncated or too large')
    return plain


def decode_bundle(data, is_known=lambda encoded: False):
    """Decode a :class:`Bundle`.

    :param is_known: returns whether to skip an encoded message.
    :raises WireFormatError: the data is not a bundle, or contains an
        unknown message.
    """
    try:
        sender, from_hub, encoded = cbor.load(decompress(data), 'peer')
        messages = [
            (decode(item), item) for item in encoded if not is_known(item)
        ]
        return Bundle(sender, from_hub, messages)
    except (ValueError, TypeError) as exc:
        raise exceptions.WireFormatError(f'peer: {exc}') from exc


def encode(message):
    """Encode a message.

    :param message: a :class:`Message`.
    :returns: bytes.
    """
    match message:
        case HostReport():
            return cbor2.dumps(encode_report(message))
        case UsageNote(run, counts, window):
            return cbor2.dumps(['usage', *encode_run(run), counts, window])
        case RolloutNote(run):
            fields = evidence.encode_note(message)
            return cbor2.dumps(['rollout', *encode_run(run), *fields])
        case TopicFeed(start, end, records, age_ms, topic):
            return cbor2.dumps(['feed', start, end, records, age_ms, topic])
        case HostEnded(host):
            return cbor2.dumps(['ended', host])
        case Coverage(hub, numbers):
            return cbor2.dumps(['coverage', hub, numbers])
        case SuspectNote(host, suspects):
            fields = [suspect_codec.to_fields(item) for item in suspects]
            return cbor2.dumps(['suspects', host, fields])
        case PathNote(host, failures):
            fields = [dataclasses.astuple(item) for item in failures]
            return cbor2.dumps(['paths', host, fields])
        case LimitNote(host, limits):
            fields = [dataclasses.astuple(item) for item in limits]
            return cbor2.dumps(['limits', host, fields])
        case DepartureNote(host, endpoint_ids):
            return cbor2.dumps(['departures', host, endpoint_ids])
        case OriginNote(host, origins):
            fields = [dataclasses.astuple(item) for item in origins]
            return cbor2.dumps(['origins', host, fields])
        case VersionNote(host, since_ms, departed):
            fields = [dataclasses.astuple(item) for item in departed]
            return cbor2.dumps(['versions', host, since_ms, fields])
        case ConfigCopy(host, raw):
            return cbor2.dumps(['config', host, raw])


def encode_run(run):
    """Return a run's fields."""
    return [run.host, run.started_ms, run.zone, run.whole_zone]


def encode_report(report):
    """Return a report's fields."""
    duty = report.duty
    return [
        'report',
        *encode_run(report.run),
        report.number,
        report.hosts,
        report.wall_ms,
        report.config_version,
        report.config_age_ms,
        {
            endpoint_id: [load.calls, load.queued_tokens]
            for endpoint_id, load in report.loads.items()
        },
        {
            name: [round(use.total), round(use.rate)]
            for name, use in report.admitted.items()
        },
        [[item.endpoint_id, item.part_ids] for item in report.placed],
        encode_notice(duty) if duty else None,
        {name: encode_demand(item) for name, item in report.demands.items()},
        {name: encode_sums(item) for name, item in report.engines.items()},
    ]


def encode_notice(notice):
    """Return the fields of a :class:`DutyNotice`."""
    return [
        notice.holder,
        notice.fencing,
        notice.log_end,
        notice.age_ms,
        [orders.encode_notice(item) for item in notice.rollouts],
    ]


def decode_notice(fields):
    """Decode the fields of a :class:`DutyNotice`."""
    holder, fencing, log_end, age_ms, *rest = fields
    rollouts = rest[0] if rest else ()
    return DutyNotice(
        holder,
        fencing,
        log_end,
        age_ms,
        tuple(orders.decode_notice(item) for item in rollouts),
    )


def encode_sums(sums):
    """Return the fields of :class:`RegressionSums`, rounded."""
    return [
        round(sums.weight, 2),
        round(sums.x),
        round(sums.y),
        round(sums.xx),
        round(sums.xy),
    ]


def encode_demand(demand):
    """Return a demand's fields, rounded, since they are estimates."""
    return [
        round(demand.busy, 2),
        round(demand.tokens_per_s),
        round(demand.squares_per_s),
        demand.target_ms,
    ]


def decode(data):
    """Decode a message.

    :returns: a :class:`Message`.
    :raises WireFormatError: the data is not a known message.
    """
    try:
        kind, *fields = cbor.load(data, 'peer')
        match kind:
            case 'report':
                return decode_report(fields)
            case 'usage':
                return UsageNote(Run(*fields[:4]), *fields[4:])
            case 'rollout':
                return evidence.decode_note(Run(*fields[:4]), fields[4:])
            case 'feed':
                start, end, records, age_ms, topic = fields
                pairs = tuple((key, value) for key, value in records)
                return TopicFeed(start, end, pairs, age_ms, topic)
            case 'ended':
                return HostEnded(fields[0])
            case 'coverage':
                hub, numbers = fields
                return Coverage(
                    hub,
                    {
                        name: (started, last)
                        for name, (started, last) in numbers.items()
                    },
                )
            case 'suspects':
                host, suspects = fields
                return SuspectNote(
                    host, tuple(map(suspect_codec.from_fields, suspects))
                )
            case 'paths':
                host, failures = fields
                return PathNote(
                    host, tuple(PathFailure(*item) for item in failures)
                )
            case 'limits':
                host, limits = fields
                return LimitNote(
                    host, tuple(LimitReport(*item) for item in limits)
                )
            case 'departures':
                host, endpoint_ids = fields
                return DepartureNote(host, tuple(map(str, endpoint_ids)))
            case 'origins':
                host, origins = fields
                return OriginNote(
                    host, tuple(StreamOrigin(*item) for item in origins)
                )
            case 'versions':
                host, since_ms, departed = fields
                return VersionNote(
                    host,
                    since_ms,
                    tuple(DepartedVersion(*item) for item in departed),
                )
            case 'config':
                return ConfigCopy(*fields)
    except (ValueError, TypeError, IndexError, AttributeError) as exc:
        raise exceptions.WireFormatError(f'peer: {exc}') from exc
    raise exceptions.WireFormatError(f'peer: unknown message {kind!r}')


def decode_report(fields):
    """Decode the fields of a report."""
    run = Run(*fields[:4])
    number, hosts, wall, version, age, loads, admitted, *rest = fields[4:]
    placed, duty, demands, engines = rest
    return HostReport(
        run=run,
        number=number,
        hosts=hosts,
        wall_ms=wall,
        config_version=version,
        config_age_ms=age,
        loads={
            endpoint_id: Load(calls, tokens)
            for endpoint_id, (calls, tokens) in loads.items()
        },
        admitted={name: AdmittedUnits(*use) for name, use in admitted.items()},
        placed=tuple(
            PromptPlacement(endpoint_id, tuple(part_ids))
            for endpoint_id, part_ids in placed
        ),
        duty=decode_notice(duty) if duty else None,
        demands={name: Demand(*item) for name, item in demands.items()},
        engines={
            name: RegressionSums(*item) for name, item in engines.items()
        },
    )
