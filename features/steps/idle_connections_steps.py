"""Steps on what waits unread on an idle connection."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import select

from behave import given, then, when

from features import tcp_connections as tcp

SURPLUS = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ARRIVAL_TIMEOUT_S = 5.0


@given("a pool with an idle connection to a peer")
def _(context):
    context.pool = tcp.Pool()
    context.conn = context.pool.acquire_now()
    context.pool.release(context.conn)


@when("nothing arrives and is not read yet")
def _(context):
    assert context.conn.usable


@when("a surplus answer arrives and is not read yet")
def _(context):
    context.conn.transport.peer.sendall(SURPLUS)
    _wait_readable(context)


@when("a close arrives and is not read yet")
def _(context):
    context.conn.transport.peer.close()
    _wait_readable(context)


def _wait_readable(context):
    handle = context.conn.transport.getHandle()
    readable, _, _ = select.select([handle], [], [], ARRIVAL_TIMEOUT_S)
    assert readable, "nothing arrived"


@then("the next request goes out on that connection")
def _(context):
    assert context.pool.acquire_now() is context.conn


@then("the next request goes out on a new connection")
def _(context):
    assert context.pool.acquire_now() is not context.conn
    assert not context.conn.usable
