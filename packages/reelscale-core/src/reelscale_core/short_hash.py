"""Short hashes that identify names in datagrams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import zlib


def of(text: str) -> int:
    """Return the signed 32-bit hash of a text."""
    return zlib.crc32(text.encode()) - (1 << 31)
