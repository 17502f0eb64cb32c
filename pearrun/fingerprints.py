"""Fingerprints of requests with the same content and of prompt parts."""

import hashlib

from pearrun.ids import Fingerprint

# Hexadecimal digits to which the digest is truncated.
FINGERPRINT_DIGITS = 24
# Size of the length prefix of each part.  Without the prefix, moving bytes
# from one part to the next would not change the fingerprint.
LENGTH_PREFIX_BYTES = 8
# Prefix that distinguishes the fingerprints of prompt parts from digests.
PART_PREFIX = 'part-'
# Longer ids of prompt parts are replaced by their digest.
MAX_PART_ID_LENGTH = 64


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


def make_part_fingerprint(part_id):
    """Return the fingerprint of a prompt part.

    :param part_id: a :class:`PromptPartId`, chosen by the caller.
    :returns: a :class:`Fingerprint`.
    """
    if len(part_id) > MAX_PART_ID_LENGTH:
        part_id = make_fingerprint(part_id.encode())
    return Fingerprint(f'{PART_PREFIX}{part_id}')


def is_part(fingerprint):
    """Return whether a fingerprint is that of a prompt part."""
    return fingerprint.startswith(PART_PREFIX)
