"""Long rows of numbers, packed for thin links.

A look at a group asks each rank for thousands of counters, and an order to
prepare a layout holds as many numbers; as lists of thrift they take eight and
four bytes each, and a link of some Mbit/s is busy with them for most of a
second.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import array
import sys
import zlib
from collections.abc import Sequence

import orjson
from reelscale_core import rank

# Numbers are 8 bytes each, the least byte first; most of them are zeros.
NUMBER = "Q"
# The fastest level; the slower ones save some hundredths more.
LEVEL = 1
# A message that unpacks to more bytes makes no sense.
MOST_BYTES = 1 << 22


def counts(numbers: Sequence[int]) -> bytes:
    """Pack whole numbers of zero or more."""
    return zlib.compress(_little(array.array(NUMBER, numbers)), LEVEL)


def read_counts(data: bytes) -> tuple[int, ...]:
    """Return the numbers that were packed; ValueError if there are none."""
    found = array.array(NUMBER)
    found.frombytes(_unpacked(data))
    if sys.byteorder == "big":
        found.byteswap()
    return tuple(found)


def table(rows: rank.Table) -> bytes:
    """Pack the experts of all ranks."""
    return zlib.compress(orjson.dumps(rows), LEVEL)


def read_table(data: bytes) -> rank.Table:
    """Return the experts that were packed; ValueError if there are none."""
    rows = orjson.loads(_unpacked(data))
    try:
        found = tuple(
            tuple(tuple(int(e) for e in held) for held in row) for row in rows
        )
    except TypeError as bad:
        raise ValueError("a table holds no rows of experts") from bad
    return found


def _little(numbers: array.array) -> bytes:
    if sys.byteorder == "big":
        numbers.byteswap()
    return numbers.tobytes()


def _unpacked(data: bytes) -> bytes:
    """Unpack a message of bounded size; ValueError if it is none."""
    work = zlib.decompressobj()
    try:
        found = work.decompress(data, MOST_BYTES)
    except zlib.error as bad:
        raise ValueError(str(bad)) from bad
    if work.unconsumed_tail or not work.eof:
        raise ValueError("a packed message is not whole or too large")
    return found
