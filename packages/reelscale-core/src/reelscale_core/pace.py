"""How many requests a group may have, so that its streams keep their pace.

All ranks of a group step together, and a step takes longer the more requests
they have, by how much depends on which experts are wanted.  What callers
notice is the pause between two events.  The limit follows the pauses that
are seen: down fast while they are too long, since what runs already goes on
for seconds, and slowly up again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import NamedTuple

# Weight of the newest pause in the smoothed one.
SMOOTHING = 0.12
# Seconds between two changes of the limit; a pass takes about as long.
CHANGE_EVERY_S = 0.1
# Above this part of the longest good pause the limit goes down, below the
# other it goes up; between them it stays.
TOO_LONG = 0.9
SHORT = 0.78
DOWN = 0.88
UP = 0.015
# The limit goes no lower than this part of the slots: by then it is not the
# number of requests that makes steps slow.
LEAST = 0.4


class Pace(NamedTuple):
    """The pace of one group, as one entry sees it.

    Attributes:
      limit: Part of the group's slots that may be in use.
      pause_s: Smoothed pause between events, None before the first.
      changed_at: Monotonic seconds of the last change of the limit.
    """

    limit: float = 1.0
    pause_s: float | None = None
    changed_at: float = float("-inf")


def observed(
    pace: Pace, pause_s: float, *, longest_s: float, used: float, now: float
) -> Pace:
    """Note a pause between two events of a stream.

    Args:
      pace: The pace so far.
      pause_s: The pause, in seconds.
      longest_s: The longest pause that is still good.
      used: Part of the slots in use.
      now: Monotonic seconds.
    """
    old_s = pause_s if pace.pause_s is None else pace.pause_s
    smooth_s = old_s + SMOOTHING * (pause_s - old_s)
    if now - pace.changed_at < CHANGE_EVERY_S:
        return pace._replace(pause_s=smooth_s)
    limit = pace.limit
    if smooth_s > TOO_LONG * longest_s:
        limit = max(LEAST, min(limit, used) * DOWN)
    elif smooth_s < SHORT * longest_s:
        limit = min(1.0, limit + UP)
    return Pace(limit, smooth_s, now)
