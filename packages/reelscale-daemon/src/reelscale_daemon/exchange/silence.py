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
FIRST_BYTE_S = 1.0
# A peer is given so many times what three in four of its latest answers took
# to begin at most, if that is more.  The longest of all would let one answer
# that was held up hide a silence.
SLOWNESS = 4.0
# Answers of a peer that are remembered for that.
REMEMBERED = 32
# After a peer was seen to answer on a newer connection, older exchanges have
# this long left, in seconds: one that stood still and goes on answers what it
# got first at about the same time.
PROOF_S = 0.5
# For so long after connections were found silent, in seconds, no exchange is
# watched: of the idle connections only those that were heard since are left.
REST_S = 5.0
# A suspicion that nothing has borne out is dropped after this, in seconds.
SUSPECTED_S = 10.0


class Watched(Protocol):
    """What is looked at of a connection, which carries one exchange."""

    address: str
    opened_at: float
    begun_at: float


class Proof(NamedTuple):
    """A suspicion that was borne out.

    Attributes:
      suspected_at: When the connection was suspected, in monotonic seconds.
      seen_at: When an answer began on one that was opened after that.
    """

    suspected_at: float
    seen_at: float


class Silences:
    """What a pool knows of the silence of its connections."""

    def __init__(
        self, *, clock: clock.Clock, on_silent: Callable[[float], None]
    ) -> None:
        """Make it.

        Args:
          clock: The time.
          on_silent: Called when connections count as silent, with the time
            since which nothing may have come on any.
        """
        self._clock = clock
        self._on_silent = on_silent
        self._took_by_address: dict[str, collections.deque[float]] = {}
        self._suspected_at: dict[str, float] = {}
        self._proof_by_address: dict[str, Proof] = {}
        self._found_at = float("-inf")

    def now(self) -> float:
        """Return the time, in monotonic seconds."""
        return self._clock.monotonic()

    @property
    def resting(self) -> bool:
        """Whether connections were found silent a moment ago."""
        return self.now() < self._found_at + REST_S

    def allowance_s(self, address: str) -> float:
        """Return how long a peer's answer may take to begin."""
        took = sorted(self._took_by_address.get(address, (0.0,)))
        usual_s = took[3 * (len(took) - 1) // 4]
        return max(FIRST_BYTE_S, SLOWNESS * usual_s)

    def note_first_byte(self, conn: Watched) -> None:
        """Note that an answer has begun."""
        address = conn.address
        took = self._took_by_address.setdefault(
            address, collections.deque(maxlen=REMEMBERED)
        )
        took.append(self.now() - conn.begun_at)
        suspected_at = self._suspected_at.get(address)
        if suspected_at is not None and conn.opened_at > suspected_at:
            del self._suspected_at[address]
            self._proof_by_address[address] = Proof(suspected_at, self.now())

    def ends(self, conn: Watched) -> bool:
        """Tell whether an exchange in which nothing came is to be ended."""
        now = self.now()
        address = conn.address
        proof = self._proof_by_address.get(address)
        if proof is not None and conn.begun_at <= proof.suspected_at:
            return now >= proof.seen_at + PROOF_S
        suspected_at = self._suspected_at.get(address, float("-inf"))
        if now < suspected_at + SUSPECTED_S:
            return False
        self._suspected_at[address] = self._found_at = now
        self._on_silent(conn.begun_at)
        return True

    def forget(self, address: str) -> None:
        """Forget a peer to which no connection is open."""
        for by_address in (
            self._took_by_address,
            self._suspected_at,
            self._proof_by_address,
        ):
            by_address.pop(address, None)
