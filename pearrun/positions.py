"""Positions in the logs of a store that may come back from a copy.

Each time the store comes back, its era rises, and it assigns the offsets after
the end of the copy again.  A position consists of the era in which it was read
and of the offset.  Both are in one number that increases with the era first:
positions, and tokens made of them, can be compared and sent like offsets, and
those of the first era, 0, are equal to the offsets.
"""

from typing import NewType

Position = NewType('Position', int)

OFFSET_BITS = 32
# Positions fit into 63 bits.
MAX_ERA = 2**31 - 1


def make_position(era, offset):
    """Return the :data:`Position` of an offset in an era."""
    return Position((era << OFFSET_BITS) + offset)


def get_era(position):
    """Return the era of a position."""
    return position >> OFFSET_BITS


def get_offset(position):
    """Return the offset of a position."""
    return position & ((1 << OFFSET_BITS) - 1)
