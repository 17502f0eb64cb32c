"""Decoding of what the operator and the endpoints write to the store."""

import ipaddress
import json

from pearrun import exceptions
from pearrun.http1.limits import ServerLimits
from pearrun.shared.configuration import CallKind
from pearrun.shared.configuration import Configuration
from pearrun.shared.configuration import Customer
from pearrun.shared.configuration import EngineProfile
from pearrun.shared.configuration import Route
from pearrun.shared.configuration import ScaleLimits
from pearrun.shared.configuration import Service
from pearrun.shared.configuration import WeightedService
from pearrun.shared.fleet import EndpointRecord
from pearrun.states import EndpointState

# Fields whose name on the wire says little:
# - 'split': services that share a route, in place of 'service';
# - 'stage', 'call_seq': of engines' orders, not used here;
# - 'born': when the endpoint's process started, in Unix milliseconds.

ENDPOINT_STATES = {
    'ready': EndpointState.LIVE,
    'draining': EndpointState.LEAVING,
}


def decode_configuration(raw):
    """Decode the operator's configuration.

    :param raw: the record's bytes.
    :returns: a :class:`Configuration`.
    :raises WireFormatError: it is malformed.
    """
    try:
        body = json.loads(raw)
        return Configuration(
            version=int(body['version']),
            routes=[decode_route(item) for item in body.get('routes', ())],
            services=[
                decode_service(item) for item in body.get('services', ())
            ],
            customers=[
                decode_customer(item) for item in body.get('tenants') or ()
            ],
            limits=decode_limits(body.get('limits', {})),
            raw=bytes(raw),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise exceptions.WireFormatError(
            f'configuration: {type(exc).__name__}: {exc}'
        ) from exc


def decode_route(item):
    """Decode one route."""
    kind = item['kind']
    return Route(
        name=item['name'],
        host=item['host'],
        path_prefix=item['path_prefix'],
        # Kinds this version does not know are never repeated.
        kind=CallKind(kind)
        if kind in ('idempotent', 'stream')
        else CallKind.NON_IDEMPOTENT,
        timeout_ms=int(item.get('timeout_ms') or 0),
        latency_target_ms=int(item.get('latency_target_ms') or 0),
        priority=int(item.get('priority') or 0),
        targets=decode_targets(item),
        max_attempts=max(1, int(item.get('max_attempts') or 1)),
        public=bool(item.get('public')),
        resumable=bool(item.get('resumable')),
    )


def decode_targets(item):
    """Decode the services that a route's calls go to."""
    if item.get('split'):
        return tuple(
            WeightedService(part['service'], float(part['weight']))
            for part in item['split']
        )
    return (WeightedService(item['service']),)


def decode_service(item):
    """Decode one service."""
    engine = item.get('engine')
    scale = item.get('autoscale')
    return Service(
        name=item['name'],
        max_connections=int(item.get('max_conns') or 100),
        engine=EngineProfile(
            slots=int(engine['slots']),
        )
        if engine
        else None,
        scale=decode_scale(scale) if scale else None,
    )


def decode_scale(item):
    """Decode how many endpoints of a service may be ordered."""
    price = item.get('spot_price')
    return ScaleLimits(
        smallest=int(item['min']),
        largest=int(item['max']),
        boot_ms=int(item.get('boot_s', 0) * 1000),
        reclaimable_price=float(price) if price is not None else None,
        zone_prices=dict(item.get('zone_prices') or {}),
    )


def decode_customer(item):
    """Decode one customer."""
    priority = item.get('priority')
    return Customer(
        name=item['name'],
        keys=frozenset(item.get('api_keys') or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(item.get('rate_per_s') or 0),
        burst=float(item.get('burst') or 0),
        counts_tokens=item.get('unit') == 'tokens',
        plain_tokens=int(item.get('plain_tokens') or 0),
    )


def decode_limits(item):
    """Decode what callers may send."""
    usual = ServerLimits()
    return ServerLimits(
        max_header_bytes=int(
            item.get('max_header_bytes') or usual.max_header_bytes
        ),
        max_body_bytes=int(item.get('max_body_bytes') or usual.max_body_bytes),
        header_timeout_ms=int(
            item.get('header_timeout_ms') or usual.header_timeout_ms
        ),
        idle_timeout_ms=int(
            item.get('idle_timeout_ms') or usual.idle_timeout_ms
        ),
    )


def decode_endpoint(name, raw):
    """Decode an endpoint's entry.

    Entries of other writers are told by their fields: one that lacks a
    field, or has one of another type, names no endpoint.

    :param name: the record's key.
    :param raw: the record's bytes.
    :returns: an :class:`EndpointRecord`.
    :raises WireFormatError: it is malformed.
    """
    try:
        item = json.loads(raw)
        check_address(take_typed(item, 'addr', str))
        leaves_ms = take_typed(item, 'leaves_ms', (int, float), None)
        return EndpointRecord(
            name=name,
            service=take_typed(item, 'service', str),
            address=item['addr'],
            zone=take_typed(item, 'zone', str),
            slots=take_count(item, 'slots'),
            state=ENDPOINT_STATES[take_typed(item, 'state', str)],
            reclaimable=take_typed(item, 'spot', bool, False),
            leaves_ms=int(leaves_ms) if leaves_ms is not None else None,
            started_ms=take_typed(item, 'born', int, 0),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise exceptions.WireFormatError(
            f'endpoint {name}: {type(exc).__name__}: {exc}'
        ) from exc


def check_address(address):
    """Check that an address is ``IP:PORT``.

    :raises ValueError: it is not.
    """
    ip, _, port = address.rpartition(':')
    ipaddress.ip_address(ip)
    if not 0 < int(port) < 65_536:
        raise ValueError(f'no port: {address}')


def take_count(item, name):
    """Return a field that is a whole number of at least 1.

    :raises ValueError: it is less.
    """
    count = take_typed(item, name, int)
    if count < 1:
        raise ValueError(f'{name}: {count}')
    return count


def take_typed(item, name, kinds, *default):
    """Return a field after a check of its type.

    :param kinds: a type or a tuple of types.
    :param default: returned where the field is missing; without it, the
        field must be there.
    :raises KeyError: a field that must be there is missing.
    :raises TypeError: it has another type.
    """
    if default and name not in item:
        return default[0]
    value = item[name]
    # A bool is an int to Python, though not on the wire.
    is_stray_bool = isinstance(value, bool) and kinds is not bool
    if is_stray_bool or not isinstance(value, kinds):
        raise TypeError(f'{name}: {value!r}')
    return value
