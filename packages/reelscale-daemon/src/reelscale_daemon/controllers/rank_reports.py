"""Collects the reports of a group's ranks and finds better layouts.

Their state is queried at each check.  The experts that a rank holds change
only with its layout, so they are cached per version and epoch.
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

# Half-life of the weight of observed demand; some 20 prompts arrive in it,
# enough to tell the present demand.
HALF_LIFE_S = 0.5
# A change that reduces the mean skew by less than this fraction is not made.
MIN_IMPROVEMENT = 0.12
# A replica is loaded if it takes at least this fraction of the mean load off
# the most loaded rank.
MIN_GAIN = 0.1
# The counters of a batch of ranks take some 30 KB: 0.06 s at 4 Mbit/s.
MAX_CONCURRENT_QUERIES = 8
# Interval between queries of a rank of another or an unknown group, in
# seconds: groups form anew when a rank departs.
REQUERY_INTERVAL_S = 2.0
# Upper bound on the time that a rank spends loading for one change; demand
# shifts every few seconds, and a few loads gain most of what there is.
MAX_LOADING_S = 0.5


class Held(NamedTuple):
    """The experts that one rank holds.

    Attributes:
      epoch: The epoch of the report.
      version: The version of the layout.
      experts: Experts by set of layers.
      born_ms: Unix time of the rank's start in milliseconds, if reported.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
    born_ms: int | None = None


class BetterLayout(NamedTuple):
    """A layout that is worth the cost of a change.

    Attributes:
      table: The experts that each rank holds in it.
      skew_before: Maximum over mean load of a rank in the layout in use,
        averaged over the sets of layers.
      skew_after: The same in this layout.
      loaded: Number of experts that ranks have to load.
    """

    table: rank.Table
    skew_before: float
    skew_after: float
    loaded: int


class RankReports:
    """Queries all ranks; keeps the experts they hold and the demand."""

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
        self._queried_at: dict[str, float] = {}

    async def query_all(self) -> dict[str, rank.Rank]:
        """Query the group's agents; return the ranks that answered."""
        reports = self._of_local_group(await self._query_in_batches())
        for name, item in reports.items():
            if item.experts is not None:
                self._held_by_name[name] = _held(item.rank, item.experts)
        counted = {
            name: item.counted
            for name, item in reports.items()
            if item.counted is not None
        }
        self._demand = demand.observed(
            self._demand,
            counted,
            now=self._clock.monotonic(),
            half_life_s=HALF_LIFE_S,
        )
        return {name: item.rank for name, item in reports.items()}

    async def _query_in_batches(self) -> dict[str, rank_wire.RankReport]:
        """Query the ranks that are due, in batches.

        On a slow link, answers that arrive all at once would delay each other
        until some agents seem unresponsive.
        """
        due = [
            (name, member)
            for name, member in self._members.by_name.items()
            if self._is_due(name)
        ]
        reports = {}
        for first in range(0, len(due), MAX_CONCURRENT_QUERIES):
            batch = due[first : first + MAX_CONCURRENT_QUERIES]
            answers = await gather([self._query(*row) for row in batch])
            reports |= {n: item for n, item in answers if item is not None}
        return reports

    def _is_due(self, name: str) -> bool:
        """Return whether to query a rank: of the local group, or overdue."""
        if self._is_local_group(name):
            return True
        now = self._clock.monotonic()
        if (
            now - self._queried_at.get(name, float("-inf"))
            < REQUERY_INTERVAL_S
        ):
            return False
        self._queried_at[name] = now
        return True

    def _is_local_group(self, name: str) -> bool:
        group = self._group_by_name.get(name)
        return self._members.one_group or group == self._members.group

    def _of_local_group(
        self, reports: dict[str, rank_wire.RankReport]
    ) -> dict[str, rank_wire.RankReport]:
        """Record the group of each rank; return those of the local group."""
        for name, item in reports.items():
            self._group_by_name[name] = item.rank.group
        for rows in (self._group_by_name, self._queried_at):
            for name in rows.keys() - self._members.by_name.keys():
                del rows[name]
        return {
            name: item
            for name, item in reports.items()
            if self._is_local_group(name)
        }

    async def _query(
        self, name: str, member: reach.Member
    ) -> tuple[str, rank_wire.RankReport | None]:
        held = self._held_by_name.get(name)
        if not self._is_local_group(name):
            # Only its group is needed.
            return name, await self._reach.report(
                member, experts=False, counts=False
            )
        report = await self._reach.report(member, experts=held is None)
        if report and held and not self._is_current(name, report.rank):
            # The next query requests its experts.
            del self._held_by_name[name]
        return name, report

    def record_in_use(
        self, by_name: Mapping[str, rank.Rank], layout: relayout.DesiredLayout
    ) -> None:
        """Record the experts of ranks once all of them use a layout."""
        for name, item in by_name.items():
            experts = tuple(row[item.number] for row in layout.table)
            self._held_by_name[name] = _held(item, experts)

    def choose(
        self,
        by_name: Mapping[str, rank.Rank],
        limits: base.EngineLimits | None,
    ) -> BetterLayout | None:
        """Return a layout that is worth the change; None if there is none.

        Args:
          by_name: All ranks of the group.
          limits: The limits of its engine; None while unknown.
        """
        known = all(self._is_current(name, r) for name, r in by_name.items())
        if limits is None or not known:
            return None
        names = sorted(by_name, key=lambda name: by_name[name].number)
        sets = demand.by_set(self._demand, limits.experts)
        held = [
            [self._held_by_name[name].experts[number] for name in names]
            for number in range(len(sets))
        ]
        solved = replicas.solve(
            held, sets, bounds_of(limits), min_gain=MIN_GAIN
        )
        before = sum(item.before for item in solved)
        after = sum(item.after for item in solved)
        if not solved or after > before * (1 - MIN_IMPROVEMENT):
            return None
        return BetterLayout(
            table=tuple(item.held for item in solved),
            skew_before=before / len(solved),
            skew_after=after / len(solved),
            loaded=sum(item.loaded for item in solved),
        )

    def _is_current(self, name: str, item: rank.Rank) -> bool:
        """Return whether the cached experts of a rank are up to date."""
        held = self._held_by_name.get(name)
        return held is not None and held == _held(item, held.experts)


def bounds_of(limits: base.EngineLimits) -> replicas.Bounds:
    """Return the bounds of one change, which limit its loading time.

    Every rank may load at least one expert, however long that takes.
    """
    loads = None
    if limits.load_s:
        loads = max(1, int(MAX_LOADING_S / limits.load_s))
    return replicas.Bounds(limits.places, limits.spare, loads)


def _held(item: rank.Rank, experts: tuple[tuple[int, ...], ...]) -> Held:
    """Return the experts of a rank with the state that they belong to."""
    return Held(item.epoch, item.version, experts, item.born_ms)


async def gather(coroutines: list[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Await all of some coroutines that do not raise."""
    return await defer.gatherResults(
        [defer.ensureDeferred(item) for item in coroutines], consumeErrors=True
    )
