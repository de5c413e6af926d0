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
MOST_TOMBSTONES = 200_000


class Answer(NamedTuple):
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
      at: Monotonic seconds at which it was over.
      started: Whether the upstream may have run it.
    """

    at: float
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
        self._dead: OrderedDict[str, Tombstone] = OrderedDict()

    def submit(self, attempt: str, entry: str, now: float) -> Answer:
        """Judge an attempt that arrived."""
        self._expire(now)
        if attempt in self._dead:
            return Answer(False, code="cancelled")
        if attempt in self.running:
            return Answer(True, repeated=True)
        if self.leaving:
            return self._refuse(attempt, now, "leaving")
        if now < self._backed_off_until:
            return self._refuse(attempt, now, "backoff")
        if len(self.running) >= self.capacity:
            return self._refuse(attempt, now, "busy")
        self.running[attempt] = entry
        return Answer(True)

    def back_off(self, until: float) -> None:
        """Admit nothing up to a time; the latest that is asked for counts."""
        self._backed_off_until = max(self._backed_off_until, until)

    def takes_work(self, now: float) -> bool:
        """Tell whether the upstream takes new work, if it has room."""
        return not self.leaving and now >= self._backed_off_until

    def refuse(self, attempt: str, now: float, code: str) -> Answer:
        """Refuse an attempt for a reason that lies outside the gate."""
        self.running.pop(attempt, None)
        return self._refuse(attempt, now, code)

    def finish(self, attempt: str, now: float) -> None:
        """Note that an attempt has ended; a late copy is refused."""
        self.running.pop(attempt, None)
        self._bury(attempt, now, started=True)

    def cancel(self, attempt: str, now: float) -> bool:
        """Kill an attempt that has not started.

        Returns:
          True if it is proved not to run, now and ever; False if it has
          started or ended.
        """
        self._expire(now)
        if attempt in self.running:
            return False
        if attempt in self._dead:
            return not self._dead[attempt].started
        self._bury(attempt, now, started=False)
        return True

    def _refuse(self, attempt: str, now: float, code: str) -> Answer:
        self._bury(attempt, now, started=False)
        return Answer(False, code=code)

    def _bury(self, attempt: str, now: float, *, started: bool) -> None:
        self._dead[attempt] = Tombstone(now, started)
        self._dead.move_to_end(attempt)

    def _expire(self, now: float) -> None:
        while self._dead:
            oldest, stone = next(iter(self._dead.items()))
            young = now - stone.at < TOMBSTONE_S
            if young and len(self._dead) <= MOST_TOMBSTONES:
                return
            del self._dead[oldest]
