"""Bounds the queue of requests that wait for a slot at an upstream."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

# Fraction of the latency goal that may be spent in the queue; the rest is for
# the work itself.
QUEUE_TIME_SHARE = 0.3


def queue_capacity(slots: int, *, goal_s: float, takes_s: float | None) -> int:
    """Return how many requests may wait at an upstream.

    Args:
      slots: Requests that it processes concurrently.
      goal_s: Latency goal in seconds.
      takes_s: Mean duration of a request in seconds; None while unknown.
    """
    if not takes_s:
        return 0
    return min(slots, int(goal_s * QUEUE_TIME_SHARE * slots / takes_s))
