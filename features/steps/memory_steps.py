"""Steps on memory and back-pressure."""

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
    "{count:d} callers ask for {events:d} events each and read nothing for "
    "{seconds:d} s"
)
def _(context, count, events, seconds):
    made = context.cluster
    entry, agent = made.entries[0][0], made.engines[0][0]
    context.pids = [made.processes[n].popen.pid for n in (entry, agent)]
    context.before = [path.rss_mb(pid) for pid in context.pids]
    context.count, context.events = count, events
    context.sockets = [_ask(made, entry, events) for _ in range(count)]
    time.sleep(seconds)
    context.after = [path.rss_mb(pid) for pid in context.pids]
    url = f"{made.upstream_http[agent]}/left"
    context.left = made.client.get(url).json()


def _ask(made, entry, events):
    address, port = made.http[entry].removeprefix("http://").split(":")
    body = json.dumps(
        {"model": "m1", "prompt": "x", "max_tokens": events, "stream": True}
    ).encode()
    lines = ["POST /v1/completions HTTP/1.1", f"host: {address}"]
    lines += [f"{k}: {v}" for k, v in made.headers().items()]
    lines += [f"content-length: {len(body)}", "connection: close", "", ""]
    sock = socket.socket()
    # A small window, so that the kernel does not hold the answer for us.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.connect((address, int(port)))
    sock.sendall("\r\n".join(lines).encode() + body)
    return sock


@then("entry and agent have each grown by less than {limit:d} KB a caller")
def _(context, limit):
    grown = [b - a for a, b in zip(context.before, context.after, strict=True)]
    print(f"grown by {grown} MB for {context.count} callers")
    most = limit * context.count / 1024
    assert all(size < most for size in grown), grown


@then("the engine was held back long before its last event")
def _(context):
    assert len(context.left) == context.count, context.left
    assert min(context.left) > context.events * 0.5, min(context.left)


@then("the callers who then read get every event")
def _(context):
    sock = context.sockets[0]
    for other in context.sockets[1:]:
        other.close()
    sock.settimeout(60)
    seen, tail = 0, b""
    while data := sock.recv(1 << 20):
        joined = tail + data
        cut = joined.rfind(b"\n") + 1
        seen += joined[:cut].count(EVENT)
        tail = joined[cut:]
    assert seen == context.events, seen
