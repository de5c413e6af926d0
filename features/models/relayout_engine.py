"""Model of the ranks of one group and of how an engine carries out orders.

As the engine's documentation states, a version is prepared once, an armed
layout is used from its step on, and a held step waits.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from typing import NamedTuple

from reelscale_core import rank as ranks


class MixedLayoutsError(AssertionError):
    """A step began on two layouts."""


class Sent(NamedTuple):
    """An order in flight."""

    name: str
    order: ranks.Order
    fence: int
    epoch: int


@dataclasses.dataclass(kw_only=True)
class EngineRank:
    """The state of a rank.

    Attributes:
      fence: Highest fence received; reset at a restart.
      highest: Highest version that it has prepared.
    """

    version: int = 0
    prepared: int | None = None
    armed: ranks.Armed | None = None
    held: int | None = None
    fence: int = 0
    highest: int = 0


class Engine:
    """The ranks of one group, which step together.

    Attributes:
      names: Names of the ranks, by number.
      ranks: State by name.
      epoch: Increases each time the group forms anew.
      step: The latest step that the group began.
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

    def carry_out(self, sent: Sent) -> ranks.Outcome:
        """Carry out an order at a rank."""
        item = self.ranks[sent.name]
        if sent.epoch != self.epoch:
            return ranks.Outcome.REFUSED
        if sent.fence < item.fence:
            return ranks.Outcome.FENCED
        item.fence = sent.fence
        accepted = self._accepts(item, sent.order)
        return ranks.Outcome.TAKEN if accepted else ranks.Outcome.REFUSED

    def _accepts(self, item: EngineRank, order: ranks.Order) -> bool:
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
                valid = item.prepared == version and step > self.step
                if not valid or item.armed not in (None, armed):
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
        """Return the report of a rank."""
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
