"""Steps on dead connections to the store."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when
from reelscale_core import clock
from reelscale_platform import store as stores
from twisted.internet import defer, reactor, task

from features import platform_clients as clients
from features import silent_relays as relays
from standins import fleet, process

TOPIC = "silent"


def _fleet_with_relay(context, entries):
    made = context.cluster = fleet.Fleet(entries=entries)
    context.relay = relays.relay(context, made._store)
    name = f"f{entries}"
    relays.set_fields(made, name, platform=f"http://{context.relay.address}")
    made.__enter__()


@given("a fleet that reaches its store through a relay")
def _(context):
    _fleet_with_relay(context, 1)


@given(
    'a fleet of {count:d} entries whose "{name}" reaches its store'
    " through a relay"
)
def _(context, count, name):
    _fleet_with_relay(context, count)
    made = context.cluster
    for entry in made.http:
        process.wait_for(
            lambda entry=entry: (
                _count(made, entry, "Discovered an entry.") > 1
            ),
            f"{entry} to know the others",
        )


def _count(made, entry, text):
    return sum(row["text"] == text for row in made.log_lines(entry))


@when("the open connections {whose} stop delivering data, {way}")
def _(context, whose, way):
    assert context.relay.go_silent(way) > 0, "no connection is open"


@then('entry "{name}" serves the key "{key}" within {seconds:d} s')
def _(context, name, key, seconds):
    made = context.cluster

    def served():
        answer = made.ask("/push/x", entry=name, Authorization=f"Bearer {key}")
        return answer.status_code == 200

    process.wait_for(served, f"{name} to serve {key}", seconds)


@given("a store of its own behind a relay, with {count:d} idle connections")
def _(context, count):
    made = context.cluster = fleet.Fleet(entries=0, workers=())
    made.processes["store"].start()
    process.wait_for(lambda: made.answers(made._store), "the store")
    context.relay = relays.relay(context, made._store)
    context.store = stores.Store(
        reactor=reactor,
        clock=clock.SystemClock(),
        address=context.relay.address,
    )

    async def use_all():
        appends = [
            defer.ensureDeferred(context.store.append(TOPIC, 0, [b"first"]))
            for _ in range(count)
        ]
        return await defer.gatherResults(appends)

    outcome = clients.run_on_reactor(use_all)
    offsets = sorted(got.offset for got in outcome)
    assert offsets == list(range(count)), outcome
    assert context.relay.open == count, context.relay.open


def _append(context, record):
    """Append a record; return the outcome and its duration."""
    start = time.monotonic()
    outcome = clients.run_on_reactor(context.store.append, TOPIC, 0, [record])
    return outcome, time.monotonic() - start


@then("an append fails within {seconds:d} s")
def _(context, seconds):
    outcome, taken_s = _append(context, b"second")
    assert getattr(outcome, "code", "") == "log-down", outcome
    assert taken_s < seconds, taken_s


@when("an append is lost while another one is answered, and all go silent")
def _(context):
    made, ended = context.cluster, []

    async def lose_one():
        made.control(slow_s=0.4)
        lost = defer.ensureDeferred(context.store.append(TOPIC, 0, [b"lost"]))
        lost.addErrback(ended.append)
        # It is on its way before the store is fast again.
        await task.deferLater(reactor, 0.1)
        made.control(slow_s=0.0)
        await context.store.append(TOPIC, 0, [b"heard"])
        assert context.relay.go_silent() > 0
        await lost

    assert clients.run_on_reactor(lose_one) is None
    assert [failed.value.code for failed in ended] == ["log-down"], ended


@then("the next append is answered within {seconds:f} s")
def _(context, seconds):
    outcome, taken_s = _append(context, b"third")
    assert isinstance(outcome, stores.Appended), outcome
    assert taken_s < seconds, taken_s


@then("each append is in the log at most once")
def _(context):
    outcome = clients.run_on_reactor(context.store.read, TOPIC, 0, 0, wait_s=0)
    assert outcome.rows.count(b"second") <= 1, outcome.rows
    assert outcome.rows.count(b"third") == 1, outcome.rows
