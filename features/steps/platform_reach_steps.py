"""Steps on one rank by itself, between a fake agent and an old report."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when
from reelscale_core import clock, rank
from reelscale_daemon import rank_wire
from reelscale_daemon.controllers import reach
from reelscale_wire import link
from twisted.internet import defer, task


class _Agent:
    """Answers as an agent does, with the rank's state now."""

    def __init__(self, told):
        self.told = told
        self.silent = False

    def to(self, address):
        return self

    async def call(self, method, message, *, timeout_s):
        if self.silent:
            raise link.LinkError(peer="a", step=method, written=False)
        return rank_wire.report_to_thrift(rank_wire.RankReport(self.told))


class _OldPort:
    """Takes orders; its reports are of before them."""

    def __init__(self, old):
        self.old = old

    async def report(self):
        return self.old

    async def order(self, order, *, fence, epoch):
        return rank.Outcome.TAKEN


@given("a rank whose reports to other boxes are old")
def _(context):
    old = rank.Rank("g", 1, 0, 4, True, 7, 3)
    context.agent = _Agent(old._replace(held=9))
    context.reactor = task.Clock()
    context.reach = reach.Reach(
        reactor=context.reactor,
        clock=clock.SystemClock(),
        links=context.agent,
        port_for=lambda address: _OldPort(old),
    )


def _give(context, order):
    """Give the rank an order; let time pass until its outcome is there."""
    member = reach.Member("127.0.0.1:1", "127.0.0.1:2")
    given_order = defer.ensureDeferred(
        context.reach.order(member, order, fence=1, epoch=1)
    )
    found = []
    given_order.addCallback(found.append)
    context.reactor.pump([0.1] * 20)
    assert found, "the order has no outcome"
    (context.outcome, context.told) = found[0]


@when("it is given a hold")
def _(context):
    _give(context, rank.Hold(9))


@then("the state after the order is the one that its agent tells")
def _(context):
    assert context.outcome == rank.Outcome.TAKEN
    assert context.told == context.agent.told, context.told


@when("its agent is silent and it is given the end of the hold")
def _(context):
    context.agent.silent = True
    _give(context, rank.Go(9))


@then("no state is told with the outcome")
def _(context):
    assert context.outcome == rank.Outcome.TAKEN
    assert context.told is None, context.told
