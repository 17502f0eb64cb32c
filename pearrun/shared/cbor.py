"""Decoding of CBOR from other hosts and from the store."""

import cbor2

from pearrun import exceptions


def load(data, what):
    """Decode a CBOR array.

    :param what: description of the data, for the error message.
    :returns: the list.
    :raises WireFormatError: the data is not CBOR or not an array.
    """
    try:
        value = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as exc:
        raise exceptions.WireFormatError(f'{what}: {exc}') from exc
    if not isinstance(value, list):
        raise exceptions.WireFormatError(f'{what}: not a list')
    return value
