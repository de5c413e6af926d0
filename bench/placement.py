"""Step-time skew and the cost of rebalancing over drifting loads.

A trace is the popularity of each expert, round by round.  A placement is
chosen from decayed counts of the rounds so far and scored on the steps of
the round after.  Baselines: never move; full repack each round; full
repack relabelled to the current placement; and the bound.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import numpy
from reelscale_core import placement
from scipy import optimize

ROUNDS = 20
EXPERTS = 128
STEPS = 40
TOKENS = 8192
DECAY = 0.5
SHAPES = ((16, 9), (64, 3), (256, 1))
MEASURED = (64, 3)
WEIGHTS = {"avisar": 0.97, "laurentide": 0.6}
TRACES = ("steady", "drift", "wave", "cold", "swap")
MOVE_BUDGET = 0.25


class Score(NamedTuple):
    """What a policy came to over a trace.

    Attributes:
      p50: Median over steps of the largest over the mean rank load.
      p99: The same at the 99th percentile.
      moves: Experts loaded over all rounds.
      slowest_ms: Longest slice of the solver.
    """

    p50: float
    p99: float
    moves: int
    slowest_ms: float


def loads(trace: str, seed: int) -> Iterator[list[float]]:
    """Yield the popularity of each expert, round by round."""
    source = random.Random(seed)
    logs = [source.gauss(0, 0.8) for _ in range(EXPERTS)]
    extra = source.sample(range(EXPERTS), 20)
    for number in range(ROUNDS + 1):
        now = list(logs)
        if trace == "wave" and number >= ROUNDS // 3:
            for expert in extra[:6]:
                now[expert] += 1.8
        if trace == "cold":
            rise = max(0.0, 1 - abs(number - ROUNDS / 2) / 5)
            for expert in extra:
                now[expert] += 1.2 * rise
        if trace == "swap" and number == ROUNDS // 2:
            source.shuffle(logs)
            now = list(logs)
        yield [2.718281828**value for value in now]
        sigma = {"drift": 0.25, "steady": 0.0}.get(trace, 0.05)
        logs = [value + source.gauss(0, sigma) for value in logs]


def run(shape: tuple[int, int], trace: str, policy: str) -> Score:
    """Score one policy on one trace."""
    ranks, per_rank = shape
    slots = placement.uniform(ranks=ranks, experts=EXPERTS, per_rank=per_rank)
    random_steps = numpy.random.default_rng(5)
    forecast: list[float] = [0.0] * EXPERTS
    skews: list[float] = []
    moved = 0
    slowest = 0.0
    for popularity in loads(trace, seed=11):
        if any(forecast):
            skews += _steps(slots, per_rank, popularity, random_steps)
        forecast = [
            DECAY * old + (1 - DECAY) * new if any(forecast) else new
            for old, new in zip(forecast, popularity, strict=True)
        ]
        layer = placement.Layer(slots, tuple(forecast), per_rank)
        new, slice_ms = _place(layer, policy)
        moved += placement.moves(slots, new, per_rank)
        slowest = max(slowest, slice_ms)
        slots = new
    ordered = numpy.array(skews)
    return Score(
        float(numpy.percentile(ordered, 50)),
        float(numpy.percentile(ordered, 99)),
        moved,
        slowest,
    )


def _place(
    layer: placement.Layer, policy: str
) -> tuple[tuple[int, ...], float]:
    if policy == "never":
        return layer.slots, 0.0
    if policy == "repack":
        return placement.repack(layer), 0.0
    if policy == "relabelled":
        return _relabel(layer, placement.repack(layer)), 0.0
    return _solve(layer, WEIGHTS[policy])


def _solve(
    layer: placement.Layer, weight: float
) -> tuple[tuple[int, ...], float]:
    best = layer.slots
    slowest = 0.0
    budget = int(len(layer.slots) * MOVE_BUDGET)
    steps = placement.solve(layer, skew_weight=weight, budget=budget)
    while True:
        start = time.perf_counter()
        found = next(steps, None)
        slowest = max(slowest, time.perf_counter() - start)
        if found is None:
            return best, slowest * 1000
        best = found


def _relabel(layer: placement.Layer, new: tuple[int, ...]) -> tuple[int, ...]:
    """Give the new ranks' contents to the ranks that hold most of them."""
    step = layer.per_rank
    old_rows = _rows(layer.slots, step)
    new_rows = _rows(new, step)
    kept = [[len(set(a) & set(b)) for b in new_rows] for a in old_rows]
    _, columns = optimize.linear_sum_assignment(-numpy.array(kept))
    return tuple(expert for column in columns for expert in new_rows[column])


def _rows(slots: tuple[int, ...], step: int) -> list[tuple[int, ...]]:
    return [slots[at : at + step] for at in range(0, len(slots), step)]


def _steps(
    slots: tuple[int, ...],
    per_rank: int,
    popularity: list[float],
    source: Any,
) -> list[float]:
    """Draw steps' tokens and return the skew of each."""
    share = numpy.array(popularity) / sum(popularity)
    counts = numpy.bincount(slots, minlength=EXPERTS)
    drawn = source.multinomial(TOKENS, share, size=STEPS) / counts
    by_slot = drawn[:, list(slots)]
    by_rank = by_slot.reshape(STEPS, -1, per_rank).sum(axis=2)
    return list(by_rank.max(axis=1) / by_rank.mean(axis=1))


def whole(ranks: int, per_rank: int, layers: int) -> dict[str, float]:
    """Solve all layers of a group of the design size; tell the time."""
    slots = placement.uniform(ranks=ranks, experts=EXPERTS, per_rank=per_rank)
    total = slowest = 0.0
    for number in range(layers):
        popularity = next(loads("drift", seed=number))
        layer = placement.Layer(slots, tuple(popularity), per_rank)
        start = time.perf_counter()
        _, slice_ms = _solve(layer, WEIGHTS["avisar"])
        total += time.perf_counter() - start
        slowest = max(slowest, slice_ms)
    return {"total_s": total, "slowest_slice_ms": slowest}


def main() -> dict[str, Any]:
    """Run everything and print tables."""
    policies = ("never", "repack", "relabelled", *WEIGHTS)
    data: dict[str, Any] = {}
    for shape in SHAPES:
        print(f"{shape[0]} ranks, {shape[1]} slots a rank: p50 / p99 / moves")
        for trace in TRACES:
            rows = {name: run(shape, trace, name) for name in policies}
            data[f"{shape[0]}x{shape[1]} {trace}"] = {
                name: score._asdict() for name, score in rows.items()
            }
            cells = [
                f"{name} {s.p50:.2f}/{s.p99:.2f}/{s.moves}"
                for name, s in rows.items()
            ]
            print(f"  {trace:<7} {'  '.join(cells)}")
    data["whole"] = whole(256, 1, 60)
    print(f"256 ranks, 60 layers: {data['whole']}")
    return data


if __name__ == "__main__":
    main()
