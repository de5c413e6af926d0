"""Adapts the expert layout of a group to the demand of its requests.

The agents of some ranks compete for the group's lease.  While the group is
busy, the holder polls all ranks; once a better layout is worth the cost of
the change, it moves every rank to it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from collections.abc import Mapping
from typing import Any

from reelscale_core import clock, error, rank, relayout

from .. import logs
from ..adapters import base
from . import (
    arming,
    fenced,
    follower,
    holds,
    layout_choice,
    layout_versions,
    members,
    rank_reports,
    reach,
)

LOG = logs.Logger("group")
# Interval between checks of all ranks, in seconds.  Demand shifts within
# seconds; a check costs each agent about 3 ms of processor time.
CHECK_INTERVAL_S = 0.12
# The same while the group is not busy and keeps its layout.
IDLE_CHECK_INTERVAL_S = 0.4
# The same while ranks load weights, which takes about 40 ms per expert.
LOADING_CHECK_INTERVAL_S = 0.05
# Fraction of slots in use from which the layout is adapted.  A group that is
# full before a change is made stays slow.
BUSY_FRACTION = 0.25
# Rounds of orders that cancel a change; each order may be lost a few times.
MAX_CANCEL_ROUNDS = 8
# Consecutive rounds of orders without a pause.
MAX_ROUNDS = 60
# How long a stopping holder may continue to release a group that it may have
# held, in seconds.  An unanswered order may still be carried out later, and
# without a holder the group waits 1.0 s (live-layouts.md).
STOP_TIMEOUT_S = 2.0


class Group:
    """Manages the layout of a group while this agent holds its lease."""

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
        """Create the controller; run() starts it.

        Args:
          reactor: The Twisted reactor.
          clock: The time.
          reach: Sends orders to ranks.
          ranks: The reports of all ranks.
          engines: The configured limits of engines.
          members: The listed ranks and their agents.
          target: The target that the group serves.
        """
        self._reactor = reactor
        self._reach = reach
        self._ranks = ranks
        self._engines = engines
        self._members = members
        self._target = target
        self._fence: int | None = None
        # The fence under which the current check began; the lease may be
        # lost and regained while the check awaits an answer.
        self._round_fence = -1
        self._finish_only = False
        self._busy = False
        self._limits: base.EngineLimits | None = None
        self._desired: relayout.DesiredLayout | None = None
        self._fenced: fenced.Fenced | None = None
        self._refused_fence = -1
        self._versions = layout_versions.LayoutVersions()
        self._choice = layout_choice.LayoutChoice(
            ranks=ranks, versions=self._versions
        )
        self._holds = holds.Holds()
        self._arming = arming.Arming(clock=clock)
        self._stopped = False
        self._stop_deadline = math.inf
        self._follower = follower.Follower(
            reactor=reactor,
            clock=clock,
            name="group",
            work=self._round,
            on_down=self._on_down,
            is_running=lambda: not self._stopped or self._must_finish(),
        )

    async def run(self) -> None:
        """Manage the group while the lease is held, until stopped.

        A group that this holder may have held is released first, if its
        ranks can be reached within STOP_TIMEOUT_S.
        """
        await self._follower.run()

    async def _round(self) -> float:
        """Check the group if the lease is held; return the next pause."""
        if not self.holds:
            return CHECK_INTERVAL_S
        await self._check()
        return self._pause_s()

    async def _on_down(self, lost: error.CodedError) -> float:
        """Log why the check was aborted; return the next pause."""
        LOG.warning("Aborted a check of the group.", reason=lost.detail)
        return self._pause_s()

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the checks."""
        return self._follower.progress

    async def learn_limits(self) -> None:
        """Read the engine's limits once; CodedError "log-down"."""
        if self._limits is None:
            self._limits = await self._engines.limits(self._target)

    def stop(self) -> None:
        """Begin no further change; complete one in progress."""
        self._stopped = True
        self._stop_deadline = self._reactor.seconds() + STOP_TIMEOUT_S

    def _must_finish(self) -> bool:
        """Return whether a stop still has to release the group."""
        # A refused holder leaves the group to the newer one.
        if not self.holds or not self._holds.may_remain:
            return False
        if self._reactor.seconds() < self._stop_deadline:
            return True
        LOG.warning("Stopped without releasing the group.", fence=self._fence)
        return False

    def _pause_s(self) -> float:
        """Return the seconds until the next check."""
        if self._stopped or self._desired is not None:
            return LOADING_CHECK_INTERVAL_S
        return (
            CHECK_INTERVAL_S
            if self._busy or self._finish_only
            else IDLE_CHECK_INTERVAL_S
        )

    def acquire(self, fence: int, *, finish_only: bool = False) -> None:
        """Manage the group under a fence from now on.

        Args:
          fence: Higher than any earlier fence.
          finish_only: Whether to complete only a change in progress.
        """
        self._fence = fence
        self._finish_only = finish_only
        self._desired = None
        self._follower.wake()

    def release(self) -> None:
        """Stop managing the group, unless only a change is to be completed.

        A check in progress sends no further order; the next holder completes
        a change that is left unfinished.
        """
        if not self._finish_only:
            self._fence = None

    @property
    def holds(self) -> bool:
        """Whether this holder has a fence that no rank has refused."""
        return self._fence is not None and self._fence > self._refused_fence

    async def _query_ranks(self) -> dict[str, rank.Rank]:
        """Query all ranks; record whether one holds the group."""
        by_name = await self._ranks.query_all()
        self._holds.record_ranks(by_name)
        self._require_fence()
        return by_name

    def _require_fence(self) -> None:
        """Abort a check whose fence was released; CodedError "lease-lost"."""
        if self._fence != self._round_fence:
            raise error.CodedError(
                "lease-lost",
                step="look",
                detail=f"The lease of fence {self._round_fence} was lost.",
            )

    async def _check(self) -> None:
        """Query all ranks once and start or continue a layout change.

        Raises:
          error.CodedError: "lease-lost" if the lease was lost meanwhile;
            what learn_limits() raises.
        """
        self._round_fence = self._fence
        by_name = await self._query_ranks()
        self._arming.record_ranks(by_name)
        if not relayout.is_complete(by_name):
            self._desired = None
            await self._cancel_change(by_name)
            return
        epoch = next(iter(by_name.values())).epoch
        if not self._is_fenced(by_name, epoch):
            if not await self._fence_earlier_holders(by_name, epoch):
                return
            by_name = await self._query_ranks()
            if not relayout.is_complete(by_name):
                return
            if not self._is_fenced(by_name, epoch):
                # A rank restarted meanwhile and lost the fence.
                return
        if self._desired is None and relayout.is_settled(by_name):
            if self._finish_only:
                LOG.info("Completed a change.", fence=self._fence, epoch=epoch)
                self._fence, self._finish_only = None, False
                return
            await self._choose_layout(by_name)
        await self._drive(by_name, epoch)

    async def _choose_layout(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Choose a layout if the group is busy and one is worth its cost."""
        if self._stopped:
            return
        await self.learn_limits()
        self._require_fence()
        self._busy = self._is_busy(by_name)
        self._desired = (
            self._choice.choose(by_name, self._limits, fence=self._fence)
            if self._busy
            else None
        )

    async def _cancel_change(self, by_name: dict[str, rank.Rank]) -> None:
        """Cancel a change whose holder and rank are unresponsive."""
        held = [item for item in by_name.values() if item.held is not None]
        if not held or relayout.missing_number(by_name) is None:
            return
        epoch = held[0].epoch
        self._fenced = None
        if not await self._fence_earlier_holders(by_name, epoch):
            return
        # The missing rank has not received this fence.
        self._fenced = None
        for _ in range(MAX_CANCEL_ROUNDS):
            by_name = await self._query_ranks()
            missing = relayout.missing_number(by_name)
            if missing is None:
                return
            orders = relayout.plan_without(by_name, missing)
            if not orders:
                return
            LOG.info(
                "Cancelling a change; its holder and a rank do not respond.",
                missing=missing,
                epoch=epoch,
                orders=len(orders),
            )
            await self._send(orders, epoch)

    def _is_fenced(self, by_name: Mapping[str, rank.Rank], epoch: int) -> bool:
        """Return whether these starts of all ranks refuse earlier holders."""
        return self._fenced == fenced.Fenced(
            self._fence, epoch, fenced.start_times(by_name)
        )

    async def _fence_earlier_holders(
        self, by_name: Mapping[str, rank.Rank], epoch: int
    ) -> bool:
        """Fence off earlier holders at every rank; return whether all did."""
        self._desired = None
        order = rank.Fence(self._versions.next(self._fence, by_name))
        orders = dict.fromkeys(by_name, order)
        outcomes, _ = await self._send(orders, epoch)
        if any(item != rank.Outcome.TAKEN for item in outcomes.values()):
            return False
        self._fenced = fenced.Fenced(
            self._fence, epoch, fenced.start_times(by_name)
        )
        LOG.info(
            "All ranks refuse earlier holders.", fence=self._fence, epoch=epoch
        )
        return True

    async def _drive(self, by_name: dict[str, rank.Rank], epoch: int) -> None:
        """Send orders until all ranks have none pending or are loading."""
        holder = self._members.local_name
        for _ in range(MAX_ROUNDS):
            # After a stop only changes that ranks hold or are armed for
            # continue.
            desired = None if self._stopped else self._desired
            orders = relayout.plan(
                by_name,
                desired=desired,
                holder=holder,
                margin=self._arming.margin,
            )
            if not orders:
                break
            self._arming.record_orders(orders.values())
            outcomes, reported = await self._send(orders, epoch)
            if rank.Outcome.FENCED in outcomes.values():
                return
            if fenced.any_restarted(by_name, reported):
                LOG.warning("A rank restarted.", epoch=epoch)
                return
            by_name = {**by_name, **reported}
            if len(reported) < len(orders) or not relayout.is_complete(
                by_name
            ):
                by_name = await self._query_ranks()
                if not relayout.is_complete(by_name):
                    return
            self._holds.record_ranks(by_name)
            if self._handle_prepares(orders, outcomes):
                return
        self._finish_if_in_use(by_name)

    def _handle_prepares(
        self,
        orders: Mapping[str, rank.Order],
        outcomes: Mapping[str, rank.Outcome],
    ) -> bool:
        """Drop a layout that a rank refuses; return whether ranks load."""
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
                "Ranks refused to prepare a layout; it is dropped.",
                version=self._desired.version,
                ranks=refused,
            )
            self._desired = None
        return True

    def _finish_if_in_use(self, by_name: Mapping[str, rank.Rank]) -> None:
        """Clear the desired layout once every rank uses it."""
        desired = self._desired
        if desired is None or not all(
            item.version == desired.version for item in by_name.values()
        ):
            return
        self._desired = None
        LOG.info("A layout is in use at all ranks.", version=desired.version)
        self._ranks.record_in_use(by_name, desired)

    def _is_busy(self, by_name: Mapping[str, rank.Rank]) -> bool:
        """Return whether the group has enough load to adapt its layout."""
        running = sum(item.requests for item in by_name.values())
        fraction = len(by_name) / max(1, len(self._members.by_name))
        return running >= BUSY_FRACTION * self._members.slots * fraction

    async def _send(
        self, orders: Mapping[str, rank.Order], epoch: int
    ) -> tuple[dict[str, rank.Outcome], dict[str, rank.Rank]]:
        """Send orders; return their outcomes and the ranks' new states."""
        sent = [
            self._order(name, order, epoch) for name, order in orders.items()
        ]
        rows = await rank_reports.gather(sent)
        outcomes = {name: outcome for name, outcome, _ in rows}
        reported = {name: item for name, _, item in rows if item is not None}
        self._holds.record_outcomes(orders, outcomes, epoch)
        if rank.Outcome.FENCED in outcomes.values():
            LOG.warning(
                "A newer holder has the group.", fence=self._round_fence
            )
            self._refused_fence = self._round_fence
            self._desired = None
        self._require_fence()
        return outcomes, reported

    async def _order(
        self, name: str, order: rank.Order, epoch: int
    ) -> tuple[str, rank.Outcome, rank.Rank | None]:
        member = self._members.by_name[name]
        outcome, reported = await self._reach.order(
            member, order, fence=self._round_fence, epoch=epoch
        )
        return name, outcome, reported
