"""Steps on faulty answers, streams and groups that refuse."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

from behave import given, then, when

from bench import path
from features import platform_clients as clients
from standins import fleet, process

# Requests that an entry sends to a worker of 6 slots.
WORKER_SLOTS = 6
# With these an entry promises that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


@given("a fleet of its own with fully loaded workers")
def _(context):
    """Occupy every slot of the only worker."""
    made = fleet.Fleet(workers=(("push", "a"),)).__enter__()
    context.cluster = made
    context.open = []
    for _ in range(WORKER_SLOTS):
        conn = made.connect()
        clients.send(conn, made.headers(), "/push/mute")
        context.open.append(conn)
    process.wait_for(
        lambda: len(made.ledger("push")) >= WORKER_SLOTS, "a full worker"
    )


@then("at most {count:d} workers ran it")
def _(context, count):
    runs = context.cluster.runs_of(context.id)
    assert 1 <= len(runs) <= count, runs


@then("{count:d} workers ran it")
def _(context, count):
    runs = context.cluster.runs_of(context.id)
    assert len({run["by"] for run in runs}) == count, runs


@then("it ran {count:d} times")
def _(context, count):
    assert len(context.cluster.runs_of(context.id)) == count


@when(
    "{count:d} requests are sent on one connection, each with a surplus answer"
)
def _(context, count):
    made = context.cluster
    conn = made.connect()
    context.pairs = []
    for number in range(count):
        headers = made.headers()
        path = "/push/extra" if number % 2 else "/push/extra-late"
        clients.send(conn, headers, path)
        answer = conn.getresponse()
        context.pairs.append((headers["Request-Id"], answer.read()))
        # A late surplus answer arrives 20 ms after the answer.
        time.sleep(0.01 * (number % 4))


# Of an entry that has read without end it would be hundreds.
MAX_RESIDENT_MB = 120


@then("the answer has status {status:d} within {limit:d} s")
def _(context, status, limit):
    assert context.answer.status_code == status, context.answer
    assert context.seconds <= limit, context.seconds


@then("the worker's connection is closed and the entry holds little of it")
def _(context):
    made = context.cluster

    def closed():
        runs = made.runs_of(context.id)
        return all(r["left_at"] for r in runs if "held_since" in r)

    process.wait_for(closed, "the connection to be closed", 2)
    resident_mb = path.rss_mb(made.processes["f1"].popen.pid)
    assert resident_mb < MAX_RESIDENT_MB, resident_mb


@then("each answer belongs to its request")
def _(context):
    for sent, body in context.pairs:
        assert body in (f"whole answer of {sent}".encode(), b""), body
    complete = [body for _, body in context.pairs if body]
    assert len(complete) >= len(context.pairs) // 2, len(complete)


@given("a fleet of one worker that can be at fault")
def _(context):
    workers = (("push", "a"),)
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when('requests to "{first}" and "{second}" follow on one connection to it')
def _(context, first, second):
    made = context.cluster
    made.change(routes=[{**r, "attempts": 1} for r in made.config["routes"]])
    process.wait_for(
        lambda: _applied(made, made.config["version"]), "the configuration"
    )
    context.answers = [made.ask(first), made.ask(second)]
    # One for the ledger and the control, one for both requests.
    context.id = context.answers[1].request.headers["request-id"]


def _applied(made, version):
    return any(row.get("version") == version for row in made.log_lines("f1"))


@then("the first is refused and the second is served, and the second ran once")
def _(context):
    first, second = context.answers
    assert first.status_code == 503, first
    assert len(context.cluster.runs_of(context.id)) == 1
    assert second.status_code == 200, second


@then("the answer does not say that it has not run")
def _(context):
    assert context.answer.status_code not in PROMISES, context.answer


@then("the worker receives the next request on that connection unaltered")
def _(context):
    clients.ask(context, "/push/x", body=b"after")
    assert context.answer.status_code == 200, context.answer
    assert clients.only_run(context)["body"] == "after"


@when('the address of worker "{name}" is announced under another id')
def _(context, name):
    made = context.cluster
    made.withdraw(name)
    made.workers["elsewhere"] = made.workers[name]
    made.address["elsewhere"] = made.address[name]
    made.announce("elsewhere")
    del made.workers["elsewhere"]
    _wait_listed(made, "elsewhere")


def _wait_listed(made, name):
    def listed():
        return any(
            row.get("name") == name and "listed" in row["text"]
            for row in made.log_lines("f1")
        )

    process.wait_for(listed, f"{name} to be listed")


@then("the answer has {size:d} bytes")
def _(context, size):
    assert context.answer.content == b"x" * size, len(context.answer.content)


@when('a client streams "{path}"')
def _(context, path):
    clients.ask(context, path, body=b"prompt")


@when('a client streams "{path}" from event {last:d} on')
def _(context, path, last):
    clients.ask(context, path, body=b"prompt", Last_Event_Id=str(last))


@then("the stream has every event once, in order, and is complete")
def _(context):
    assert context.answer.status_code == 200, context.answer
    text = context.answer.text
    assert clients.events(text) == fleet.STREAM, text


@then("the stream has the first {count:d} events alone and is complete")
def _(context, count):
    assert context.answer.status_code == 200, context.answer
    text = context.answer.text
    assert clients.events(text) == fleet.STREAM[:count], text


@then("the head is from the first worker")
def _(context):
    runs = context.cluster.runs_of(context.id)
    first = next(r for r in runs if "last-event-id" not in r["headers"])
    stamp = context.answer.headers["response-stamp"]
    assert stamp == f"stamp-{first['by']}", (stamp, runs)


@then("the stream has the events from {first:d} on")
def _(context, first):
    assert clients.events(context.answer.text) == fleet.STREAM[first - 1 :]


@when('a client streams "{path}" and disconnects after the first event')
def _(context, path):
    made = context.cluster
    headers = made.headers()
    context.id = headers["Request-Id"]
    conn = made.connect()
    clients.send(conn, headers, path)
    answer = conn.getresponse()
    assert answer.readline().startswith(b"id: 1")
    answer.close()
    conn.close()


@then(
    "the worker sees the connection close before the stream would have ended"
)
def _(context):
    made = context.cluster

    def closed():
        return any(
            context.id in made.worker(name)["cancelled"]
            for name in made.workers
        )

    # The stream would last another 2 s.
    process.wait_for(closed, "the stream to be closed", 1.5)


@given("a fleet of one group of {count:d} workers that all refuse requests")
def _(context, count):
    workers = (("llm", "a"),) * count
    context.cluster = fleet.Fleet(workers=workers).__enter__()


@when("{count:d} streams are requested one after another")
def _(context, count):
    made = context.cluster
    context.answers = [made.ask("/chat/shed") for _ in range(count)]


@then("all are refused as not run, most without contacting a worker")
def _(context):
    statuses = {answer.status_code for answer in context.answers}
    assert statuses == {503}, statuses
    made = context.cluster
    contacted = sum(made.worker(name)["shed"] for name in made.workers)
    # The first two make two attempts each; then one probe in 0.25 s.
    assert contacted < len(context.answers) // 2, contacted


@then("their Retry-After is a third of their time-out")
def _(context):
    after = float(context.answers[-1].headers["retry-after"])
    # The route allows 4 s.
    assert 1.0 < after <= 4.0 / 3, after


@when("the group accepts requests again")
def _(context):
    made = context.cluster
    for name in made.workers:
        made.set_faulty(name, False)


@then("a stream is served within {seconds:d} s")
def _(context, seconds):
    made = context.cluster
    process.wait_for(
        lambda: made.ask("/chat/shed").is_success, "a stream", seconds
    )


@when("a client sends a request and disconnects while it is queued")
def _(context):
    made = context.cluster
    headers = made.headers()
    context.id = headers["Request-Id"]
    conn = made.connect()
    clients.send(conn, headers, "/push/x")
    conn.sock.close()
    conn.close()
    for item in context.open:
        item.sock.close()
        item.close()


@then("no worker receives the request")
def _(context):
    made = context.cluster
    # A later request is served, so the cancelled one would have been, too.
    process.wait_for(
        lambda: made.ask("/push/x").is_success, "the worker to be free"
    )
    assert made.runs_of(context.id) == []
