"""Computes how many steps ahead a layout change has to be held.

Every rank is armed between the hold and the held step.  If arming takes
longer than the steps in between, the group stalls and every stream pauses.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Iterable, Mapping

from reelscale_core import clock, rank, relayout

# Applied to the last arming time: some orders may be slower the next time.
SAFETY_FACTOR = 1.5
# Upper bound of the margin, so that a change still meets current demand.
MAX_STEPS = 12


class Arming:
    """Measures how long steps and the arming of all ranks take."""

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self._step: int | None = None
        self._step_at = 0.0
        self._step_s = 0.0
        self._held_at: float | None = None
        self._arming_s = 0.0

    def record_ranks(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Measure the duration of a step from a check of all ranks."""
        step = max((item.step for item in by_name.values()), default=0)
        now = self._clock.monotonic()
        if self._step is not None and step > self._step:
            self._step_s = (now - self._step_at) / (step - self._step)
        if step != self._step:
            self._step, self._step_at = step, now

    def record_orders(self, orders: Iterable[rank.Order]) -> None:
        """Measure the arming time, from a hold order to its end."""
        now = self._clock.monotonic()
        for order in orders:
            match order:
                case rank.Hold():
                    self._held_at = now
                case rank.Go() if self._held_at is not None:
                    self._arming_s = now - self._held_at
                    self._held_at = None

    @property
    def margin(self) -> int:
        """How many steps ahead to hold the next change."""
        if not self._step_s:
            return relayout.MARGIN_STEPS
        steps = math.ceil(SAFETY_FACTOR * self._arming_s / self._step_s)
        return min(MAX_STEPS, max(relayout.MARGIN_STEPS, 1 + steps))
