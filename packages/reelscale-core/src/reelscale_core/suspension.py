"""Detects suspensions of the machine by comparing its clocks.

A suspension stops the clock of running time; the clock that counts
suspensions and the time of day continue.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from .clock import Clock

# Shorter ones are ignored: the clocks are not read at the same instant, and
# cached state may be as old as this anyway.
MIN_SUSPENSION_S = 0.3


class Reading(NamedTuple):
    """A reading of all clocks.

    Attributes:
      all_s: Seconds on the clock that counts suspensions.
      running_s: Seconds on the clock that does not.
      wall_s: Unix time in seconds.
      counted: Whether all_s includes suspensions.
    """

    all_s: float
    running_s: float
    wall_s: float
    counted: bool = True


def read(clock: Clock) -> Reading:
    """Read the clocks."""
    return Reading(
        clock.monotonic(),
        clock.running(),
        clock.wall(),
        clock.counts_suspensions,
    )


def suspended_s(before: Reading, now: Reading) -> float:
    """Return how long the machine was suspended between two readings, or 0.

    Where no clock counts suspensions, a forward step of the time of day
    counts as one: a false positive only causes cached state to be checked.
    """
    running_s = now.running_s - before.running_s
    if now.counted:
        stopped_s = now.all_s - before.all_s - running_s
    else:
        stopped_s = now.wall_s - before.wall_s - running_s
    return stopped_s if stopped_s >= MIN_SUSPENSION_S else 0.0
