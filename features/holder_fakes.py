"""Two ranks and an engine in this process, and a holder that reaches them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types

from reelscale_core import clock, rank
from reelscale_daemon.controllers import group, rank_reports
from twisted.internet import task

RANKS = ("r0", "r1")


class Ranks:
    """Two ranks; one is not heard once, just after the group was held."""

    def __init__(self):
        self.by_name = {
            name: rank.Rank("g", 1, number, 2, True, 5, 0, 9)
            for number, name in enumerate(RANKS)
        }
        self.silent = 0
        self.silent_looks = 1
        self.on_hold = lambda: None
        self.carry_out = self.by_name.__setitem__

    async def query_all(self):
        """Return the ranks that are heard."""
        if self.silent:
            self.silent -= 1
            return {"r0": self.by_name["r0"]}
        return dict(self.by_name)

    def choose(self, by_name, limits):
        """Want one layout, always."""
        return rank_reports.BetterLayout((((0,), (1,)),), 2.0, 1.0, 1)

    def record_in_use(self, by_name, wanted):
        """Do nothing."""

    async def order(self, member, order, *, fence, epoch):
        """Carry an order out; the answer to the first hold is lost."""
        found = self.by_name[member]
        match order:
            case rank.Prepare(version=version):
                found = found._replace(prepared=version)
            case rank.Hold(step=step):
                found = found._replace(held=step)
            case rank.Arm(version=version, step=step):
                found = found._replace(armed=rank.Armed(version, step))
            case rank.Go():
                found = found._replace(held=None)
        if isinstance(order, rank.Hold):
            self.carry_out(member, found)
            self.silent = self.silent_looks
            self.on_hold()
            return rank.Outcome.UNKNOWN, None
        self.by_name[member] = found
        return rank.Outcome.TAKEN, found


class Engines:
    """Engines that allow anything."""

    async def limits(self, target):
        """Know no limit."""


def make_holder(context, ranks=None, engines=None):
    """Give a scenario a clock, ranks and a holder that looks after them."""
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
