"""Steps on callers that disconnect before they have their answers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import platform_clients as clients
from features import platform_leaving as leaving
from standins import process

# A worker whose writes are blocked for this long is blocked by its reader and
# not by a busy machine.
BLOCKED_S = 0.3

# Below the default of the kernel, so that a caller that does not read blocks
# the writing process.
WINDOW_BYTES = 16384

# Some generated callers disconnect before a worker has their request, and
# some long after.
MAX_STAY_S = 0.1


@given("a shared fleet of faulty workers")
def _(context):
    if "cluster" not in context.holder:
        kinds = (("llm", "a"), ("llm", "a"), ("push", "a"), ("push", "a"))
        # Enough slots for all callers of a step.
        context.holder["cluster"] = leaving.patient(workers=kinds, slots=32)
    context.cluster = context.holder["cluster"]


@given("a fleet of its own with one slot")
def _(context):
    context.cluster = leaving.patient(workers=(("push", "a"),), slots=1)


@given("a fleet of its own with two workers of one slot each")
def _(context):
    kinds = (("push", "a"), ("push", "a"))
    context.cluster = leaving.patient(workers=kinds, slots=1)


# Requests that run.


@when('a caller requests "{path}" and the request runs')
def _(context, path):
    context.caller = leaving.new_caller(context.cluster)
    context.caller.send(path)
    leaving.wait_runs(context.cluster, context.caller)


@when('a caller requests "{path}" and receives the first events')
def _(context, path):
    context.caller = leaving.new_caller(context.cluster)
    context.caller.send(path)
    read = b""
    while read.count(b"data:") < 3:
        read += context.caller.sock.recv(1 << 20)
    # The worker still sends when the caller, which stops reading, disconnects.


@when(
    'a caller requests "{path}" and reads so slowly that the worker is blocked'
)
def _(context, path):
    made = context.cluster
    context.caller = leaving.new_caller(made, window=WINDOW_BYTES)
    context.caller.send(path)

    def blocked():
        since = [run["held_since"] for run in made.runs_of(context.caller.id)]
        return since and since[0] and time.monotonic() - since[0] > BLOCKED_S

    process.wait_for(blocked, "the worker to be blocked")


@when('a caller requests "{path}" and the request runs at a second worker')
def _(context, path):
    context.caller = leaving.new_caller(context.cluster)
    context.caller.send(path)
    leaving.wait_runs(context.cluster, context.caller, 2)
    workers = {run["by"] for run in context.cluster.runs_of(context.caller.id)}
    assert len(workers) == 2, workers


@when("the caller closes")
def _(context):
    context.caller.leave(leaving.CLOSES)


@when("the caller half-closes")
def _(context):
    context.caller.leave(leaving.HALF_CLOSES)


@when("the caller resets")
def _(context):
    context.caller.leave(leaving.RESETS)


@then("its processing ends within 0.5 s and none begins later")
def _(context):
    assert context.cluster.runs_of(context.caller.id)
    leaving.check_ended(context.cluster, context.caller)
    context.caller.sock.close()


@when("callers send generated prefixes of requests and disconnect")
def _(context):
    made = context.cluster
    context.callers = []

    @hypothesis.settings(clients.GENERATED, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(("/read/x", "/push/x", "/chat/x")),
        strategies.booleans(),
        strategies.floats(0, 1, exclude_max=True),
        strategies.sampled_from(leaving.WAYS),
    )
    def send(path, chunked, fraction, way):
        caller = leaving.new_caller(made)
        if chunked:
            head = caller.head(path, Transfer_Encoding="chunked")
            data = head + b"5\r\nhello\r\n0\r\n\r\n"
        else:
            data = caller.head(path, Content_Length="300") + b"y" * 300
        caller.sock.sendall(data[: int(fraction * len(data))])
        caller.leave(way)
        context.callers.append(caller)

    send()


@then("none of these requests has reached a worker")
def _(context):
    made = context.cluster
    assert len(context.callers) >= 30, len(context.callers)
    leaving.wait_until(context.callers[-1].closed_at + leaving.GONE_S)
    assert made.ask("/read/x").is_success
    rows = [r for name in made.workers for r in made.worker(name)["reached"]]
    ids = {caller.id for caller in context.callers}
    assert not [row for row in rows if row["id"] in ids]


@when("callers request generated paths and disconnect at generated times")
def _(context):
    made = context.cluster
    context.callers = []
    paths = ("/read/mute", "/push/mute", "/chat/headed", "/chat/flood")
    paths += ("/chat/cut-mute", "/read/error", "/read/flood", "/chat/slow")

    @hypothesis.settings(clients.GENERATED, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(paths),
        strategies.floats(0, MAX_STAY_S),
        strategies.sampled_from(leaving.WAYS),
    )
    def stay(path, seconds, way):
        caller = leaving.new_caller(made)
        caller.send(path)
        leaving.wait_until(time.monotonic() + seconds)
        caller.leave(way)
        context.callers.append(caller)

    stay()


@then("the processing of each ends within 0.5 s and none begins later")
def _(context):
    made = context.cluster
    assert len(context.callers) >= 30, len(context.callers)
    leaving.wait_until(context.callers[-1].closed_at + leaving.GONE_S)
    reached = sum(bool(made.runs_of(c.id)) for c in context.callers)
    assert reached > len(context.callers) // 4, reached
    for caller in context.callers:
        leaving.check_ended(made, caller)
        caller.sock.close()


# Requests that wait.


@when("a caller occupies the slot and another waits for it")
def _(context):
    made = context.cluster
    context.holding = leaving.new_caller(made)
    context.holding.send("/push/mute")
    leaving.wait_runs(made, context.holding)
    context.caller = leaving.new_caller(made)
    context.caller.send("/push/x")
    leaving.wait_queued(made, "f1", 1)


@when("a caller is refused by a worker and waits for another worker")
def _(context):
    made = context.cluster
    context.holding = leaving.new_caller(made)
    context.holding.send("/push/mute")
    leaving.wait_runs(made, context.holding)
    context.caller = leaving.new_caller(made)
    context.caller.send("/push/undecided")

    def undecided():
        names = [n for n in made.workers if made.worker(n)["undecided"]]
        return names[0] if names else None

    name = process.wait_for(undecided, "the request to reach a worker")
    # The slot of the refused request goes to this caller, which waits.
    context.next = leaving.new_caller(made)
    context.next.send("/push/mute")
    leaving.wait_queued(made, "f1", 1)
    url = f"http://{made.address[name]}/control"
    made.client.post(url, json={"shed": True}).raise_for_status()
    leaving.wait_runs(made, context.next)
    leaving.wait_queued(made, "f1", 1)


@then("no request is queued after 0.5 s")
def _(context):
    leaving.wait_queued(context.cluster, "f1", 0)
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < leaving.GONE_S, taken_s


@then("the next caller gets the slot, not the disconnected one")
def _(context):
    made = context.cluster
    leaving.wait_until(context.caller.closed_at + leaving.GONE_S)
    context.holding.leave(leaving.CLOSES)
    answer = made.ask("/push/x", Deadline_Ms=str(leaving.LONG_S * 1000))
    assert answer.is_success, answer
    assert not made.runs_of(context.caller.id)
    leaving.check_nothing_later(made, context.caller)
