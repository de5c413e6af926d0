"""Steps on what a success must have to be forwarded."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools

from behave import then, when

from features import answer_paths as paths
from standins import garbage

KINDS = {
    "a stream": "chat",
    "a request that may run twice": "read",
    "a request that must not run twice": "push",
}
STAMP = b"Response-Stamp: stamp-w\r\n"
STREAM = b"text/event-stream"


# What of a head is replaced, or added to it.
REPLACED = {
    "without its proof": (STAMP, b""),
    "with an empty proof": (STAMP, b"Response-Stamp: \r\n"),
    "that is no stream": (STREAM, b"application/json"),
    "that is nearly a stream": (STREAM, b"text/event-streams"),
    "that states a charset": (STREAM, STREAM + b"; charset=utf-8"),
    "that has no content": (b"200 OK", b"204 No Content"),
}
ADDED = {
    "with two proofs": b"Response-Stamp: stamp-v\r\n",
    "with two ids": b"Request-Id: 00000000000000ff\r\n",
    "with a content coding": b"Content-Encoding: gzip\r\n",
    "that codes nothing": b"Content-Encoding: identity\r\n",
    "with both a length and chunks": b"Content-Length: 400\r\n",
}
UNFRAMED = ("that ends behind its head", "that ends with its connection")


def _changed(head, what):
    """Return the lines of a head with something wrong or odd."""
    old, new = REPLACED.get(what, (b"", b""))
    text = b"".join(head)
    text = text.replace(old, new) if old else text
    return (text + ADDED.get(what, b"")).splitlines(keepends=True)


def _upstream(kind, what=""):
    def send(after):
        head, body = paths.true_answer(kind=kind, after=after)
        head = _changed(head, what)
        framing = "unframed" if what in UNFRAMED else "chunked"
        if what == "that ends behind its head":
            body = []
        spoilt = garbage.Spoilt("", framing, b"")
        end = "close" if framing == "unframed" else ""
        return paths.Script([garbage.answer(spoilt, head, body)], end)

    return send


@when("the first upstream answers {kind} with a success {what}")
def _(context, kind, what):
    kind = KINDS[kind]
    upstreams = [_upstream(kind, what), _upstream(kind)]
    context.kind = kind
    context.seen = paths.Play(upstreams, kind=kind).run()


def _whole(kind):
    _, body = paths.true_answer(kind=kind)
    return b"".join(body)


@then("nothing of it reaches the caller, and another one answers")
def _(context):
    seen = context.seen
    assert len(seen.resumed_after) == 2 and not seen.expired, seen
    assert seen.status == 200 and seen.body == _whole(context.kind), seen


@then("nothing of it reaches the caller, and the answer is a 502")
def _(context):
    seen = context.seen
    assert len(seen.resumed_after) == 1 and not seen.expired, seen
    assert seen.status == 502 and not seen.body, seen


@then("the caller receives the whole answer from it")
def _(context):
    seen = context.seen
    assert len(seen.resumed_after) == 1, seen
    assert seen.status == 200 and seen.body == _whole(context.kind), seen
    assert seen.complete and not seen.failures, seen


def _cut(kind, framing, size, end):
    """Return an upstream whose head is cut, and the size of all of it."""
    head, body = paths.true_answer(kind=kind)
    spoilt = garbage.Spoilt("", framing, b"")
    data = garbage.answer(spoilt, head, body)
    whole = data.index(b"\r\n\r\n") + len(b"\r\n\r\n")
    return (lambda _after: paths.Script([data[:size]], end)), whole


@when(
    "a head of every kind is cut behind each of its bytes and the connection "
    "is {ended}"
)
def _(context, ended):
    end = {"closed": "close", "reset": "reset"}[ended]
    context.played = []
    for kind, framing in itertools.product(KINDS.values(), garbage.FRAMINGS):
        _, whole = _cut(kind, framing, 0, end)
        for size in range(whole + 1):
            upstream, _ = _cut(kind, framing, size, end)
            seen = paths.Play([upstream], kind=kind).run()
            context.played.append(((kind, framing, size), seen))


@then("no caller receives a success, and no exception has left the path")
def _(context):
    assert len(context.played) > 1000, len(context.played)
    for case, seen in context.played:
        assert seen.status == 502 and not seen.faults, (case, seen)
