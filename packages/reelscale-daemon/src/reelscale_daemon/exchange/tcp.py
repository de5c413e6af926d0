"""Options and state of the TCP sockets of connections to other processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket
from typing import Any

# TCP_USER_TIMEOUT, to detect a peer that has lost power.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# TCP keep-alive of an idle connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def set_options(transport: Any) -> None:
    """Set the options of a new connection.

    Args:
      transport: A TCP transport of Twisted.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def is_silent(transport: Any) -> bool:
    """Return whether neither bytes nor a close wait to be read.

    Args:
      transport: A TCP transport of Twisted.
    """
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
