"""Steps on one rank with a fake agent and outdated direct reports."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import given, then, when
from reelscale_core import clock, rank
from reelscale_daemon import rank_wire
from reelscale_daemon.controllers import reach
from reelscale_wire import link
from twisted.internet import defer, task


class _Agent:
    """A fake agent that reports the current state of its rank."""

    def __init__(self, state):
        self.state = state
        self.unresponsive = False

    def to(self, address):
        return self

    async def call(self, method, message, *, timeout_s):
        if self.unresponsive:
            raise link.LinkError(peer="a", step=method, written=False)
        return rank_wire.report_to_thrift(rank_wire.RankReport(self.state))


class _OutdatedPort:
    """Accepts orders; its reports do not reflect them."""

    def __init__(self, old):
        self.old = old

    async def report(self):
        return self.old

    async def order(self, order, *, fence, epoch):
        return rank.Outcome.TAKEN


@given("a rank whose reports to other boxes are outdated")
def _(context):
    old = rank.Rank("g", 1, 0, 4, True, 7, 3)
    context.agent = _Agent(old._replace(held=9))
    context.reactor = task.Clock()
    context.reach = reach.Reach(
        reactor=context.reactor,
        clock=clock.SystemClock(),
        links=context.agent,
        port_for=lambda address: _OutdatedPort(old),
    )


def _send(context, order):
    """Send the rank an order and advance the clock until its outcome."""
    member = reach.Member("127.0.0.1:1", "127.0.0.1:2")
    sending = defer.ensureDeferred(
        context.reach.order(member, order, fence=1, epoch=1)
    )
    outcomes = []
    sending.addCallback(outcomes.append)
    context.reactor.pump([0.1] * 20)
    assert outcomes, "the order has no outcome"
    (context.outcome, context.reported) = outcomes[0]


@when("it receives a hold")
def _(context):
    _send(context, rank.Hold(9))


@then("the state after the order is the one that its agent reports")
def _(context):
    assert context.outcome == rank.Outcome.TAKEN
    assert context.reported == context.agent.state, context.reported


@when("its agent is unresponsive and it receives the end of the hold")
def _(context):
    context.agent.unresponsive = True
    _send(context, rank.Go(9))


@then("no state is returned with the outcome")
def _(context):
    assert context.outcome == rank.Outcome.TAKEN
    assert context.reported is None, context.reported
