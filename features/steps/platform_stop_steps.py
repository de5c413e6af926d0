"""Steps on stopping an entry and on reading its settings again."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import signal
import socket
import time

from behave import given, then, when

from features import platform_clients as clients
from standins import fleet, process


@given(
    "a fleet of its own that keeps connections for {seconds:d} s when it stops"
)
def _(context, seconds):
    settings = {"stop_wait_s": seconds}
    context.cluster = fleet.Fleet(settings=settings).__enter__()


@given("a fleet of its own with a grace time of {seconds:d} s")
def _(context, seconds):
    settings = {"grace_s": seconds}
    context.cluster = fleet.Fleet(settings=settings).__enter__()


@when(
    "an entry is told to stop during {count:d} streams and a kept connection"
)
def _(context, count):
    made = context.cluster
    context.kept = made.connect()
    clients.send(context.kept, made.headers(), "/push/x")
    assert context.kept.getresponse().read()
    context.streams = clients.Streams(made, count)
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
        assert clients.events(text or "") == fleet.STREAM, text


@then("the kept connection is served once more and told to close")
def _(context):
    headers = context.cluster.headers()
    clients.send(context.kept, headers, "/push/x")
    answer = context.kept.getresponse()
    assert answer.getheader("connection") == "close", answer.headers
    body = answer.read().decode()
    assert body == f"whole answer of {headers['Request-Id']}", body


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
    clients.send(conn, made.headers(), "/push/mute")
    context.open = conn
    process.wait_for(lambda: made.ledger("push"), "the request to run")
    made.processes["f1"].signal(signal.SIGTERM)
    context.stopped_at = time.monotonic()


@then(
    "the request is answered with status {status:d} and its connection closed"
)
def _(context, status):
    answer = context.open.getresponse()
    assert answer.status == status, answer.status
    assert answer.getheader("connection") == "close", answer.headers
    answer.read()


@then("its last line says that {count:d} request was broken off")
def _(context, count):
    rows = context.cluster.log_lines("f1")
    (last,) = [row for row in rows if row["text"] == "Stopped."]
    assert last["broken_off"] == count, last


@then("the process ends by itself with status 0 within its grace time")
def _(context):
    data, _ = clients.settings_file(context.cluster, "f1")
    status = context.cluster.processes["f1"].popen.wait(data["grace_s"] * 2)
    seconds = time.monotonic() - context.stopped_at
    assert status == 0, status
    assert seconds < data["grace_s"], seconds


@when(
    "an entry gets SIGHUP with a changed settings file during {count:d} "
    "streams"
)
def _(context, count):
    made = context.cluster
    context.streams = clients.Streams(made, count)
    data, path = clients.settings_file(made, "f1")
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
    data, path = clients.settings_file(made, "f1")
    path.write_text(json.dumps({**data, "grace_s": "long"}))
    made.processes["f1"].signal(signal.SIGHUP)


@then("its log says what is bad and it serves on")
def _(context):
    made = context.cluster

    def said():
        return any("grace_s" in json.dumps(r) for r in made.log_lines("f1"))

    process.wait_for(said, "the line")
    assert made.ask("/push/x").is_success
