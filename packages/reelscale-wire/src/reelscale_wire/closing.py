"""Closes a connection in stages (RFC 9112, 9.6).

A socket that is closed while the other side has sent more than was read
resets the connection, and what the other side has not received yet is gone.
So only our half is closed at first.  The rest follows once the other side's
kernel has acknowledged everything, or the other side has closed its half.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from . import outgoing

# How often a closing connection is looked at, in seconds: some round trips.
POLL_INTERVAL_S = 0.05
# Where the system does not tell what was acknowledged, the other side has
# this long, in seconds, to close its half: some round trips, and little
# beside a grace time.
LINGER_TIMEOUT_S = 0.5
# A connection of which nothing more leaves for this long, in seconds, has no
# reader any more and is reset.  The longest pause that TCP makes between
# sending a lost packet again for the fifth and the sixth time is 6.4 s.
STALL_TIMEOUT_S = 15.0


class StagedClose:
    """The close of one connection; begins when it is made."""

    def __init__(
        self, *, transport: Any, call_later: Callable[..., Any]
    ) -> None:
        """Close our half once all that was written has left the process.

        Args:
          transport: A TCP transport of twisted; its protocol has to drop
            what comes from now on.
          call_later: Schedules a call, as a reactor does.
        """
        self._transport = transport
        self._call_later = call_later
        self._pending = outgoing.pending_bytes(transport)
        self._idle_s = 0.0
        # A paused producer would be asked for more in place of the close.
        transport.unregisterProducer()
        transport.loseWriteConnection()
        # The end of the other side shows only while we read.
        transport.resumeProducing()
        call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        """Close the rest, reset a stalled connection, or look again."""
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
        """Whether the wait is over where acknowledgements are unknown."""
        unknown = self._pending is None
        return unknown and self._idle_s >= LINGER_TIMEOUT_S
