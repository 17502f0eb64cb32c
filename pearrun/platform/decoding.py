"""Decoding of store records written by the operator and by endpoints."""

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

# Fields whose names are not self-explanatory:
# - 'split': weighted services that share a route; replaces 'service';
# - 'stage', 'call_seq': about the order that started an engine; not used;
# - 'born': start time of the endpoint's process, in Unix milliseconds.

ENDPOINT_STATES = {
    'ready': EndpointState.LIVE,
    'draining': EndpointState.LEAVING,
}


def decode_configuration(raw):
    """Decode the operator's configuration.

    :param raw: the record's bytes.
    :returns: a :class:`Configuration`.
    :raises WireFormatError: the record is malformed.
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
        # A kind unknown to this version is treated as non-idempotent.
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
    """Decode the services that receive a route's calls."""
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
    """Decode a service's autoscaling limits."""
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
    """Decode the limits on requests and connections of callers.

    A limit that is missing or 0 gets its default value.
    """
    defaults = ServerLimits()
    return ServerLimits(
        max_header_bytes=int(
            item.get('max_header_bytes') or defaults.max_header_bytes
        ),
        max_body_bytes=int(
            item.get('max_body_bytes') or defaults.max_body_bytes
        ),
        header_timeout_ms=int(
            item.get('header_timeout_ms') or defaults.header_timeout_ms
        ),
        idle_timeout_ms=int(
            item.get('idle_timeout_ms') or defaults.idle_timeout_ms
        ),
    )


def decode_endpoint(name, raw):
    """Decode an endpoint's entry.

    Programs other than endpoints may write to the topic.  A record that lacks
    a required field, or has a field of the wrong type, is rejected.

    :param name: the record's key.
    :param raw: the record's bytes.
    :returns: an :class:`EndpointRecord`.
    :raises WireFormatError: the record is malformed.
    """
    try:
        item = json.loads(raw)
        check_address(get_typed(item, 'addr', str))
        leaves_ms = get_typed(item, 'leaves_ms', (int, float), None)
        return EndpointRecord(
            name=name,
            service=get_typed(item, 'service', str),
            address=item['addr'],
            zone=get_typed(item, 'zone', str),
            slots=get_count(item, 'slots'),
            state=ENDPOINT_STATES[get_typed(item, 'state', str)],
            reclaimable=get_typed(item, 'spot', bool, False),
            leaves_ms=int(leaves_ms) if leaves_ms is not None else None,
            started_ms=get_typed(item, 'born', int, 0),
            version=get_typed(item, 'version', str, ''),
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

    :raises ValueError: the address has another form.
    """
    ip, _, port = address.rpartition(':')
    ipaddress.ip_address(ip)
    if not 0 < int(port) < 65_536:
        raise ValueError(f'invalid port: {address}')


def get_count(item, name):
    """Return an integer field that must be at least 1.

    :raises ValueError: the field is less than 1.
    """
    count = get_typed(item, name, int)
    if count < 1:
        raise ValueError(f'{name} is less than 1: {count}')
    return count


def get_typed(item, name, kinds, *default):
    """Return a field after checking its type.

    :param kinds: a type or a tuple of types.
    :param default: value of a missing field; if it is not given, the field
        is required.
    :raises KeyError: a required field is missing.
    :raises TypeError: the field has the wrong type.
    """
    if default and name not in item:
        return default[0]
    value = item[name]
    # bool is a subclass of int in Python, but not a number in JSON.
    is_unexpected_bool = isinstance(value, bool) and kinds is not bool
    if is_unexpected_bool or not isinstance(value, kinds):
        raise TypeError(f'{name} has the wrong type: {value!r}')
    return value
