"""Fingerprints, by which requests with the same content are known."""

import hashlib

from pearrun.ids import Fingerprint

# Hexadecimal digits of a digest that are kept.
DIGITS = 24
# Bytes in which the length of each part is written before it.
LENGTH_BYTES = 8


def make_fingerprint(*parts):
    """Return the fingerprint of a request.

    :param parts: what requests are told apart by, as bytes, in an order
        that the caller keeps to.
    :returns: a :class:`Fingerprint`.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest()[:DIGITS])
