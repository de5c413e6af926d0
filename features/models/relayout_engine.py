"""Ranks of one group as an engine steps them, and what they do with orders.

A rank obeys as an engine's pages say: a version is prepared once, an armed
layout is taken as its step begins, a held step waits.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from typing import NamedTuple

from reelscale_core import rank as ranks


class MixedLayoutsError(AssertionError):
    """A step began on two layouts."""


class Sent(NamedTuple):
    """An order on its way."""

    name: str
    order: ranks.Order
    fence: int
    epoch: int


@dataclasses.dataclass(kw_only=True)
class EngineRank:
    """What a rank of the engine holds.

    Attributes:
      fence: Highest that it has seen; forgotten at its restart.
      highest: Highest version that it was asked to prepare.
    """

    version: int = 0
    prepared: int | None = None
    armed: ranks.Armed | None = None
    held: int | None = None
    fence: int = 0
    highest: int = 0


class Engine:
    """The ranks of one group, stepped together.

    Attributes:
      names: Of the ranks, by number.
      ranks: What each holds.
      epoch: Rises each time the group forms anew.
      step: The last that the group began.
    """

    def __init__(self, *, size: int) -> None:
        self.names = [f"r{number}" for number in range(size)]
        self.ranks = {name: EngineRank() for name in self.names}
        self.epoch = 1
        self.step = 0

    def begin_step(self) -> None:
        """Begin the group's next step, unless a rank holds it."""
        step = self.step + 1
        if any(item.held == step for item in self.ranks.values()):
            return
        self.step = step
        for item in self.ranks.values():
            if item.armed is not None and item.armed.step == step:
                item.version = item.armed.version
                item.armed = item.prepared = None
        versions = {item.version for item in self.ranks.values()}
        if len(versions) > 1:
            raise MixedLayoutsError(f"step {step} began on {versions}")

    def restart(self, name: str) -> None:
        """Restart a rank; the group forms anew."""
        self.epoch += 1
        self.step = 0
        for item in self.ranks.values():
            item.version = 0
            item.prepared = item.armed = item.held = None
        self.ranks[name] = EngineRank()

    def obey(self, sent: Sent) -> ranks.Outcome:
        """Carry an order out at a rank."""
        item = self.ranks[sent.name]
        if sent.epoch != self.epoch:
            return ranks.Outcome.REFUSED
        if sent.fence < item.fence:
            return ranks.Outcome.FENCED
        item.fence = sent.fence
        taken = self._taken(item, sent.order)
        return ranks.Outcome.TAKEN if taken else ranks.Outcome.REFUSED

    def _taken(self, item: EngineRank, order: ranks.Order) -> bool:
        match order:
            case ranks.Fence(version=version) | ranks.Disarm(version=version):
                if item.armed and item.armed.version == version:
                    item.armed = None
                return version != item.version
            case ranks.Prepare(version=version):
                if version <= item.highest or item.armed:
                    return False
                item.highest = item.prepared = version
                return True
            case ranks.Arm(version=version, step=step):
                armed = ranks.Armed(version, step)
                fit = item.prepared == version and step > self.step
                if not fit or item.armed not in (None, armed):
                    return False
                item.armed = armed
                return True
            case ranks.Hold(step=step):
                if step <= self.step or item.held not in (None, step):
                    return False
                item.held = step
                return True
            case ranks.Go(step=step):
                if item.held == step:
                    item.held = None
                return True

    def report(self, name: str) -> ranks.Rank:
        """Return what a rank reports now."""
        item = self.ranks[name]
        return ranks.Rank(
            group="g",
            epoch=self.epoch,
            number=self.names.index(name),
            size=len(self.names),
            open=True,
            step=self.step,
            version=item.version,
            prepared=item.prepared,
            armed=item.armed,
            held=item.held,
        )
