"""How many requests may wait at an upstream until it has a slot for them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

# Requests may wait at an upstream for this part of the time in which an
# answer is wanted; the rest is for the work itself.
QUEUE_TIME_SHARE = 0.3


def queue_capacity(slots: int, *, goal_s: float, takes_s: float | None) -> int:
    """Return how many requests may wait at an upstream for a slot.

    Args:
      slots: Requests that it works on at once.
      goal_s: Time in which an answer is wanted.
      takes_s: How long a request takes, None while that is not known.
    """
    if not takes_s:
        return 0
    return min(slots, int(goal_s * QUEUE_TIME_SHARE * slots / takes_s))
