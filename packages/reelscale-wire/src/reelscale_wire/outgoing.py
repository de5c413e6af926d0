"""What a connection still has to send, and to get acknowledged."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import fcntl
import struct
import termios
from typing import Any

_INT = struct.Struct("i")


def unsent_bytes(transport: Any) -> int:
    """Return the bytes written to a connection that are still in the process.

    Args:
      transport: A TCP transport of twisted, None once it has gone.
    """
    if transport is None:
        return 0
    # twisted keeps them in two buffers and has no public count of them.
    buffered = len(transport.dataBuffer) - transport.offset
    return buffered + transport._tempDataLen


def pending_bytes(transport: Any) -> int | None:
    """Return the bytes that the other side has not acknowledged.

    Those that are still in the process are among them, and so is the end of
    our half.  None if the system does not tell; then none is in the process.

    Args:
      transport: A TCP transport of twisted, None once it has gone.
    """
    unsent = unsent_bytes(transport)
    if unsent or transport is None:
        return unsent
    try:
        # tcp(7): the count of bytes in the send queue (SIOCOUTQ).
        told = fcntl.ioctl(transport.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    return _INT.unpack(told)[0]
