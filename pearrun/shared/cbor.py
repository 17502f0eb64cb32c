"""CBOR between this project's own processes and through the store."""

import cbor2

from pearrun import exceptions


def load(data, what):
    """Decode one CBOR list.

    :param what: what the data is, for the error.
    :returns: the list.
    :raises WireFormatError: it is not CBOR, or no list.
    """
    try:
        value = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as exc:
        raise exceptions.WireFormatError(f'{what}: {exc}') from exc
    if not isinstance(value, list):
        raise exceptions.WireFormatError(f'{what}: not a list')
    return value
