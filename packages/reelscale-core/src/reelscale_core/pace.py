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
SAMPLE_S = 0.05
# A pass this long ago, in seconds, counts half in mean and spread.
HALF_LIFE_S = 1.0
# The highest estimate fades to a half in this time, in seconds.
FADE_S = 5.0
# A stream is in time only if all of its dozens of pauses are: passes may
# exceed their mean by so many standard deviations.
DEVIATIONS = 2.0
# The part of the longest good pause that passes may take; the rest is for the
# way of an event to its caller.
ROOM = 0.95
# A pause that is so many times what passes took on average is none: the group
# was held, or a rank was away for a moment.  The next one tells.
STALLED = 3.0
# A pass counts for so many times the average at most: after a stall another
# is long, and one extreme would fill the memory of the worst for seconds.
CLIPPED = 2.5
# So many passes in a row that long are no stall; they count for what they are.
SLOW_PASSES = 3
# If, on average, only a smaller part of the slots than this keeps passes good,
# no demand for experts explains that.
HOPELESS = 0.25
# So many passes in a row that are too long while the limit is kept show that
# fewer requests are no cure.
VAIN_PASSES = 5
# A limit is tried again once this part of the slots would keep passes good.
CURED = 0.5
# With a smaller part of the slots in use a pause says little of a full group.
LEAST_USED = 0.15
# The limit goes no lower than this part of the slots: by then it is not the
# number of requests that makes passes slow.
LEAST = 0.2


class Pace(NamedTuple):
    """The pace of one group, as one entry sees it.

    Attributes:
      limit: Part of the group's slots that may be in use.
      mean_s: What the requests of a full group add to a pass, on average;
        None before the first pause.
      variance: Its variance, in seconds squared.
      worst_s: The highest estimate of the last seconds.
      newest_s: The largest of the sample in progress.
      sampled_at: Monotonic seconds of the last whole sample.
      long_passes: Samples in a row that a stall may explain.
      too_long: Passes in a row that were too long while the limit was kept.
      vain: Whether a limit would do no good.
    """

    limit: float = 1.0
    mean_s: float | None = None
    variance: float = 0.0
    worst_s: float = 0.0
    newest_s: float = 0.0
    sampled_at: float = float("-inf")
    long_passes: int = 0
    too_long: int = 0
    vain: bool = False


def observed(
    pace: Pace,
    pause_s: float,
    *,
    longest_s: float,
    used: float,
    now: float,
    fixed_s: float = 0.0,
) -> Pace:
    """Note a pause between two events of a stream.

    Args:
      pace: The pace so far.
      pause_s: The pause, in seconds.
      longest_s: The longest pause that is still good.
      used: Part of the slots in use.
      now: Monotonic seconds.
      fixed_s: What a pass takes without any request, in seconds.
    """
    if used < LEAST_USED:
        return pace
    added_s = max(0.0, pause_s - fixed_s) / used
    newest_s = max(added_s, pace.newest_s)
    if now - pace.sampled_at < SAMPLE_S:
        return pace._replace(newest_s=newest_s)
    long_passes = pace.long_passes + 1 if _is_long(pace, newest_s) else 0
    pace = pace._replace(long_passes=long_passes)
    if long_passes == 1:
        return pace._replace(newest_s=0.0, sampled_at=now)
    made = _sampled(pace, newest_s, now)
    kept = used <= pace.limit
    too_long = made.too_long + 1 if kept and pause_s > longest_s else 0
    return _limited(made._replace(too_long=too_long), longest_s, fixed_s)


def _limited(pace: Pace, longest_s: float, fixed_s: float) -> Pace:
    """Work the limit out from the estimates."""
    left_s = ROOM * longest_s - fixed_s
    usual = left_s / pace.mean_s if pace.mean_s else 1.0
    cured = usual >= CURED
    in_vain = usual < HOPELESS or pace.too_long >= VAIN_PASSES
    vain = not cured and (pace.vain or in_vain)
    if pace.vain and not vain:
        # What the slow rank cost says nothing of the passes without it.
        pace = pace._replace(worst_s=pace.mean_s, variance=0.0)
    safe = left_s / pace.worst_s if pace.worst_s else 1.0
    limit = 1.0 if vain else min(1.0, max(LEAST, safe))
    return pace._replace(limit=limit, vain=vain)


def _is_long(pace: Pace, added_s: float) -> bool:
    """Tell whether a sample is far above what passes took on average."""
    return pace.mean_s is not None and added_s > STALLED * pace.mean_s


def _sampled(pace: Pace, added_s: float, now: float) -> Pace:
    """Take one pass into the estimates."""
    if pace.mean_s is None:
        return Pace(1.0, added_s, 0.0, added_s, 0.0, now)
    if pace.long_passes < SLOW_PASSES:
        added_s = min(added_s, CLIPPED * pace.mean_s)
    since_s = now - pace.sampled_at
    weight = 1.0 - 0.5 ** (since_s / HALF_LIFE_S)
    off_s = added_s - pace.mean_s
    mean_s = pace.mean_s + weight * off_s
    variance = (1.0 - weight) * (pace.variance + weight * off_s**2)
    upper_s = mean_s + DEVIATIONS * math.sqrt(variance)
    faded_s = pace.worst_s * 0.5 ** (since_s / FADE_S)
    return pace._replace(
        mean_s=mean_s,
        variance=variance,
        worst_s=max(upper_s, faded_s),
        newest_s=0.0,
        sampled_at=now,
    )
