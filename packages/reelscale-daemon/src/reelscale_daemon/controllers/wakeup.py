"""A delayed call at the earliest of several requested times."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import clock


class Wakeup:
    """Calls a function at the earliest of the requested times.

    Later times are not kept; the function has to schedule what is still due.
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
        """Schedule the call within this many seconds."""
        at = self._clock.monotonic() + seconds
        pending = self._call is not None and self._call.active()
        if pending and self._at <= at:
            return
        if pending:
            self._call.cancel()
        self._at = at
        self._call = self._reactor.callLater(seconds, self._function)
