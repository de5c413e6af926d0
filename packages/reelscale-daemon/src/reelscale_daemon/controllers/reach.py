"""Reaches the ranks of a group, as a rule through the agents beside them.

Asked from another machine a rank is slower and costs more; that is done only
while its agent is silent, so that a change can be brought to its end whoever
has gone.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import NamedTuple

from reelscale_core import clock, error, rank
from reelscale_wire import link
from reelscale_wire.gen import ttypes

from .. import logs, rank_wire
from ..adapters import base
from . import own_rank

LOG = logs.Part("reach")
# An agent that has not answered after this long, in seconds, is asked again;
# the way there and back takes 3 ms, and the rank is given 0.06 s.
TIMEOUT_S = 0.25
# The rank of an agent that was silent for so long, in seconds, is asked
# itself: two questions in a row had no answer.
SILENT_S = 0.4
# Seconds between two such questions, since a cut lasts and each has a price.
DIRECT_EVERY_S = 0.3


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
        clock: clock.Clock,
        links: link.Links,
        port_to: Callable[[str], base.RankPort],
    ) -> None:
        """Make it.

        Args:
          clock: The time.
          links: Connections to agents.
          port_to: Gives the rank at an address, which may be far.
        """
        self._clock = clock
        self._links = links
        self._port_to = port_to
        self._silent_since: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}

    async def tell(
        self, member: Member, *, experts: bool
    ) -> rank_wire.Told | None:
        """Return what a rank reports, with its counters; None if nothing."""
        query = ttypes.RankQuery(counts=True, experts=experts)
        try:
            answer = await self._call(member, "rank", query)
            return rank_wire.from_told(answer)
        except (link.LinkError, ValueError):
            # The silence shows: the group is not whole without this rank.
            pass
        if not self._may_ask(member):
            return None
        return await self._tell_directly(member)

    async def order(
        self, member: Member, order: rank.Order, *, fence: int, epoch: int
    ) -> tuple[rank.Outcome, rank.Rank | None]:
        """Give a rank an order; return its outcome and the rank after it."""
        message = rank_wire.to_order(order, fence=fence, epoch=epoch)
        try:
            answer = await self._call(member, "order_rank", message)
            told = answer.rank and rank_wire.from_told(answer.rank).rank
            return own_rank.outcome_of(answer), told
        except (link.LinkError, ValueError) as lost:
            LOG.warning(
                "An order has no answer.",
                to=member.agent,
                order=message.kind,
                reason=str(lost),
            )
        if not self._is_silent(member):
            return rank.Outcome.UNKNOWN, None
        port = self._port_to(member.upstream)
        outcome = await port.order(order, fence=fence, epoch=epoch)
        LOG.info(
            "An order went to a rank itself.",
            to=member.upstream,
            order=message.kind,
            outcome=outcome.name.lower(),
        )
        told = await self._tell_directly(member)
        return outcome, told.rank if told else None

    async def _call(
        self, member: Member, method: str, message: object
    ) -> object:
        """Call an agent; note since when it is silent."""
        to = self._links.to(member.agent)
        try:
            answer = await to.call(method, message, timeout_s=TIMEOUT_S)
        except link.LinkError:
            now = self._clock.monotonic()
            self._silent_since.setdefault(member.agent, now)
            raise
        self._silent_since.pop(member.agent, None)
        return answer

    def _is_silent(self, member: Member) -> bool:
        now = self._clock.monotonic()
        since = self._silent_since.get(member.agent, now)
        return now - since >= SILENT_S

    def _may_ask(self, member: Member) -> bool:
        """Tell whether a rank is to be asked itself now."""
        now = self._clock.monotonic()
        last = self._asked_at.get(member.agent, float("-inf"))
        if not self._is_silent(member) or now - last < DIRECT_EVERY_S:
            return False
        self._asked_at[member.agent] = now
        return True

    async def _tell_directly(self, member: Member) -> rank_wire.Told | None:
        try:
            found = await self._port_to(member.upstream).report()
        except error.CodedError:
            return None
        return rank_wire.Told(found)
