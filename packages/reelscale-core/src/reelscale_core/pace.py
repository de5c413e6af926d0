"""Concurrency limit of a group, derived from inter-event latency.

All ranks of a group run each forward pass in lock-step.  The duration of a
pass grows with the number of requests, at a rate that depends on the expert
load.  The pause between two events of a stream is the duration of a pass; a
single pause above the maximum violates the latency goal of every stream.

The model is linear: a pass takes a fixed time plus a time proportional to the
fraction of slots in use.  The time added by a fully loaded group is estimated
from each observed pause, with its variance.  The limit keeps passes below the
maximum pause at the recent peak of that estimate, which leaves headroom for
the next shift in demand.

If a slow rank makes passes too long at any load, a limit would reject requests
without improving latency, so it is lifted until passes recover.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import NamedTuple

# Streams of a group emit events at the same time: the longest of the pauses
# within this window is the sample of one pass.
SAMPLE_WINDOW_S = 0.05
# Half-life of samples in the moving mean and variance.
HALF_LIFE_S = 1.0
PEAK_HALF_LIFE_S = 5.0
# Standard deviations above the mean that the estimate allows for: a stream
# meets its goal only if each of its dozens of pauses does.
DEVIATIONS = 2.0
# Fraction of the maximum pause available to a pass; the rest is for delivery.
USABLE_PAUSE_SHARE = 0.95
# A pause of this many times the mean is a stall, not a sample: the group was
# held or a rank was unresponsive.
STALL_FACTOR = 3.0
# Samples are clipped at this many times the mean, so that an outlier after a
# stall does not dominate the peak estimate.  The pass after a stall is long,
# too.
CLIP_FACTOR = 2.5
# Consecutive passes that are too long to be a stall; they are not clipped.
SLOW_PASSES = 3
# A limit below this fraction of the slots indicates a slow rank, not load.
INEFFECTIVE_SHARE = 0.25
# Consecutive late passes within the limit that show it to be ineffective.
INEFFECTIVE_PASSES = 5
# The limit is applied again once the mean allows this fraction of the slots.
RECOVERED_SHARE = 0.5
# Pauses at a lower utilization are not extrapolated to a full group.
MIN_USED = 0.15
# With fewer requests it is no longer their number that makes passes slow.
MIN_LIMIT = 0.2


class Pace(NamedTuple):
    """Latency estimates of a group, as observed by one entry.

    Attributes:
      limit: Fraction of the group's slots that may be in use.
      mean_s: Mean time that a fully loaded group adds to a pass; None before
        the first sample.
      variance: Variance of that time, in seconds squared.
      peak_s: Decaying peak of the upper estimate.
      sample_max_s: Largest value in the current sample window.
      sampled_at: Monotonic time of the last complete sample, in seconds.
      long_passes: Consecutive samples that may be a stall.
      late_passes: Consecutive late passes while within the limit.
      ineffective: Whether a limit would not improve latency.
    """

    limit: float = 1.0
    mean_s: float | None = None
    variance: float = 0.0
    peak_s: float = 0.0
    sample_max_s: float = 0.0
    sampled_at: float = float("-inf")
    long_passes: int = 0
    late_passes: int = 0
    ineffective: bool = False


def observed(
    pace: Pace,
    pause_s: float,
    *,
    max_pause_s: float,
    used: float,
    now: float,
    fixed_s: float = 0.0,
) -> Pace:
    """Record a pause between two events of a stream.

    Args:
      pace: Current estimates.
      pause_s: Observed pause, in seconds.
      max_pause_s: Longest pause that meets the latency goal, in seconds.
      used: Fraction of the slots in use.
      now: Monotonic time in seconds.
      fixed_s: Duration of a pass without requests, in seconds.
    """
    if used < MIN_USED:
        return pace
    added_s = max(0.0, pause_s - fixed_s) / used
    sample_max_s = max(added_s, pace.sample_max_s)
    if now - pace.sampled_at < SAMPLE_WINDOW_S:
        return pace._replace(sample_max_s=sample_max_s)
    long_passes = pace.long_passes + 1 if _is_long(pace, sample_max_s) else 0
    pace = pace._replace(long_passes=long_passes)
    if long_passes == 1:
        return pace._replace(sample_max_s=0.0, sampled_at=now)
    updated = _sampled(pace, sample_max_s, now)
    within_limit = used <= pace.limit
    late_passes = (
        updated.late_passes + 1
        if within_limit and pause_s > max_pause_s
        else 0
    )
    return _limited(
        updated._replace(late_passes=late_passes), max_pause_s, fixed_s
    )


def _limited(pace: Pace, max_pause_s: float, fixed_s: float) -> Pace:
    """Return the pace with its limit updated from the estimates."""
    available_s = USABLE_PAUSE_SHARE * max_pause_s - fixed_s
    mean_share = available_s / pace.mean_s if pace.mean_s else 1.0
    recovered = mean_share >= RECOVERED_SHARE
    failing = (
        mean_share < INEFFECTIVE_SHARE
        or pace.late_passes >= INEFFECTIVE_PASSES
    )
    ineffective = not recovered and (pace.ineffective or failing)
    if pace.ineffective and not ineffective:
        # Estimates made with the slow rank do not apply after recovery.
        pace = pace._replace(peak_s=pace.mean_s, variance=0.0)
    peak_share = available_s / pace.peak_s if pace.peak_s else 1.0
    limit = 1.0 if ineffective else min(1.0, max(MIN_LIMIT, peak_share))
    return pace._replace(limit=limit, ineffective=ineffective)


def _is_long(pace: Pace, added_s: float) -> bool:
    """Return whether a sample is far above the mean."""
    return pace.mean_s is not None and added_s > STALL_FACTOR * pace.mean_s


def _sampled(pace: Pace, added_s: float, now: float) -> Pace:
    """Add a sample to the estimates."""
    if pace.mean_s is None:
        return Pace(1.0, added_s, 0.0, added_s, 0.0, now)
    if pace.long_passes < SLOW_PASSES:
        added_s = min(added_s, CLIP_FACTOR * pace.mean_s)
    since_s = now - pace.sampled_at
    weight = 1.0 - 0.5 ** (since_s / HALF_LIFE_S)
    deviation_s = added_s - pace.mean_s
    mean_s = pace.mean_s + weight * deviation_s
    variance = (1.0 - weight) * (pace.variance + weight * deviation_s**2)
    upper_s = mean_s + DEVIATIONS * math.sqrt(variance)
    decayed_s = pace.peak_s * 0.5 ** (since_s / PEAK_HALF_LIFE_S)
    return pace._replace(
        mean_s=mean_s,
        variance=variance,
        peak_s=max(upper_s, decayed_s),
        sample_max_s=0.0,
        sampled_at=now,
    )
