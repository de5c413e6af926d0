"""Model of expert demand that shifts every few seconds, and its layouts.

Each topic uses some experts more than others, and the mix of topics changes
with each shift.  A layout change starts from the recent demand; its duration
is the decision time plus the load time of the slowest rank.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
from typing import NamedTuple

from reelscale_core import replicas

RANKS, SETS, EXPERTS = 12, 3, 96
PLACES, SPARE = 11, 4
TOPICS = 9
STEP_S = 0.1
# Durations of loading one expert and of deciding a change.
LOAD_S = 0.4
DECIDE_S = 0.2
HALF_LIFE_S = 0.5
MIN_GAIN = 0.1
MIN_IMPROVEMENT = 0.12

Held = list[list[tuple[int, ...]]]


class Change(NamedTuple):
    """A change of layout in progress."""

    ends_at: float
    held: Held


class Group:
    """A group whose layout follows its demand.

    Attributes:
      skews: Skew of the current layout at each time step.
    """

    def __init__(self, *, seed: int, loads: int | None) -> None:
        self.random = random.Random(seed)
        self.bounds = replicas.Bounds(PLACES, SPARE, loads)
        first = [
            tuple(e for e in range(EXPERTS) if e % RANKS == rank)
            for rank in range(RANKS)
        ]
        self.held: Held = [list(first) for _ in range(SETS)]
        self.weights_by_topic = [
            [self._topic_weights() for _ in range(SETS)] for _ in range(TOPICS)
        ]
        self.recent = [[0.0] * EXPERTS for _ in range(SETS)]
        self.skews: list[float] = []
        self.change: Change | None = None

    def _topic_weights(self) -> list[float]:
        """Return the weight of each expert for a topic (Zipf-like)."""
        order = self.random.sample(range(EXPERTS), EXPERTS)
        weights = [0.0] * EXPERTS
        for place, expert in enumerate(order):
            weights[expert] = 1.0 / (place + 1) ** 1.3
        return weights

    def play(self, seconds: float, *, shift_every_s: float) -> None:
        """Run for a time, with demand that shifts between topics."""
        now, shift_at = 0.0, 0.0
        topics: list[float] = []
        while now < seconds:
            if now >= shift_at:
                shift_at += shift_every_s
                topics = [self.random.random() ** 3 for _ in range(TOPICS)]
            self._step(now, topics)
            now += STEP_S

    def _step(self, now: float, topics: list[float]) -> None:
        demands = [self._demand(number, topics) for number in range(SETS)]
        decay = 0.5 ** (STEP_S / HALF_LIFE_S)
        for recent, new in zip(self.recent, demands, strict=True):
            for expert, value in enumerate(new):
                recent[expert] = recent[expert] * decay + value
        if self.change is not None and now >= self.change.ends_at:
            self.held, self.change = self.change.held, None
        if self.change is None:
            self.change = self._improvement(now)
        self.skews.append(_skew(self.held, demands))

    def _demand(self, number: int, topics: list[float]) -> list[float]:
        """Return the current demand of one set, with random noise."""
        noise = [self.random.uniform(0.7, 1.3) for _ in topics]
        weights = [t * n for t, n in zip(topics, noise, strict=True)]
        rows = [
            self.weights_by_topic[topic][number] for topic in range(TOPICS)
        ]
        return [
            sum(w * row[e] for w, row in zip(weights, rows, strict=True))
            for e in range(EXPERTS)
        ]

    def _improvement(self, now: float) -> Change | None:
        """Return a layout change if it improves the balance enough."""
        solved = replicas.solve(
            self.held, self.recent, self.bounds, min_gain=MIN_GAIN
        )
        before = sum(item.before for item in solved)
        after = sum(item.after for item in solved)
        if after > before * (1 - MIN_IMPROVEMENT):
            return None
        held = [list(item.held) for item in solved]
        loads = [
            sum(
                len(set(held[n][rank]) - set(self.held[n][rank]))
                for n in range(SETS)
            )
            for rank in range(RANKS)
        ]
        return Change(now + DECIDE_S + LOAD_S * max(loads), held)

    @property
    def skew(self) -> float:
        """Mean skew over the run."""
        return sum(self.skews) / len(self.skews)


def _skew(held: Held, demands: list[list[float]]) -> float:
    """Return the ratio of maximum to mean load, averaged over sets."""
    ratios = []
    for rows, demand in zip(held, demands, strict=True):
        replica_counts = [
            sum(e in row for row in rows) for e in range(EXPERTS)
        ]
        loads = [
            sum(demand[e] / replica_counts[e] for e in row) for row in rows
        ]
        ratios.append(max(loads) * len(loads) / sum(loads))
    return sum(ratios) / len(ratios)
