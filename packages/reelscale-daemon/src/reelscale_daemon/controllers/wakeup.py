"""A call that is due at the earliest of several times."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import clock


class Wakeup:
    """Calls a function at the earliest of the times that it is told.

    A time that is told later and lies further off is not kept; who is called
    looks again at what else is due.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        function: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._function = function
        self._call: Any = None
        self._at = float("inf")

    def within(self, seconds: float) -> None:
        """Have the function called after this many seconds at the latest."""
        at = self._clock.monotonic() + seconds
        waits = self._call is not None and self._call.active()
        if waits and self._at <= at:
            return
        if waits:
            self._call.cancel()
        self._at = at
        self._call = self._reactor.callLater(seconds, self._function)
