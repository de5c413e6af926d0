"""Steps on connections that close while their caller still sends."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import re
import signal
import socket
import threading
import time

from behave import given, then, when

from features import slow_callers as slow
from standins import fleet, process

MEGABYTE = 1_000_000
UPLOADS = 4
JUNK = b"x" * 4 * MEGABYTE


@given("a fleet of its own whose streams are not resumable")
def _(context):
    made = fleet.Fleet()
    made.config["routes"][0]["resumable"] = False
    context.cluster = made.__enter__()


def _send_and_read(context, data):
    """Send from a thread, so that reading can't block it; read to the end."""

    def send():
        try:
            context.sock.sendall(data)
        except OSError as failed:
            print("could not send all data:", failed)

    sender = threading.Thread(target=send)
    sender.start()
    context.read = slow.read_all(context.sock)
    sender.join(slow.READ_TIMEOUT_S)


def _head(context, method, path, **more):
    headers = {**context.cluster.headers(), **more}
    host = headers.pop("Host")
    return slow.head(method, path, host, headers)


@when("the entry receives SIGTERM and the caller uploads 4 MB, then reads")
def _(context):
    context.cluster.processes["f1"].signal(signal.SIGTERM)
    head = _head(context, "POST", "/read/up", **{"Content-Length": "1000000"})
    _send_and_read(context, (head + b"x" * MEGABYTE) * UPLOADS)


@when("the caller sends a malformed request and 4 MB more, then reads")
def _(context):
    later = _head(context, "POST", "/push/behind", **{"Content-Length": "0"})
    data = b"no request\r\n\r\n" + later + JUNK
    _send_and_read(context, data)


@when("the caller sends a request head of 4 MB, then reads")
def _(context):
    later = _head(context, "POST", "/push/behind", **{"Content-Length": "0"})
    head = b"GET /read/x HTTP/1.1\r\nHost: api.example\r\nLong: "
    _send_and_read(context, head + JUNK + b"\r\n\r\n" + later)


@when("the caller requests a stream that is interrupted, then reads")
def _(context):
    made = context.cluster
    for name, (service, _) in made.workers.items():
        if service == "llm":
            made.set_faulty(name, True)
    headers = {"Content-Length": "0"}
    head = _head(context, "POST", "/chat/cut/x", **headers)
    context.sock.sendall(head)

    def broken():
        rows = made.log_lines("f1")
        return any(row["text"] == "An answer broke off." for row in rows)

    process.wait_for(broken, "the stream to be interrupted")
    context.read = slow.read_all(context.sock)


@when("the caller sends a malformed request and 4 MB more, and never reads")
def _(context):
    context.sock.settimeout(1)
    try:
        context.sock.sendall(b"no request\r\n\r\n" + JUNK)
    except TimeoutError:
        pass


@when(
    "its entry receives SIGTERM and the caller sends another request, then "
    "reads"
)
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    address = made.http[entry].removeprefix("http://")
    made.processes[entry].signal(signal.SIGTERM)
    slow.wait_refused(address)
    completion = {"model": "m1", "prompt": "one", "max_tokens": 1}
    body = json.dumps(completion).encode()
    headers = {**made.headers(), "Content-Length": str(len(body))}
    head = slow.head("POST", "/v1/completions", address, headers)
    context.sock.sendall(head + body)
    context.read = slow.read_all(context.sock)


@when("a caller requests an endless answer of {kind} and never reads")
def _(context, kind):
    made = context.cluster
    for name in made.workers:
        made.set_faulty(name, True)
    context.sock = slow.connect(made.http["f1"])
    path = "/chat/flood" if kind == "events" else "/read/flood"
    head = _head(context, "POST", path, **{"Content-Length": "0"})
    context.sock.sendall(head)

    def held():
        rows = made.ledger()
        return rows and rows[-1].get("held_since")

    process.wait_for(held, "the answer to be blocked by its caller")


@then("its request ends within {limit:d} s and the slot is released")
def _(context, limit):
    made = context.cluster

    def ended():
        rows = [r for r in made.log_lines("f1") if r["text"] == slow.ENDED]
        return rows and rows[-1]

    row = process.wait_for(ended, "the request to end", limit)
    assert row["code"] == "timeout", row
    text = made.client.get(f"http://{made.health['f1']}/metrics").text
    (running,) = re.findall(r"^reelscale_running (\S+)", text, re.M)
    assert float(running) == 0, running


def _after_answers(context, size):
    """Return what was received after the answers of the first requests."""
    return context.read.rpartition(b"x" * size)[2]


@then("the crossing request is refused as not run, and no worker ran it")
def _(context):
    answer = _after_answers(context, 1000)
    assert answer.startswith(b"HTTP/1.1 503"), answer
    assert b"connection: close" in answer.lower(), answer
    assert b"retry-after: 0" in answer.lower(), answer
    assert answer.count(b"HTTP/1.1") == 1, answer
    ran = [r for r in context.cluster.ledger() if r["path"] == "/read/x"]
    assert not ran, ran


@then("the caller receives all {size:d} MB, followed by a refusal")
def _(context, size):
    head, _, rest = context.read.partition(b"\r\n\r\n")
    length = int(re.search(rb"content-length: (\d+)", head.lower())[1])
    text = json.loads(rest[:length])["choices"][0]["text"]
    assert len(text) == size * MEGABYTE, len(text)
    refusal = rest[length:]
    assert refusal.startswith(b"HTTP/1.1 503"), refusal
    assert b"outcome: not-run" in refusal.lower(), refusal


@then("the last answer has status {status:d} and no later request ran")
def _(context, status):
    answer = _after_answers(context, 1000)
    assert answer.startswith(b"HTTP/1.1 %d" % status), answer
    assert answer.count(b"HTTP/1.1") == 1, answer
    ran = [r for r in context.cluster.ledger() if "behind" in r["path"]]
    assert not ran, ran


@then("the stream has no end marker")
def _(context):
    answer = _after_answers(context, 1000)
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert answer.count(b"HTTP/1.1") == 1, answer
    assert b"transfer-encoding: chunked" in answer.lower(), answer
    assert not answer.endswith(b"0\r\n\r\n"), answer


@then("its connection is reset within {limit:d} s")
def _(context, limit):
    def lost():
        error = context.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error != 0

    started_at = time.monotonic()
    process.wait_for(lost, "the connection to be reset", limit)
    print(f"reset after {time.monotonic() - started_at:.1f} s")
