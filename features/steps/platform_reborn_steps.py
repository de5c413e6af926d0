"""Steps on workers that start again under the id that they had."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import threading

from behave import given, then, when

from features import platform_clients as clients
from standins import fleet, process

BORN_MS = 1_700_000_000_000
LATER_MS = BORN_MS + 700
AGAIN = "An upstream restarted; its earlier state is discarded."
EARLIER = "An upstream's earlier start seems to have announced itself."


def _lines(context, text):
    rows = context.cluster.log_lines("f1")
    return [row for row in rows if row["text"] == text]


@given("a fleet whose workers tell when they started")
def _(context):
    made = fleet.Fleet().__enter__()
    context.cluster = made
    for name, (service, _) in made.workers.items():
        made.set_faulty(name, name == "w3" or service == "llm")
        made.announce(name, born=BORN_MS)
    # Two workers of a service share its requests; one alone gets them all.
    made.withdraw("w4")

    def known():
        rows = made.log_lines("f1")
        return any(
            r.get("name") == "w4" and "longer" in r["text"] for r in rows
        )

    process.wait_for(known, "the list to be read")


def _start_again(context, name):
    made = context.cluster
    made.processes[name].kill()
    made.processes[name].start()
    address = made.address[name]
    process.wait_for(lambda: made.answers(address), f"{name} to answer")
    made.announce(name, born=LATER_MS)
    context.name = name


def _ask_in_thread(context, path):
    made = context.cluster
    conn = made.connect()
    headers = made.headers()
    context.request_id = headers["Request-Id"]
    clients.send(conn, headers, path)
    context.answer = None

    def read():
        answer = conn.getresponse()
        body = clients.broken_off(answer.read)
        context.answer = (answer.status, body)

    context.thread = threading.Thread(target=read)
    context.thread.start()


@when('a request to "{path}" is at work at "{name}"')
def _(context, path, name):
    _ask_in_thread(context, path)
    made = context.cluster
    process.wait_for(lambda: made.worker(name)["runs"], "the request to run")


@when('"{name}" is killed and starts again under its id and its address')
def _(context, name):
    _start_again(context, name)


@then("the caller is told that its request may have run, and nobody runs it")
def _(context):
    context.thread.join(20)
    assert context.answer[0] == 502, context.answer
    assert not context.cluster.runs_of(context.request_id)


@then('the log says that "{name}" has started again')
def _(context, name):
    process.wait_for(lambda: _lines(context, AGAIN), "the line")
    (row,) = _lines(context, AGAIN)
    told = (row["name"], row["born_before_ms"], row["born_ms"])
    assert told == (name, BORN_MS, LATER_MS), row


@then("the log says that the worker has started again")
def _(context):
    process.wait_for(lambda: _lines(context, AGAIN), "the line")
    assert _lines(context, AGAIN)[0]["name"] == context.name


@then('the slots of "{name}" are all free, and it serves')
def _(context, name):
    made = context.cluster
    made.set_faulty(name, False)
    answers = [made.ask("/push/x").status_code for _ in range(8)]
    assert answers == [200] * 8, answers
    assert len(made.worker(name)["runs"]) == 8


@when("a stream is at work at a worker of {service} that has sent 3 events")
def _(context, service):
    # The word has a worker send three events and then nothing.
    _ask_in_thread(context, "/chat/cut-mute/x")
    made = context.cluster

    def at_work():
        names = [n for n, (s, _) in made.workers.items() if s == "llm"]
        return next((n for n in names if made.worker(n)["runs"]), None)

    context.name = process.wait_for(at_work, "the stream to run")
    # Whoever goes on with it is sound.
    for name, (own, _) in made.workers.items():
        if own == "llm" and name != context.name:
            made.set_faulty(name, False)


@when("that worker is killed and starts again under its id and its address")
def _(context):
    _start_again(context, context.name)


@then("the caller gets the whole stream")
def _(context):
    context.thread.join(20)
    status, body = context.answer
    assert status == 200 and body is not None, context.answer
    text = body.decode()
    for event in fleet.STREAM:
        assert text.count(event) == 1, (event, text)


@when("an entry of its earlier start, which was leaving, is written late")
def _(context):
    context.cluster.announce("w3", born=BORN_MS, state="draining")


@then('"{name}" still gets work, and the log names the earlier start')
def _(context, name):
    process.wait_for(lambda: _lines(context, EARLIER), "the line")
    context.cluster.set_faulty(name, False)
    # The living start, which is contradicted, writes again.
    context.cluster.announce(name, born=LATER_MS, seq=2)
    assert context.cluster.ask("/push/x").status_code == 200


@when('"{name}" starts again with an earlier time and leaves')
def _(context, name):
    context.cluster.announce(name, born=BORN_MS - 5000, state="draining")


@then('"{name}" gets no more work within {limit:d} s')
def _(context, name, limit):
    made = context.cluster
    made.set_faulty(name, False)
    assert made.ask("/push/x").status_code == 200
    process.wait_for(
        lambda: made.ask("/push/x").status_code == 503, "a refusal", limit
    )
