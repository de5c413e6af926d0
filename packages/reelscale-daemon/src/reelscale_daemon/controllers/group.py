"""Keeps the experts of a group where its requests want them.

The agents of some ranks ask for the group's lease.  While the group is busy
the holder looks at all ranks again and again; once a better layout is worth
what it costs, it brings every rank onto it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from reelscale_core import clock, error, rank, relayout, starts

from .. import logs
from ..adapters import base
from . import arming, follower, holds, members, rank_reports, reach

LOG = logs.Logger("group")
# Seconds between two looks at all ranks; what requests want shifts within
# seconds, and a look costs each agent some 3 ms of processor time.
TICK_S = 0.12
# The same while the group is not busy, and its layout left as it is.
IDLE_TICK_S = 0.4
# Seconds between two looks while ranks load weights: 40 ms an expert.
LOADING_TICK_S = 0.05
# Below this part of its slots a group keeps up with any layout.  Above it a
# shift may fill the group before a change is made, and full it stays slow.
BUSY = 0.25
# Versions of one holder lie so many apart from those of the next.
VERSIONS_A_FENCE = 1000
# Rounds that give a change up: its ranks are disarmed, the group goes on, and
# each may be lost a few times.
ROUNDS_WITHOUT = 8
# Rounds of orders without a pause; each takes a few milliseconds.
MOST_ROUNDS = 60
# Seconds that a holder which stops goes on at most to let go of a group that
# it may have held; an order without an answer may be carried out seconds
# later, and without a holder the group waits 1.0 s (live-layouts.md).
FINISH_S = 2.0


class _Fenced(NamedTuple):
    """Who refuses earlier holders.

    Attributes:
      fence: They are refused by it.
      epoch: The epoch of the group.
      born_ms: The start of each rank; another start has forgotten it.
    """

    fence: int
    epoch: int
    born_ms: Mapping[str, int | None]


class Group:
    """The holder's work, while this agent holds the lease."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        reach: reach.Reach,
        ranks: rank_reports.RankReports,
        engines: base.Engines,
        members: members.Members,
        target: str,
    ) -> None:
        """Make it; run() does the work.

        Args:
          reactor: The loop.
          clock: The time.
          reach: Takes orders to ranks.
          ranks: What is known of all ranks.
          engines: What the operators say of engines.
          members: The ranks that are listed, and their agents.
          target: The group.
        """
        self._reactor = reactor
        self._reach = reach
        self._ranks = ranks
        self._engines = engines
        self._members = members
        self._target = target
        self._fence: int | None = None
        # The fence that the look in progress began under; the lease may be
        # lost, and got again, while the look awaits an answer.
        self._look_fence = -1
        self._finish_only = False
        self._busy = False
        self._limits: base.EngineLimits | None = None
        self._wanted: relayout.Wanted | None = None
        self._fenced: _Fenced | None = None
        self._refused_fence = -1
        self._newest_version = 0
        self._holds = holds.Holds()
        self._arming = arming.Arming(clock=clock)
        self._stopped = False
        self._finish_by = math.inf
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="group",
            work=self._round,
            on_down=self._on_down,
            going=lambda: not self._stopped or self._must_finish(),
        )

    async def run(self) -> None:
        """Look after the group while the lease is held, until stopped.

        A group that this holder may have held is let go of before that, if
        its ranks can be reached within FINISH_S.
        """
        await self._follower.run()

    async def _round(self) -> float:
        """Look at the group if it is held; return the pause after it."""
        if not self.holds:
            return TICK_S
        await self._look()
        return self._pause_s()

    async def _on_down(self, lost: error.CodedError) -> float:
        """Tell why the group was left alone; return the pause after it."""
        LOG.warning("The group is left alone.", reason=lost.detail)
        return self._pause_s()

    @property
    def progress(self) -> follower.Progress:
        """Return how the looks get on."""
        return self._follower.progress

    async def learn_limits(self) -> None:
        """Ask what the engine allows, once; CodedError "log-down"."""
        if self._limits is None:
            self._limits = await self._engines.limits(self._target)

    def stop(self) -> None:
        """Begin no further change; one in progress is brought to its end."""
        self._stopped = True
        self._finish_by = self._reactor.seconds() + FINISH_S

    def _must_finish(self) -> bool:
        """Tell whether a stop still has to let go of the group."""
        # One that was refused leaves the group to the newer holder.
        if not self.holds or not self._holds.left:
            return False
        if self._reactor.seconds() < self._finish_by:
            return True
        LOG.warning("The group may be left held.", fence=self._fence)
        return False

    def _pause_s(self) -> float:
        """Return the seconds until the next look."""
        if self._stopped or self._wanted is not None:
            return LOADING_TICK_S
        return TICK_S if self._busy or self._finish_only else IDLE_TICK_S

    def acquire(self, fence: int, *, finish_only: bool = False) -> None:
        """Look after the group under a fence from now on.

        Args:
          fence: Higher than any before it.
          finish_only: Whether only a change in progress is to be finished.
        """
        self._fence = fence
        self._finish_only = finish_only
        self._wanted = None
        self._follower.wake()

    def release(self) -> None:
        """Leave the group to another, but for a change to be finished.

        A look in progress sends no order after that; what it leaves of a
        change is finished by the next holder.
        """
        if not self._finish_only:
            self._fence = None

    @property
    def holds(self) -> bool:
        """Whether a fence was taken that no rank has refused."""
        return self._fence is not None and self._fence > self._refused_fence

    async def _ask_all(self) -> dict[str, rank.Rank]:
        """Ask all ranks; note whether one holds the group."""
        by_name = await self._ranks.ask_all()
        self._holds.note_ranks(by_name)
        self._check_fence()
        return by_name

    def _check_fence(self) -> None:
        """End a look whose fence was given up; CodedError "lease-lost"."""
        if self._fence != self._look_fence:
            raise error.CodedError(
                "lease-lost",
                step="look",
                detail=f"The lease of fence {self._look_fence} was lost.",
            )

    async def _look(self) -> None:
        """Look at all ranks once and do what there is to do.

        Raises:
          error.CodedError: "lease-lost" if the lease was lost meanwhile;
            what learn_limits() raises.
        """
        self._look_fence = self._fence
        by_name = await self._ask_all()
        self._arming.note_ranks(by_name)
        if not relayout.whole(by_name):
            self._wanted = None
            await self._go_on_without(by_name)
            return
        epoch = next(iter(by_name.values())).epoch
        if not self._all_refuse(by_name, epoch):
            if not await self._refuse_earlier(by_name, epoch):
                return
            by_name = await self._ask_all()
            if not relayout.whole(by_name):
                return
            if not self._all_refuse(by_name, epoch):
                # A rank has started again meanwhile, and has forgotten it.
                return
        if self._wanted is None and _at_rest(by_name):
            if self._finish_only:
                LOG.info("The group goes on.", fence=self._fence, epoch=epoch)
                self._fence, self._finish_only = None, False
                return
            await self._choose(by_name)
        await self._drive(by_name, epoch)

    async def _choose(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Want a layout if the group is busy and one is worth it."""
        if self._stopped:
            return
        await self.learn_limits()
        self._check_fence()
        self._busy = self._is_busy(by_name)
        self._wanted = self._want(by_name) if self._busy else None

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

    def _all_refuse(
        self, by_name: Mapping[str, rank.Rank], epoch: int
    ) -> bool:
        """Tell whether these starts of all ranks refuse earlier holders."""
        return self._fenced == _Fenced(self._fence, epoch, _born(by_name))

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
        self._fenced = _Fenced(self._fence, epoch, _born(by_name))
        LOG.info(
            "All ranks refuse earlier holders.", fence=self._fence, epoch=epoch
        )
        return True

    async def _drive(self, by_name: dict[str, rank.Rank], epoch: int) -> None:
        """Send orders until there is nothing to do but to wait."""
        own = self._members.own
        for _ in range(MOST_ROUNDS):
            # After a stop only what ranks hold or are armed for goes on.
            wanted = None if self._stopped else self._wanted
            orders = relayout.plan(
                by_name,
                wanted=wanted,
                holder=own,
                margin=self._arming.margin,
            )
            if not orders:
                break
            self._arming.note_orders(orders.values())
            outcomes, told = await self._send(orders, epoch)
            if rank.Outcome.FENCED in outcomes.values():
                return
            if _started_again(by_name, told):
                LOG.warning("A rank has started again.", epoch=epoch)
                return
            by_name = {**by_name, **told}
            if len(told) < len(orders) or not relayout.whole(by_name):
                by_name = await self._ask_all()
                if not relayout.whole(by_name):
                    return
            self._holds.note_ranks(by_name)
            if self._note_prepares(orders, outcomes):
                return
        self._note_done(by_name)

    def _note_prepares(
        self,
        orders: Mapping[str, rank.Order],
        outcomes: Mapping[str, rank.Outcome],
    ) -> bool:
        """Give a layout up that a rank refuses; tell whether ranks load."""
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
        self._ranks.record_in_use(by_name, wanted)

    def _is_busy(self, by_name: Mapping[str, rank.Rank]) -> bool:
        """Tell whether the group has so much to do that its layout counts."""
        running = sum(item.requests for item in by_name.values())
        part = len(by_name) / max(1, len(self._members.by_name))
        return running >= BUSY * self._members.slots * part

    def _want(
        self, by_name: Mapping[str, rank.Rank]
    ) -> relayout.Wanted | None:
        """Return a layout that is worth changing to, if there is one."""
        better = self._ranks.choose(by_name, self._limits)
        if better is None:
            return None
        version = self._next_version(by_name)
        LOG.info(
            "A layout is wanted.",
            version=version,
            skew_before=round(better.skew_before, 3),
            skew_after=round(better.skew_after, 3),
            loaded=better.loaded,
        )
        return relayout.Wanted(version, better.table)

    def _next_version(self, by_name: Mapping[str, rank.Rank]) -> int:
        """Return a version that no rank has seen."""
        seen = [item.version for item in by_name.values()]
        seen += [item.prepared or 0 for item in by_name.values()]
        own = self._fence * VERSIONS_A_FENCE
        self._newest_version = max(*seen, own, self._newest_version) + 1
        return self._newest_version

    async def _send(
        self, orders: Mapping[str, rank.Order], epoch: int
    ) -> tuple[dict[str, rank.Outcome], dict[str, rank.Rank]]:
        """Send orders; return their outcomes and the ranks after them."""
        sent = [
            self._order(name, order, epoch) for name, order in orders.items()
        ]
        rows = await rank_reports.gather(sent)
        outcomes = {name: outcome for name, outcome, _ in rows}
        told = {name: item for name, _, item in rows if item is not None}
        self._holds.note_outcomes(orders, outcomes, epoch)
        if rank.Outcome.FENCED in outcomes.values():
            LOG.warning(
                "A newer holder has the group.", fence=self._look_fence
            )
            self._refused_fence = self._look_fence
            self._wanted = None
        self._check_fence()
        return outcomes, told

    async def _order(
        self, name: str, order: rank.Order, epoch: int
    ) -> tuple[str, rank.Outcome, rank.Rank | None]:
        member = self._members.by_name[name]
        outcome, told = await self._reach.order(
            member, order, fence=self._look_fence, epoch=epoch
        )
        return name, outcome, told


def _born(by_name: Mapping[str, rank.Rank]) -> dict[str, int | None]:
    """Return the start of each rank."""
    return {name: item.born_ms for name, item in by_name.items()}


def _started_again(
    before: Mapping[str, rank.Rank], now: Mapping[str, rank.Rank]
) -> bool:
    """Tell whether a rank tells of another start than it did before."""
    return any(
        starts.are_distinct(before[name].born_ms, item.born_ms)
        for name, item in now.items()
    )


def _at_rest(by_name: Mapping[str, rank.Rank]) -> bool:
    """Tell whether no change is in progress at any rank."""
    return not any(
        item.armed or item.held is not None or item.copying
        for item in by_name.values()
    )
