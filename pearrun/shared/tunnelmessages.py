"""Messages that open and close a tunnel between two hosts.

The host that needs a path sends a :class:`TunnelRequest`; the proxy responds
with a :class:`TunnelReply`.  All further messages are the bytes of the
connection.  The close code says how it ended at the endpoint.
"""

import dataclasses
import enum

import cbor2

from pearrun import exceptions
from pearrun.ids import EndpointId
from pearrun.ids import HostName
from pearrun.ids import RequestId
from pearrun.shared import cbor

# Path of the WebSocket URL, which distinguishes tunnels from peer links.
TUNNEL_PATH = '/tunnel'


class TunnelResult(enum.Enum):
    """What became of a request for a tunnel."""

    OPEN = 'open'
    REFUSED = 'refused'
    SILENT = 'silent'
    NO_PATH = 'no path'
    UNKNOWN_ENDPOINT = 'unknown endpoint'
    BUSY = 'busy'
    RESTING = 'resting'
    STOPPING = 'stopping'


class TunnelEnd(enum.IntEnum):
    """Close codes of a tunnel.

    Any other code means that the tunnel itself broke.
    """

    CLOSED = 4000
    RESET = 4001
    SILENT = 4002


@dataclasses.dataclass(frozen=True)
class TunnelRequest:
    """Request for a connection to an endpoint.

    :param sender: the host that asks.
    :param request_id: the call that needs the connection.
    """

    sender: HostName
    endpoint_id: EndpointId
    request_id: RequestId


@dataclasses.dataclass(frozen=True)
class TunnelReply:
    """Response to a :class:`TunnelRequest`."""

    result: TunnelResult


def encode_request(request):
    """Encode a :class:`TunnelRequest`."""
    return cbor2.dumps(
        [request.sender, request.endpoint_id, request.request_id]
    )


def decode_request(data):
    """Decode a :class:`TunnelRequest`.

    :raises WireFormatError: the data is malformed.
    """
    fields = load(data, 'tunnel request', 3)
    return TunnelRequest(*map(str, fields))


def encode_reply(reply):
    """Encode a :class:`TunnelReply`."""
    return cbor2.dumps([reply.result.value])


def decode_reply(data):
    """Decode a :class:`TunnelReply`.

    :raises WireFormatError: the data is malformed.
    """
    (value,) = load(data, 'tunnel reply', 1)
    try:
        return TunnelReply(TunnelResult(value))
    except ValueError as exc:
        raise exceptions.WireFormatError(f'tunnel reply: {exc}') from exc


def load(data, what, length):
    """Decode a CBOR array of a fixed length.

    :raises WireFormatError: the data is malformed.
    """
    if isinstance(data, str):
        raise exceptions.WireFormatError(f'{what}: text')
    fields = cbor.load(data, what)
    if len(fields) != length:
        raise exceptions.WireFormatError(f'{what}: {len(fields)} fields')
    return fields
