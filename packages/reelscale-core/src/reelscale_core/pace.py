"""How many requests a group may have, so that its streams keep their pace.

All ranks of a group step together, and a pass takes longer the more requests
they have, by how much depends on which experts are wanted.  What callers
notice is the pause between two events, and one pause that is too long makes
every stream in progress late.  Load pattern: more is asked than the group
bears, and what is wanted shifts every few seconds.

A pass takes a fixed time and as much again for each part of the slots that
is in use.  What a whole group's requests add is worked out from each pause
that is seen, with its spread; the limit lets the longest pause that is still
good be reached by the highest such estimate of the last seconds.  So it does
not have to be found by making streams late, and what the last shift cost is
kept free for the next.

A rank that is slow by itself makes every pass too long, however few requests
there are.  A limit would then refuse callers and make no other's stream good,
so there is none until passes are shorter.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import NamedTuple

# All streams of a group have their events at the same moments: of the pauses
# seen within this time, in seconds, the longest stands for one pass.
SAMPLE_WINDOW_S = 0.05
# A pass this long ago, in seconds, counts half in mean and spread.
HALF_LIFE_S = 1.0
# The highest estimate fades to a half in this time, in seconds.
PEAK_HALF_LIFE_S = 5.0
# A stream is in time only if all of its dozens of pauses are: passes may
# exceed their mean by so many standard deviations.
DEVIATIONS = 2.0
# The part of the longest good pause that passes may take; the rest is for the
# way of an event to its caller.
USABLE_PAUSE_SHARE = 0.95
# A pause that is so many times what passes took on average is none: the group
# was held, or a rank was away for a moment.  The next one tells.
STALL_FACTOR = 3.0
# A pass counts for so many times the average at most: after a stall another
# is long, and one extreme would fill the memory of the worst for seconds.
CLIP_FACTOR = 2.5
# So many passes in a row that long are no stall; they count for what they are.
SLOW_PASSES = 3
# If, on average, only a smaller part of the slots than this keeps passes good,
# no demand for experts explains that.
INEFFECTIVE_SHARE = 0.25
# So many passes in a row that are too long while the limit is kept show that
# fewer requests are no cure.
INEFFECTIVE_PASSES = 5
# A limit is tried again once this part of the slots would keep passes good.
RECOVERED_SHARE = 0.5
# With a smaller part of the slots in use a pause says little of a full group.
MIN_USED = 0.15
# The limit goes no lower than this part of the slots: by then it is not the
# number of requests that makes passes slow.
MIN_LIMIT = 0.2


class Pace(NamedTuple):
    """The pace of one group, as one entry sees it.

    Attributes:
      limit: Part of the group's slots that may be in use.
      mean_s: What the requests of a full group add to a pass, on average;
        None before the first pause.
      variance: Its variance, in seconds squared.
      peak_s: The highest estimate of the last seconds.
      sample_max_s: The largest of the sample in progress.
      sampled_at: Monotonic seconds of the last whole sample.
      long_passes: Samples in a row that a stall may explain.
      late_passes: Passes in a row that were too long while the limit was kept.
      ineffective: Whether a limit would do no good.
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
    """Note a pause between two events of a stream.

    Args:
      pace: The pace so far.
      pause_s: The pause, in seconds.
      max_pause_s: The longest pause that is still good.
      used: Part of the slots in use.
      now: Monotonic seconds.
      fixed_s: What a pass takes without any request, in seconds.
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
    """Work the limit out from the estimates."""
    available_s = USABLE_PAUSE_SHARE * max_pause_s - fixed_s
    usual = available_s / pace.mean_s if pace.mean_s else 1.0
    recovered = usual >= RECOVERED_SHARE
    failing = (
        usual < INEFFECTIVE_SHARE or pace.late_passes >= INEFFECTIVE_PASSES
    )
    ineffective = not recovered and (pace.ineffective or failing)
    if pace.ineffective and not ineffective:
        # What the slow rank cost says nothing of the passes without it.
        pace = pace._replace(peak_s=pace.mean_s, variance=0.0)
    safe = available_s / pace.peak_s if pace.peak_s else 1.0
    limit = 1.0 if ineffective else min(1.0, max(MIN_LIMIT, safe))
    return pace._replace(limit=limit, ineffective=ineffective)


def _is_long(pace: Pace, added_s: float) -> bool:
    """Tell whether a sample is far above what passes took on average."""
    return pace.mean_s is not None and added_s > STALL_FACTOR * pace.mean_s


def _sampled(pace: Pace, added_s: float, now: float) -> Pace:
    """Take one pass into the estimates."""
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
