"""Steps on answers that agents buffer until their entries fetch them."""

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
# Buffer of an agent; exceeds the largest answer of these steps.
BUFFER_BYTES = 8 * MEGABYTE
LONG = "y" * (4 * MEGABYTE)
# A chunk of an answer; each pull requests one.
CHUNK = b"z" * 100
# Time-out for the exit of an agent, in seconds.
EXIT_TIMEOUT_S = 10


def _services(context, buffer_bytes):
    """Start a hall with one service whose agent has such a buffer."""
    made = cluster.Cluster(
        halls=("a",), engines=0, settings={"buffer_bytes": buffer_bytes}
    )
    context.cluster = made.__enter__()


@given("a cluster of its own whose agents hold up to 8 MB of an answer")
def _(context):
    _services(context, BUFFER_BYTES)


@given("a cluster of its own whose agents hold up to 64 KB of an answer")
def _(context):
    _services(context, agent_fakes.DEFAULT_BUFFER_BYTES)


@when("a caller requests from a service {size:d} KB")
def _(context, size):
    context.size = size * KILOBYTE
    text = "y" * context.size
    start = time.monotonic()
    context.answer = context.cluster.call(
        "e1a", "/echo", method="POST", body=text
    )
    context.seconds = time.monotonic() - start
    print(f"{size} KB took {context.seconds:.2f} s")


@then("the answer is complete within {limit:d} s")
def _(context, limit):
    assert len(context.answer.content) > context.size, context.answer
    assert context.seconds < limit, context.seconds


# Slow callers.


def _request_long(context):
    """Request an echo of 4 MB without reading it; wait until it is ready."""
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
    _request_long(context)
    time.sleep(seconds)
    context.read = slow_callers.read_all(context.sock)


@when("a service has answered 4 MB to a caller who reads nothing yet")
def _(context):
    _request_long(context)


@when("its agent is stopped and the caller begins to read {seconds:d} s later")
def _(context, seconds):
    made = context.cluster
    made.processes[made.services[0][0]].signal(signal.SIGTERM)
    time.sleep(seconds)
    context.read = slow_callers.read_all(context.sock)


@then("the agent has exited with status 0")
def _(context):
    made = context.cluster
    status = made.processes[made.services[0][0]].popen.wait(EXIT_TIMEOUT_S)
    assert status == 0, status


@then("the slow caller gets the complete answer")
def _(context):
    head, _, body = context.read.partition(b"\r\n\r\n")
    assert body.count(b"y") >= len(LONG), (len(body), head[:300])


# The streams of an agent, without processes.


def _start_stream(context):
    agent_fakes.start(context, capacity=1)
    context.idle_s = 0
    request = agent_fakes.submission("a")
    assert context.streams.decide(request).admitted
    context.streams.start(request)
    context.upstream.sink.head(upstream.Head(200, ()))


def _advance(context, seconds):
    """Advance the clocks, sweeping each second as an agent does."""
    for _ in range(seconds):
        context.clock.advance(1)
        context.reactor.advance(1)
        context.streams.sweep()
    context.idle_s += seconds


def _pull(context, from_seq):
    """Pull one chunk; return the Deferred of the batch."""
    message = ttypes.Pull(attempt="a", from_seq=from_seq, max_bytes=len(CHUNK))
    context.idle_s = 0
    return defer.ensureDeferred(context.streams.pull(message))


@given("an agent's answer of {count:d} pieces that has ended")
def _(context, count):
    _start_stream(context)
    context.count = count
    for _ in range(count):
        context.upstream.sink.chunk(CHUNK)
    context.upstream.sink.end("", False)


@when("its entry has fetched {what}")
def _(context, what):
    pieces = {"nothing": 0, "all": context.count}
    word = what.split()[0]
    for seq in range(pieces[word] if word in pieces else int(word)):
        batches = []
        _pull(context, seq).addCallback(batches.append)
        assert batches[0].chunks == [CHUNK], batches
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
    context.upstream.sink.chunk(CHUNK)
    assert [batch.chunks for batch in batches] == [[CHUNK]], batches
    context.idle_s = 0


@when("the answer ends with more than its entry has fetched")
def _(context):
    context.upstream.sink.chunk(CHUNK)
    context.upstream.sink.end("", False)


@then("it is still kept after {seconds:d} s without a pull")
def _(context, seconds):
    _advance(context, seconds - context.idle_s)
    assert "a" in context.streams.by_attempt


@then("it is dropped after {seconds:d} s without a pull")
def _(context, seconds):
    _advance(context, seconds - context.idle_s)
    assert "a" not in context.streams.by_attempt


@then("a stop still waits {seconds:d} s after the last pull")
def _(context, seconds):
    assert not context.streams.gate.running
    _advance(context, seconds - context.idle_s)
    assert context.streams.unfetched()


@then("it no longer waits {seconds:d} s after the last pull")
def _(context, seconds):
    _advance(context, seconds - context.idle_s)
    assert not context.streams.unfetched()
