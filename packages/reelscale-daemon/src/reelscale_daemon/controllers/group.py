"""Keeps the experts of a group where its requests want them.

The agents of some ranks ask for the group's lease; the holder asks all
agents for their ranks' state and counters, chooses a layout when a better
one is worth what it costs, and brings every rank onto it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Mapping
from typing import Any, NamedTuple

from reelscale_core import clock, demand, error, rank, relayout, replicas
from twisted.internet import defer, task

from .. import logs, rank_wire
from ..adapters import base
from . import members, reach

LOG = logs.Part("group")
# Seconds between two looks at all ranks; what requests want shifts within
# seconds, and a look costs each agent some 3 ms of processor time.
TICK_S = 0.12
# The same while the group is not busy, and its layout left as it is.
IDLE_TICK_S = 0.4
# Seconds between two looks while ranks load weights: 40 ms an expert.
LOADING_TICK_S = 0.05
# The demand of half a second ago counts half: by then some 20 new prompts
# have been read, enough to tell what is wanted now.
HALF_LIFE_S = 0.5
# Below this part of its slots a group keeps up with any layout: answers were
# in time on quiet days with the most loaded rank at 3.3 times the mean.
BUSY = 0.5
# A change that shortens the slowest ranks' part by less is not made; trials
# with 0.06, 0.12 and 0.2 served as many, the last with the fewest loads.
LEAST_IMPROVEMENT = 0.2
# A replica is loaded if it takes this part of the mean load from the most
# loaded rank; trials with 0.03, 0.06 and 0.1 served as many.
LEAST_GAIN = 0.1
# Versions of one holder lie so many apart from those of the next.
VERSIONS_A_FENCE = 1000
# Rounds that give a change up: its ranks are disarmed, the group goes on, and
# each may be lost a few times.
ROUNDS_WITHOUT = 8
# Rounds of orders without a pause; each takes a few milliseconds.
MOST_ROUNDS = 60


class Layout(NamedTuple):
    """What one rank holds.

    Attributes:
      epoch: In which that is so.
      version: The layout.
      experts: Experts by set of layers.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class Group:
    """The holder's work, while this agent holds the lease."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        reach: reach.Reach,
        engines: base.Engines,
        members: members.Members,
        target: str,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._reach = reach
        self._engines = engines
        self._members = members
        self._target = target
        self._fence: int | None = None
        self._finish_only = False
        self._busy = False
        self._waiting: defer.Deferred | None = None
        self._limits: base.EngineLimits | None = None
        self._demand = demand.Demand()
        self._layouts: dict[str, Layout] = {}
        self._wanted: relayout.Wanted | None = None
        self._fenced: tuple[int, int] | None = None
        self._refused_fence = -1
        self._newest_version = 0
        self._stopped = False

    async def run(self) -> None:
        """Look after the group while the lease is held, until stopped."""
        while not self._stopped:
            pause_s = TICK_S
            if self.holds:
                try:
                    await self._look()
                except error.CodedError as lost:
                    LOG.warning("The group is left alone.", reason=lost.detail)
                pause_s = self._pause_s()
            await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> None:
        """Wait for a while, or until the group is taken."""
        self._waiting = task.deferLater(self._reactor, pause_s)
        try:
            await self._waiting
        except defer.CancelledError:
            # The group was taken, so there is something to do now.
            pass
        self._waiting = None

    async def learn_limits(self) -> None:
        """Ask what the engine allows, once; CodedError "log-down"."""
        if self._limits is None:
            self._limits = await self._engines.limits(self._target)

    def stop(self) -> None:
        """Begin no further change; one in progress is brought to its end."""
        self._stopped = True

    def _pause_s(self) -> float:
        """Return the seconds until the next look."""
        if self._wanted is not None:
            return LOADING_TICK_S
        return TICK_S if self._busy or self._finish_only else IDLE_TICK_S

    def take(self, fence: int, *, finish_only: bool = False) -> None:
        """Look after the group under a fence from now on.

        Args:
          fence: Higher than any before it.
          finish_only: Whether only a change in progress is to be finished.
        """
        self._fence = fence
        self._finish_only = finish_only
        self._wanted = None
        if self._waiting is not None:
            self._waiting.cancel()

    def release(self) -> None:
        """Leave the group to another, but for a change to be finished."""
        if not self._finish_only:
            self._fence = None

    @property
    def holds(self) -> bool:
        """Whether a fence was taken that no rank has refused."""
        return self._fence is not None and self._fence > self._refused_fence

    async def _look(self) -> None:
        """Look at all ranks once and do what there is to do."""
        by_name = await self._ask_all()
        if not relayout.whole(by_name):
            self._wanted = None
            await self._go_on_without(by_name)
            return
        epoch = next(iter(by_name.values())).epoch
        if self._fenced != (self._fence, epoch):
            if not await self._refuse_earlier(by_name, epoch):
                return
            by_name = await self._ask_all()
            if not relayout.whole(by_name):
                return
        if self._wanted is None and _at_rest(by_name):
            if self._finish_only:
                LOG.info("The group goes on.", fence=self._fence, epoch=epoch)
                self._fence, self._finish_only = None, False
                return
            await self.learn_limits()
            self._busy = self._is_busy(by_name)
            self._wanted = self._choose(by_name) if self._busy else None
        await self._drive(by_name, epoch)

    async def _go_on_without(self, by_name: dict[str, rank.Rank]) -> None:
        """Let the group go on where a holder fell silent with its rank."""
        held = [item for item in by_name.values() if item.held is not None]
        if not held or relayout.missing_number(by_name) is None:
            return
        epoch = held[0].epoch
        self._fenced = None
        if not await self._refuse_earlier(by_name, epoch):
            return
        # The missing rank does not know this fence yet.
        self._fenced = None
        for _ in range(ROUNDS_WITHOUT):
            by_name = await self._ask_all()
            missing = relayout.missing_number(by_name)
            if missing is None:
                return
            orders = relayout.plan_without(by_name, missing)
            if not orders:
                return
            LOG.info(
                "A change is given up; its holder and a rank are silent.",
                missing=missing,
                epoch=epoch,
                orders=len(orders),
            )
            await self._send(orders, epoch)

    async def _refuse_earlier(
        self, by_name: Mapping[str, rank.Rank], epoch: int
    ) -> bool:
        """Have every rank refuse earlier holders; tell whether all do."""
        self._wanted = None
        order = rank.Fence(self._next_version(by_name))
        orders = dict.fromkeys(by_name, order)
        outcomes, _ = await self._send(orders, epoch)
        if any(found != rank.Outcome.TAKEN for found in outcomes.values()):
            return False
        self._fenced = (self._fence, epoch)
        LOG.info(
            "All ranks refuse earlier holders.", fence=self._fence, epoch=epoch
        )
        return True

    async def _drive(self, by_name: dict[str, rank.Rank], epoch: int) -> None:
        """Send orders until there is nothing to do but to wait."""
        own = self._members.own
        for _ in range(MOST_ROUNDS):
            orders = relayout.plan(by_name, wanted=self._wanted, holder=own)
            if not orders:
                break
            outcomes, told = await self._send(orders, epoch)
            if rank.Outcome.FENCED in outcomes.values():
                return
            by_name = {**by_name, **told}
            if len(told) < len(orders) or not relayout.whole(by_name):
                by_name = await self._ask_all()
                if not relayout.whole(by_name):
                    return
            if self._is_loading(orders, outcomes):
                return
        self._note_done(by_name)

    def _is_loading(
        self,
        orders: Mapping[str, rank.Order],
        outcomes: Mapping[str, rank.Outcome],
    ) -> bool:
        """Tell whether ranks load; give a layout up that one refuses."""
        prepares = [
            n for n, o in orders.items() if isinstance(o, rank.Prepare)
        ]
        if not prepares:
            return False
        refused = [
            name for name in prepares if outcomes[name] == rank.Outcome.REFUSED
        ]
        if refused:
            LOG.warning(
                "Ranks refuse to prepare a layout; it is given up.",
                version=self._wanted.version,
                ranks=refused,
            )
            self._wanted = None
        return True

    def _note_done(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Forget the wanted layout once every rank uses it."""
        wanted = self._wanted
        if wanted is None or not all(
            item.version == wanted.version for item in by_name.values()
        ):
            return
        self._wanted = None
        LOG.info("A layout is in use at all ranks.", version=wanted.version)
        for name, item in by_name.items():
            experts = tuple(row[item.number] for row in wanted.table)
            self._layouts[name] = Layout(item.epoch, item.version, experts)

    def _is_busy(self, by_name: Mapping[str, rank.Rank]) -> bool:
        """Tell whether the group has so much to do that its layout counts."""
        running = sum(item.requests for item in by_name.values())
        return running >= BUSY * self._members.slots

    def _choose(
        self, by_name: Mapping[str, rank.Rank]
    ) -> relayout.Wanted | None:
        """Return a layout that is worth changing to, if there is one."""
        limits = self._limits
        if limits is None or not self._layouts_known(by_name):
            return None
        names = sorted(by_name, key=lambda name: by_name[name].number)
        bounds = replicas.Bounds(limits.places, limits.spare)
        sets = demand.by_set(self._demand, limits.experts)
        solved = []
        for number, wanted in enumerate(sets):
            held = [self._layouts[name].experts[number] for name in names]
            solved.append(
                replicas.solve(held, wanted, bounds, least_gain=LEAST_GAIN)
            )
        before = sum(item.before for item in solved)
        after = sum(item.after for item in solved)
        if not solved or after > before * (1 - LEAST_IMPROVEMENT):
            return None
        version = self._next_version(by_name)
        LOG.info(
            "A layout is wanted.",
            version=version,
            skew_before=round(before / len(solved), 3),
            skew_after=round(after / len(solved), 3),
            loaded=sum(item.loaded for item in solved),
        )
        return relayout.Wanted(version, tuple(item.held for item in solved))

    def _layouts_known(self, by_name: Mapping[str, rank.Rank]) -> bool:
        """Tell whether it is known what each rank holds now."""
        return all(self._known(name, item) for name, item in by_name.items())

    def _known(self, name: str, item: rank.Rank | None) -> bool:
        layout = self._layouts.get(name)
        if item is None or layout is None:
            return False
        return (layout.epoch, layout.version) == (item.epoch, item.version)

    def _next_version(self, by_name: Mapping[str, rank.Rank]) -> int:
        """Return a version that no rank has seen."""
        seen = [item.version for item in by_name.values()]
        seen += [item.prepared or 0 for item in by_name.values()]
        own = self._fence * VERSIONS_A_FENCE
        self._newest_version = max(*seen, own, self._newest_version) + 1
        return self._newest_version

    async def _ask_all(self) -> dict[str, rank.Rank]:
        """Ask all agents for their ranks; those that answer are returned."""
        asked = [
            self._ask(name, member)
            for name, member in self._members.by_name.items()
        ]
        told = await _gather(asked)
        by_name = {name: item.rank for name, item in told if item is not None}
        counted = {
            name: item.counted
            for name, item in told
            if item is not None and item.counted is not None
        }
        for name, item in told:
            if item is not None and item.experts is not None:
                epoch, version = item.rank.epoch, item.rank.version
                self._layouts[name] = Layout(epoch, version, item.experts)
        self._demand = demand.observed(
            self._demand,
            counted,
            now=self._clock.monotonic(),
            half_life_s=HALF_LIFE_S,
        )
        return by_name

    async def _ask(
        self, name: str, member: reach.Member
    ) -> tuple[str, rank_wire.Told | None]:
        known = self._layouts.get(name)
        told = await self._reach.tell(member, experts=known is None)
        if told and known and not self._known(name, told.rank):
            # What it holds is asked for the next time.
            del self._layouts[name]
        return name, told

    async def _send(
        self, orders: Mapping[str, rank.Order], epoch: int
    ) -> tuple[dict[str, rank.Outcome], dict[str, rank.Rank]]:
        """Send orders; return their outcomes and the ranks after them."""
        sent = [
            self._order(name, order, epoch) for name, order in orders.items()
        ]
        rows = await _gather(sent)
        outcomes = {name: outcome for name, outcome, _ in rows}
        told = {name: item for name, _, item in rows if item is not None}
        if rank.Outcome.FENCED in outcomes.values():
            LOG.warning("A newer holder has the group.", fence=self._fence)
            self._refused_fence = self._fence
            self._wanted = None
        return outcomes, told

    async def _order(
        self, name: str, order: rank.Order, epoch: int
    ) -> tuple[str, rank.Outcome, rank.Rank | None]:
        member = self._members.by_name[name]
        outcome, told = await self._reach.order(
            member, order, fence=self._fence, epoch=epoch
        )
        return name, outcome, told


def _at_rest(by_name: Mapping[str, rank.Rank]) -> bool:
    """Tell whether no change is in progress at any rank."""
    return not any(
        item.armed or item.held is not None or item.copying
        for item in by_name.values()
    )


async def _gather(asked: list[Any]) -> list[Any]:
    """Wait for all of some coroutines that do not raise."""
    return await defer.gatherResults(
        [defer.ensureDeferred(item) for item in asked], consumeErrors=True
    )
