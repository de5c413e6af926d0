"""Admission of attempts at an agent, with tombstones.

An attempt that is refused, or cancelled before it started, leaves a tombstone
so that a delayed duplicate is refused too.  Only such an attempt is reported
as not run.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections import OrderedDict
from typing import NamedTuple

# Retention and maximum number of tombstones.
TOMBSTONE_S = 600.0
MAX_TOMBSTONES = 200_000


class Decision(NamedTuple):
    """The admission decision on an attempt.

    Attributes:
      admitted: Whether it may start or has started.
      repeated: Whether it is a duplicate of an admitted attempt.
      code: Reason of a refusal.
    """

    admitted: bool
    repeated: bool = False
    code: str = ""


class Tombstone(NamedTuple):
    """Record of a finished or refused attempt.

    Attributes:
      ended_at: Monotonic time of its end, in seconds.
      started: Whether the upstream may have run it.
    """

    ended_at: float
    started: bool


class Gate:
    """Admits attempts up to a capacity unless the upstream is leaving."""

    def __init__(self, *, capacity: int) -> None:
        """Create an open gate for capacity concurrent attempts."""
        self.capacity = capacity
        self.leaving = False
        # Monotonic time at which the backoff of the upstream ends.
        self._backed_off_until = float("-inf")
        self.running: dict[str, str] = {}
        self._tombstones: OrderedDict[str, Tombstone] = OrderedDict()

    def submit(self, attempt: str, entry: str, now: float) -> Decision:
        """Decide whether to admit an attempt."""
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
        """Refuse attempts until a time; the latest requested end applies."""
        self._backed_off_until = max(self._backed_off_until, until)

    def accepts_work(self, now: float) -> bool:
        """Return whether the upstream accepts work, capacity permitting."""
        return not self.leaving and now >= self._backed_off_until

    def refuse(self, attempt: str, now: float, code: str) -> Decision:
        """Refuse an attempt for a reason external to the gate."""
        self.running.pop(attempt, None)
        return self._refuse(attempt, now, code)

    def finish(self, attempt: str, now: float) -> None:
        """Record the end of an attempt; later duplicates are refused."""
        self.running.pop(attempt, None)
        self._leave_tombstone(attempt, now, started=True)

    def cancel(self, attempt: str, now: float) -> bool:
        """Cancel an attempt that has not started.

        Returns:
          True if it is guaranteed never to run; False if it has started or
          ended.
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
