"""Chooses replicas of experts for the ranks of a group.

The tokens of an expert split evenly over the ranks that hold it, and a step
takes as long as its most loaded rank.  Starting from the layout in use, a
greedy search adds one replica at a time where it lowers the maximum load
most, until the gain is too small.  A rank without a free place evicts an
expert that other ranks hold as well.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import NamedTuple

# Experts of the most loaded rank, and ranks to place them on, that are tried
# for each replica.  Trying more finds nothing better.
EXPERTS_TRIED = 4
RANKS_TRIED = 4
# Returned instead of an expert where a rank has a free place.
NO_EXPERT = -1


class Bounds(NamedTuple):
    """The limits of an engine.

    Attributes:
      places: Maximum experts of a set per rank.
      spare: Maximum experts of a set that a rank may load in one change.
      loads: Maximum experts of all sets that a rank may load in one change;
        None for no limit but spare.
    """

    places: int
    spare: int
    loads: int | None = None


class Solution(NamedTuple):
    """A layout for one set of layers.

    Attributes:
      held: Experts by rank.
      before: Skew (maximum over mean load of a rank) of the layout in use.
      after: Skew of this layout.
      loaded: Experts that ranks have to load.
    """

    held: tuple[tuple[int, ...], ...]
    before: float
    after: float
    loaded: int


class _Set:
    """One set of layers while it is solved."""

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
        """The mean load of a rank, which replicas do not change."""
        return sum(self.loads) / len(self.loads)

    @property
    def skew(self) -> float:
        """The maximum over the mean load; 1 without load."""
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
        """Return the load of an expert on each of its ranks."""
        return self.demand[expert] / len(self.owners[expert])

    def expert_to_evict(self, number: int, new: int) -> int | None:
        """Return the expert that a rank would evict for a new one.

        NO_EXPERT if it has a free place; None if it has neither a free place
        nor an expert that it may evict.
        """
        row = self.held[number]
        if len(row) < self.bounds.places:
            return NO_EXPERT
        others = [e for e in row if e != new and len(self.owners[e]) > 1]
        return min(others, key=self.share, default=None)

    def with_replica(self, expert: int, to: int, out: int) -> dict[int, float]:
        """Return the new loads of the ranks that a replica affects."""
        owners = self.owners[expert]
        each = self.demand[expert] / (len(owners) + 1)
        reduction = self.share(expert) - each
        loads = {owner: self.loads[owner] - reduction for owner in owners}
        loads[to] = self.loads[to] + each
        if out != NO_EXPERT:
            share = self.share(out)
            loads[to] -= share
            increase = share / (len(self.owners[out]) - 1)
            for owner in self.owners[out] - {to}:
                loads[owner] = loads.get(owner, self.loads[owner]) + increase
        return loads

    def add(self, expert: int, to: int, out: int) -> None:
        """Place a replica of an expert on a rank, evicting out."""
        for number, load in self.with_replica(expert, to, out).items():
            self.loads[number] = load
        if out != NO_EXPERT:
            self.held[to].remove(out)
            self.owners[out].discard(to)
        self.held[to].append(expert)
        self.owners[expert].add(to)
        self.spare[to] -= 1


class _Candidate(NamedTuple):
    """The best replica to add to one set.

    Attributes:
      gain: Reduction of the maximum load, as a fraction of the mean.
      expert: The expert to load.
      to: The rank that loads it.
      out: The expert that the rank evicts, or NO_EXPERT.
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
    """Return a better balanced layout for each set of layers.

    The sets run one after the other in a pass, each as long as its most
    loaded rank, so the replicas with the largest gain in any set come first,
    until no rank may load more.

    Args:
      held: Experts in use, by set, then rank.
      demand: Forecast tokens of each expert, by set.
      bounds: Limits of the engine.
      min_gain: Minimum gain of a replica, as a fraction of the mean load.
    """
    works = [
        _Set(held=rows, demand=tokens, bounds=bounds)
        for rows, tokens in zip(held, demand, strict=True)
    ]
    loaded = [0] * len(works)
    befores = [work.skew for work in works]
    remaining = _remaining_loads(held, bounds)
    best = [_best(work, min_gain, remaining) for work in works]
    while any(best):
        number = max(
            (n for n, candidate in enumerate(best) if candidate),
            key=lambda n: best[n].gain,
        )
        candidate = best[number]
        works[number].add(candidate.expert, candidate.to, candidate.out)
        loaded[number] += 1
        remaining[candidate.to] -= 1
        # Other sets change only where that rank may load no more.
        for other, work in enumerate(works):
            spent = best[other] and remaining[best[other].to] <= 0
            if other == number or spent:
                best[other] = _best(work, min_gain, remaining)
    return [
        Solution(work.rows, before, work.skew, count)
        for work, before, count in zip(works, befores, loaded, strict=True)
    ]


def _remaining_loads(
    held: Sequence[Sequence[Sequence[int]]], bounds: Bounds
) -> list[int]:
    """Return how many experts each rank may load."""
    limit = bounds.spare * len(held)
    each = limit if bounds.loads is None else min(limit, bounds.loads)
    return [each] * max((len(rows) for rows in held), default=0)


def _best(
    work: _Set, min_gain: float, remaining: Sequence[int]
) -> _Candidate | None:
    """Return the replica that lowers the maximum load most, if any.

    Args:
      work: The set of layers.
      min_gain: Minimum gain, as a fraction of the mean load.
      remaining: How many experts each rank may still load.
    """
    mean = work.mean
    if mean <= 0:
        return None
    order = sorted(range(len(work.loads)), key=work.loads.__getitem__)
    top = order[-1]
    hot = sorted(work.held[top], key=work.share, reverse=True)
    free = [n for n in order if work.spare[n] > 0 and remaining[n] > 0]
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
                best = _Candidate(gain, expert, to, out)
    return best
