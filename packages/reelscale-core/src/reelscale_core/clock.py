"""The clock as an interface, so that decisions can be replayed.

Leases expire and callers wait while this machine is suspended, so ages are
measured by a clock that includes suspensions.  A second clock that excludes
them is used to detect suspensions.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time; instants are seconds as float.

    Attributes:
      counts_suspensions: Whether monotonic() includes suspensions.
    """

    counts_suspensions: bool

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back.

        It includes suspensions if the operating system has such a clock.
        """
        ...

    def running(self) -> float:
        """Return seconds without suspensions."""
        ...

    def wall(self) -> float:
        """Return Unix time in seconds; may step."""
        ...


def _counting_clock() -> int:
    """Return the id of a clock that counts suspensions, if there is one.

    Without one, ages exclude suspensions, which are then detected by the time
    of day alone; see suspension.py.
    """
    clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    try:
        time.clock_gettime(clock_id)
    except OSError:
        return time.CLOCK_MONOTONIC
    return clock_id


_COUNTING = _counting_clock()


class SystemClock:
    """The clock of this machine."""

    counts_suspensions = _COUNTING != time.CLOCK_MONOTONIC

    def monotonic(self) -> float:
        """Return seconds, including suspensions if possible."""
        return time.clock_gettime(_COUNTING)

    def running(self) -> float:
        """Return seconds without suspensions."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class FakeClock:
    """A manually advanced clock for tests and replay."""

    def __init__(
        self, *, start: float = 0.0, counts_suspensions: bool = True
    ) -> None:
        self.now = start
        self.counts_suspensions = counts_suspensions
        self._suspended_s = 0.0

    def monotonic(self) -> float:
        """Return the current time, without suspensions if not counted."""
        return self.now if self.counts_suspensions else self.running()

    def running(self) -> float:
        """Return the current time without suspensions."""
        return self.now - self._suspended_s

    def wall(self) -> float:
        """Return the current time."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension of the machine."""
        self.now += seconds
        self._suspended_s += seconds
