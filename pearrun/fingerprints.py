"""Fingerprints that identify requests with the same content."""

import hashlib

from pearrun.ids import Fingerprint

# Hexadecimal digits to which the digest is truncated.
FINGERPRINT_DIGITS = 24
# Size of the length prefix of each part.  Without the prefix, moving bytes
# from one part to the next would not change the fingerprint.
LENGTH_PREFIX_BYTES = 8


def make_fingerprint(*parts):
    """Return the fingerprint of a request.

    :param parts: the values that distinguish requests, as bytes, always
        in the same order.
    :returns: a :class:`Fingerprint`.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest()[:FINGERPRINT_DIGITS])
