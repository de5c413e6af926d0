"""Steps on answers of a rank to its agent, some of them sent twice."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json

from behave import given, then, when
from reelscale_core import rank
from reelscale_platform import ranks
from twisted.internet import defer

from features import tcp_connections as tcp

REPORT = {
    "size": 2,
    "step": 5,
    "map": 0,
    "active": 0,
    "queued": 0,
    "in_flight": False,
    "group": {"name": "g", "epoch": 1, "rank": 0, "state": "open"},
}
ARM = rank.Arm(version=7, step=9)


def _answer(status, data=b""):
    head = f"HTTP/1.1 {status} Reason\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


_REPORT_ANSWER = _answer(200, json.dumps(REPORT).encode())


def _begin(coroutine):
    """Start a call; return the list that gets its result."""
    done = []
    defer.ensureDeferred(coroutine).addBoth(done.append)
    return done


def _receive(conn, data):
    """Have bytes arrive, unless the connection is closed."""
    if conn.transport.getHandle().fileno() >= 0:
        conn.dataReceived(data)


def _newest(context):
    return context.pool.opened_connections[-1]


@given("an agent that is reading a report of its rank")
def _(context):
    context.pool = tcp.Pool()
    context.port = ranks.Port(
        reactor=context.pool.reactor,
        connections=context.pool,
        address=tcp.ADDRESS,
    )
    context.report = _begin(context.port.report())
    context.first = _newest(context)


@given("an agent that has read a report of its rank")
def _(context):
    context.execute_steps(
        "Given an agent that is reading a report of its rank\n"
        "When the report arrives"
    )


@when("the report arrives")
def _(context):
    _receive(context.first, _REPORT_ANSWER)
    assert isinstance(context.report[0], rank.Rank), context.report


def _send_order(context):
    # Connections that are opened for it are newer than the others.
    context.pool.clock.advance(0.01)
    context.order = _begin(context.port.order(ARM, fence=1, epoch=1))


@when("it sends an order and a copy of the report arrives")
def _(context):
    _send_order(context)
    _receive(context.first, _REPORT_ANSWER)


@when("it sends an order that the rank accepts")
def _(context):
    _send_order(context)
    _receive(_newest(context), _answer(202))
    assert context.order == [rank.Outcome.TAKEN], context.order


@when("the rank accepts the order")
def _(context):
    _receive(_newest(context), _answer(202))


@when("it asks for a report and a copy of the earlier report arrives")
def _(context):
    context.report = _begin(context.port.report())
    _receive(context.first, _REPORT_ANSWER)


@then("the order has no outcome yet")
def _(context):
    assert not context.order, context.order


@then("the outcome of the order is taken")
def _(context):
    assert context.order == [rank.Outcome.TAKEN], context.order


@then("it has no report yet")
def _(context):
    assert not context.report, context.report
