"""Steps on answers that agents hold until their entries fetch them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import signal
import time

from behave import given, then, when
from reelscale_daemon.adapters import upstream
from reelscale_wire.gen import ttypes
from twisted.internet import defer

from features import agent_fakes, slow_callers
from standins import cluster, process

KILOBYTE = 1000
MEGABYTE = 1_000_000
# Held by an agent, in bytes: more than the longest answer of these steps.
HELD_BYTES = 8 * MEGABYTE
LONG = "y" * (4 * MEGABYTE)
# A piece of an answer that has no process behind it; a pull asks for one.
PIECE = b"z" * 100
# By then, in seconds, an agent has ended that waits for nothing more.
EXIT_S = 10


def _services(context, held_bytes):
    """Start a hall with one service whose agent holds so many bytes."""
    made = cluster.Cluster(
        halls=("a",), engines=0, settings={"buffer_bytes": held_bytes}
    )
    context.cluster = made.__enter__()


@given("a cluster of its own whose agents hold up to 8 MB of an answer")
def _(context):
    _services(context, HELD_BYTES)


@given("a cluster of its own whose agents hold up to 64 KB of an answer")
def _(context):
    _services(context, agent_fakes.USUAL_BYTES)


@when("a caller asks a service for {size:d} KB")
def _(context, size):
    context.size = size * KILOBYTE
    text = "y" * context.size
    start = time.monotonic()
    context.answer = context.cluster.call(
        "e1a", "/echo", method="POST", body=text
    )
    context.seconds = time.monotonic() - start
    print(f"{size} KB took {context.seconds:.2f} s")


@then("the answer is whole within {limit:d} s")
def _(context, limit):
    assert len(context.answer.content) > context.size, context.answer
    assert context.seconds < limit, context.seconds


# Callers who read slowly.


def _ask_long(context):
    """Ask for an echo of 4 MB and read nothing; wait until it is ready."""
    made = context.cluster
    entry, agent = made.entries[0][0], made.services[0][0]
    address = made.http[entry].removeprefix("http://")
    headers = {**made.headers(), "Content-Length": str(len(LONG))}
    headers["Connection"] = "close"
    context.sock = slow_callers.connect(address)
    path = "/services/codes/echo"
    head = slow_callers.head("POST", path, address, headers)
    context.sock.sendall(head + LONG.encode())

    def ended():
        runs = [run for run in made.ledger() if run["path"] == "/echo"]
        text = made.client.get(f"{made.http[agent]}/metrics").text
        return runs and "\nreelscale_running 0\n" in text

    process.wait_for(ended, "the upstream to be done")


@when(
    "a service has answered 4 MB to a caller who reads nothing for "
    "{seconds:d} s"
)
def _(context, seconds):
    _ask_long(context)
    time.sleep(seconds)
    context.read = slow_callers.read_all(context.sock)


@when("a service has answered 4 MB to a caller who reads nothing yet")
def _(context):
    _ask_long(context)


@when(
    "its agent is told to stop and the caller begins to read {seconds:d} s "
    "later"
)
def _(context, seconds):
    made = context.cluster
    made.processes[made.services[0][0]].signal(signal.SIGTERM)
    time.sleep(seconds)
    context.read = slow_callers.read_all(context.sock)


@then("the agent has exited with status 0")
def _(context):
    made = context.cluster
    status = made.processes[made.services[0][0]].popen.wait(EXIT_S)
    assert status == 0, status


@then("the slow caller gets the whole answer")
def _(context):
    head, _, body = context.read.partition(b"\r\n\r\n")
    assert body.count(b"y") >= len(LONG), (len(body), head[:300])


# The streams of an agent alone.


def _start_stream(context):
    agent_fakes.start(context, capacity=1)
    context.silent_s = 0
    request = agent_fakes.submission("a")
    assert context.streams.decide(request).admitted
    context.streams.start(request)
    context.upstream.sink.head(upstream.Head(200, ()))


def _advance(context, seconds):
    """Let time pass as an agent does: it sweeps each second."""
    for _ in range(seconds):
        context.clock.advance(1)
        context.reactor.advance(1)
        context.streams.sweep()
    context.silent_s += seconds


def _pull(context, from_seq):
    """Pull one piece; return the Deferred of the batch."""
    message = ttypes.Pull(attempt="a", from_seq=from_seq, max_bytes=len(PIECE))
    context.silent_s = 0
    return defer.ensureDeferred(context.streams.pull(message))


@given("an agent's answer of {count:d} pieces that has ended")
def _(context, count):
    _start_stream(context)
    context.count = count
    for _ in range(count):
        context.upstream.sink.chunk(PIECE)
    context.upstream.sink.end("", False)


@when("its entry has fetched {what}")
def _(context, what):
    pieces = {"nothing": 0, "all": context.count}
    word = what.split()[0]
    for seq in range(pieces[word] if word in pieces else int(word)):
        batches = []
        _pull(context, seq).addCallback(batches.append)
        assert batches[0].chunks == [PIECE], batches
        assert batches[0].done == (seq + 1 == context.count), batches
    if what.endswith("cancelled"):
        context.streams.cancel("a")


@given(
    "an agent's answer that begins {seconds:d} s after its entry has pulled"
)
def _(context, seconds):
    _start_stream(context)
    batches = []
    _pull(context, 0).addCallback(batches.append)
    _advance(context, seconds)
    assert not batches, batches
    context.upstream.sink.chunk(PIECE)
    assert [batch.chunks for batch in batches] == [[PIECE]], batches
    context.silent_s = 0


@when("the answer ends with more than its entry was given")
def _(context):
    context.upstream.sink.chunk(PIECE)
    context.upstream.sink.end("", False)


@then("it is still kept after {seconds:d} s without a pull")
def _(context, seconds):
    _advance(context, seconds - context.silent_s)
    assert "a" in context.streams.by_attempt


@then("it is forgotten after {seconds:d} s without a pull")
def _(context, seconds):
    _advance(context, seconds - context.silent_s)
    assert "a" not in context.streams.by_attempt


@then("a stop still waits {seconds:d} s after the last pull")
def _(context, seconds):
    assert not context.streams.gate.running
    _advance(context, seconds - context.silent_s)
    assert context.streams.unfetched()


@then("it waits no longer {seconds:d} s after the last pull")
def _(context, seconds):
    _advance(context, seconds - context.silent_s)
    assert not context.streams.unfetched()
