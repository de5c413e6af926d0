"""Steps on callers who leave before they have their answers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
import re
import select
import socket
import struct
import time
import types

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from reelscale_core import routing
from reelscale_daemon.filters import admit, call, writer
from twisted.internet import defer

from features import platform_clients as clients
from standins import cluster, fleet, process

# By the platform's rules, work on a request ends this soon after its
# caller's close, in seconds, and nothing more of it reaches an upstream.
GONE_S = 0.5
# Time-outs of the routes and of callers, in seconds: so long that none of
# them ends a request before its caller leaves.
LONG_S = 60
# Less than the kernel would take by itself, so that a caller who reads
# nothing is felt by the process that writes.
WINDOW_BYTES = 16384
# A worker that could write nothing for this long, in seconds, is held back by
# its reader and not by a machine that is busy.
HELD_S = 0.3
# The state of a connection that is being opened, in /proc/net/tcp.
SYN_SENT = "02"
# Connections that fill a listener which holds one that it has not accepted.
FILLING = 2
# Longest time that generated callers stay, in seconds: some leave before a
# worker has their request and some long after.
LONGEST_STAY_S = 0.1
# Words of requests whose answers take longer than such callers stay.
LASTING = ("mute", "headed", "flood", "cut-mute", "slow")
# Tokens of an answer that lasts longer than its caller stays.
TOKENS = 100_000
CLOSES, HALF_CLOSES, RESETS = WAYS = ("closes", "half-closes", "resets")


def _patient(**options):
    """Return a fleet whose routes let requests wait and last long."""
    made = fleet.Fleet(**options)
    for row in made.config["routes"]:
        row["timeout_ms"] = row["slo_ms"] = LONG_S * 1000
    return made.__enter__()


@given("a shared fleet of faulty workers")
def _(context):
    if "cluster" not in context.holder:
        kinds = (("llm", "a"), ("llm", "a"), ("push", "a"), ("push", "a"))
        # A slot for each caller of a step, and no refusal for the lack of one.
        context.holder["cluster"] = _patient(workers=kinds, slots=32)
    context.cluster = context.holder["cluster"]


@given("a fleet of its own with one slot")
def _(context):
    context.cluster = _patient(workers=(("push", "a"),), slots=1)


@given("a fleet of its own with two workers of one slot each")
def _(context):
    kinds = (("push", "a"), ("push", "a"))
    context.cluster = _patient(workers=kinds, slots=1)


@given("a cluster of its own with one engine")
def _(context):
    options = {"halls": ("a",), "services": 0, "slots": 1}
    context.cluster = cluster.Cluster(**options).__enter__()


class Caller:
    """A caller with a connection of its own, on which it sends one request.

    Attributes:
      id: Id of the request.
      closed_at: Monotonic seconds at which the caller left.
    """

    def __init__(self, address, *, host=fleet.HOST, headers, window=None):
        self.id = headers.get("Request-Id", "")
        self.closed_at = math.inf
        self._rows = {**headers, "Host": host}
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        name, port = address.rsplit(":", 1)
        self.sock.connect((name, int(port)))
        self.sock.settimeout(LONG_S)

    def head(self, path, **rows):
        """Return the head of a request."""
        own = {
            **self._rows,
            **{k.replace("_", "-"): v for k, v in rows.items()},
        }
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in own.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send(self, path, body=b"hello"):
        """Send a whole request."""
        size = str(len(body))
        self.sock.sendall(self.head(path, Content_Length=size) + body)

    def leave(self, way):
        """Leave in one of the ways in which callers do."""
        self.closed_at = time.monotonic()
        if way == HALF_CLOSES:
            self.sock.shutdown(socket.SHUT_WR)
            return
        if way == RESETS:
            now = struct.pack("ii", 1, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, now)
        self.sock.close()


def _caller(made, **options):
    """Return a new caller of a fleet's first entry."""
    headers = made.headers(Deadline_Ms=str(LONG_S * 1000))
    return Caller(made.http["f1"], headers=headers, **options)


def _wait_runs(made, caller, count=1):
    """Wait until so many workers have begun on a caller's request."""
    process.wait_for(
        lambda: len(made.runs_of(caller.id)) >= count, "the request to run"
    )


def _wait_until(instant):
    """Wait until an instant of the monotonic clock has passed."""
    process.wait_for(lambda: time.monotonic() > instant, "the time", LONG_S)


def _check_ended(made, caller):
    """Check that all work on a request has ended in time, for good."""
    _wait_until(caller.closed_at + GONE_S)
    runs = made.runs_of(caller.id)
    late = [run for run in runs if not _ended_in_time(run, caller)]
    assert not late, (caller.closed_at, late)
    _check_nothing_later(made, caller)


def _ended_in_time(run, caller):
    left_at = run["left_at"]
    # A run that its worker has answered has no such time.
    by_itself = left_at is None and run["path"].split("/")[2] not in LASTING
    return by_itself or (left_at or math.inf) < caller.closed_at + GONE_S


def _check_nothing_later(made, caller):
    rows = [r for name in made.workers for r in made.worker(name)["reached"]]
    latest = caller.closed_at + GONE_S
    late = [r for r in rows if r["id"] == caller.id and r["at"] > latest]
    assert not late, (caller.closed_at, late)


# Requests that run.


@when('a caller asks "{path}" and its request runs')
def _(context, path):
    context.caller = _caller(context.cluster)
    context.caller.send(path)
    _wait_runs(context.cluster, context.caller)


@when('a caller asks "{path}" and has the first events')
def _(context, path):
    context.caller = _caller(context.cluster)
    context.caller.send(path)
    read = b""
    while read.count(b"data:") < 3:
        read += context.caller.sock.recv(1 << 20)
    # It reads no more, and yet the worker is still at work when it leaves.


@when(
    'a caller asks "{path}" and reads so little that the worker is held back'
)
def _(context, path):
    made = context.cluster
    context.caller = _caller(made, window=WINDOW_BYTES)
    context.caller.send(path)

    def held_back():
        since = [run["held_since"] for run in made.runs_of(context.caller.id)]
        return since and since[0] and time.monotonic() - since[0] > HELD_S

    process.wait_for(held_back, "the worker to be held back")


@when('a caller asks "{path}" and its request runs at a second worker')
def _(context, path):
    context.caller = _caller(context.cluster)
    context.caller.send(path)
    _wait_runs(context.cluster, context.caller, 2)
    by = {run["by"] for run in context.cluster.runs_of(context.caller.id)}
    assert len(by) == 2, by


@when("the caller closes")
def _(context):
    context.caller.leave(CLOSES)


@when("the caller half-closes")
def _(context):
    context.caller.leave(HALF_CLOSES)


@when("the caller resets")
def _(context):
    context.caller.leave(RESETS)


@then("the work on it ends within 0.5 s and none begins later")
def _(context):
    assert context.cluster.runs_of(context.caller.id)
    _check_ended(context.cluster, context.caller)
    context.caller.sock.close()


@when("callers send generated parts of requests and close")
def _(context):
    made = context.cluster
    context.callers = []

    @hypothesis.settings(clients.GENERATED, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(("/read/x", "/push/x", "/chat/x")),
        strategies.booleans(),
        strategies.floats(0, 1, exclude_max=True),
        strategies.sampled_from(WAYS),
    )
    def send(path, chunked, share, way):
        caller = _caller(made)
        if chunked:
            head = caller.head(path, Transfer_Encoding="chunked")
            data = head + b"5\r\nhello\r\n0\r\n\r\n"
        else:
            data = caller.head(path, Content_Length="300") + b"y" * 300
        caller.sock.sendall(data[: int(share * len(data))])
        caller.leave(way)
        context.callers.append(caller)

    send()


@then("nothing of these requests has reached a worker")
def _(context):
    made = context.cluster
    assert len(context.callers) >= 30, len(context.callers)
    _wait_until(context.callers[-1].closed_at + GONE_S)
    assert made.ask("/read/x").is_success
    rows = [r for name in made.workers for r in made.worker(name)["reached"]]
    ids = {caller.id for caller in context.callers}
    assert not [row for row in rows if row["id"] in ids]


@when("callers ask on generated paths and leave at generated times")
def _(context):
    made = context.cluster
    context.callers = []
    paths = ("/read/mute", "/push/mute", "/chat/headed", "/chat/flood")
    paths += ("/chat/cut-mute", "/read/error", "/read/flood", "/chat/slow")

    @hypothesis.settings(clients.GENERATED, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(paths),
        strategies.floats(0, LONGEST_STAY_S),
        strategies.sampled_from(WAYS),
    )
    def stay(path, seconds, way):
        caller = _caller(made)
        caller.send(path)
        _wait_until(time.monotonic() + seconds)
        caller.leave(way)
        context.callers.append(caller)

    stay()


@then("the work on each ends within 0.5 s and none begins later")
def _(context):
    made = context.cluster
    assert len(context.callers) >= 30, len(context.callers)
    _wait_until(context.callers[-1].closed_at + GONE_S)
    reached = sum(bool(made.runs_of(c.id)) for c in context.callers)
    assert reached > len(context.callers) // 4, reached
    for caller in context.callers:
        _check_ended(made, caller)
        caller.sock.close()


# Requests that wait.


def _gauge(made, entry, name):
    """Return the sum of a gauge of an entry over its labels."""
    if isinstance(made, fleet.Fleet):
        url = f"http://{made.health[entry]}/metrics"
    else:
        url = f"{made.http[entry]}/metrics"
    text = made.client.get(url).text
    values = re.findall(rf"^{name}(?:\{{.*\}})? (\S+)$", text, re.MULTILINE)
    return sum(map(float, values))


def _wait_queued(made, entry, count):
    process.wait_for(
        lambda: _gauge(made, entry, "reelscale_queued") == count,
        f"{count} to wait",
    )


@when("a caller takes the slot and another waits for it")
def _(context):
    made = context.cluster
    context.holding = _caller(made)
    context.holding.send("/push/mute")
    _wait_runs(made, context.holding)
    context.caller = _caller(made)
    context.caller.send("/push/x")
    _wait_queued(made, "f1", 1)


@when("a caller is refused by a worker and waits for another")
def _(context):
    made = context.cluster
    context.holding = _caller(made)
    context.holding.send("/push/mute")
    _wait_runs(made, context.holding)
    context.caller = _caller(made)
    context.caller.send("/push/undecided")

    def undecided():
        names = [n for n in made.workers if made.worker(n)["undecided"]]
        return names[0] if names else None

    name = process.wait_for(undecided, "the request to reach a worker")
    # The slot of the one that is refused goes to this one, which waits.
    context.next = _caller(made)
    context.next.send("/push/mute")
    _wait_queued(made, "f1", 1)
    url = f"http://{made.address[name]}/control"
    made.client.post(url, json={"shed": True}).raise_for_status()
    _wait_runs(made, context.next)
    _wait_queued(made, "f1", 1)


@then("nobody waits within 0.5 s")
def _(context):
    _wait_queued(context.cluster, "f1", 0)
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < GONE_S, taken_s


@then("the slot goes to the next caller and not to the one who left")
def _(context):
    made = context.cluster
    _wait_until(context.caller.closed_at + GONE_S)
    context.holding.leave(CLOSES)
    answer = made.ask("/push/x", Deadline_Ms=str(LONG_S * 1000))
    assert answer.is_success, answer
    assert not made.runs_of(context.caller.id)
    _check_nothing_later(made, context.caller)


# Connections that are being opened.


@given("a fleet of its own with a worker that accepts no connection")
def _(context):
    context.cluster = made = _patient(workers=(("push", "a"),))
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = context.listener.getsockname()
    context.filling = []
    for _ in range(FILLING):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(address)
        context.filling.append(sock)
    context.address = f"127.0.0.1:{address[1]}"
    made.withdraw("w1")
    _wait_line(made, "An upstream is no longer listed.")
    made.announce("w1", addr=context.address)
    _wait_line(made, "An upstream is listed.", address=context.address)


def _wait_line(made, text, **fields):
    """Wait for a line of an entry's log with these fields."""
    wanted = {"text": text, **fields}.items()
    process.wait_for(
        lambda: any(wanted <= _plain(row) for row in made.log_lines("f1")),
        f"the line {text}",
    )


def _plain(row):
    """Return those fields of a line that can be compared."""
    return {k: v for k, v in row.items() if isinstance(v, str)}.items()


def _opening(context):
    """Return whether the entry is opening a connection to the listener.

    The kernel's table has those that this process fills the listener with
    as well; they are told apart by their own ports.
    """
    wanted = context.listener.getsockname()[1]
    own = {sock.getsockname()[1] for sock in context.filling}
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table][1:]
    for row in rows:
        local, remote = (int(text.split(":")[1], 16) for text in row[1:3])
        if remote == wanted and row[3] == SYN_SENT and local not in own:
            return True
    return False


@when("a caller asks and a connection to the worker is being opened")
def _(context):
    context.caller = _caller(context.cluster)
    context.caller.send("/push/x")
    process.wait_for(lambda: _opening(context), "a connection to be opened")


@then("the opening is given up within 0.5 s")
def _(context):
    process.wait_for(lambda: not _opening(context), "the opening to end")
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < GONE_S, taken_s


@then("the worker gets no connection")
def _(context):
    own = {sock.getsockname() for sock in context.filling}
    _wait_until(context.caller.closed_at + GONE_S)
    while select.select([context.listener], [], [], 0)[0]:
        accepted, peer = context.listener.accept()
        accepted.close()
        assert peer in own, peer
    for sock in (*context.filling, context.listener):
        sock.close()


# Through an agent.


def _ask_cluster(context, prompt):
    made = context.cluster
    address = made.http[made.entries[0][0]].removeprefix("http://")
    caller = Caller(address, host=address, headers=made.headers())
    body = (
        f'{{"model": "m1", "prompt": "{prompt}", "max_tokens": {TOKENS}, '
        '"stream": true}'
    )
    caller.send("/v1/completions", body.encode())
    return caller


def _engine_runs(made, prompt):
    """Return what the engine ran of a prompt."""
    url = f"{made.upstream_http[made.engines[0][0]]}/ledger"
    runs = made.client.get(url).json()["runs"]
    return [run for run in runs if run["prompt"] == prompt]


@when("a caller of the cluster has the first events of a long answer")
def _(context):
    context.caller = _ask_cluster(context, "leaver")
    read = b""
    while read.count(b"data:") < 3:
        read += context.caller.sock.recv(1 << 20)


@then("the engine's work on it ends within 0.5 s")
def _(context):
    _wait_until(context.caller.closed_at + GONE_S)
    (run,) = _engine_runs(context.cluster, "leaver")
    assert run["left_at"], run
    assert run["left_at"] - context.caller.closed_at < GONE_S, run


@when("a caller of the cluster waits for the one slot")
def _(context):
    made = context.cluster
    context.holding = _ask_cluster(context, "holder")
    process.wait_for(lambda: _engine_runs(made, "holder"), "the slot's taking")
    context.caller = _ask_cluster(context, "leaver")
    _wait_queued(made, made.entries[0][0], 1)


@then("nobody waits at the cluster's entry within 0.5 s")
def _(context):
    made = context.cluster
    _wait_queued(made, made.entries[0][0], 0)
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < GONE_S, taken_s


@then("the next request runs and the engine never saw the one who left")
def _(context):
    made = context.cluster
    _wait_until(context.caller.closed_at + GONE_S)
    context.holding.leave(CLOSES)
    answer = made.complete(made.entries[0][0], "next")
    assert answer.is_success, answer
    assert _engine_runs(made, "next")
    assert not _engine_runs(made, "leaver")


class _Given:
    """What admission asks of the parts, with one slot once granted."""

    def __init__(self):
        self.granted = False
        self.reserved = []
        self.waking = defer.Deferred()
        self.membership = self

    def use(self, target):
        """Note nothing."""

    def reachable(self, target):
        return self.granted

    async def wake(self, target):
        await self.waking

    def queue(self, target):
        return ()

    def choose(self, asked):
        return routing.Choice("m1a", "wait", 0.0, 1)

    def reserve(self, asked):
        self.reserved.append(asked)


@given("a request that waits for the grants of its target")
def _(context):
    context.given = _Given()
    context.asked = call.Call(
        http=types.SimpleNamespace(), id="r1", arrived_at=0.0, deadline=LONG_S
    )
    context.admitted = defer.ensureDeferred(
        admit.admit(context.asked, context.given)
    )
    assert not context.admitted.called


@when("its caller leaves and a grant comes")
def _(context):
    context.asked.left = True
    context.given.granted = True
    context.given.waking.callback(None)


@then("it takes no slot and goes nowhere")
def _(context):
    failures = []
    context.admitted.addErrback(failures.append)
    assert context.given.reserved == []
    assert [f.type for f in failures] == [writer.CallerLeftError], failures
