"""Detects suspensions of the machine, after which cached state is stale."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import clock, suspension

from .. import logs, metrics
from . import follower

LOG = logs.Logger("suspension")
# Interval in seconds between checks, which bounds the delay of the detection:
# the end of a suspension does not wake a reactor that waits for a timer.
CHECK_INTERVAL_S = 0.25


class Watch:
    """Compares clocks periodically and reports suspensions.

    Attributes:
      progress: The progress of the checks.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        on_suspended: Callable[[float], dict[str, Any]],
    ) -> None:
        """Initialize; start() begins the checks.

        Args:
          reactor: The reactor.
          clock: The clock.
          metrics: Counts the suspensions.
          on_suspended: Called with the duration in seconds; drops stale state
            and returns what it dropped, as fields of the log line.
        """
        self._clock = clock
        self._metrics = metrics
        self._on_suspended = on_suspended
        self._last = suspension.read(clock)
        self._loop = follower.Timer(
            reactor=reactor,
            clock=clock,
            name="suspension",
            function=self.check,
        )
        self.progress = self._loop.progress

    def start(self) -> None:
        """Start the checks."""
        self._loop.start(CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Stop the checks."""
        self._loop.stop()

    def check(self) -> None:
        """Compare the clocks, and report a suspension that has ended."""
        now = suspension.read(self._clock)
        seconds = suspension.suspended_s(self._last, now)
        self._last = now
        if not seconds:
            return
        self._metrics.suspensions.inc({})
        dropped = self._on_suspended(seconds)
        LOG.warning(
            "The machine was suspended; dropped cached state.",
            seconds=round(seconds, 3),
            **dropped,
        )
