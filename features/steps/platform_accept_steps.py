"""Steps on taking connections while many others are held."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import contextlib
import http.client
import socket
import struct
import time

from behave import given, then, when

from features import platform_clients as clients
from standins import fleet, process

# With this option a closing socket resets its connection.
RESET = struct.pack("ii", 1, 0)


@given("a fleet of its own whose entry may have {count:d} descriptors")
def _(context, count):
    context.held = []
    context.cluster = fleet.Fleet(descriptors=count).__enter__()


def _connect(context):
    host, port = context.cluster.http["f1"].rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), 5)
    context.held.append(sock)
    return sock


@when("{count:d} callers ask once and keep their connections")
def _(context, count):
    made = context.cluster
    for _ in range(count):
        conn = made.connect()
        # A caller whose connection was closed at once has nothing to keep.
        with contextlib.suppress(OSError, http.client.HTTPException):
            clients.send(conn, made.headers(), "/push/x")
            conn.getresponse().read()
        context.held.append(conn)


@when("{count:d} callers connect and say nothing")
def _(context, count):
    for _ in range(count):
        _connect(context)


@when(
    "{streams:d} streams are in progress and {count:d} callers connect and "
    "say nothing"
)
def _(context, streams, count):
    context.streams = clients.Streams(context.cluster, streams)
    for _ in range(count):
        _connect(context)


@when("{count:d} callers connect at once and reset their connections")
def _(context, count):
    for _ in range(count):
        _connect(context)
    for sock in context.held:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


@then("{count:d} new callers at once are all served within {seconds:d} s")
def _(context, count, seconds):
    made = context.cluster
    start = time.monotonic()

    def ask(_):
        conn = made.connect()
        clients.send(conn, made.headers(), "/open/x", method="GET", body=b"")
        status = conn.getresponse().status
        return status, time.monotonic() - start

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(ask, range(count)))
    assert all(status == 200 for status, _ in answers), answers
    assert max(taken for _, taken in answers) < seconds, answers


@then("the entry is ready")
def _(context):
    process.wait_for(lambda: context.cluster.ready("f1"), "it to be ready", 2)
