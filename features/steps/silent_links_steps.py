"""Steps on dead links between processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when
from reelscale_core import rank
from reelscale_daemon import rank_wire
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, reactor, task
from zope.interface import implementer

from features import platform_clients as clients
from features import silent_relays as relays
from standins import fleet, process, ranked

LINK_TIMEOUT_S = 0.25


def _link_to(context, address):
    context.relay = relays.relay(context, address)
    context.link = link.Link(reactor=reactor, address=context.relay.address)


@given("a link to an agent through a relay")
def _(context):
    made = context.cluster = ranked.Ranked().__enter__()
    data, _ = clients.settings_file(made, made.agents[0])
    order = rank_wire.to_order(rank.Disarm(99), fence=1, epoch=1)
    query = ttypes.RankQuery(counts=False, experts=False)
    context.calls = [("rank", query), ("order_rank", order)]
    _link_to(context, data["peer"])
    # An agent answers once it has connected to its rank.
    process.wait_for(
        lambda: not isinstance(_call(context, 0), link.LinkError), "the agent"
    )


@given("a link to an entry through a relay")
def _(context):
    made = context.cluster = fleet.Fleet(workers=()).__enter__()
    query = ttypes.StateRequest(have_offset=0)
    context.calls = [("state", query), ("roster", ttypes.RosterQuery(0))]
    _link_to(context, made.peer["f1"])


def _call(context, number):
    method, message = context.calls[number]
    return clients.run_on_reactor(
        context.link.call, method, message, timeout_s=LINK_TIMEOUT_S
    )


@when("the link has been used")
def _(context):
    for number in range(len(context.calls)):
        answer = _call(context, number)
        assert not isinstance(answer, Exception), answer
    context.opened = context.relay.opened


@when("the link is idle for {seconds:f} s")
def _(context, seconds):
    clients.run_on_reactor(task.deferLater, reactor, seconds)


@then("a call over the link fails after its time-out and is not retried")
def _(context):
    start = time.monotonic()
    answer = _call(context, 1)
    taken_s = time.monotonic() - start
    assert isinstance(answer, link.LinkError), answer
    assert answer.written, "a written call was reported as not written"
    assert taken_s < LINK_TIMEOUT_S + relays.SLACK_S, taken_s
    assert context.relay.opened == context.opened, (
        "retried on another connection"
    )


@then("the next call over the link is answered")
def _(context):
    for number in range(len(context.calls)):
        answer = _call(context, number)
        assert not isinstance(answer, Exception), answer
    assert context.relay.opened == context.opened + 1, context.relay.opened


@implementer(Peer.Iface)
class _SlowPeer:
    """Answers each call after a set delay."""

    def __init__(self):
        self.delays_s = [0.7, 0.6, 0.0]

    def state(self, query):
        reply = ttypes.StateReply(
            offset=query.have_offset, digest="", state=b""
        )
        return task.deferLater(reactor, self.delays_s.pop(0), lambda: reply)


@given("a peer that answers its first two calls slowly")
def _(context):
    context.server = link.Server(handler=_SlowPeer(), reactor=reactor)
    port = reactor.listenTCP(0, context.server, interface="127.0.0.1")
    context.add_cleanup(port.stopListening)
    address = f"127.0.0.1:{port.getHost().port}"
    context.link = link.Link(reactor=reactor, address=address)
    context.add_cleanup(context.link.close)


def _ask_state(context, number, timeout_s):
    query = ttypes.StateRequest(have_offset=number)
    return context.link.call("state", query, timeout_s=timeout_s)


@when("two calls are sent and the first times out")
def _(context):
    async def both():
        first = defer.ensureDeferred(_ask_state(context, 1, 0.2))
        second = defer.ensureDeferred(_ask_state(context, 2, 2.0))
        return await defer.DeferredList([first, second], consumeErrors=True)

    context.outcomes = clients.run_on_reactor(both)


@then("the second is still answered")
def _(context):
    (first_good, _), (second_good, second) = context.outcomes
    assert not first_good, context.outcomes
    assert second_good, second
    assert second.offset == 2, second


@then("the call after them is answered")
def _(context):
    answer = clients.run_on_reactor(_ask_state, context, 3, 1.0)
    assert getattr(answer, "offset", None) == 3, answer
