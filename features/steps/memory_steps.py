"""Steps on memory and backpressure."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import socket
import time

from behave import given, then, when

from bench import path
from standins import cluster

EVENT = b"data: {"


@given("a cluster of its own with a fast engine")
def _(context):
    options = {"halls": ("a",), "services": 0, "blast": True}
    context.cluster = cluster.Cluster(slots=64, **options)
    context.cluster.__enter__()


@when(
    "{count:d} callers request {events:d} events each and do not read for "
    "{seconds:d} s"
)
def _(context, count, events, seconds):
    made = context.cluster
    entry, agent = made.entries[0][0], made.engines[0][0]
    context.pids = [made.processes[n].popen.pid for n in (entry, agent)]
    context.before = [path.rss_mb(pid) for pid in context.pids]
    context.count, context.events = count, events
    context.sockets = [
        _send_request(made, entry, events) for _ in range(count)
    ]
    time.sleep(seconds)
    context.after = [path.rss_mb(pid) for pid in context.pids]
    url = f"{made.upstream_http[agent]}/left"
    context.left = made.client.get(url).json()


def _send_request(made, entry, events):
    address, port = made.http[entry].removeprefix("http://").split(":")
    body = json.dumps(
        {"model": "m1", "prompt": "x", "max_tokens": events, "stream": True}
    ).encode()
    lines = ["POST /v1/completions HTTP/1.1", f"host: {address}"]
    lines += [f"{k}: {v}" for k, v in made.headers().items()]
    lines += [f"content-length: {len(body)}", "connection: close", "", ""]
    sock = socket.socket()
    # A small receive buffer, so that the kernel does not buffer the answer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.connect((address, int(port)))
    sock.sendall("\r\n".join(lines).encode() + body)
    return sock


@then(
    "the memory of entry and agent has grown by less than {limit:d} KB per "
    "caller"
)
def _(context, limit):
    grown = [b - a for a, b in zip(context.before, context.after, strict=True)]
    print(f"grown by {grown} MB for {context.count} callers")
    max_mb = limit * context.count / 1024
    assert all(size < max_mb for size in grown), grown


@then("the engine was paused long before its last event")
def _(context):
    assert len(context.left) == context.count, context.left
    assert min(context.left) > context.events * 0.5, min(context.left)


@then("a caller that then reads gets every event")
def _(context):
    sock = context.sockets[0]
    for other in context.sockets[1:]:
        other.close()
    sock.settimeout(60)
    seen, tail = 0, b""
    while data := sock.recv(1 << 20):
        joined = tail + data
        end = joined.rfind(b"\n") + 1
        seen += joined[:end].count(EVENT)
        tail = joined[end:]
    assert seen == context.events, seen
