"""Steps on how parts of prompts are suspected, convicted and cleared."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools
import types
from unittest import mock

from behave import given, then, when
from reelscale_core import announcement, clock, error, part_suspicion
from reelscale_daemon.controllers import (
    crash_checks,
    suspect_parts,
    suspects,
)
from reelscale_daemon.filters import call, suspect
from reelscale_platform import ingress
from reelscale_wire.gen import ttypes
from twisted.internet import defer
from twisted.web import http_headers

from features.models import suspect_parts as model

MAX_LATE = 3
PART = "bad0"
OTHER = "aa01"


def _ignore_peers(self, message):
    """Ignore the records of other entries."""


def _ignore_answer(self, digests, *, target, now):
    """Neither clear the parts of an answered request nor remember it."""
    return []


FAULTS = {
    "charging parts": (
        suspect_parts.SuspectParts,
        "charge",
        lambda self, crash, unanswered, now: [],
    ),
    "sharing records": (suspects.Suspects, "apply", _ignore_peers),
    "recording answers": (
        part_suspicion.Parts,
        "record_answer",
        _ignore_answer,
    ),
}


@when(
    "{count:d} traces of requests with a part that crashes upstreams are "
    "replayed"
)
def _(context, count):
    context.worlds = [model.play(seed) for seed in range(count)]


@when(
    "{count:d} traces of requests with a part that crashes upstreams are "
    "replayed with a fault in {fault}"
)
def _(context, count, fault):
    target, name, value = FAULTS[fault]
    with mock.patch.object(target, name, value):
        context.worlds = [model.play(seed) for seed in range(count)]


def _worst(context):
    return max(model.sent_late(world) for world in context.worlds)


@then(
    "at most {most:d} requests with the part are sent later than 3 s after "
    "the fifth crash"
)
def _(context, most):
    assert _worst(context) <= most, _worst(context)


@then(
    "the part is convicted wherever it has crashed five upstreams and others "
    "were answered meanwhile"
)
def _(context):
    proved = [w for w in context.worlds if model.has_contrast(w)]
    assert proved
    assert all(world.convicted for world in proved)


@then("no sound request is refused")
def _(context):
    assert [world.refused for world in context.worlds if world.refused] == []
    assert all(world.answered for world in context.worlds)


@then(
    "too many requests with the part are sent, or a sound request is refused"
)
def _(context):
    refused = any(world.refused for world in context.worlds)
    assert refused or _worst(context) > MAX_LATE


def _controller(context):
    return suspects.Suspects(
        reactor=None,
        clock=context.clock,
        evidence=None,
        on_update=lambda: None,
    )


def _request(context, *parts, workspace="acme", target="llm"):
    number = next(context.numbers)
    return call.Call(
        http=None,
        id=f"r{number}",
        arrived_at=0.0,
        deadline=0.0,
        workspace=types.SimpleNamespace(name=workspace),
        target=target,
        method="POST",
        path="/chat",
        body=str(number).encode(),
        parts=parts,
    )


def _make(context):
    if "numbers" not in context:
        context.clock = clock.FakeClock(start=1000.0)
        context.numbers = itertools.count(1)
        context.suspects = _controller(context)


def _crash(context, *requests):
    start = announcement.Start(f"u{next(context.numbers)}", None)
    losses = [crash_checks.Loss(request, 3) for request in requests]
    context.suspects._record_crash(start, losses)


def _crash_apart(context, count, gap_s, *, others):
    for _ in range(count):
        _crash(context, _request(context, PART))
        if others:
            context.suspects.record_answer(_request(context, OTHER))
        context.clock.advance(gap_s)


@given("a part to which {count:d} answers have begun")
def _(context, count):
    _make(context)
    for _ in range(count):
        context.suspects.record_answer(_request(context, PART))
    context.clock.advance(1.0)


@given("a convicted part")
def _(context):
    _make(context)
    _crash_apart(context, 4, 1.0, others=True)
    assert context.suspects.convicted_s(_request(context, PART)) > 0


@when(
    "a part is unanswered at {count:d} crashes within {seconds:g} s while "
    "other answers begin"
)
def _(context, count, seconds):
    _make(context)
    _crash_apart(context, count, seconds / count, others=True)
    context.clock.advance(1.0)


@when("it is unanswered at {count:d} more crashes, {gap_s:g} s apart")
@when(
    "it is unanswered at {count:d} crashes, {gap_s:g} s apart, while other "
    "answers begin"
)
def _(context, count, gap_s):
    _crash_apart(context, count, gap_s, others=True)


@when(
    "a part is unanswered at {count:d} crashes, {gap_s:g} s apart, and no "
    "answer begins"
)
def _(context, count, gap_s):
    _make(context)
    _crash_apart(context, count, gap_s, others=False)


@when(
    "a crashing part and a part of the same requests are unanswered at "
    "{count:d} crashes"
)
def _(context, count):
    _make(context)
    for number in range(count):
        # Only the crashing part is in all of them.
        beside = ("cc01",) if number else ()
        _crash(context, _request(context, PART, *beside))
        context.suspects.record_answer(_request(context, OTHER))
        context.clock.advance(1.0)


@then("requests with the other part alone are admitted")
def _(context):
    assert context.suspects.convicted_s(_request(context, "cc01")) == 0


@when(
    "another entry begins one answer to a request that shared a crash with it"
)
def _(context):
    _crash(context, _request(context, PART), _request(context, OTHER))
    context.clock.advance(0.1)
    context.other = _controller(context)
    _tell(context)
    context.clock.advance(0.1)
    context.other.record_answer(_request(context, OTHER))
    message = ttypes.Usage(name="f2")
    context.other.add_to(message, 1.0)
    context.suspects.apply(message)
    context.clock.advance(4.0)


@when(
    "it is unanswered at {count:d} more crashes, {gap_s:g} s apart, without "
    "an answer here"
)
def _(context, count, gap_s):
    _crash_apart(context, count, gap_s, others=False)


@when(
    "a part is unanswered at {count:d} crashes, {gap_s:g} s apart, and "
    "answered in between"
)
def _(context, count, gap_s):
    _make(context)
    context.refused_s = 0.0
    for _ in range(count):
        _crash_apart(context, 1, gap_s / 2, others=True)
        left_s = context.suspects.convicted_s(_request(context, PART))
        context.refused_s = max(context.refused_s, left_s)
        context.suspects.record_answer(_request(context, PART))
        context.clock.advance(gap_s / 2)


@when("an answer to a request with it begins")
def _(context):
    context.other = _controller(context)
    _tell(context)
    assert context.other.convicted_s(_request(context, PART)) > 0
    context.clock.advance(0.1)
    context.suspects.record_answer(_request(context, PART))


def _tell(context):
    """Send a datagram to the other entry."""
    message = ttypes.Usage(name="f1")
    context.suspects.add_to(message, 1.0)
    context.other.apply(message)


@then("another entry that had refused it admits it too")
def _(context):
    _tell(context)
    assert context.other.convicted_s(_request(context, PART)) == 0


@when("{seconds:d} s pass")
def _(context, seconds):
    context.clock.advance(seconds)


@then("requests with the part are admitted")
def _(context):
    assert context.suspects.convicted_s(_request(context, PART)) == 0


@then("requests with the part were admitted all the time")
def _(context):
    assert context.refused_s == 0


@then("requests with the part are refused")
def _(context):
    assert context.suspects.convicted_s(_request(context, PART)) > 0


@then("requests of another workspace with the part are refused")
def _(context):
    asked = _request(context, PART, workspace="other")
    assert context.suspects.convicted_s(asked) > 0


@then("requests for another target with the part are admitted")
def _(context):
    asked = _request(context, PART, target="other")
    assert context.suspects.convicted_s(asked) == 0


@when("{count:d} requests with parts of their own are unanswered at crashes")
def _(context, count):
    context.count = count
    for number in range(count):
        _crash(context, _request(context, f"{number:04x}"))


@then("a new entry refuses the part after {count:d} datagram")
def _(context, count):
    context.other = _controller(context)
    for _ in range(count):
        _tell(context)
    assert context.other.convicted_s(_request(context, PART)) > 0


@then("it knows every suspect after {count:d} datagrams")
def _(context, count):
    for _ in range(count):
        context.clock.advance(0.1)
        _tell(context)
    known = context.other._parts.by_digest
    assert len(known) == context.count + 1, len(known)


@given("an entry at which a sound and a crashing request wait in a queue")
def _(context):
    _make(context)
    context.waiting = {}
    for part in (PART, OTHER):
        request = _request(context, part)
        request.dispatched = defer.Deferred()
        context.waiting[part] = request
    entry = types.SimpleNamespace(
        suspects=context.suspects, calls=set(context.waiting.values())
    )
    context.suspects.on_convicted.append(lambda: suspect.refuse_waiting(entry))


@when("the part is convicted")
def _(context):
    _crash_apart(context, 4, 1.0, others=True)


@then("the crashing request is refused at once and the sound one waits on")
def _(context):
    dispatched = context.waiting[PART].dispatched
    assert dispatched.called
    failures = []
    dispatched.addErrback(lambda failure: failures.append(failure.value))
    assert isinstance(failures[0], error.CodedError)
    assert failures[0].code == suspect.CRASHES
    assert not context.waiting[OTHER].dispatched.called


@when("a request comes with this header")
def _(context):
    headers = http_headers.Headers()
    for name, value in (("request-id", "1"), ("host", "api.example")):
        headers.addRawHeader(name, value)
    if context.active_outline["header"]:
        headers.addRawHeader("prompt-prefix", context.active_outline["header"])
    request = types.SimpleNamespace(
        requestHeaders=headers,
        uri=b"/chat",
        method=b"POST",
        too_large=False,
        content=types.SimpleNamespace(read=lambda: b""),
    )
    context.read = ingress.Surface().call(request, 0.0)


@then('its shared parts are "{parts}"')
@then('its shared parts are ""')
def _(context, parts=""):
    assert context.read.parts == tuple(parts.split()), context.read.parts
