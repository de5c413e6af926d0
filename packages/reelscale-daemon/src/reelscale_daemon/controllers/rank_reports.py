"""What all ranks of a group tell, and the layout that would suit them better.

Their state is asked for at each look.  What a rank holds changes only with
its layout, so that is kept until its version or its epoch is another.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Coroutine, Mapping
from typing import Any, NamedTuple

from reelscale_core import clock, demand, rank, relayout, replicas
from twisted.internet import defer

from .. import rank_wire
from ..adapters import base
from . import members, reach

# The demand of half a second ago counts half: by then some 20 new prompts
# have been read, enough to tell what is wanted now.
HALF_LIFE_S = 0.5
# A change that shortens the slowest ranks' part by less is not made.
LEAST_IMPROVEMENT = 0.12
# A replica is loaded if it takes this part of the mean load from the most
# loaded rank.
LEAST_GAIN = 0.1
# So many ranks are asked at a time; their counters take some 30 KB, which is
# 0.06 s on a link of 4 Mbit/s.
ASKED_AT_ONCE = 8
# A rank of another group, or one that has not answered, is asked again after
# this long, in seconds: groups are formed anew when a rank has gone.
RECHECK_S = 2.0
# The loads of one change take a rank no longer than this, in seconds: what is
# wanted shifts every few seconds, and few loads win most of what there is.
LOADING_S = 0.5


class Held(NamedTuple):
    """What one rank holds.

    Attributes:
      epoch: In which that is so.
      version: The layout.
      experts: Experts by set of layers.
      born_ms: Unix time of the rank's start in milliseconds, if it told.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    born_ms: int | None = None


class BetterLayout(NamedTuple):
    """A layout that is worth changing to.

    Attributes:
      table: The experts that each rank holds in it.
      skew_before: Largest over mean load of a rank in the layout in use,
        on average over the sets of layers.
      skew_after: The same in this one.
      loaded: Experts that ranks have to load.
    """

    table: rank.Table
    skew_before: float
    skew_after: float
    loaded: int


class RankReports:
    """Asks all ranks, and keeps what they hold and what requests want."""

    def __init__(
        self,
        *,
        clock: clock.Clock,
        reach: reach.Reach,
        members: members.Members,
    ) -> None:
        self._clock = clock
        self._reach = reach
        self._members = members
        self._demand = demand.Demand()
        self._held_by_name: dict[str, Held] = {}
        self._group_by_name: dict[str, str] = {}
        self._asked_at: dict[str, float] = {}

    async def ask_all(self) -> dict[str, rank.Rank]:
        """Ask the agents of the group; the ranks that answer are returned."""
        told = self._of_group(await self._ask_by_turns())
        for name, item in told.items():
            if item.experts is not None:
                self._held_by_name[name] = _held(item.rank, item.experts)
        counted = {
            name: item.counted
            for name, item in told.items()
            if item.counted is not None
        }
        self._demand = demand.observed(
            self._demand,
            counted,
            now=self._clock.monotonic(),
            half_life_s=HALF_LIFE_S,
        )
        return {name: item.rank for name, item in told.items()}

    async def _ask_by_turns(self) -> dict[str, rank_wire.RankReport]:
        """Ask those whose answers are wanted, a few at a time.

        Answers that come all at once wait for each other on a thin link, and
        the last of them would make their agents seem silent.
        """
        wanted = [
            (name, member)
            for name, member in self._members.by_name.items()
            if self._is_wanted(name)
        ]
        told = {}
        for first in range(0, len(wanted), ASKED_AT_ONCE):
            some = wanted[first : first + ASKED_AT_ONCE]
            answers = await gather([self._ask(*row) for row in some])
            told |= {n: item for n, item in answers if item is not None}
        return told

    def _is_wanted(self, name: str) -> bool:
        """Tell whether a rank is of the group, or may be by now."""
        if self._is_own(name):
            return True
        now = self._clock.monotonic()
        if now - self._asked_at.get(name, float("-inf")) < RECHECK_S:
            return False
        self._asked_at[name] = now
        return True

    def _is_own(self, name: str) -> bool:
        group = self._group_by_name.get(name)
        return self._members.one_group or group == self._members.group

    def _of_group(
        self, told: dict[str, rank_wire.RankReport]
    ) -> dict[str, rank_wire.RankReport]:
        """Note the group of each rank; return those of the own one."""
        for name, item in told.items():
            self._group_by_name[name] = item.rank.group
        for known in (self._group_by_name, self._asked_at):
            for name in known.keys() - self._members.by_name.keys():
                del known[name]
        return {name: t for name, t in told.items() if self._is_own(name)}

    async def _ask(
        self, name: str, member: reach.Member
    ) -> tuple[str, rank_wire.RankReport | None]:
        held = self._held_by_name.get(name)
        if not self._is_own(name):
            # Which group it is in says enough, in few bytes.
            return name, await self._reach.report(
                member, experts=False, counts=False
            )
        told = await self._reach.report(member, experts=held is None)
        if told and held and not self._is_held(name, told.rank):
            # What it holds is asked for the next time.
            del self._held_by_name[name]
        return name, told

    def record_in_use(
        self, by_name: Mapping[str, rank.Rank], wanted: relayout.Wanted
    ) -> None:
        """Note what ranks hold once all of them use a layout."""
        for name, item in by_name.items():
            experts = tuple(row[item.number] for row in wanted.table)
            self._held_by_name[name] = _held(item, experts)

    def choose(
        self,
        by_name: Mapping[str, rank.Rank],
        limits: base.EngineLimits | None,
    ) -> BetterLayout | None:
        """Return a layout that is worth changing to, if there is one.

        Args:
          by_name: All ranks of the group.
          limits: What its engine allows; None if that is not known.
        """
        known = all(self._is_held(name, r) for name, r in by_name.items())
        if limits is None or not known:
            return None
        names = sorted(by_name, key=lambda name: by_name[name].number)
        sets = demand.by_set(self._demand, limits.experts)
        held = [
            [self._held_by_name[name].experts[number] for name in names]
            for number in range(len(sets))
        ]
        solved = replicas.solve(
            held, sets, bounds_of(limits), least_gain=LEAST_GAIN
        )
        before = sum(item.before for item in solved)
        after = sum(item.after for item in solved)
        if not solved or after > before * (1 - LEAST_IMPROVEMENT):
            return None
        return BetterLayout(
            table=tuple(item.held for item in solved),
            skew_before=before / len(solved),
            skew_after=after / len(solved),
            loaded=sum(item.loaded for item in solved),
        )

    def _is_held(self, name: str, item: rank.Rank) -> bool:
        """Tell whether it is known what a rank holds now."""
        held = self._held_by_name.get(name)
        return held is not None and held == _held(item, held.experts)


def bounds_of(limits: base.EngineLimits) -> replicas.Bounds:
    """Return what one change may do, so that it takes no longer than wanted.

    Every rank loads at least one expert, however long that takes.
    """
    loads = None
    if limits.load_s:
        loads = max(1, int(LOADING_S / limits.load_s))
    return replicas.Bounds(limits.places, limits.spare, loads)


def _held(item: rank.Rank, experts: tuple[tuple[int, ...], ...]) -> Held:
    """Return what a rank holds, as long as it stays as it is."""
    return Held(item.epoch, item.version, experts, item.born_ms)


async def gather(asked: list[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Wait for all of some coroutines that do not raise."""
    return await defer.gatherResults(
        [defer.ensureDeferred(item) for item in asked], consumeErrors=True
    )
