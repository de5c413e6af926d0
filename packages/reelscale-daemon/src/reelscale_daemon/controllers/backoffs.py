"""Keeps which upstreams want no requests from this entry, and until when.

What one start of an upstream asked does not hold for another, and outlasts
its place in the list: a list that is read again undoes nothing.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import announcement, backoff, clock

from .. import logs, metrics
from . import wakeup

LOG = logs.Logger("backoffs")
# So many starts of upstreams are remembered; those that end last.
MOST_KEPT = 4096


class Backoffs:
    """The backoffs that upstreams asked of this entry, by their start."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        on_over: Callable[[], None],
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          clock: The time.
          metrics: Counts what upstreams ask.
          on_over: Called once an upstream that was in the way may be asked.
        """
        self._clock = clock
        self._metrics = metrics
        self._wakeup = wakeup.Wakeup(
            reactor=reactor, clock=clock, function=on_over
        )
        self._backoffs_by_start: dict[str, backoff.Backoff] = {}

    def record_backoff(
        self, start: announcement.Start, seconds: float
    ) -> None:
        """Take what a refusal of an upstream asks."""
        now = self._clock.monotonic()
        old = self._backoffs_by_start.get(start.key)
        self._backoffs_by_start[start.key] = backoff.extended(
            old, seconds, self._clock
        )
        self._metrics.backoffs.inc({"upstream": start.name})
        LOG.info(
            "An upstream wants no requests for a while.",
            upstream=start.key,
            seconds=seconds,
            left_before_s=round(backoff.remaining_s(old, now), 3),
        )
        self._forget(now)

    def on_restart(
        self, before: announcement.Start, start: announcement.Start
    ) -> None:
        """Forget a start in whose place another is, but for what is its."""
        found = self._backoffs_by_start.pop(before.key, None)
        if found is not None and start.was_running_at(found.received_at):
            self._backoffs_by_start[start.key] = found

    def blocks(self, start: announcement.Start) -> bool:
        """Tell whether a start wants nothing now; who waits is woken then."""
        left_s = self.left_s(start)
        if left_s:
            self._wakeup.within(left_s)
        return left_s > 0

    def left_s(self, start: announcement.Start) -> float:
        """Return for how long a start wants nothing more; 0 if it may."""
        found = self._backoffs_by_start.get(start.key)
        return backoff.remaining_s(found, self._clock.monotonic())

    def count(self) -> int:
        """Return how many starts want nothing just now."""
        self._forget(self._clock.monotonic())
        return len(self._backoffs_by_start)

    def _forget(self, now: float) -> None:
        """Forget what is over, and what ends first if there is too much."""
        rows = sorted(
            self._backoffs_by_start.items(), key=lambda row: -row[1].until
        )
        self._backoffs_by_start = {
            key: item for key, item in rows[:MOST_KEPT] if item.until > now
        }
