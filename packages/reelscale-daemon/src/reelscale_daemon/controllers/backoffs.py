"""Tracks the backoffs that upstreams request of this entry.

A backoff applies to one start of an upstream and does not depend on the
list of upstreams: reading the list again does not reset it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from reelscale_core import announcement, backoff, clock

from .. import logs, metrics
from . import wakeup

LOG = logs.Logger("backoffs")
# Starts of upstreams remembered; the latest to end are kept.
MAX_RECORDS = 4096


class Backoffs:
    """The backoffs that upstreams requested, by start."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        on_expired: Callable[[], None],
    ) -> None:
        """Initialize without backoffs.

        Args:
          reactor: The reactor.
          clock: The clock.
          metrics: Counts the backoffs that upstreams request.
          on_expired: Called once the backoff of a blocked upstream expires.
        """
        self._clock = clock
        self._metrics = metrics
        self._wakeup = wakeup.Wakeup(
            reactor=reactor, clock=clock, function=on_expired
        )
        self._backoffs_by_start: dict[str, backoff.Backoff] = {}

    def record_backoff(
        self, start: announcement.Start, seconds: float
    ) -> None:
        """Record the backoff requested by a refusal."""
        now = self._clock.monotonic()
        old = self._backoffs_by_start.get(start.key)
        self._backoffs_by_start[start.key] = backoff.extended(
            old, seconds, self._clock
        )
        self._metrics.backoffs.inc({"upstream": start.name})
        LOG.info(
            "An upstream requested a backoff.",
            upstream=start.key,
            seconds=seconds,
            left_before_s=round(backoff.remaining_s(old, now), 3),
        )
        self._expire(now)

    def on_restart(
        self, before: announcement.Start, start: announcement.Start
    ) -> None:
        """Drop the backoff of a replaced start, unless the new one sent it."""
        pending = self._backoffs_by_start.pop(before.key, None)
        if pending is not None and start.was_running_at(pending.received_at):
            self._backoffs_by_start[start.key] = pending

    def blocks(self, start: announcement.Start) -> bool:
        """Return whether a start is in backoff, and schedule its expiry."""
        remaining_s = self.remaining_s(start)
        if remaining_s:
            self._wakeup.within(remaining_s)
        return remaining_s > 0

    def remaining_s(self, start: announcement.Start) -> float:
        """Return the seconds left of the backoff of a start, 0 without one."""
        pending = self._backoffs_by_start.get(start.key)
        return backoff.remaining_s(pending, self._clock.monotonic())

    def count(self) -> int:
        """Return the number of starts in backoff."""
        self._expire(self._clock.monotonic())
        return len(self._backoffs_by_start)

    def _expire(self, now: float) -> None:
        """Drop expired backoffs and, beyond the cap, those that end first."""
        rows = sorted(
            self._backoffs_by_start.items(), key=lambda row: -row[1].until
        )
        self._backoffs_by_start = {
            key: item for key, item in rows[:MAX_RECORDS] if item.until > now
        }
