"""Closes a connection in stages (RFC 9112, 9.6).

Closing a socket with unread data resets the connection, and the peer loses
data that it has not received yet.  So only the sending half is closed at
first.  The connection follows once the peer's kernel has acknowledged all
data or the peer has closed its half.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from . import outgoing

POLL_INTERVAL_S = 0.05
# Time for the peer to close its half where the system does not report
# acknowledgements.
LINGER_TIMEOUT_S = 0.5
# A connection without progress for this long is reset.  Exceeds the 6.4 s
# between the fifth and the sixth retransmission of TCP.
STALL_TIMEOUT_S = 15.0


class StagedClose:
    """Closes one connection, from construction on."""

    def __init__(
        self, *, transport: Any, call_later: Callable[..., Any]
    ) -> None:
        """Close the sending half once all written data is sent.

        Args:
          transport: A TCP transport of Twisted; its protocol must discard
            data received from now on.
          call_later: Schedules a call, like callLater of a reactor.
        """
        self._transport = transport
        self._call_later = call_later
        self._pending = outgoing.pending_bytes(transport)
        self._idle_s = 0.0
        # With a paused producer, Twisted would resume it instead of closing.
        transport.unregisterProducer()
        transport.loseWriteConnection()
        # The close by the peer is only detected while reading.
        transport.resumeProducing()
        call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        """Close or reset the connection, or poll again."""
        if not self._transport.connected:
            return
        before, self._pending = self._pending, self._pending_bytes()
        self._idle_s += POLL_INTERVAL_S
        if self._pending != before:
            self._idle_s = 0.0
        if self._pending == 0 or self._linger_expired():
            self._transport.loseConnection()
        elif self._idle_s >= STALL_TIMEOUT_S:
            self._transport.abortConnection()
        else:
            self._call_later(POLL_INTERVAL_S, self._poll)

    def _pending_bytes(self) -> int | None:
        return outgoing.pending_bytes(self._transport)

    def _linger_expired(self) -> bool:
        """Return whether the wait without acknowledgements is over."""
        unknown = self._pending is None
        return unknown and self._idle_s >= LINGER_TIMEOUT_S
