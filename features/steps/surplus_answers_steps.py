"""Steps on surplus answers that arrive on a connection."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import select

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from reelscale_daemon.exchange import connection
from twisted.internet import defer

from features import platform_clients as clients
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


REQUEST = connection.Request(b"POST", b"/x", [(b"Host", b"h")], b"body")
HEAD = b"HTTP/1.1 %d Reason\r\nRequest-Id: %b\r\n"
LENGTH = b"Content-Length: 4\r\n\r\nmore"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
UNFRAMED = b"\r\nmore"
OWN = HEAD % (200, b"r2") + b"Content-Length: 3\r\n\r\nown"


async def _read(conn):
    """Read over one answer and return the next."""
    await conn.head()
    await conn.skip_answer()
    head, body = await conn.head(), b""
    while (piece := await conn.chunk()) is not None:
        body += piece
    return head.get(b"request-id"), body


def _play(data, cuts):
    """Have bytes arrive in pieces; return the connection and what is read."""
    conn = tcp.Pool().acquire_now()
    conn.send(REQUEST, request_id="r2")
    done = []
    defer.ensureDeferred(_read(conn)).addBoth(done.append)
    edges = [0, *sorted(cuts), len(data)]
    for first, last in zip(edges, edges[1:], strict=False):
        conn.dataReceived(data[first:last])
    return conn, done[0]


@when("a surplus answer and the own one arrive in generated pieces")
def _(context):
    context.read = []

    @hypothesis.given(
        strategies.sampled_from((LENGTH, CHUNKS, EMPTY)),
        strategies.sets(strategies.integers(1, 150), max_size=4),
    )
    @clients.GENERATED
    def play(body, cuts):
        data = HEAD % (503, b"r1") + body + OWN
        cuts = {cut for cut in cuts if cut < len(data)}
        context.read.append(_play(data, cuts))

    play()


@then("each time the own answer is read and the connection is not reused")
def _(context):
    assert len(context.read) > 50, len(context.read)
    for conn, read in context.read:
        assert read == (b"r2", b"own"), read
        assert not conn.usable


@when("a surplus answer with neither a length nor chunks arrives")
def _(context):
    data = HEAD % (503, b"r1") + UNFRAMED + OWN
    _, context.read = _play(data, ())


@then("reading over it fails")
def _(context):
    context.read.trap(connection.ExchangeError)
    assert context.read.value.written
