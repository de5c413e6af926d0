"""Steps on bytes that come without end."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when
from reelscale_daemon.exchange import connection, fetch
from twisted.internet import defer

from features import answer_paths as paths
from features import tcp_connections as tcp
from standins import garbage

KINDS = {
    "a stream": "chat",
    "a request that may run twice": "read",
    "a request that must not run twice": "push",
}
KILOBYTE = 1024
PIECE = b"x" * 16 * KILOBYTE
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
# What stands for no end; far above all limits.
PIECES = 400
ID = b"Request-Id: %b\r\n" % paths.REQUEST_ID.encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STAMP = b"Response-Stamp: stamp-w\r\n"
REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + ID + CHUNKED
UNSTATED = b"HTTP/1.1 503 Full\r\n" + ID + CHUNKED
ERROR = b"HTTP/1.1 500 Error\r\n" + ID + STAMP + CHUNKED
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: %b\r\n\r\n" % (b"x" * 8000)


def _success(kind):
    head, _ = paths.true_answer(kind=kind)
    return b"".join(head) + CHUNKED


def _endless(what, kind):
    """Return the begin of an answer, and what follows without end."""
    first = garbage.event(1)
    return {
        "a line of a head": (b"HTTP/1.1 200 OK\r\nX: ", PIECE),
        "lines of a head": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 2000),
        "interim heads": (b"", INTERIM),
        "a chunk's extension": (_success(kind) + b"5;", PIECE),
        "a trailer": (_success(kind) + b"0\r\n", b"X: y\r\n" * 2000),
        "text in an event": (_success(kind), CHUNK),
        "garbage between events": (
            _success(kind) + b"%x\r\n%b\r\n" % (len(first), first),
            CHUNK,
        ),
        "the body of a refusal": (REFUSAL, CHUNK),
        "the body of an unstated refusal": (UNSTATED, CHUNK),
        "the body of an error": (ERROR, CHUNK),
    }[what]


def _sound(kind):
    def send(after):
        head, body = paths.true_answer(kind=kind, after=after)
        spoilt = garbage.Spoilt("", "chunked", b"")
        return paths.Script([garbage.answer(spoilt, head, body)])

    return send


def _play(context, kind, script):
    context.kind = KINDS[kind]
    upstreams = [lambda _after: script, _sound(context.kind)]
    context.seen = paths.Play(upstreams, kind=context.kind).run()
    context.played = [(kind, context.seen)]


@when("{what} comes without end in answer to {kind}")
def _(context, what, kind):
    begin, more = _endless(what, KINDS[kind])
    if what == "text in an event":
        begin += b"%x\r\n%b\r\n" % (13, b"id: 1\ndata: x")
    script = paths.Script([begin, *[more] * PIECES], "stall")
    _play(context, kind, script)


@when("{what} stops before its end in answer to {kind}")
def _(context, what, kind):
    begin, _ = _endless(what, KINDS[kind])
    _play(context, kind, paths.Script([begin + b"5\r\nxx"], "stall"))


def _check_read(context, limit):
    assert context.seen.read[0] <= limit * KILOBYTE, context.seen.read


@then("at most {limit:d} KB of it are read, and another one answers")
def _(context, limit):
    _check_read(context, limit)
    _check_other(context)


@then("at most {limit:d} KB of it are read, and the answer is a 502")
def _(context, limit):
    _check_read(context, limit)
    _check_failed(context)


@then("the request does not wait for it, and another one answers")
def _check_other(context):
    seen = context.seen
    _, body = paths.true_answer(kind=context.kind)
    assert len(seen.resumed_after) == 2 and not seen.expired, seen
    assert seen.status == 200 and seen.body == b"".join(body), seen


@then("the request does not wait for it, and the answer is a 502")
def _check_failed(context):
    seen = context.seen
    assert len(seen.resumed_after) == 1 and not seen.expired, seen
    assert seen.status == 502, seen


@when("a success comes without end to a caller who reads nothing")
def _(context):
    script = paths.Script([_success("read"), *[CHUNK] * PIECES])
    play = paths.Play([lambda _after: script], kind="read")
    play.pause_caller_after = 512 * KILOBYTE
    context.seen = play.run()


@then("little of it is held, and the caller sees that it breaks off")
def _(context):
    seen = context.seen
    assert seen.status == 200 and not seen.complete, seen.status
    assert seen.read[0] <= 1024 * KILOBYTE, seen.read


@when(
    "bytes without end follow a whole answer to {kind} whose caller reads "
    "nothing"
)
def _(context, kind):
    kind = KINDS[kind]
    # What the caller gets before it stops reading, and the rest.
    if kind == "chat":
        body = [garbage.event(1), garbage.event(2), garbage.event(3)]
    else:
        body = [b"x" * 300 * KILOBYTE, b"x", b"x"]
    first, *rest = (b"%x\r\n%b\r\n" % (len(p), p) for p in body)
    pieces = [_success(kind) + first, b"".join(rest) + b"0\r\n\r\n"]
    script = paths.Script([*pieces, *[PIECE] * PIECES], "stall")
    play = paths.Play([lambda _after: script], kind=kind)
    play.pause_caller_after = 0
    context.seen = play.run()


@then("at most {limit:d} KB of all this is taken from the upstream")
def _(context, limit):
    _check_read(context, limit)


@when("a surplus answer comes without end")
def _(context):
    conn = tcp.Pool().acquire_now()
    request = connection.Request(b"POST", b"/x", [(b"Host", b"h")], b"body")
    conn.send(request, request_id="r2")
    done = []

    async def read():
        await conn.head()
        await conn.skip_answer()

    defer.ensureDeferred(read()).addBoth(done.append)
    conn.dataReceived(REFUSAL)
    context.read = 0
    while not done and context.read < PIECES * len(CHUNK):
        conn.dataReceived(CHUNK)
        context.read += len(CHUNK)
    context.done = done


@then("at most {limit:d} KB of it are read")
def _(context, limit):
    assert context.read <= limit * KILOBYTE, context.read
    context.done[0].trap(connection.ExchangeError)


TIMEOUT_S = 0.06
CALLS = {
    "a body": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, CHUNK),
    "interim heads": (b"", INTERIM),
    "a head": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 2000),
}


def _call(context):
    """Begin a call of this process; return its connection."""
    context.pool, context.done = tcp.Pool(), []
    pending = fetch.fetch(
        context.pool,
        tcp.ADDRESS,
        connection.Request(b"GET", b"/api/report", [(b"Host", b"h")]),
        reactor=context.pool.reactor,
        timeout_s=TIMEOUT_S,
    )
    defer.ensureDeferred(pending).addBoth(context.done.append)
    (conn,) = context.pool.opened_connections
    return conn


@when("the answer to a call of this process has {what} without end")
def _(context, what):
    conn, (begin, more) = _call(context), CALLS[what]
    if begin:
        conn.dataReceived(begin)
    context.read = 0
    while not context.done and context.read < 2 * PIECES * len(CHUNK):
        conn.dataReceived(more)
        context.read += len(more)


@then("at most {limit:d} KB of it are read, and the call fails")
def _(context, limit):
    assert context.read <= limit * KILOBYTE, context.read
    context.done[0].trap(connection.ExchangeError)


@when("a byte of the answer to a call of this process comes every 10 ms")
def _(context):
    conn = _call(context)
    conn.dataReceived(CALLS["a body"][0])
    context.seconds = 0.0
    while not context.done and context.seconds < 1.0:
        conn.dataReceived(b"1\r\nx\r\n")
        context.seconds += 0.01
        context.pool.clock.advance(0.01)
        context.pool.reactor.advance(0.01)


@then("the call fails after its time-out of 60 ms")
def _(context):
    context.done[0].trap(connection.ExchangeError)
    assert context.seconds <= TIMEOUT_S + 0.011, context.seconds
