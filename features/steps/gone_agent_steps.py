"""Steps on callers that disconnect from requests through an agent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time
import types

from behave import given, then, when
from reelscale_core import routing
from reelscale_daemon.filters import admit, call, writer
from twisted.internet import defer

from features import platform_leaving as leaving
from standins import cluster, process

# Tokens of an answer that lasts longer than its caller stays connected.
TOKENS = 100_000


@given("a cluster of its own with one engine")
def _(context):
    options = {"halls": ("a",), "services": 0, "slots": 1}
    context.cluster = cluster.Cluster(**options).__enter__()


def _ask_cluster(context, prompt):
    made = context.cluster
    address = made.http[made.entries[0][0]].removeprefix("http://")
    caller = leaving.Caller(address, host=address, headers=made.headers())
    body = (
        f'{{"model": "m1", "prompt": "{prompt}", "max_tokens": {TOKENS}, '
        '"stream": true}'
    )
    caller.send("/v1/completions", body.encode())
    return caller


def _engine_runs(made, prompt):
    """Return the runs of a prompt at the engine."""
    url = f"{made.upstream_http[made.engines[0][0]]}/ledger"
    runs = made.client.get(url).json()["runs"]
    return [run for run in runs if run["prompt"] == prompt]


@when("a caller of the cluster receives the first events of a long answer")
def _(context):
    context.caller = _ask_cluster(context, "leaver")
    read = b""
    while read.count(b"data:") < 3:
        read += context.caller.sock.recv(1 << 20)


@then("the engine stops processing it within 0.5 s")
def _(context):
    leaving.wait_until(context.caller.closed_at + leaving.GONE_S)
    (run,) = _engine_runs(context.cluster, "leaver")
    assert run["left_at"], run
    assert run["left_at"] - context.caller.closed_at < leaving.GONE_S, run


@when("a caller of the cluster waits for the one slot")
def _(context):
    made = context.cluster
    context.holding = _ask_cluster(context, "holder")
    process.wait_for(
        lambda: _engine_runs(made, "holder"), "the slot to be occupied"
    )
    context.caller = _ask_cluster(context, "leaver")
    leaving.wait_queued(made, made.entries[0][0], 1)


@then("no request is queued at the cluster's entry after 0.5 s")
def _(context):
    made = context.cluster
    leaving.wait_queued(made, made.entries[0][0], 0)
    taken_s = time.monotonic() - context.caller.closed_at
    assert taken_s < leaving.GONE_S, taken_s


@then("the next request runs and the engine never receives the cancelled one")
def _(context):
    made = context.cluster
    leaving.wait_until(context.caller.closed_at + leaving.GONE_S)
    context.holding.leave(leaving.CLOSES)
    answer = made.complete(made.entries[0][0], "next")
    assert answer.is_success, answer
    assert _engine_runs(made, "next")
    assert not _engine_runs(made, "leaver")


class _FakeContext:
    """Fake context of the filters, with one slot once granted."""

    def __init__(self):
        self.granted = False
        self.reserved = []
        self.waking = defer.Deferred()
        self.membership = self

    def record_demand(self, target):
        """Do nothing."""

    def reachable(self, target):
        return self.granted

    async def refresh(self, target):
        await self.waking

    def queue(self, target):
        return ()

    def choose(self, request):
        return routing.Choice("m1a", "wait", 0.0, 1)

    def reserve(self, request):
        self.reserved.append(request)


@given("a request that waits for the grants of its target")
def _(context):
    context.filters = _FakeContext()
    context.request = call.Call(
        http=types.SimpleNamespace(),
        id="r1",
        arrived_at=0.0,
        deadline=leaving.LONG_S,
    )
    context.admitted = defer.ensureDeferred(
        admit.admit(context.request, context.filters)
    )
    assert not context.admitted.called


@when("its caller disconnects and a grant arrives")
def _(context):
    context.request.disconnected = True
    context.filters.granted = True
    context.filters.waking.callback(None)


@then("it takes no slot and is not sent")
def _(context):
    failures = []
    context.admitted.addErrback(failures.append)
    assert context.filters.reserved == []
    assert [f.type for f in failures] == [writer.CallerDisconnectedError], (
        failures
    )
