"""Detects dead connections and distinguishes them from slow peers.

A connection may stop delivering data without a reset, while new connections
work and TCP keep-alive probes are still answered.  A slow or stalled peer
looks the same.  So only one exchange per peer is aborted on suspicion; others
follow once the peer has answered on a connection opened after that.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from reelscale_core import clock

# Minimum time-out for the first byte of an answer on a reused connection;
# clients wait as long for an entry that takes no request.
MIN_FIRST_BYTE_TIMEOUT_S = 1.0
# The time-out is this multiple of the third quartile of a peer's recent
# first-byte times; the maximum would let one outlier disable detection.
LATENCY_FACTOR = 4.0
# Number of first-byte times kept per peer.
MAX_SAMPLES = 32
# Grace period of older exchanges after a suspicion is confirmed: a peer that
# resumes after a stall answers them at about the same time.
CONFIRMATION_GRACE_S = 0.5
# No exchange is watched for this long after a detection, which has closed
# all idle connections without recent data.
COOLDOWN_S = 5.0
# An unconfirmed suspicion expires after this time.
SUSPICION_EXPIRY_S = 10.0


# Error code of an exchange whose connection stopped responding.
UNRESPONSIVE = "silent"


class Watched(Protocol):
    """The fields of a connection that the monitor reads."""

    address: str
    opened_at: float
    started_at: float

    def abort(self, code: str) -> None:
        """Reset the connection; fail the exchange with a code."""
        ...


class Confirmation(NamedTuple):
    """A confirmed suspicion.

    Attributes:
      suspected_at: Monotonic seconds at which the connection was suspected.
      confirmed_at: Monotonic seconds at which an answer began on a
        connection opened after that.
    """

    suspected_at: float
    confirmed_at: float


class Monitor:
    """Liveness of the connections of a pool."""

    def __init__(
        self, *, clock: clock.Clock, on_unresponsive: Callable[[float], None]
    ) -> None:
        """Create a monitor.

        Args:
          clock: The clock.
          on_unresponsive: Called when a dead connection is detected, with the
            time since which others may be dead as well.
        """
        self._clock = clock
        self._on_unresponsive = on_unresponsive
        self._first_byte_s_by_address: dict[str, collections.deque[float]] = {}
        self._suspected_at: dict[str, float] = {}
        self._confirmation_by_address: dict[str, Confirmation] = {}
        self._last_detected_at = float("-inf")

    def now(self) -> float:
        """Return the current time in monotonic seconds."""
        return self._clock.monotonic()

    @property
    def cooling_down(self) -> bool:
        """Whether a dead connection was detected recently."""
        return self.now() < self._last_detected_at + COOLDOWN_S

    def first_byte_timeout_s(self, address: str) -> float:
        """Return the time-out for the first byte of a peer's answer."""
        samples_s = sorted(self._first_byte_s_by_address.get(address, (0.0,)))
        typical_s = samples_s[3 * (len(samples_s) - 1) // 4]
        return max(MIN_FIRST_BYTE_TIMEOUT_S, LATENCY_FACTOR * typical_s)

    def record_first_byte(self, conn: Watched) -> None:
        """Record that an answer has begun."""
        address = conn.address
        samples_s = self._first_byte_s_by_address.setdefault(
            address, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples_s.append(self.now() - conn.started_at)
        suspected_at = self._suspected_at.get(address)
        if suspected_at is not None and conn.opened_at > suspected_at:
            del self._suspected_at[address]
            self._confirmation_by_address[address] = Confirmation(
                suspected_at, self.now()
            )

    def should_abort(self, conn: Watched) -> bool:
        """Return whether to abort an exchange without any answer so far."""
        now = self.now()
        address = conn.address
        confirmation = self._confirmation_by_address.get(address)
        if (
            confirmation is not None
            and conn.started_at <= confirmation.suspected_at
        ):
            return now >= confirmation.confirmed_at + CONFIRMATION_GRACE_S
        suspected_at = self._suspected_at.get(address, float("-inf"))
        if now < suspected_at + SUSPICION_EXPIRY_S:
            return False
        self._suspected_at[address] = self._last_detected_at = now
        self._on_unresponsive(conn.started_at)
        return True

    def forget(self, address: str) -> None:
        """Drop the state of a peer without open connections."""
        for by_address in (
            self._first_byte_s_by_address,
            self._suspected_at,
            self._confirmation_by_address,
        ):
            by_address.pop(address, None)


class Watch:
    """Checks one connection again and again until its answer begins."""

    def __init__(
        self, *, reactor: Any, monitor: Monitor, watched: Watched
    ) -> None:
        self._reactor = reactor
        self._monitor = monitor
        self._watched = watched
        self._timer: Any = None

    def start(self) -> None:
        """Schedule the next check."""
        timeout_s = self._monitor.first_byte_timeout_s(self._watched.address)
        self._timer = self._reactor.callLater(timeout_s, self._schedule_check)

    def stop(self) -> None:
        """Cancel the next check."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _schedule_check(self) -> None:
        """Let the reactor read pending data before the check.

        After a stall of the process, timers run before the sockets are read.
        """
        self._timer = self._reactor.callLater(0, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._monitor.should_abort(self._watched):
            self._watched.abort(UNRESPONSIVE)
        else:
            self.start()
