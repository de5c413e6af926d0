"""Steps on callers' connections that go silent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import http.client
import time

from behave import given, then, when

from features import platform_clients as clients
from features import silent_relays as relays
from standins import fleet, process


@given("a fleet whose entry is reached through a relay")
def _(context):
    made = context.cluster = fleet.Fleet().__enter__()
    context.relay = relays.relay(context, made.http["f1"])
    made.http["f1"] = context.relay.address


@given("connections end after {seconds:d} s without a request")
def _(context, seconds):
    made = context.cluster
    limits = {**made.config["limits"], "idle_timeout_ms": seconds * 1000}
    made.change(limits=limits)
    process.wait_for(lambda: _in_force(made), "the version")


def _in_force(made):
    """Tell whether entry f1 has the newest version."""
    version = made.config["version"]
    rows = made.log_lines("f1")
    return any(row.get("version") == version for row in rows)


@when("{count:d} callers each keep a connection")
def _(context, count):
    made = context.cluster
    context.kept = [made.connect() for _ in range(count)]
    for conn in context.kept:
        context.add_cleanup(conn.close)
        clients.send(conn, made.headers(), "/push/x")
        assert conn.getresponse().read(), "no answer"
    context.ended = context.relay.ended


@then("a caller on a new connection is served within {seconds:f} s")
def _(context, seconds):
    conn = context.cluster.connect()
    start = time.monotonic()
    clients.send(conn, context.cluster.headers(), "/push/x")
    answer = conn.getresponse()
    taken_s = time.monotonic() - start
    conn.close()
    assert answer.status == http.client.OK, answer.status
    assert taken_s < seconds, taken_s


@then("the entry ends the {count:d} silent connections within {seconds:d} s")
def _(context, count, seconds):
    # The new caller's connection has been closed by its caller meanwhile.
    process.wait_for(
        lambda: context.relay.ended >= context.ended + count,
        "the connections to end",
        seconds,
    )
