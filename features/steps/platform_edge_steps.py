"""Steps on the edge: bytes of callers that are no request, or a bad one."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket
import time

import hypothesis
from behave import then, when
from hypothesis import strategies

from features import platform_clients as clients


def _raw(made, data, seconds=8.0):
    """Send bytes; return what comes back until the connection closes."""
    host, port = made.http["f1"].rsplit(":", 1)
    got = b""
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        sock.sendall(data)
        try:
            while piece := sock.recv(65536):
                got += piece
        except ConnectionResetError:
            pass
    return got


@when("these bytes are sent: {raw}")
def _(context, raw):
    context.ran = len(context.cluster.ledger())
    context.got = _raw(context.cluster, clients.decoded(raw))


@when("a head of {size:d} bytes in one line is sent")
def _(context, size):
    head = b"GET /" + b"a" * size + b" HTTP/1.1\r\n\r\n"
    context.got = _raw(context.cluster, head)


@when("a head of {size:d} bytes in many lines is sent")
def _(context, size):
    line = b"X-Filler: " + b"a" * 88 + b"\r\n"
    head = b"GET / HTTP/1.1\r\n" + line * (size // 100) + b"\r\n"
    context.got = _raw(context.cluster, head)


@then("the answer starts with status {status:d}, the connection closes")
def _(context, status):
    assert context.got.startswith(b"HTTP/1.1 %d " % status), context.got


@then("no worker ran anything of it")
def _(context):
    assert len(context.cluster.ledger()) == context.ran


@when("half a head is sent and nothing more")
def _(context):
    start = time.monotonic()
    context.got = _raw(context.cluster, b"GET /read/x HTTP/1.1\r\nHost: a")
    context.seconds = time.monotonic() - start


@then("the connection is closed within {seconds:d} s without an answer")
def _(context, seconds):
    assert context.got == b"", context.got
    # The operator allows a head one second.
    assert 0.5 < context.seconds < seconds, context.seconds


@when("a body is sent in {count:d} chunks")
def _(context, count):
    made = context.cluster
    headers = {**made.headers(), "Transfer-Encoding": "chunked"}
    context.id = headers["Request-Id"]
    pieces = [b"piece %d" % number for number in range(count)]
    context.body = b"".join(pieces)
    conn = made.connect()
    body = iter(pieces)
    conn.request(
        "POST", "/push/x", body=body, headers=headers, encode_chunked=True
    )
    assert conn.getresponse().status == 200


@then("the worker saw the body of {count:d} chunks")
def _(context, count):
    runs = context.cluster.runs_of(context.id)
    assert [run["body"].encode() for run in runs] == [context.body], runs


@when("{count:d} generated heads are sent")
def _(context, count):
    made = context.cluster
    context.ran = len(made.ledger())
    context.answers = []
    name = strategies.sampled_from(
        [b"Host", b"Content-Length", b"Transfer-Encoding", b"X", b"", b"\x00"]
    )
    value = strategies.one_of(
        strategies.sampled_from([b"5", b"chunked", b"api.example", b"-1"]),
        strategies.binary(max_size=20),
    )
    rows = strategies.lists(strategies.tuples(name, value), max_size=5)
    first = strategies.one_of(
        strategies.sampled_from(
            [b"GET / HTTP/1.1", b"POST /push/x HTTP/1.1", b"GET  /", b""]
        ),
        strategies.binary(max_size=40),
    )

    @hypothesis.settings(clients.GENERATED, max_examples=count)
    @hypothesis.given(first, rows, strategies.binary(max_size=40))
    def send(line, headers, rest):
        head = b"\r\n".join([line, *(n + b": " + v for n, v in headers)])
        data = head + b"\r\n\r\n" + rest
        host, port = made.http["f1"].rsplit(":", 1)
        address = (host, int(port))
        with socket.create_connection(address, timeout=8) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            try:
                got = sock.recv(65536)
            except ConnectionResetError:
                got = b""
        context.answers.append(got)

    send()


@then("each gets an answer or a closed connection, and no worker ran any")
def _(context):
    assert len(context.answers) >= 100, len(context.answers)
    for got in context.answers:
        assert got == b"" or got.startswith(b"HTTP/1.1 "), got
        assert not got.startswith(b"HTTP/1.1 2"), got
    assert len(context.cluster.ledger()) == context.ran


@then("the entry still serves")
def _(context):
    assert context.cluster.ask("/push/x").is_success
