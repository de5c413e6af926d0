"""Fake ranks and engines, and a group controller that uses them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from reelscale_core import clock, rank
from reelscale_daemon.controllers import group, rank_reports
from twisted.internet import task

RANKS = ("r0", "r1")


class Ranks:
    """Two ranks, one of which does not answer just after a hold.

    Attributes:
      unresponsive_queries: Number of queries after a hold without its answer.
      remaining_unresponsive: How many of these are still to come.
      on_hold: Called when a hold has been executed.
      execute: Applies an order to hold the group.
    """

    def __init__(self):
        self.by_name = {
            name: rank.Rank("g", 1, number, 2, True, 5, 0, 9)
            for number, name in enumerate(RANKS)
        }
        self.remaining_unresponsive = 0
        self.unresponsive_queries = 1
        self.on_hold = lambda: None
        self.execute = self.by_name.__setitem__

    async def query_all(self):
        """Return the ranks that answer."""
        if self.remaining_unresponsive:
            self.remaining_unresponsive -= 1
            return {"r0": self.by_name["r0"]}
        return dict(self.by_name)

    def choose(self, by_name, limits):
        """Return the same better layout at each call."""
        return rank_reports.BetterLayout((((0,), (1,)),), 2.0, 1.0, 1)

    def record_in_use(self, by_name, wanted):
        """Do nothing."""

    async def order(self, member, order, *, fence, epoch):
        """Execute an order; the answer to a hold is lost."""
        state = self.by_name[member]
        match order:
            case rank.Prepare(version=version):
                state = state._replace(prepared=version)
            case rank.Hold(step=step):
                state = state._replace(held=step)
            case rank.Arm(version=version, step=step):
                state = state._replace(armed=rank.Armed(version, step))
            case rank.Go():
                state = state._replace(held=None)
        if isinstance(order, rank.Hold):
            self.execute(member, state)
            self.remaining_unresponsive = self.unresponsive_queries
            self.on_hold()
            return rank.Outcome.UNKNOWN, None
        self.by_name[member] = state
        return rank.Outcome.TAKEN, state


class Engines:
    """Engines without limits."""

    async def limits(self, target):
        """Return None: no limits are known."""


def make_holder(context, ranks=None, engines=None):
    """Set up a scenario's clock, ranks and group controller."""
    context.clock, context.ranks = task.Clock(), ranks or Ranks()
    members = types.SimpleNamespace(
        local_name="r0", slots=4, by_name={name: name for name in RANKS}
    )
    context.group = group.Group(
        reactor=context.clock,
        clock=clock.FakeClock(),
        reach=context.ranks,
        ranks=context.ranks,
        engines=engines or Engines(),
        members=members,
        target="g",
    )
