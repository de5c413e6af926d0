"""How often each expert is asked for, from the counters of all ranks."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Counters(NamedTuple):
    """Counters of one rank.

    Attributes:
      epoch: They start anew in each.
      counts: Tokens since then, set after set, by expert.
      born_ms: Unix time of the rank's start in milliseconds, if it told; they
        start anew with each.
    """

    epoch: int
    counts: tuple[int, ...]
    born_ms: int | None = None

    @property
    def since(self) -> tuple[int, int | None]:
        """Return what the counters start anew with."""
        return self.epoch, self.born_ms


class Demand(NamedTuple):
    """The recent demand in a group.

    Attributes:
      at: Monotonic seconds at which it was true.
      recent: Tokens of each expert, set after set; older ones fade.
      last_by_name: The newest counters of each rank.
    """

    at: float = float("-inf")
    recent: tuple[float, ...] = ()
    last_by_name: Mapping[str, Counters] = {}


def observed(
    demand: Demand,
    counted_by_name: Mapping[str, Counters],
    *,
    now: float,
    half_life_s: float,
) -> Demand:
    """Take new counters of ranks in.

    Counters of a rank that was not seen before, or that has started anew,
    are the base of the next difference and count for nothing yet.  Demand
    fades as new demand comes, not by time: a group that was away for seconds
    is asked for much the same as before, and needs a layout at once.
    """
    if not counted_by_name:
        return demand
    width = max(len(counted.counts) for counted in counted_by_name.values())
    new = [0.0] * width
    for name, counted in counted_by_name.items():
        old = demand.last_by_name.get(name)
        if old is None or old.since != counted.since:
            continue
        for place, value in enumerate(_difference(counted, old)):
            new[place] += value
    last = {**demand.last_by_name, **counted_by_name}
    if not any(new) and len(demand.recent) == width:
        return demand._replace(at=now, last_by_name=last)
    kept = 0.5 ** ((now - demand.at) / half_life_s) if demand.recent else 0.0
    old_recent = demand.recent if len(demand.recent) == width else new
    recent = [
        value * kept + more
        for value, more in zip(old_recent, new, strict=True)
    ]
    return Demand(now, tuple(recent), last)


def by_set(demand: Demand, experts: int) -> list[Sequence[float]]:
    """Return the demand of each set of layers."""
    starts = range(0, len(demand.recent), experts)
    return [demand.recent[start : start + experts] for start in starts]


def _difference(new: Counters, old: Counters) -> list[int]:
    if len(new.counts) != len(old.counts):
        return []
    pairs = zip(new.counts, old.counts, strict=True)
    return [max(0, after - before) for after, before in pairs]
