"""Steps on callers that read slowly while their entry stops."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import re
import signal
import time

from behave import then, when

from features import platform_clients as clients
from features import slow_callers as slow
from standins import process, worker_faults

TOKEN_CHARS = 10_000
MEGABYTE = 1_000_000


@when("{count:d} answers are queued for a caller that does not read yet")
def _(context, count):
    made = context.cluster
    for name, (service, _) in made.workers.items():
        if service == "push":
            made.set_faulty(name, True)
    context.count = count
    context.sock = slow.connect(made.http["f1"])
    for _ in range(count):
        headers = made.headers()
        host, context.last_id = headers.pop("Host"), headers["Request-Id"]
        head = slow.head("GET", "/read/bulk", host, headers)
        context.sock.sendall(head)

    def ended():
        rows = made.log_lines("f1")
        return sum(row["text"] == slow.ENDED for row in rows) >= count

    process.wait_for(ended, "the answers to be queued")


@when(
    "the entry receives SIGTERM and the caller reads once it no longer listens"
)
def _(context):
    made = context.cluster
    made.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()
    slow.wait_refused(made.http["f1"])
    context.read = slow.read_all(context.sock)


@when("the entry receives SIGTERM and the caller does not read")
def _(context):
    context.cluster.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@when("the caller disconnects without reading")
def _(context):
    context.sock.close()


@then("the log has its last request and the number of unsent bytes")
def _(context):
    made = context.cluster
    text = "A connection ended before its last answer had left."

    def line():
        rows = made.log_lines("f1")
        return next((row for row in rows if row["text"] == text), None)

    row = process.wait_for(line, "the log line")
    assert row["unsent_bytes"] > MEGABYTE, row
    assert row["request"] == context.last_id, (row, context.last_id)


@then("the caller receives every answer completely")
def _(context):
    body = b"x" * worker_faults.BULK_BYTES
    complete = context.read.count(b"\r\n\r\n" + body)
    assert complete == context.count, (complete, len(context.read))


@then("its last log line has the number of unsent bytes")
def _(context):
    rows = context.cluster.log_lines("f1")
    (last,) = [row for row in rows if row["text"] == "Stopped."]
    assert last["connections"] == 1, last
    assert last["unsent_bytes"] > MEGABYTE, last
    clients.broken_off(context.sock.close)


@when("an answer of {size:d} MB is queued for a caller that does not read yet")
def _(context, size):
    made = context.cluster
    entry = made.entries[0][0]
    address = made.http[entry].removeprefix("http://")
    tokens = size * MEGABYTE // TOKEN_CHARS
    completion = {
        "model": "m1",
        "prompt": f"wide {TOKEN_CHARS}",
        "max_tokens": tokens,
    }
    body = json.dumps(completion).encode()
    headers = {**made.headers(), "Content-Length": str(len(body))}
    before = made.processes[entry].log.read_text().count(slow.ENDED)
    context.sock = slow.connect(address)
    head = slow.head("POST", "/v1/completions", address, headers)
    context.sock.sendall(head + body)
    process.wait_for(
        lambda: (
            made.processes[entry].log.read_text().count(slow.ENDED) > before
        ),
        "the answer to be queued",
    )


@when(
    "its entry receives SIGTERM and the caller reads once it no longer listens"
)
def _(context):
    made = context.cluster
    entry = made.entries[0][0]
    made.processes[entry].signal(signal.SIGTERM)
    slow.wait_refused(made.http[entry].removeprefix("http://"))
    context.read = slow.read_all(context.sock)


@then("the caller receives all {size:d} MB")
def _(context, size):
    head, _, body = context.read.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    assert len(body) == int(length[1]), (len(body), head)
    text = json.loads(body)["choices"][0]["text"]
    assert len(text) == size * MEGABYTE, len(text)


@then("the entry exits with status 0")
def _(context):
    made = context.cluster
    status = made.processes[made.entries[0][0]].popen.wait(20)
    assert status == 0, status
