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
    """

    places: int
    spare: int


class Solved(NamedTuple):
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

    def _loads(self) -> list[float]:
        loads = [0.0] * len(self.held)
        for expert, owners in enumerate(self.owners):
            for owner in owners:
                loads[owner] += self.demand[expert] / len(owners)
        return loads

    def share(self, expert: int) -> float:
        """Return what one of its ranks bears of an expert."""
        return self.demand[expert] / len(self.owners[expert])

    def given_up(self, number: int, new: int) -> int | None:
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


def solve(
    held: Sequence[Sequence[int]],
    demand: Sequence[float],
    bounds: Bounds,
    *,
    least_gain: float,
) -> Solved:
    """Return a layout of one set with more even loads.

    Args:
      held: Experts by rank, in use.
      demand: Tokens of each expert, forecast.
      bounds: What the engine allows.
      least_gain: A replica is loaded only if it lowers the largest load by
        this part of the mean.
    """
    work = _Set(held=held, demand=demand, bounds=bounds)
    mean = sum(work.loads) / len(work.loads)
    if mean <= 0:
        return Solved(tuple(tuple(row) for row in held), 1.0, 1.0, 0)
    before = max(work.loads)
    loaded = 0
    while (found := _best(work, least_gain * mean)) is not None:
        work.add(*found)
        loaded += 1
    rows = tuple(tuple(sorted(row)) for row in work.held)
    return Solved(rows, before / mean, max(work.loads) / mean, loaded)


def _best(work: _Set, least: float) -> tuple[int, int, int] | None:
    """Return the replica that lowers the largest load most, if any does."""
    order = sorted(range(len(work.loads)), key=work.loads.__getitem__)
    top = order[-1]
    hot = sorted(work.held[top], key=work.share, reverse=True)
    free = [number for number in order if work.spare[number] > 0]
    best = None
    for expert in hot[:EXPERTS_TRIED]:
        fit = [n for n in free if n not in work.owners[expert]]
        for to in fit[:RANKS_TRIED]:
            out = work.given_up(to, expert)
            if out is None:
                continue
            changed = work.with_replica(expert, to, out)
            gain = work.loads[top] - max(changed.values())
            if gain >= least and (best is None or gain > best[0]):
                best = (gain, (expert, to, out))
    return None if best is None else best[1]
