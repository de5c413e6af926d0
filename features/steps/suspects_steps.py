"""Steps on requests that crash upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import types
from unittest import mock

from behave import given, then, when
from reelscale_core import announcement, clock, suspicion
from reelscale_daemon.controllers import (
    crash_checks,
    crash_evidence,
    suspects,
)
from twisted.internet import defer, error, protocol, task

from features.models import suspects as model
from standins import fleet, process

MAX_REACHED = 3
PATH = "/chat/crash/1"
BODY = b"the same each time"


def _ignore_peers(self, message):
    """Ignore the records of other entries."""


FAULTS = {
    "counting crashes only": (
        suspicion,
        "_is_convicted",
        lambda record, *, only: len(record.crashed) >= 2,
    ),
    "sharing records": (suspects.Suspects, "apply", _ignore_peers),
    "convicting": (suspicion, "_is_convicted", lambda record, *, only: False),
}


def _play(context, count):
    context.crashing, context.innocent = [], []
    for seed in range(count):
        for caller in model.play(seed).callers:
            rows = context.crashing if caller.crashing else context.innocent
            rows.append(caller)


@when("{count:d} traces of requests that crash upstreams are replayed")
def _(context, count):
    _play(context, count)


@when(
    "{count:d} traces of requests that crash upstreams are replayed with a "
    "fault in {fault}"
)
def _(context, count, fault):
    target, name, function = FAULTS[fault]
    with mock.patch.object(target, name, function):
        _play(context, count)


def _worst(context):
    return max(model.reached_after_third_crash(c) for c in context.crashing)


@then(
    "no crashing request reaches more than three upstreams after its third "
    "crash"
)
def _(context):
    assert _worst(context) <= MAX_REACHED, _worst(context)


@then("every crashing request is convicted")
def _(context):
    assert all(caller.refused for caller in context.crashing)


@then("no innocent request is refused and all are answered")
def _(context):
    assert not any(caller.refused for caller in context.innocent)
    assert all(caller.done for caller in context.innocent)


@then(
    "a crashing request reaches more than three upstreams after its third "
    "crash, or an innocent request is refused"
)
def _(context):
    refused = any(caller.refused for caller in context.innocent)
    assert refused or _worst(context) > MAX_REACHED


class Endpoint:
    """Endpoint of which connections have a fixed outcome."""

    def __init__(self, outcome):
        self.outcome = outcome

    def connect(self, factory):
        """Open a connection, or fail."""
        if self.outcome is None:
            opened = protocol.Protocol()
            opened.transport = mock.Mock()
            return defer.succeed(opened)
        return defer.fail(self.outcome)


OUTCOMES = {
    "refuses connections": error.ConnectionRefusedError(),
    "takes connections": None,
    "does not answer": error.TimeoutError(),
}


@when("an exchange breaks with an upstream that {state}")
def _(context, state):
    first, _, outcome = state.partition(" and ")
    reactor = task.Clock()
    upstream = announcement.Announcement(
        name="u1",
        target="llm",
        address="127.0.0.1:1",
        hall="a",
        slots=1,
        born_ms=1,
    )
    context.suspects = suspects.Suspects(
        reactor=reactor,
        clock=clock.FakeClock(),
        evidence=crash_evidence.CrashEvidence(
            reactor=reactor,
            upstreams=types.SimpleNamespace(
                listed=lambda _: first not in ("is leaving", "is not listed"),
                restarted=lambda _: first == "has started again",
            ),
            open_connections=lambda _: int(
                first == "has other open connections"
            ),
        ),
        on_update=lambda: None,
    )
    context.asked = model.Caller(1, crashing=False).call()
    endpoint = Endpoint(OUTCOMES.get(outcome, error.ConnectionRefusedError()))
    with mock.patch.object(
        crash_evidence.endpoints,
        "TCP4ClientEndpoint",
        lambda *_, **__: endpoint,
    ):
        context.suspects.record_lost(context.asked, upstream, running=3)
        reactor.advance(crash_checks.CRASH_CHECK_DELAY_S)


@then("its requests are {verdict}")
def _(context, verdict):
    found = context.suspects.lookup(context.asked)
    assert (found is not None) == (verdict == "suspected"), found


def _controller(context):
    """Create a controller without a reactor, and a request."""
    context.clock = clock.FakeClock(start=50.0)
    context.suspects = suspects.Suspects(
        reactor=None,
        clock=context.clock,
        evidence=None,
        on_update=lambda: None,
    )
    context.asked = model.Caller(1, crashing=True).call()


def _crash_as_sole_request(context, number):
    start = announcement.Start(f"u{number}", None)
    losses = [crash_checks.Loss(context.asked, 1)]
    context.suspects._record_crash(start, losses)


@when(
    "a request is running at a crash, completes, and is running at three more "
    "crashes"
)
def _(context):
    _controller(context)
    _crash_as_sole_request(context, 0)
    context.suspects.record_success(context.asked)
    for number in range(1, 4):
        _crash_as_sole_request(context, number)


@then("it is neither isolated nor refused")
def _(context):
    assert context.suspects.convicted_s(context.asked) == 0
    assert not context.suspects.lookup(context.asked).isolated


@when("a request is convicted")
def _(context):
    _controller(context)
    for number in range(2):
        _crash_as_sole_request(context, number)


@then("it is refused for {seconds:d} s and then admitted")
def _(context, seconds):
    assert context.suspects.convicted_s(context.asked) == seconds
    context.clock.advance(seconds - 1)
    assert context.suspects.convicted_s(context.asked) > 0
    context.clock.advance(2)
    assert context.suspects.convicted_s(context.asked) == 0


@given(
    "a fleet of {workers:d} workers that can be crashed and {count:d} entries"
)
def _(context, workers, count):
    made = fleet.Fleet(workers=(("llm", "a"),) * workers, entries=count)
    context.cluster = made.__enter__()
    context.count = count
    for name in made.http:
        process.wait_for(
            lambda name=name: len(_known(made, name)) == count - 1,
            f"{name} to know the others",
        )


def _known(made, name):
    rows = made.log_lines(name)
    return {r["name"] for r in rows if r["text"] == "Discovered an entry."}


def _ask(context, entry, path=PATH):
    return context.cluster.ask(path, body=BODY, entry=entry)


@when(
    "a request that crashes workers is sent to the entries in turn, {times:d} "
    "times"
)
def _(context, times):
    context.answers = []
    for number in range(times):
        entry = f"f{1 + number % context.count}"
        answer = _ask(context, entry)
        context.answers.append(answer)
        _wait_until_reported(context)


def _crashed(made):
    return [n for n in made.workers if not made.processes[n].running]


def _wait_until_reported(context):
    """Wait until all entries have recorded each crash so far."""
    made = context.cluster

    def logged():
        rows = [r for name in made.http for r in made.log_lines(name)]
        text = "An upstream has crashed; what ran there is suspected."
        found = {r["upstream"] for r in rows if r["text"] == text}
        return found >= set(_crashed(made))

    process.wait_for(logged, "crashes to be logged")
    process.wait_for(lambda: _all_know(made), "entries to share the crashes")


def _all_know(made):
    """Return whether each entry has recorded every crash."""
    return all(
        _crashes_known(made, n) == len(_crashed(made)) for n in made.http
    )


def _crashes_known(made, entry):
    rows = made.log_lines(entry)
    return max((row.get("crashes", 0) for row in rows), default=0)


@then("{fewest:d} or {most:d} workers have crashed")
def _(context, fewest, most):
    crashed = _crashed(context.cluster)
    assert fewest <= len(crashed) <= most, crashed


@then("the last {count:d} answers say that it has not run, with a Retry-After")
def _(context, count):
    for answer in context.answers[-count:]:
        assert answer.status_code == 503, context.answers
        assert float(answer.headers["retry-after"]) > 60, answer.headers


@when("the crashed workers are restarted")
def _(context):
    made = context.cluster
    for name in _crashed(made):
        made.processes[name].start()
        process.wait_for(
            lambda name=name: made.answers(made.address[name]), name
        )


@then("every entry refuses it and no worker crashes")
def _(context):
    made = context.cluster
    for entry in made.http:
        assert _ask(context, entry).status_code == 503
    assert _crashed(made) == []


@then("another request of the same caller is answered at each entry")
def _(context):
    for entry in context.cluster.http:
        process.wait_for(
            lambda entry=entry: _ask(context, entry, "/chat/x").is_success,
            f"{entry} to serve another",
        )


@then("a newly started entry refuses it too")
def _(context):
    made = context.cluster
    made.processes["f1"].kill()
    began = len(made.log_lines("f1"))
    made.processes["f1"].start()
    made.wait_ready("f1")
    process.wait_for(
        lambda: any(
            row.get("verdict") == "convicted"
            for row in made.log_lines("f1")[began:]
        ),
        "records from the other entries",
    )
    assert _ask(context, "f1").status_code == 503
    assert _crashed(made) == []


@then("the entries log the conviction and the refusals")
def _(context):
    made = context.cluster
    rows = [row for name in made.http for row in made.log_lines(name)]
    text = "Rejecting a request that crashes upstreams."
    lines = [r for r in rows if r["text"] == text]
    assert len(lines) >= 1, rows[-5:]
    ended = [r for r in rows if r.get("code") == "crashes-upstreams"]
    assert len(ended) >= 4, ended
