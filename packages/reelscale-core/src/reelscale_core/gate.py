"""The agent's memory of attempts: admitted, or dead for good.

An attempt that is refused or cancelled before it started leaves a
tombstone, so that a copy which arrives late is refused as well.  Only such
an attempt is ever reported as not run.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections import OrderedDict
from typing import NamedTuple

# Tombstones are kept this long, and at most this many.
TOMBSTONE_S = 600.0
MAX_TOMBSTONES = 200_000


class Decision(NamedTuple):
    """What the gate says to an attempt.

    Attributes:
      admitted: Whether it may start (or has started).
      repeated: Whether it was admitted before.
      code: Why not, when it is refused.
    """

    admitted: bool
    repeated: bool = False
    code: str = ""


class Tombstone(NamedTuple):
    """What is kept of an attempt that is over.

    Attributes:
      ended_at: Monotonic seconds at which it was over.
      started: Whether the upstream may have run it.
    """

    ended_at: float
    started: bool


class Gate:
    """Admits attempts up to a capacity while the upstream is not leaving."""

    def __init__(self, *, capacity: int) -> None:
        """Make an open gate for capacity attempts at once."""
        self.capacity = capacity
        self.leaving = False
        # Monotonic seconds up to which the upstream wants nothing.
        self._backed_off_until = float("-inf")
        self.running: dict[str, str] = {}
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()

    def submit(self, attempt: str, entry: str, now: float) -> Decision:
        """Judge an attempt that arrived."""
        self._expire(now)
        if attempt in self._tombstones:
            return Decision(False, code="cancelled")
        if attempt in self.running:
            return Decision(True, repeated=True)
        if self.leaving:
            return self._refuse(attempt, now, "leaving")
        if now < self._backed_off_until:
            return self._refuse(attempt, now, "backoff")
        if len(self.running) >= self.capacity:
            return self._refuse(attempt, now, "busy")
        self.running[attempt] = entry
        return Decision(True)

    def back_off(self, until: float) -> None:
        """Admit nothing up to a time; the latest that is asked for counts."""
        self._backed_off_until = max(self._backed_off_until, until)

    def accepts_work(self, now: float) -> bool:
        """Tell whether the upstream takes new work, if it has room."""
        return not self.leaving and now >= self._backed_off_until

    def refuse(self, attempt: str, now: float, code: str) -> Decision:
        """Refuse an attempt for a reason that lies outside the gate."""
        self.running.pop(attempt, None)
        return self._refuse(attempt, now, code)

    def finish(self, attempt: str, now: float) -> None:
        """Note that an attempt has ended; a late copy is refused."""
        self.running.pop(attempt, None)
        self._leave_tombstone(attempt, now, started=True)

    def cancel(self, attempt: str, now: float) -> bool:
        """Kill an attempt that has not started.

        Returns:
          True if it is proved not to run, now and ever; False if it has
          started or ended.
        """
        self._expire(now)
        if attempt in self.running:
            return False
        if attempt in self._tombstones:
            return not self._tombstones[attempt].started
        self._leave_tombstone(attempt, now, started=False)
        return True

    def _refuse(self, attempt: str, now: float, code: str) -> Decision:
        self._leave_tombstone(attempt, now, started=False)
        return Decision(False, code=code)

    def _leave_tombstone(
        self, attempt: str, now: float, *, started: bool
    ) -> None:
        self._tombstones[attempt] = Tombstone(now, started)
        self._tombstones.move_to_end(attempt)

    def _expire(self, now: float) -> None:
        while self._tombstones:
            oldest, tombstone = next(iter(self._tombstones.items()))
            recent = now - tombstone.ended_at < TOMBSTONE_S
            if recent and len(self._tombstones) <= MAX_TOMBSTONES:
                return
            del self._tombstones[oldest]
