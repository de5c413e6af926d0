"""Positions in a log that may be restored from an older copy.

A restored log assigns its last offsets again, so an offset alone does not
identify a record.  A position also has the incarnation of the log, which rises
with each restore.  It is encoded as one integer that orders records across
restores and is stored and sent wherever an offset is expected; in the first
incarnation it equals the offset.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# A thousand records a second fill these in 35 years.
OFFSET_BITS = 40
# The highest that fits the signed 64-bit fields of messages.
MAX_INCARNATION = (1 << (63 - OFFSET_BITS)) - 1


class Position(NamedTuple):
    """The parts of a position.

    Attributes:
      incarnation: Incarnation of the log; 0 if the log names none.
      offset: Offset in that incarnation; -1 before the first record.
    """

    incarnation: int
    offset: int


def encode(incarnation: int, offset: int) -> int:
    """Return a position as one integer."""
    return (incarnation << OFFSET_BITS) + offset


def decode(position: int) -> Position:
    """Return the parts of a position."""
    if position < 0:
        return Position(0, position)
    return Position(position >> OFFSET_BITS, position % (1 << OFFSET_BITS))
