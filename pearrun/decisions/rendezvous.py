"""Rendezvous hashing: all hosts rank names for a key alike."""

import functools
import hashlib

# Number of cached hashes of names, at about 150 bytes each: more than the
# endpoints, hosts and subjects in use at a time.
MAX_CACHED_HASHES = 8192
HASH_BYTES = 8
HASH_MASK = (1 << (8 * HASH_BYTES)) - 1


@functools.lru_cache(MAX_CACHED_HASHES)
def hash_name(name):
    """Return an odd hash of a name, the same on every host."""
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest) | 1


def compute_weight(key_hash, name):
    """Return the weight of a name for a key; the highest one is preferred.

    The truncated product of two hashes ranks names for a key as well as a
    hash of both would, without another hash computation.

    :param key_hash: the key's :func:`hash_name`.
    """
    return (key_hash * hash_name(name)) & HASH_MASK
