"""Tells kept connections that have gone silent from slow peers.

A connection may go silent for good without a reset, while new ones work, and
the kernel's probes may still be answered.  All that is seen is that no answer
begins; a peer that is slow, or stands still for a while, looks the same.  So
one exchange with a peer is ended on suspicion, and others only once the peer
has begun an answer on a connection that was opened after it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
from collections.abc import Callable
from typing import NamedTuple, Protocol

from reelscale_core import clock

# The first byte of an answer on a kept connection is waited for this long,
# in seconds, before the connection may count as silent; clients wait as long
# for one that takes no request.
MIN_FIRST_BYTE_TIMEOUT_S = 1.0
# A peer is given so many times what three in four of its latest answers took
# to begin at most, if that is more.  The longest of all would let one answer
# that was held up hide a silence.
LATENCY_FACTOR = 4.0
# Answers of a peer that are remembered for that.
MAX_SAMPLES = 32
# After a peer was seen to answer on a newer connection, older exchanges have
# this long left, in seconds: one that stood still and goes on answers what it
# got first at about the same time.
CONFIRMATION_GRACE_S = 0.5
# For so long after connections were found silent, in seconds, no exchange is
# watched: of the idle connections only those that were heard since are left.
COOLDOWN_S = 5.0
# A suspicion that nothing has borne out is dropped after this, in seconds.
SUSPICION_EXPIRY_S = 10.0


class Watched(Protocol):
    """What is looked at of a connection, which carries one exchange."""

    address: str
    opened_at: float
    started_at: float


class Confirmation(NamedTuple):
    """A suspicion that was borne out.

    Attributes:
      suspected_at: When the connection was suspected, in monotonic seconds.
      seen_at: When an answer began on one that was opened after that.
    """

    suspected_at: float
    confirmed_at: float


class Monitor:
    """What a pool knows of the silence of its connections."""

    def __init__(
        self, *, clock: clock.Clock, on_unresponsive: Callable[[float], None]
    ) -> None:
        """Make it.

        Args:
          clock: The time.
          on_silent: Called when connections count as silent, with the time
            since which nothing may have come on any.
        """
        self._clock = clock
        self._on_unresponsive = on_unresponsive
        self._first_byte_s_by_address: dict[str, collections.deque[float]] = {}
        self._suspected_at: dict[str, float] = {}
        self._confirmation_by_address: dict[str, Confirmation] = {}
        self._last_detected_at = float("-inf")

    def now(self) -> float:
        """Return the time, in monotonic seconds."""
        return self._clock.monotonic()

    @property
    def cooling_down(self) -> bool:
        """Whether connections were found silent a moment ago."""
        return self.now() < self._last_detected_at + COOLDOWN_S

    def first_byte_timeout_s(self, address: str) -> float:
        """Return how long a peer's answer may take to begin."""
        samples_s = sorted(self._first_byte_s_by_address.get(address, (0.0,)))
        typical_s = samples_s[3 * (len(samples_s) - 1) // 4]
        return max(MIN_FIRST_BYTE_TIMEOUT_S, LATENCY_FACTOR * typical_s)

    def record_first_byte(self, conn: Watched) -> None:
        """Note that an answer has begun."""
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
        """Tell whether an exchange in which nothing came is to be ended."""
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
        """Forget a peer to which no connection is open."""
        for by_address in (
            self._first_byte_s_by_address,
            self._suspected_at,
            self._confirmation_by_address,
        ):
            by_address.pop(address, None)
