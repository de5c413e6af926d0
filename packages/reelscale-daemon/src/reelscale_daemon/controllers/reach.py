"""Queries and orders the ranks of a group, through their agents if possible.

Calling a rank from another box is slower and costs more.  Queries do so only
while its agent is unresponsive, so that a change can still be completed.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any, NamedTuple

from reelscale_core import clock, error, rank
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from .. import logs, rank_wire
from ..adapters import base

LOG = logs.Logger("reach")
# An agent that does not answer within this time, including the connection
# setup, counts as unresponsive.  The round trip takes 3 ms, and the agent
# gives its rank 0.06 s.
TIMEOUT_S = 0.25
# Interval between queries of an unresponsive agent, in seconds.
REQUERY_INTERVAL_S = 0.5
# Reports to other boxes are some 0.2 s old.  Delaying the query by this time
# ensures that the answer is no older than the request.
REPORT_LAG_S = 0.3


class Member(NamedTuple):
    """One rank of the group.

    Attributes:
      agent: Address of the agent on its box.
      upstream: Address of the rank itself.
    """

    agent: str
    upstream: str


class Reach:
    """Sends queries and orders to ranks."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        links: link.Links,
        port_for: Callable[[str], base.RankPort],
    ) -> None:
        """Create the client.

        Args:
          reactor: The Twisted reactor.
          clock: The time.
          links: Connections to agents.
          port_for: Returns the port to the rank at an address, which may be
            on another box.
        """
        self._reactor = reactor
        self._clock = clock
        self._links = links
        self._port_for = port_for
        self._unresponsive: set[str] = set()
        self._queried_at: dict[str, float] = {}

    async def report(
        self, member: Member, *, experts: bool, counts: bool = True
    ) -> rank_wire.RankReport | None:
        """Return the report of a rank; None if it does not answer.

        Args:
          member: The rank.
          experts: Whether to include the experts that it holds.
          counts: Whether to include its counters.
        """
        query = ttypes.RankQuery(counts=counts, experts=experts)
        if not self._is_unresponsive(member):
            try:
                answer = await self._call(member, "rank", query)
                return rank_wire.report_from_thrift(answer)
            except ValueError:
                # The agent cannot reach its rank either, and has logged why.
                return None
            except link.LinkError:
                # Logged by _call(); the rank itself may still answer.
                pass
        self._requery(member, query)
        return await self._report_directly(member)

    async def order(
        self, member: Member, order: rank.Order, *, fence: int, epoch: int
    ) -> tuple[rank.Outcome, rank.Rank | None]:
        """Send an order; return its outcome and the rank's new state."""
        # A hold and its end bypass the agent: if the agent passed on a hold
        # and its box then became unreachable, nobody could release the group.
        direct = isinstance(order, rank.Hold | rank.Go)
        if direct or self._is_unresponsive(member):
            return await self._order_directly(
                member, order, fence=fence, epoch=epoch
            )
        message = rank_wire.to_order(order, fence=fence, epoch=epoch)
        try:
            answer = await self._call(member, "order_rank", message)
            state = (
                answer.rank and rank_wire.report_from_thrift(answer.rank).rank
            )
        except (link.LinkError, ValueError) as lost:
            LOG.warning(
                "No answer to an order.",
                to=member.agent,
                order=message.kind,
                reason=str(lost),
            )
            return rank.Outcome.UNKNOWN, None
        return rank_wire.outcome_of(answer), state

    async def _order_directly(
        self, member: Member, order: rank.Order, *, fence: int, epoch: int
    ) -> tuple[rank.Outcome, rank.Rank | None]:
        """Send an order directly to a rank."""
        port = self._port_for(member.upstream)
        outcome = await port.order(order, fence=fence, epoch=epoch)
        LOG.info(
            "Sent an order directly to a rank.",
            to=member.upstream,
            order=rank_wire.kind_of(type(order)),
            outcome=outcome.name.lower(),
        )
        return outcome, await self._report_via_agent(member)

    async def _report_via_agent(self, member: Member) -> rank.Rank | None:
        """Return a rank's current state; None if its agent does not answer."""
        if self._is_unresponsive(member):
            return None
        query = ttypes.RankQuery(counts=False, experts=False)
        try:
            answer = await self._call(member, "rank", query)
            return rank_wire.report_from_thrift(answer).rank
        except (link.LinkError, ValueError):
            # The sender of the order then queries all ranks.
            return None

    async def _call(
        self, member: Member, method: str, message: object
    ) -> object:
        """Call an agent; record whether it responds."""
        to = self._links.to(member.agent)
        calling = defer.ensureDeferred(
            to.call(method, message, timeout_s=TIMEOUT_S)
        )
        # Also bounds the time to connect to a box that is gone.
        calling.addTimeout(TIMEOUT_S, self._reactor)
        try:
            answer = await calling
        except (link.LinkError, defer.TimeoutError) as lost:
            if not self._is_unresponsive(member):
                LOG.warning("An agent does not respond.", agent=member.agent)
            self._unresponsive.add(member.agent)
            raise link.LinkError(
                peer=member.agent, step=method, written=True
            ) from lost
        if self._is_unresponsive(member):
            self._unresponsive.remove(member.agent)
            LOG.info("An agent responds again.", agent=member.agent)
        return answer

    def _is_unresponsive(self, member: Member) -> bool:
        return member.agent in self._unresponsive

    def _requery(self, member: Member, query: ttypes.RankQuery) -> None:
        """Query an unresponsive agent now and then, without waiting."""
        now = self._clock.monotonic()
        if (
            now - self._queried_at.get(member.agent, float("-inf"))
            < REQUERY_INTERVAL_S
        ):
            return
        self._queried_at[member.agent] = now
        calling = defer.ensureDeferred(self._call(member, "rank", query))
        # _call() has logged that it is still unresponsive.
        calling.addErrback(lambda failed: failed.trap(link.LinkError))

    async def _report_directly(
        self, member: Member
    ) -> rank_wire.RankReport | None:
        """Query a rank directly; the report is no older than this call."""
        port = self._port_for(member.upstream)
        try:
            # Fails early if the rank is not reachable.
            await port.report()
            await task.deferLater(self._reactor, REPORT_LAG_S)
            state = await port.report()
        except error.CodedError:
            return None
        return rank_wire.RankReport(state)
