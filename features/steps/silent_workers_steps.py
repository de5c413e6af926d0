"""Steps on dead connections to workers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import threading
import time

from behave import given, then, when

from features import platform_clients as clients
from features import silent_relays as relays
from standins import fleet, process


@given("a fleet whose workers are reached through relays")
def _(context):
    made = context.cluster = fleet.Fleet().__enter__()
    context.relays = {}
    for name in made.workers:
        relay = relays.relay(context, made.address[name])
        context.relays[name] = relay
        made.announce(name, addr=relay.address)
    for path in ("/read/x", "/chat/x"):
        process.wait_for(
            lambda path=path: _warm(context, path), "a connection to each"
        )


def _warm(context, path):
    """Send requests; return whether all their workers are connected."""
    _send_concurrently(context, path, 6)
    service = "llm" if path.startswith("/chat") else "push"
    workers = context.cluster.workers
    return all(
        relay.open > 0
        for name, relay in context.relays.items()
        if workers[name][0] == service
    )


def _send_concurrently(context, path, count):
    """Send concurrent requests; return their answers."""
    made = context.cluster
    method = "POST" if path.startswith("/chat") else "GET"
    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        pending = [
            threads.submit(made.ask, path, method=method) for _ in range(count)
        ]
        return [item.result() for item in pending]


@when("all open connections to workers stop delivering data, {way}")
def _(context, way):
    for name, relay in context.relays.items():
        assert relay.go_silent(way) > 0, name


@then("it arrived within {seconds:f} s")
def _(context, seconds):
    assert context.seconds < seconds, context.seconds


@then("the next {count:d} requests are each served within {seconds:f} s")
def _(context, count, seconds):
    for _ in range(count):
        clients.ask(context, "/read/x", "GET")
        assert context.answer.status_code == 200, context.answer
        assert context.seconds < seconds, context.seconds


@then("the answer is a success or states an unknown outcome")
def _(context):
    status = context.answer.status_code
    assert status in (200, 502, 504), context.answer


@then("it ran at most once")
def _(context):
    runs = context.cluster.runs_of(context.id)
    assert len(runs) <= 1, runs


@then("every event of the stream arrived once, within {seconds:f} s")
def _(context, seconds):
    assert context.answer.status_code == 200, context.answer
    events = clients.events(context.answer.text)
    assert events == fleet.STREAM, events
    assert context.seconds < seconds, context.seconds


@when(
    "{count:d} concurrent requests are sent to workers that are frozen for "
    "{seconds:d} s"
)
def _(context, count, seconds):
    made = context.cluster
    frozen = [made.processes[name] for name in made.workers]
    for item in frozen:
        item.freeze()

    def thaw():
        for item in frozen:
            item.thaw()

    timer = threading.Timer(seconds, thaw)
    timer.start()
    context.answers = _send_concurrently(context, "/read/x", count)
    timer.join()


@then("at most {count:d} of them ran twice and all succeeded")
def _(context, count):
    made = context.cluster
    ids = [answer.request.headers["request-id"] for answer in context.answers]
    assert {answer.status_code for answer in context.answers} == {200}, [
        (answer.status_code, answer.text) for answer in context.answers
    ]
    twice = [item for item in ids if len(made.runs_of(item)) > 1]
    assert len(twice) <= count, twice


@when(
    'an entry is frozen for {seconds:f} s while the answer to "{path}" arrives'
)
def _(context, seconds, path):
    made = context.cluster
    frozen = [made.processes[name] for name in made.workers]
    request_id = made.next_id()
    for item in frozen:
        item.freeze()
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        pending = threads.submit(
            made.ask, path, method="GET", Request_Id=request_id
        )
        # By then the request is in the kernel's buffer at the worker.
        time.sleep(relays.SLACK_S)
        made.processes["f1"].freeze()
        start = time.monotonic()
        for item in frozen:
            item.thaw()
        process.wait_for(lambda: made.runs_of(request_id), "the worker's run")
        time.sleep(max(0.0, start + seconds - time.monotonic()))
        made.processes["f1"].thaw()
        context.answer = pending.result()
    context.id = request_id


@then("the request succeeded and ran once")
def _(context):
    assert context.answer.status_code == 200, context.answer
    assert len(context.cluster.runs_of(context.id)) == 1, context.id
