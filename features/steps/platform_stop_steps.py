"""Steps on stopping and reloading an entry, and on its edge."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import signal
import socket
import threading
import time

import hypothesis
from behave import then, when
from hypothesis import strategies

from features.steps import platform_steps as shared
from standins import fleet, process

GRACE_S = 6


class Streams:
    """Clients that stream in threads of their own."""

    def __init__(self, made, count):
        self.texts = []
        self.count = count
        self._threads = [
            threading.Thread(target=self._run, args=(made,))
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()
        process.wait_for(
            lambda: len(made.ledger("llm")) >= count, "streams to begin"
        )

    def _run(self, made):
        answer = shared.broken_off(lambda: made.ask("/chat/slow"))
        self.texts.append(answer.text if answer else None)

    def wait(self):
        """Wait until all have ended; return their texts."""
        for thread in self._threads:
            thread.join(30)
        return self.texts


@when(
    "an entry is told to stop during {count:d} streams and a kept connection"
)
def _(context, count):
    made = context.cluster
    context.kept = made.connect()
    shared._send(context.kept, made.headers(), "/push/x")
    assert context.kept.getresponse().read()
    context.streams = Streams(made, count)
    made.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then("it is not ready at once")
def _(context):
    process.wait_for(lambda: not context.cluster.ready("f1"), "not ready", 2)


@then("every stream ends whole")
def _(context):
    texts = context.streams.wait()
    assert texts, "no streams"
    for text in texts:
        assert shared.events(text or "") == fleet.STREAM, text


@then("the kept connection is served once more and told to close")
def _(context):
    # An entry keeps connections open for a moment after the signal; one
    # that it closed without having read a request is no loss.
    made = context.cluster

    def once_more():
        shared._send(context.kept, made.headers(), "/push/x")
        answer = context.kept.getresponse()
        return answer.getheader("connection"), answer.read()

    got = shared.broken_off(once_more)
    if got is not None:
        assert got[0] == "close" and got[1], got


@then("it refuses new connections before its streams have ended")
def _(context):
    made = context.cluster
    host, port = made.http["f1"].rsplit(":", 1)

    def refused():
        try:
            socket.create_connection((host, int(port)), 2).close()
        except ConnectionRefusedError:
            return True
        return False

    process.wait_for(refused, "connections to be refused")
    assert made.processes["f1"].running
    # Those that the faulty worker makes slow are still in progress.
    assert len(context.streams.texts) < context.streams.count


@when("an entry is told to stop during a request that never ends")
def _(context):
    made = context.cluster
    conn = made.connect()
    shared._send(conn, made.headers(), "/push/mute")
    context.open = conn
    process.wait_for(lambda: made.ledger("push"), "the request to run")
    made.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then("the process ends by itself with status 0 within its grace time")
def _(context):
    status = context.cluster.processes["f1"].popen.wait(GRACE_S * 2)
    seconds = time.monotonic() - context.stopped_at
    assert status == 0, status
    assert seconds < GRACE_S, seconds


@when(
    "an entry gets SIGHUP with a changed settings file during {count:d} "
    "streams"
)
def _(context, count):
    made = context.cluster
    context.streams = Streams(made, count)
    data, path = shared.settings_file(made, "f1")
    path.write_text(json.dumps({**data, "retry_ratio": 0.3}))
    made.processes["f1"].signal(signal.SIGHUP)


@then("its log names the settings that changed")
def _(context):
    made = context.cluster

    def named():
        return any(
            row.get("changed") == ["retry_ratio"]
            for row in made.log_lines("f1")
        )

    process.wait_for(named, "the line")


@when("an entry gets SIGHUP with a bad settings file")
def _(context):
    made = context.cluster
    data, path = shared.settings_file(made, "f1")
    path.write_text(json.dumps({**data, "grace_s": "long"}))
    made.processes["f1"].signal(signal.SIGHUP)


@then("its log says what is bad and it serves on")
def _(context):
    made = context.cluster

    def said():
        return any("grace_s" in json.dumps(r) for r in made.log_lines("f1"))

    process.wait_for(said, "the line")
    assert made.ask("/push/x").is_success


# The edge.


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
    context.got = _raw(context.cluster, shared.decoded(raw))


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

    @hypothesis.settings(shared.SETTINGS, max_examples=count)
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
