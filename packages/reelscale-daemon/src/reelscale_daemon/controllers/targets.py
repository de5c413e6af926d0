"""Tracks per-target limits: queue goal, answer time and pace of streams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import clock, pace, waiting
from reelscale_core import state as states

# Weight of the newest value in the moving average of the answer time.
SMOOTHING = 0.1


class Targets:
    """Keeps the measurements and goals of all targets."""

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self._goal_s: dict[str, float] = {}
        self._fixed_s: dict[str, float] = {}
        self._takes_s: dict[str, float] = {}
        self._pace_by_group: dict[tuple[str, str], pace.Pace] = {}

    def apply_config(self, state: states.State) -> None:
        """Apply the goals and engine settings of a configuration."""
        self._goal_s = {}
        self._fixed_s = {
            item.name: item.engine.fixed_s
            for item in state.services_by_name.values()
        }
        for item in state.routes_by_name.values():
            for share in item.shares:
                goal_s = self._goal_s.get(share.target, item.goal_s)
                self._goal_s[share.target] = min(goal_s, item.goal_s)

    def record_duration(self, target: str, seconds: float) -> None:
        """Record the time that an upstream took for a complete answer."""
        old = self._takes_s.get(target, seconds)
        self._takes_s[target] = old + SMOOTHING * (seconds - old)

    def record_pause(
        self,
        target: str,
        group: str,
        pause_s: float,
        *,
        longest_s: float,
        used: float,
    ) -> None:
        """Record the pause between two events of a stream.

        Args:
          target: The stream's target.
          group: The group of its rank, "" if unknown.
          pause_s: The pause, in seconds.
          longest_s: The longest pause that its route allows, in seconds.
          used: Fraction of the slots in use.
        """
        self._pace_by_group[target, group] = pace.observed(
            self._pace(target, group),
            pause_s,
            max_pause_s=longest_s,
            now=self._clock.monotonic(),
            used=used,
            fixed_s=self._fixed_s.get(target, 0.0),
        )

    def queue_capacity(self, target: str, slots: int) -> int:
        """Return how many requests may wait at an upstream with some slots."""
        return waiting.queue_capacity(
            slots,
            goal_s=self._goal_s.get(target, 0.0),
            takes_s=self._takes_s.get(target),
        )

    def limit(self, target: str, group: str) -> float:
        """Return the fraction of slots with which streams keep their pace."""
        return self._pace(target, group).limit

    def has_ranks(self, target: str) -> bool:
        """Return whether the upstreams of a target are ranks of groups."""
        return self._fixed_s.get(target, 0.0) > 0

    def _pace(self, target: str, group: str) -> pace.Pace:
        return self._pace_by_group.get((target, group), pace.Pace())
