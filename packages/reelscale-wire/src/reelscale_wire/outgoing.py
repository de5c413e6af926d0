"""Counts of unsent and unacknowledged bytes of a connection."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import fcntl
import struct
import termios
from typing import Any

_INT = struct.Struct("i")


def unsent_bytes(transport: Any) -> int:
    """Return the number of written bytes that are buffered in this process.

    Args:
      transport: A TCP transport of Twisted, None once closed.
    """
    if transport is None:
        return 0
    # Twisted has two buffers and no public count of their bytes.
    buffered = len(transport.dataBuffer) - transport.offset
    return buffered + transport._tempDataLen


def pending_bytes(transport: Any) -> int | None:
    """Return the number of bytes that the peer has not acknowledged.

    This includes bytes buffered in this process and the FIN.  None if the
    system does not report it; then no bytes are buffered in this process.

    Args:
      transport: A TCP transport of Twisted, None once closed.
    """
    unsent = unsent_bytes(transport)
    if unsent or transport is None:
        return unsent
    try:
        # tcp(7): the count of bytes in the send queue (SIOCOUTQ).
        queued = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    return _INT.unpack(queued)[0]
