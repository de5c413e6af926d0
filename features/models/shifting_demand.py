"""Demand that shifts every few seconds, and layouts that follow it.

Each topic wants experts of its own; which topics are asked for changes with
each shift.  A change of layout is begun from the demand of the last moment
and takes as long as the rank that has most to load, and the decision itself.
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
# Loading one expert, and telling all ranks, in seconds.
LOAD_S = 0.4
DECIDE_S = 0.2
# The demand of so long ago counts half.
HALF_LIFE_S = 0.5
LEAST_GAIN = 0.1
LEAST_IMPROVEMENT = 0.12

Held = list[list[tuple[int, ...]]]


class Change(NamedTuple):
    """A change of layout in progress."""

    ends_at: float
    held: Held


class Group:
    """A group whose layout follows its demand.

    Attributes:
      skews: The skew of the layout in use, at each step of time.
    """

    def __init__(self, *, seed: int, loads: int | None) -> None:
        self.random = random.Random(seed)
        self.bounds = replicas.Bounds(PLACES, SPARE, loads)
        first = [
            tuple(e for e in range(EXPERTS) if e % RANKS == rank)
            for rank in range(RANKS)
        ]
        self.held: Held = [list(first) for _ in range(SETS)]
        self.liked = [
            [self._liked_by_topic() for _ in range(SETS)]
            for _ in range(TOPICS)
        ]
        self.recent = [[0.0] * EXPERTS for _ in range(SETS)]
        self.skews: list[float] = []
        self.change: Change | None = None

    def _liked_by_topic(self) -> list[float]:
        """Return how often a topic wants each expert; a few lead."""
        order = self.random.sample(range(EXPERTS), EXPERTS)
        weights = [0.0] * EXPERTS
        for place, expert in enumerate(order):
            weights[expert] = 1.0 / (place + 1) ** 1.3
        return weights

    def play(self, seconds: float, *, shift_every_s: float) -> None:
        """Let time pass; demand moves to other topics now and then."""
        now, shift_at = 0.0, 0.0
        topics: list[float] = []
        while now < seconds:
            if now >= shift_at:
                shift_at += shift_every_s
                topics = [self.random.random() ** 3 for _ in range(TOPICS)]
            self._step(now, topics)
            now += STEP_S

    def _step(self, now: float, topics: list[float]) -> None:
        wanted = [self._wanted(number, topics) for number in range(SETS)]
        fade = 0.5 ** (STEP_S / HALF_LIFE_S)
        for recent, new in zip(self.recent, wanted, strict=True):
            for expert, value in enumerate(new):
                recent[expert] = recent[expert] * fade + value
        if self.change is not None and now >= self.change.ends_at:
            self.held, self.change = self.change.held, None
        if self.change is None:
            self.change = self._better(now)
        self.skews.append(_skew(self.held, wanted))

    def _wanted(self, number: int, topics: list[float]) -> list[float]:
        """Return the demand of one set now; chance plays a part."""
        noise = [self.random.uniform(0.7, 1.3) for _ in topics]
        weights = [t * n for t, n in zip(topics, noise, strict=True)]
        rows = [self.liked[topic][number] for topic in range(TOPICS)]
        return [
            sum(w * row[e] for w, row in zip(weights, rows, strict=True))
            for e in range(EXPERTS)
        ]

    def _better(self, now: float) -> Change | None:
        """Begin a change, if one is worth it."""
        solved = replicas.solve(
            self.held, self.recent, self.bounds, min_gain=LEAST_GAIN
        )
        before = sum(item.before for item in solved)
        after = sum(item.after for item in solved)
        if after > before * (1 - LEAST_IMPROVEMENT):
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
        """The mean skew over the time that was played."""
        return sum(self.skews) / len(self.skews)


def _skew(held: Held, wanted: list[list[float]]) -> float:
    """Return the mean over sets of the largest over the mean load."""
    found = []
    for rows, demand in zip(held, wanted, strict=True):
        owners = [sum(e in row for row in rows) for e in range(EXPERTS)]
        loads = [sum(demand[e] / owners[e] for e in row) for row in rows]
        found.append(max(loads) * len(loads) / sum(loads))
    return sum(found) / len(found)
