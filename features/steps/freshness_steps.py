"""Steps on changes that entries learn while their connections are silent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when

from features import silent_relays as relays
from standins import fleet, process

# Requests by which an entry shows which upstreams it uses.
SAMPLES = 8


@given("{count:d} entries that reach their store through relays")
def _(context, count):
    made = context.cluster = fleet.Fleet(entries=count)
    context.relays = {}
    for name in made.http:
        own = context.relays[name] = relays.relay(context, made._store)
        relays.set_fields(made, name, platform=f"http://{own.address}")
    made.__enter__()
    for name in made.http:
        process.wait_for(
            lambda name=name: _peers(made, name) == count - 1,
            f"{name} to know the others",
        )
    # Whoever reads now chose its wait when it knew all others.
    made.change()
    made.announce("w1")
    for name in made.http:
        process.wait_for(
            lambda name=name: _version(made, name) == made.config["version"],
            f"{name} to have the version",
        )


def _peers(made, name):
    rows = made.log_lines(name)
    return sum(row["text"] == "Discovered an entry." for row in rows)


def _version(made, name):
    versions = [
        row["version"]
        for row in made.log_lines(name)
        if row["text"] == "A configuration is in force."
    ]
    return max(versions, default=0)


def _silence_all(context):
    # An entry without an open connection is between two reads.
    assert sum(own.go_silent() for own in context.relays.values()) > 0


@when("every open connection to the store stops delivering data")
def _(context):
    _silence_all(context)


@when('{seconds:g} s later the entries "{one}" and "{other}" are {gone}')
def _(context, seconds, one, other, gone):
    time.sleep(seconds)
    for name in (one, other):
        _take_away(context, name, gone)


@when(
    '{seconds:g} s later it happens again, and "{one}" and "{other}" '
    "are killed"
)
def _(context, seconds, one, other):
    time.sleep(seconds)
    _silence_all(context)
    for name in (one, other):
        _take_away(context, name, "killed")


def _take_away(context, name, gone):
    own = context.cluster.processes[name]
    match gone:
        case "stopped in order":
            own.stop()
        case "killed":
            own.kill()
        case "frozen":
            own.freeze()
        case "killed and restarted":
            own.kill()
            own.start()
        case "cut off from the store":
            context.relays[name].cut()


@when('the operator drops the route "{prefix}" and "{worker}" is leaving')
def _(context, prefix, worker):
    made = context.cluster
    routes = [
        row
        for row in made.config["routes"]
        if not row["prefix"].startswith(prefix)
    ]
    made.change(routes=routes)
    made.announce(worker, state="draining")
    context.acknowledged_at = time.monotonic()


@then(
    'after {seconds:d} s the entries "{one}" and "{other}" have dropped '
    "the route"
)
def _(context, seconds, one, other):
    left_s = context.acknowledged_at + seconds - time.monotonic()
    time.sleep(max(0.0, left_s))
    asked = {
        name: context.cluster.ask("/read/x", entry=name).status_code
        for name in (one, other)
    }
    assert set(asked.values()) == {404}, asked


@then('the entries "{one}" and "{other}" send requests to "{worker}" alone')
def _(context, one, other, worker):
    made = context.cluster
    before = {run["id"] for run in made.ledger("push")}
    for name in (one, other) * SAMPLES:
        assert made.ask("/push/x", entry=name).is_success, name
    runs = [run for run in made.ledger("push") if run["id"] not in before]
    workers = {run["by"] for run in runs}
    assert workers == {worker}, workers
