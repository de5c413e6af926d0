"""The rank beside this agent: what it tells others, the orders it passes on.

Asked from its own box a rank answers at once and for nothing, so agents
ask their own rank and each other, never another's rank.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, starts
from reelscale_wire.gen import ttypes

from .. import logs, rank_wire
from ..adapters import base

LOG = logs.Logger("rank")


class LocalRank:
    """Answers other agents for the rank beside this one."""

    def __init__(self, *, port: base.RankPort) -> None:
        self._port = port
        self._lost = False

    async def report(
        self, *, counts: bool, experts: bool
    ) -> rank_wire.RankReport:
        """Return what the rank reports; CodedError "rank-lost"."""
        report = await self._port.report()
        counted = await self._port.counted() if counts else None
        held = await self._port.experts() if experts else None
        if counted and starts.are_distinct(counted.born_ms, report.born_ms):
            raise error.CodedError(
                "rank-lost",
                step="rank",
                peer="worker",
                status=503,
                detail="it started again between two answers",
            )
        return rank_wire.RankReport(report, counted, held)

    async def answer(self, query: ttypes.RankQuery) -> ttypes.RankTold:
        """Answer another agent; with nothing if the rank does not answer."""
        try:
            told = await self.report(
                counts=bool(query.counts), experts=bool(query.experts)
            )
        except error.CodedError as lost:
            self._note_lost(lost)
            return ttypes.RankTold()
        self._note_heard()
        return rank_wire.report_to_thrift(told)

    def _note_lost(self, lost: error.CodedError) -> None:
        if not self._lost:
            LOG.warning("The rank does not answer.", reason=lost.detail)
        self._lost = True

    def _note_heard(self) -> None:
        if self._lost:
            LOG.info("The rank answers again.")
        self._lost = False

    async def order(self, message: ttypes.RankOrder) -> ttypes.RankAnswer:
        """Pass an order of the holder on; tell the rank's state after it."""
        order = rank_wire.from_order(message)
        outcome = await self._port.order(
            order, fence=message.fence, epoch=message.epoch
        )
        LOG.info(
            "An order was passed on.",
            order=message.kind,
            fence=message.fence,
            epoch=message.epoch,
            version=message.version,
            step=message.step,
            outcome=outcome.name.lower(),
        )
        return ttypes.RankAnswer(
            outcome=int(outcome), rank=await self._told_now()
        )

    async def _told_now(self) -> ttypes.RankTold | None:
        """Return the rank's state; None if it does not answer."""
        try:
            told = await self.report(counts=False, experts=False)
        except error.CodedError as lost:
            self._note_lost(lost)
            return None
        return rank_wire.report_to_thrift(told)
