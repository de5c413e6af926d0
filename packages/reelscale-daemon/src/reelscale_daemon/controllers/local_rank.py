"""Serves the rank on this agent's box to other agents.

A rank answers its own box quickly and at low cost, so agents query their
local rank and each other instead of remote ranks.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, starts
from reelscale_wire.gen import ttypes

from .. import logs, rank_wire
from ..adapters import base

LOG = logs.Logger("rank")


class LocalRank:
    """Reports the local rank to other agents and passes orders on to it."""

    def __init__(self, *, port: base.RankPort) -> None:
        self._port = port
        self._lost = False

    async def report(
        self, *, counts: bool, experts: bool
    ) -> rank_wire.RankReport:
        """Return the rank's report; CodedError "rank-lost"."""
        report = await self._port.report()
        counted = await self._port.counted() if counts else None
        held = await self._port.experts() if experts else None
        if counted and starts.are_distinct(counted.born_ms, report.born_ms):
            raise error.CodedError(
                "rank-lost",
                step="rank",
                peer="worker",
                status=503,
                detail="the rank restarted between two answers",
            )
        return rank_wire.RankReport(report, counted, held)

    async def answer(self, query: ttypes.RankQuery) -> ttypes.RankTold:
        """Answer another agent; the answer is empty if the rank is lost."""
        try:
            report = await self.report(
                counts=bool(query.counts), experts=bool(query.experts)
            )
        except error.CodedError as lost:
            self._record_lost(lost)
            return ttypes.RankTold()
        self._record_answer()
        return rank_wire.report_to_thrift(report)

    def _record_lost(self, lost: error.CodedError) -> None:
        if not self._lost:
            LOG.warning("The rank does not answer.", reason=lost.detail)
        self._lost = True

    def _record_answer(self) -> None:
        if self._lost:
            LOG.info("The rank answers again.")
        self._lost = False

    async def order(self, message: ttypes.RankOrder) -> ttypes.RankAnswer:
        """Pass on an order of the holder; return its outcome and the state."""
        order = rank_wire.from_order(message)
        outcome = await self._port.order(
            order, fence=message.fence, epoch=message.epoch
        )
        LOG.info(
            "Passed on an order.",
            order=message.kind,
            fence=message.fence,
            epoch=message.epoch,
            version=message.version,
            step=message.step,
            outcome=outcome.name.lower(),
        )
        return ttypes.RankAnswer(
            outcome=int(outcome), rank=await self._current_state()
        )

    async def _current_state(self) -> ttypes.RankTold | None:
        """Return the rank's state; None if it does not answer."""
        try:
            report = await self.report(counts=False, experts=False)
        except error.CodedError as lost:
            self._record_lost(lost)
            return None
        return rank_wire.report_to_thrift(report)
