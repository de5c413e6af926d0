"""Steps on dead connections of callers."""

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


@given("idle connections are closed after {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    limits = {**made.config["limits"], "idle_timeout_ms": seconds * 1000}
    made.change(limits=limits)
    process.wait_for(lambda: _in_force(made), "the version")


def _in_force(made):
    """Return whether entry f1 has the newest version."""
    version = made.config["version"]
    rows = made.log_lines("f1")
    return any(row.get("version") == version for row in rows)


@when("{count:d} callers each keep a connection open")
def _(context, count):
    made = context.cluster
    context.connections = [made.connect() for _ in range(count)]
    for conn in context.connections:
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


@then("the entry closes the {count:d} dead connections within {seconds:d} s")
def _(context, count, seconds):
    # The new caller has closed its own connection by now.
    process.wait_for(
        lambda: context.relay.ended >= context.ended + count,
        "the connections to end",
        seconds,
    )
