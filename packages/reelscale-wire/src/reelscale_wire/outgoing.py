"""What a connection still has to send."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any


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
