"""Recent load of each expert, derived from the counters of all ranks."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Counters(NamedTuple):
    """Cumulative token counters of one rank.

    Attributes:
      epoch: Epoch of the counters; each epoch starts at zero.
      counts: Tokens per expert since then, one set of layers after another.
      born_ms: Unix time of the start of the rank in milliseconds, if known;
        each start resets the counters.
    """

    epoch: int
    counts: tuple[int, ...]
    born_ms: int | None = None

    @property
    def since(self) -> tuple[int, int | None]:
        """Return what identifies a reset of the counters."""
        return self.epoch, self.born_ms


class Demand(NamedTuple):
    """Recent expert demand of a group.

    Attributes:
      at: Monotonic time of the newest counters, in seconds.
      recent: Decayed tokens per expert, one set of layers after another.
      last_by_name: Newest counters of each rank.
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
    """Return the demand updated with new counters.

    Counters of a new or restarted rank only serve as the baseline of the next
    difference.  Demand decays only when new demand arrives, so that a group
    that was unavailable for seconds keeps its estimate.
    """
    if not counted_by_name:
        return demand
    width = max(len(counted.counts) for counted in counted_by_name.values())
    new = [0.0] * width
    for name, counted in counted_by_name.items():
        old = demand.last_by_name.get(name)
        if old is None or old.since != counted.since:
            continue
        for index, value in enumerate(_difference(counted, old)):
            new[index] += value
    last = {**demand.last_by_name, **counted_by_name}
    if not any(new) and len(demand.recent) == width:
        return demand._replace(at=now, last_by_name=last)
    decay = 0.5 ** ((now - demand.at) / half_life_s) if demand.recent else 0.0
    old_recent = demand.recent if len(demand.recent) == width else new
    recent = [
        value * decay + added
        for value, added in zip(old_recent, new, strict=True)
    ]
    return Demand(now, tuple(recent), last)


def by_set(demand: Demand, experts: int) -> list[Sequence[float]]:
    """Split the demand by set of layers."""
    starts = range(0, len(demand.recent), experts)
    return [demand.recent[start : start + experts] for start in starts]


def _difference(new: Counters, old: Counters) -> list[int]:
    if len(new.counts) != len(old.counts):
        return []
    pairs = zip(new.counts, old.counts, strict=True)
    return [max(0, after - before) for after, before in pairs]
