"""Reaches the ranks of a group, as a rule through the agents beside them.

Asked from another box a rank is slower and costs more; that is done only
while its agent is silent, so that a change can be brought to its end whoever
has gone.
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
# An agent that has not answered after this long, in seconds, connecting
# included, is silent; the way there and back takes 3 ms, and the rank is
# given 0.06 s.
TIMEOUT_S = 0.25
# A silent agent is asked again this often, in seconds.
AGAIN_S = 0.5
# What a rank reports to another box is some hundred milliseconds old
# (0.2 s where it was measured).  So it is asked this long, in seconds, after
# the question came up, and its answer is true of some time in between.
REPORT_LAG_S = 0.3


class Member(NamedTuple):
    """One rank of the group.

    Attributes:
      agent: Address of the agent beside it.
      upstream: Its own address.
    """

    agent: str
    upstream: str


class Reach:
    """Asks ranks and gives them orders."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        links: link.Links,
        port_to: Callable[[str], base.RankPort],
    ) -> None:
        """Make it.

        Args:
          reactor: The loop.
          clock: The time.
          links: Connections to agents.
          port_to: Gives the rank at an address, which may be far.
        """
        self._reactor = reactor
        self._clock = clock
        self._links = links
        self._port_to = port_to
        self._silent: set[str] = set()
        self._tried_at: dict[str, float] = {}

    async def report(
        self, member: Member, *, experts: bool, counts: bool = True
    ) -> rank_wire.RankReport | None:
        """Return what a rank reports, with its counters; None if nothing.

        Args:
          member: The rank.
          experts: Whether what it holds is wanted.
          counts: Whether its counters are.
        """
        query = ttypes.RankQuery(counts=counts, experts=experts)
        if not self._is_silent(member):
            try:
                answer = await self._call(member, "rank", query)
                return rank_wire.report_from_thrift(answer)
            except ValueError:
                # The agent cannot ask its rank either, and has logged why.
                return None
            except link.LinkError:
                # Its silence has been logged; the rank may still answer.
                pass
        self._try_again(member, query)
        return await self._tell_directly(member)

    async def order(
        self, member: Member, order: rank.Order, *, fence: int, epoch: int
    ) -> tuple[rank.Outcome, rank.Rank | None]:
        """Give a rank an order; return its outcome and the rank after it."""
        # A hold and its end go straight to the rank: if its agent gave them,
        # an agent that then falls silent with its box would leave the
        # group held by a rank that nobody reaches.
        straight = isinstance(order, rank.Hold | rank.Go)
        if straight or self._is_silent(member):
            return await self._order_directly(
                member, order, fence=fence, epoch=epoch
            )
        message = rank_wire.to_order(order, fence=fence, epoch=epoch)
        try:
            answer = await self._call(member, "order_rank", message)
            told = (
                answer.rank and rank_wire.report_from_thrift(answer.rank).rank
            )
        except (link.LinkError, ValueError) as lost:
            LOG.warning(
                "An order has no answer.",
                to=member.agent,
                order=message.kind,
                reason=str(lost),
            )
            return rank.Outcome.UNKNOWN, None
        return rank_wire.outcome_of(answer), told

    async def _order_directly(
        self, member: Member, order: rank.Order, *, fence: int, epoch: int
    ) -> tuple[rank.Outcome, rank.Rank | None]:
        """Give an order to a rank itself."""
        port = self._port_to(member.upstream)
        outcome = await port.order(order, fence=fence, epoch=epoch)
        LOG.info(
            "An order went to a rank itself.",
            to=member.upstream,
            order=rank_wire.kind_of(type(order)),
            outcome=outcome.name.lower(),
        )
        return outcome, await self._told_by_agent(member)

    async def _told_by_agent(self, member: Member) -> rank.Rank | None:
        """Return a rank's state now; None if its agent is silent."""
        if self._is_silent(member):
            return None
        query = ttypes.RankQuery(counts=False, experts=False)
        try:
            answer = await self._call(member, "rank", query)
            return rank_wire.report_from_thrift(answer).rank
        except (link.LinkError, ValueError):
            # Whoever sent the order asks all ranks again.
            return None

    async def _call(
        self, member: Member, method: str, message: object
    ) -> object:
        """Call an agent; note whether it is silent."""
        to = self._links.to(member.agent)
        calling = defer.ensureDeferred(
            to.call(method, message, timeout_s=TIMEOUT_S)
        )
        # Connecting to a box that is gone takes longer by itself.
        calling.addTimeout(TIMEOUT_S, self._reactor)
        try:
            answer = await calling
        except (link.LinkError, defer.TimeoutError) as lost:
            if not self._is_silent(member):
                LOG.warning("An agent is silent.", agent=member.agent)
            self._silent.add(member.agent)
            raise link.LinkError(
                peer=member.agent, step=method, written=True
            ) from lost
        if self._is_silent(member):
            self._silent.remove(member.agent)
            LOG.info("An agent answers again.", agent=member.agent)
        return answer

    def _is_silent(self, member: Member) -> bool:
        return member.agent in self._silent

    def _try_again(self, member: Member, query: ttypes.RankQuery) -> None:
        """Ask a silent agent now and then, without waiting for it."""
        now = self._clock.monotonic()
        if now - self._tried_at.get(member.agent, float("-inf")) < AGAIN_S:
            return
        self._tried_at[member.agent] = now
        asked = defer.ensureDeferred(self._call(member, "rank", query))
        # It stays silent then, which has been logged.
        asked.addErrback(lambda failed: failed.trap(link.LinkError))

    async def _tell_directly(
        self, member: Member
    ) -> rank_wire.RankReport | None:
        """Ask a rank itself, so that its answer is no older than the call."""
        port = self._port_to(member.upstream)
        try:
            # One that is gone does not answer now either.
            await port.report()
            await task.deferLater(self._reactor, REPORT_LAG_S)
            found = await port.report()
        except error.CodedError:
            return None
        return rank_wire.RankReport(found)
