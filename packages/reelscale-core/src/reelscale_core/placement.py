"""Places experts on the ranks of a group.

A layer's placement is a list of slots, each holding an expert; rank r owns
an equal range of them.  The tokens of an expert split evenly over its
replicas.  A step takes as long as its most loaded rank, so the measure is
skew: the maximum rank load over the mean.

The solver is a greedy local search from the current placement: one
replacement or exchange at a time, as long as its gain outweighs the cost of
moving weights.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import heapq
from collections.abc import Iterator, Sequence
from typing import NamedTuple

# Experts and ranks tried from each end of the order by load.
SEARCH_WIDTH = 8
# Minimum reduction of the sum of squared relative rank loads per move, times
# the cost weight over the skew weight.
GAIN_PER_MOVE = 0.02
MIN_WEIGHT = 0.01


class Layer(NamedTuple):
    """The placement and the load of one layer.

    Attributes:
      slots: Expert in each slot, by rank.
      loads: Forecast tokens of each expert.
      per_rank: Slots per rank.
    """

    slots: tuple[int, ...]
    loads: tuple[float, ...]
    per_rank: int


class Cost(NamedTuple):
    """Gain and cost of a change of placement.

    Attributes:
      skew_before: Skew of the current placement.
      skew_after: Skew of the new placement.
      bound: Lower bound of the skew with that many slots.
      moves: Slots that load another expert.
    """

    skew_before: float
    skew_after: float
    bound: float
    moves: int


def uniform(*, ranks: int, experts: int, per_rank: int) -> tuple[int, ...]:
    """Return a placement that assumes equal loads."""
    return tuple(slot % experts for slot in range(ranks * per_rank))


def rank_loads(layer: Layer) -> list[float]:
    """Return the load of each rank."""
    counts = _counts(layer.slots, len(layer.loads))
    each = [
        load / max(1, n) for load, n in zip(layer.loads, counts, strict=True)
    ]
    loads = []
    for start in range(0, len(layer.slots), layer.per_rank):
        held = layer.slots[start : start + layer.per_rank]
        loads.append(sum(each[expert] for expert in held))
    return loads


def skew(layer: Layer) -> float:
    """Return the maximum rank load over the mean; 1 without load."""
    loads = rank_loads(layer)
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean > 0 else 1.0


def bound(layer: Layer) -> float:
    """Return a lower bound of the skew with these slots."""
    counts = spread(layer.loads, len(layer.slots))
    worst = max(load / n for load, n in zip(layer.loads, counts, strict=True))
    ranks = len(layer.slots) // layer.per_rank
    mean = sum(layer.loads) / ranks
    return max(1.0, worst / mean) if mean > 0 else 1.0


def spread(loads: Sequence[float], slots: int) -> list[int]:
    """Return replica counts that minimize the maximum replica load."""
    counts = [1] * len(loads)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(slots - len(loads)):
        _, expert = heap[0]
        counts[expert] += 1
        share = -loads[expert] / counts[expert]
        heapq.heapreplace(heap, (share, expert))
    return counts


def repack(layer: Layer) -> tuple[int, ...]:
    """Place from scratch: spread replicas, then largest load first.

    The baseline for comparisons, which ignores the cost of moves.
    """
    ranks = len(layer.slots) // layer.per_rank
    counts = spread(layer.loads, len(layer.slots))
    items = []
    for expert, n in enumerate(counts):
        items += [(layer.loads[expert] / n, expert)] * n
    items.sort(reverse=True)
    held: list[list[int]] = [[] for _ in range(ranks)]
    loads = [0.0] * ranks
    for load, expert in items:
        open_ranks = [r for r in range(ranks) if len(held[r]) < layer.per_rank]
        fit = [r for r in open_ranks if expert not in held[r]] or open_ranks
        rank = min(fit, key=lambda r: (loads[r], r))
        held[rank].append(expert)
        loads[rank] += load
    return tuple(expert for row in held for expert in row)


def moves(old: Sequence[int], new: Sequence[int], per_rank: int) -> int:
    """Return how many experts ranks must load to change from old to new."""
    count = 0
    for start in range(0, len(old), per_rank):
        have = list(old[start : start + per_rank])
        for expert in new[start : start + per_rank]:
            if expert in have:
                have.remove(expert)
            else:
                count += 1
    return count


def solve(
    layer: Layer, *, skew_weight: float, budget: int
) -> Iterator[tuple[int, ...]]:
    """Improve a layer's placement one move at a time.

    Args:
      layer: The current placement and its load.
      skew_weight: Weight of skew against moved weights, 0 to 1.
      budget: Maximum experts to load.

    Yields:
      The placement after each move, so that the caller can stop or yield
      to other work between moves.
    """
    work = _Work(layer)
    weight = max(skew_weight, MIN_WEIGHT)
    min_gain = GAIN_PER_MOVE * (1 - skew_weight) / weight
    while budget > 0:
        step = work.best()
        if step is None or step.gain / step.cost <= min_gain + 1e-9:
            return
        if step.cost > budget:
            return
        work.apply(step)
        budget -= step.cost
        yield tuple(work.slots)


class _Step(NamedTuple):
    """Put expert_first into slot first, and in an exchange second likewise."""

    gain: float
    cost: int
    first: int
    expert_first: int
    second: int = -1
    expert_second: int = -1


class _Work:
    """A placement being solved, with rank loads relative to the mean."""

    def __init__(self, layer: Layer) -> None:
        self.per_rank = layer.per_rank
        self.slots = list(layer.slots)
        self.ranks = len(layer.slots) // layer.per_rank
        mean = sum(layer.loads) / self.ranks or 1.0
        self.experts = [load / mean for load in layer.loads]
        self.places: list[list[int]] = [[] for _ in self.experts]
        for slot, expert in enumerate(self.slots):
            self.places[expert].append(slot)
        self.loads = [
            load / mean if sum(layer.loads) else 0.0
            for load in rank_loads(layer)
        ]

    def best(self) -> _Step | None:
        """Return the step with the maximum ratio of gain to cost."""
        steps = [*self._replacements(), *self._exchanges()]
        return max(steps, key=lambda s: s.gain / s.cost, default=None)

    def apply(self, step: _Step) -> None:
        """Apply a step."""
        delta = self._delta(step)
        for rank, change in delta.items():
            self.loads[rank] += change
        self._place(step.first, step.expert_first)
        if step.second >= 0:
            self._place(step.second, step.expert_second)

    def _place(self, slot: int, expert: int) -> None:
        self.places[self.slots[slot]].remove(slot)
        self.slots[slot] = expert
        self.places[expert].append(slot)

    def _replacements(self) -> Iterator[_Step]:
        """Yield steps that replace a spare replica by one of a hot expert."""
        share = self._share
        hot = sorted(range(len(self.experts)), key=lambda e: -share(e))
        spare = [e for e, where in enumerate(self.places) if len(where) > 1]
        spare.sort(key=self._share_without)
        for expert in hot[:SEARCH_WIDTH]:
            for victim in spare[:SEARCH_WIDTH]:
                if victim == expert:
                    continue
                for slot in self._victim_slots(victim, expert):
                    yield self._scored(_Step(0.0, 1, slot, expert))

    def _exchanges(self) -> Iterator[_Step]:
        """Yield swaps of a slot of the most loaded rank with a lighter one."""
        order = sorted(range(self.ranks), key=lambda r: self.loads[r])
        top = order[-1]
        for other in order[: SEARCH_WIDTH * 2]:
            if other == top:
                continue
            yield from self._swaps(top, other)

    def _swaps(self, top: int, other: int) -> Iterator[_Step]:
        """Yield the best swap of two slots between two ranks, if any."""
        gap = self.loads[top] - self.loads[other]
        from_top = self._movable(top, other)
        from_other = self._movable(other, top)
        best = None
        for first, load in from_top:
            for second, lighter in from_other:
                moved = load - lighter
                if not 0 < moved < gap:
                    continue
                # Reduction of squares: a^2 + b^2 - (a - m)^2 - (b + m)^2.
                gain = 2 * moved * (gap - moved)
                if best is None or gain > best[0]:
                    best = (gain, first, second)
        if best is not None:
            gain, first, second = best
            experts = self.slots[second], self.slots[first]
            yield _Step(gain, 2, first, experts[0], second, experts[1])

    def _movable(self, rank: int, to: int) -> list[tuple[int, float]]:
        """Return slots whose expert the other rank lacks, with their loads."""
        there = {self.slots[slot] for slot in self._held(to)}
        return [
            (slot, self._share(self.slots[slot]))
            for slot in self._held(rank)
            if self.slots[slot] not in there
        ]

    def _holds(self, rank: int, expert: int) -> bool:
        return any(
            slot // self.per_rank == rank for slot in self.places[expert]
        )

    def _held(self, rank: int) -> range:
        return range(rank * self.per_rank, (rank + 1) * self.per_rank)

    def _share(self, expert: int) -> float:
        return self.experts[expert] / len(self.places[expert])

    def _share_without(self, expert: int) -> float:
        return self.experts[expert] / (len(self.places[expert]) - 1)

    def _victim_slots(self, victim: int, expert: int) -> list[int]:
        """Return up to two slots of the victim, least loaded ranks first."""
        fit = [
            slot
            for slot in self.places[victim]
            if not self._holds(slot // self.per_rank, expert)
        ]
        fit.sort(key=lambda slot: self.loads[slot // self.per_rank])
        return fit[:2]

    def _scored(self, step: _Step) -> _Step:
        gain = 0.0
        for rank, change in self._delta(step).items():
            load = self.loads[rank]
            gain += load * load - (load + change) * (load + change)
        return step._replace(gain=gain)

    def _delta(self, step: _Step) -> dict[int, float]:
        """Return the change of load by rank that a step causes."""
        delta: dict[int, float] = {}

        def add(slot: int, amount: float) -> None:
            rank = slot // self.per_rank
            delta[rank] = delta.get(rank, 0.0) + amount

        out = self.slots[step.first]
        new = step.expert_first
        if step.second >= 0:
            change = self._share(new) - self._share(out)
            add(step.first, change)
            add(step.second, -change)
            return delta
        before, after = self._share(out), self._share_without(out)
        for slot in self.places[out]:
            add(slot, after - before)
        add(step.first, -after)
        before = self._share(new)
        after = self.experts[new] / (len(self.places[new]) + 1)
        for slot in self.places[new]:
            add(slot, after - before)
        add(step.first, after)
        return delta


def _counts(slots: Sequence[int], experts: int) -> list[int]:
    counts = [0] * experts
    for expert in slots:
        counts[expert] += 1
    return counts
