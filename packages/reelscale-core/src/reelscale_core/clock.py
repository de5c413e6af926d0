"""The clock as an interface, so that every decision can be replayed."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time
from typing import Protocol


class Clock(Protocol):
    """Tells time; instants are seconds as float."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never steps back."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may step."""
        ...


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's Unix time in seconds."""
        return time.time()


class FakeClock:
    """A clock that moves only when it is told to, for replay."""

    def __init__(self, *, start: float = 0.0) -> None:
        self.now = start

    def monotonic(self) -> float:
        """Return the time set so far, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the time set so far, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by seconds."""
        self.now += seconds
