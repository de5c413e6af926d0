"""Chooses which experts ranks hold beside those they have.

The tokens of an expert split evenly over the ranks that hold it, and a step
lasts as long as its most loaded rank.  Starting from the layout in use, one
replica at a time is added where it takes most from the most loaded rank,
until a further one is not worth loading.  A rank that has no place left
gives up an expert that others hold, too.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import NamedTuple

# Experts of the most loaded rank, and ranks to put them on, that are looked
# at for each replica; beyond the first few nothing better was found.
EXPERTS_TRIED = 4
RANKS_TRIED = 4
# Stands for an expert where a rank has a place left and gives none up.
NO_EXPERT = -1


class Bounds(NamedTuple):
    """What an engine allows.

    Attributes:
      places: Experts that a rank holds in a set at most.
      spare: Experts of a set that a rank may load in one change.
      loads: Experts of all sets that a rank may load in one change; None for
        as many as it may.
    """

    places: int
    spare: int
    loads: int | None = None


class Solution(NamedTuple):
    """A layout for one set of layers.

    Attributes:
      held: Experts by rank.
      before: Largest over mean load of a rank in the layout in use.
      after: The same in this one.
      loaded: Experts that ranks have to load.
    """

    held: tuple[tuple[int, ...], ...]
    before: float
    after: float
    loaded: int


class _Set:
    """One set of layers while it is worked on."""

    def __init__(
        self,
        *,
        held: Sequence[Sequence[int]],
        demand: Sequence[float],
        bounds: Bounds,
    ) -> None:
        self.held = [list(row) for row in held]
        self.demand = demand
        self.bounds = bounds
        self.spare = [bounds.spare] * len(held)
        self.owners: list[set[int]] = [set() for _ in demand]
        for number, row in enumerate(held):
            for expert in row:
                self.owners[expert].add(number)
        self.loads = self._loads()

    @property
    def mean(self) -> float:
        """The mean load of a rank; replicas do not change it."""
        return sum(self.loads) / len(self.loads)

    @property
    def skew(self) -> float:
        """The largest over the mean load, 1 without any."""
        return max(self.loads) / self.mean if self.mean > 0 else 1.0

    @property
    def rows(self) -> tuple[tuple[int, ...], ...]:
        """The experts by rank."""
        return tuple(tuple(sorted(row)) for row in self.held)

    def _loads(self) -> list[float]:
        loads = [0.0] * len(self.held)
        for expert, owners in enumerate(self.owners):
            for owner in owners:
                loads[owner] += self.demand[expert] / len(owners)
        return loads

    def share(self, expert: int) -> float:
        """Return what one of its ranks bears of an expert."""
        return self.demand[expert] / len(self.owners[expert])

    def expert_to_evict(self, number: int, new: int) -> int | None:
        """Return the expert, or NO_EXPERT, that a rank would give up.

        None if the rank has no place left and nothing that it may give up.
        """
        row = self.held[number]
        if len(row) < self.bounds.places:
            return NO_EXPERT
        others = [e for e in row if e != new and len(self.owners[e]) > 1]
        return min(others, key=self.share, default=None)

    def with_replica(self, expert: int, to: int, out: int) -> dict[int, float]:
        """Return the loads of the ranks that a new replica changes."""
        owners = self.owners[expert]
        each = self.demand[expert] / (len(owners) + 1)
        less = self.share(expert) - each
        loads = {owner: self.loads[owner] - less for owner in owners}
        loads[to] = self.loads[to] + each
        if out != NO_EXPERT:
            share = self.share(out)
            loads[to] -= share
            more = share / (len(self.owners[out]) - 1)
            for owner in self.owners[out] - {to}:
                loads[owner] = loads.get(owner, self.loads[owner]) + more
        return loads

    def add(self, expert: int, to: int, out: int) -> None:
        """Give a rank a replica of an expert, in place of another or not."""
        for number, load in self.with_replica(expert, to, out).items():
            self.loads[number] = load
        if out != NO_EXPERT:
            self.held[to].remove(out)
            self.owners[out].discard(to)
        self.held[to].append(expert)
        self.owners[expert].add(to)
        self.spare[to] -= 1


class _Gain(NamedTuple):
    """What the best replica of one set is worth.

    Attributes:
      gain: By how much it lowers the largest load, in parts of the mean.
      expert: What to load.
      to: The rank that is to load it.
      out: What that rank gives up, or NO_EXPERT.
    """

    gain: float
    expert: int
    to: int
    out: int


def solve(
    held: Sequence[Sequence[Sequence[int]]],
    demand: Sequence[Sequence[float]],
    bounds: Bounds,
    *,
    min_gain: float,
) -> list[Solution]:
    """Return a layout with more even loads for each set of layers.

    A pass takes the largest load of each set, one after the other, so the
    replicas that lower any of them most come first, until no rank may load
    more.  Ranks load side by side, so few loads each make a short change.

    Args:
      held: Experts in use, by set, then rank.
      demand: Tokens of each expert, by set, forecast.
      bounds: What the engine allows.
      min_gain: A replica is loaded only if it lowers the largest load by
        this part of the mean.
    """
    works = [
        _Set(held=rows, demand=wanted, bounds=bounds)
        for rows, wanted in zip(held, demand, strict=True)
    ]
    loaded = [0] * len(works)
    befores = [work.skew for work in works]
    left = _loads_left(held, bounds)
    best = [_best(work, min_gain, left) for work in works]
    while any(best):
        number = max(
            (n for n, found in enumerate(best) if found),
            key=lambda n: best[n].gain,
        )
        found = best[number]
        works[number].add(found.expert, found.to, found.out)
        loaded[number] += 1
        left[found.to] -= 1
        # Only what that set holds has changed, and what that rank may load.
        for other, work in enumerate(works):
            spent = best[other] and left[best[other].to] <= 0
            if other == number or spent:
                best[other] = _best(work, min_gain, left)
    return [
        Solution(work.rows, before, work.skew, count)
        for work, before, count in zip(works, befores, loaded, strict=True)
    ]


def _loads_left(
    held: Sequence[Sequence[Sequence[int]]], bounds: Bounds
) -> list[int]:
    """Return how many experts each rank may load."""
    most = bounds.spare * len(held)
    each = most if bounds.loads is None else min(most, bounds.loads)
    return [each] * max((len(rows) for rows in held), default=0)


def _best(work: _Set, min_gain: float, left: Sequence[int]) -> _Gain | None:
    """Return the replica that lowers the largest load most, if any does.

    Args:
      work: The set of layers.
      min_gain: The least that it must lower it by, in parts of the mean.
      left: How many experts each rank may still load.
    """
    mean = work.mean
    if mean <= 0:
        return None
    order = sorted(range(len(work.loads)), key=work.loads.__getitem__)
    top = order[-1]
    hot = sorted(work.held[top], key=work.share, reverse=True)
    free = [n for n in order if work.spare[n] > 0 and left[n] > 0]
    best = None
    for expert in hot[:EXPERTS_TRIED]:
        fit = [n for n in free if n not in work.owners[expert]]
        for to in fit[:RANKS_TRIED]:
            out = work.expert_to_evict(to, expert)
            if out is None:
                continue
            changed = work.with_replica(expert, to, out)
            gain = (work.loads[top] - max(changed.values())) / mean
            if gain >= min_gain and (best is None or gain > best.gain):
                best = _Gain(gain, expert, to, out)
    return best
