"""Notices that the machine was suspended, so that nothing stale is trusted."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import clock, suspension

from .. import logs, metrics
from . import follower

LOG = logs.Logger("suspension")
# The clocks are read this often, in seconds.  A loop that waits for a timer
# is not woken by the end of a suspension, and this is how late it may be.
LOOK_EVERY_S = 0.25


class Watch:
    """Reads the clocks, and tells a suspension once it is over.

    Attributes:
      progress: How the looking gets on.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        on_suspended: Callable[[float], dict[str, Any]],
    ) -> None:
        """Make it; start() begins to look.

        Args:
          reactor: The loop.
          clock: The time.
          metrics: Counts the suspensions.
          on_suspended: Called with the seconds that it took; drops what is
            no longer to be believed, and returns what it was, for the log.
        """
        self._clock = clock
        self._metrics = metrics
        self._on_suspended = on_suspended
        self._last = suspension.read(clock)
        self._loop = follower.Timer(
            reactor=reactor,
            clock=clock,
            name="suspension",
            function=self.look,
        )
        self.progress = self._loop.progress

    def start(self) -> None:
        """Look from now on."""
        self._loop.start(LOOK_EVERY_S)

    def stop(self) -> None:
        """Look no longer."""
        self._loop.stop()

    def look(self) -> None:
        """Read the clocks; tell a suspension that has ended."""
        now = suspension.read(self._clock)
        seconds = suspension.suspended_s(self._last, now)
        self._last = now
        if not seconds:
            return
        self._metrics.suspensions.inc({})
        dropped = self._on_suspended(seconds)
        LOG.warning(
            "The machine was suspended; what was believed is looked up anew.",
            seconds=round(seconds, 3),
            **dropped,
        )
