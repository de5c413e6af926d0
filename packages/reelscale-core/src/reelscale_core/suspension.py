"""Tells that the machine was suspended, from the clocks it has.

A suspension stops the clock that counts running time alone; the one that
counts all time, and the time of day, go on.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

from .clock import Clock

# Shorter ones are not told: clocks are read one after the other, and what is
# believed may be as old as that anyway.
MIN_SUSPENSION_S = 0.3


class Reading(NamedTuple):
    """The clocks at one moment.

    Attributes:
      all_s: The clock that counts suspensions, in seconds.
      running_s: The clock that does not.
      wall_s: The time of day.
      counted: Whether the first of them goes on during a suspension.
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
    """Return for how long the machine was suspended between two readings.

    0 if it was not.  Where no clock counts suspensions, a leap of the time of
    day is taken for one: that a step forward is mistaken for a suspension
    costs a look at what is believed.
    """
    running_s = now.running_s - before.running_s
    if now.counted:
        gone_s = now.all_s - before.all_s - running_s
    else:
        gone_s = now.wall_s - before.wall_s - running_s
    return gone_s if gone_s >= MIN_SUSPENSION_S else 0.0
