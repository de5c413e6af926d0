"""Steps on callers that disconnect while a connection is being opened."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import select
import socket
import time

from behave import given, then, when

from features import platform_leaving as leaving
from standins import process

# State of a connection that is being opened, in /proc/net/tcp.
SYN_SENT = "02"

# Connections that fill the accept queue of the listener.
QUEUED_CONNECTIONS = 2


@given("a fleet of its own with a worker that accepts no connections")
def _(context):
    context.cluster = made = leaving.patient(workers=(("push", "a"),))
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = context.listener.getsockname()
    context.filling = []
    for _ in range(QUEUED_CONNECTIONS):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(address)
        context.filling.append(sock)
    context.address = f"127.0.0.1:{address[1]}"
    made.withdraw("w1")
    _wait_line(made, "An upstream is no longer listed.")
    made.announce("w1", addr=context.address)
    _wait_line(made, "An upstream is listed.", address=context.address)


def _wait_line(made, text, **fields):
    """Wait for a log line of the entry with these fields."""
    wanted = {"text": text, **fields}.items()
    process.wait_for(
        lambda: any(
            wanted <= _text_fields(row) for row in made.log_lines("f1")
        ),
        f"the line {text}",
    )


def _text_fields(row):
    """Return the text fields of a log line."""
    return {k: v for k, v in row.items() if isinstance(v, str)}.items()


def _opening(context):
    """Return whether the entry is opening a connection to the listener.

    The kernel's table also has the connections of this process that fill
    the accept queue; their local ports distinguish them.
    """
    port = context.listener.getsockname()[1]
    local_ports = {sock.getsockname()[1] for sock in context.filling}
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    for row in rows:
        local, remote = (int(text.split(":")[1], 16) for text in row[1:3])
        if remote == port and row[3] == SYN_SENT and local not in local_ports:
            return True
    return False


@when(
    "a caller sends a request and a connection to the worker is being opened"
)
def _(context):
    context.caller = leaving.new_caller(context.cluster)
    context.caller.send("/push/x")
    process.wait_for(lambda: _opening(context), "a connection to be opened")


@then("the connection attempt is cancelled within 0.5 s")
def _(context):
    process.wait_for(lambda: not _opening(context), "the opening to end")
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < leaving.GONE_S, taken_s


@then("the worker receives no connection")
def _(context):
    queued = {sock.getsockname() for sock in context.filling}
    leaving.wait_until(context.caller.closed_at + leaving.GONE_S)
    while select.select([context.listener], [], [], 0)[0]:
        accepted, peer = context.listener.accept()
        accepted.close()
        assert peer in queued, peer
    for sock in (*context.filling, context.listener):
        sock.close()
