"""Steps on streams of upstreams that send garbage."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools

from behave import then, when

from features import answer_paths as paths
from standins import garbage

PLACES = {
    "before the head": "before-head",
    "in the head": "in-head",
    "behind the head": "after-head",
    "before the first event": "first",
    "inside an event": "inside",
    "in place of an event's end": "torn",
    "between two events": "between",
    "behind the last event": "behind-last",
    "in place of a chunk's size": "chunk-size",
    "in a chunk's extension": "chunk-extension",
    "in the trailer": "trailer",
    "behind the end": "behind",
}
READ_BYTES = 65536
WHOLE = b"".join(garbage.stream())
# Of an endless event, as a multiple of what one read takes.
MAX_READS = 4
SENTENCE = "An upstream sent bytes that are no answer."


def _sound(after):
    head, body = paths.true_answer(after=after)
    data = garbage.answer(garbage.Spoilt("", "chunked", b""), head, body)
    return paths.Script([data])


def _spoilt(spoilt):
    """Return an upstream whose answer has garbage."""

    def send(after):
        head, body = paths.true_answer(after=after)
        data = garbage.answer(spoilt, head, body)
        size = 1 if spoilt.bytewise else READ_BYTES
        pieces = [data[n : n + size] for n in range(0, len(data), size)]
        end = "close" if spoilt.framing == "unframed" else ""
        return paths.Script(pieces, end)

    return send


def _stream(body, framing="chunked"):
    """Return an upstream that sends events as they are given."""
    spoilt = garbage.Spoilt("", framing, b"")
    head, _ = paths.true_answer()
    data = garbage.answer(spoilt, head, body)
    return lambda _after: paths.Script([data], "")


@when("every kind of garbage stands {place} of a stream, in every framing")
def _(context, place):
    place = PLACES[place]
    context.played = []
    kinds = itertools.product(
        garbage.FRAMINGS, garbage.GARBAGE.items(), (False, True)
    )
    for framing, (name, data), bytewise in kinds:
        if name in garbage.INDISTINGUISHABLE.get(place, ()):
            continue
        if bytewise and len(data) > READ_BYTES:
            continue
        spoilt = garbage.Spoilt(place, framing, data, bytewise)
        seen = paths.Play([_spoilt(spoilt), _sound]).run()
        context.played.append(((framing, name, bytewise), seen))


@then("each time the caller receives every event once and nothing else")
def _(context):
    wrong = [
        (case, seen.status, seen.body[:200], seen.complete)
        for case, seen in context.played
        if seen.status != 200 or seen.body != WHOLE or not seen.complete
    ]
    assert not wrong, f"{len(wrong)} of {len(context.played)}: {wrong[:6]}"


@then("no exception has left the path of the request")
def _(context):
    faults = [(case, s.faults) for case, s in context.played if s.faults]
    assert not faults, faults[:2]


def _between(resumable):
    lines = garbage.GARBAGE["lines"]
    spoilt = garbage.Spoilt("between", "chunked", lines)
    upstreams = [_spoilt(spoilt), _sound]
    return paths.Play(upstreams, resumable=resumable).run()


@when("garbage stands between two events of a stream that may not be resumed")
def _(context):
    context.seen = _between(resumable=False)


@then("the caller receives the events before it and sees that more are due")
def _(context):
    sent = b"".join(garbage.stream()[: garbage.SPOILT_EVENT])
    assert context.seen.body == sent, context.seen
    assert not context.seen.complete, context.seen


WRONG = {
    "ended by CRLF": b"id: 2\r\ndata: x\r\n\r\n",
    "ended by CR": b"id: 2\rdata: x\r\r",
    "without an id": b"data: x\n\n",
    "without data": b"id: 2\n\n",
    "with an id that is empty": b"id: \ndata: x\n\n",
    "with an id that is no number": b"id: 2x\ndata: x\n\n",
    "with two ids": b"id: 2\nid: 2\ndata: x\n\n",
    "with two lines of data": b"id: 2\ndata: x\ndata: y\n\n",
    "with its data before its id": b"data: x\nid: 2\n\n",
    "with a field that nobody knows": b"id: 2\nsource: y\ndata: x\n\n",
    "with a line that is no field": b"id: 2\nx\ndata: x\n\n",
    "with a comment in it": b"id: 2\n: x\ndata: x\n\n",
    "with a control byte in it": b"id: 2\ndata: x\x00y\n\n",
    "with text that is not UTF-8": b"id: 2\ndata: \xff\n\n",
    "with a byte order mark before it": b"\xef\xbb\xbfid: 2\ndata: x\n\n",
}
FIRST = garbage.stream()[0]


@when("an upstream sends an event that is {wrong}")
def _(context, wrong):
    body = [FIRST, WRONG[wrong]] if wrong in WRONG else garbage.stream(1)
    context.seen = paths.Play([_stream(body), _sound]).run()


@then("no part of it reaches the caller, and the stream goes on elsewhere")
def _(context):
    seen = context.seen
    assert seen.body == WHOLE and seen.complete, seen
    assert len(seen.resumed_after) == 2, seen


TRUE = {
    "has letters beyond ASCII": "id: 2\ndata: ¡Señor Ξ!\n\n".encode(),
    "has no space behind its colons": b"id:2\ndata:x\n\n",
    "names the version that changes": b"versions: 3\nid: 2\ndata: x\n\n",
    "holds a tab": b"id: 2\ndata: x\ty\n\n",
}


@when("an upstream sends an event that {how}")
def _(context, how):
    context.true = [FIRST, TRUE[how]]
    context.seen = paths.Play([_stream(context.true)]).run()


@then("it reaches the caller as it is")
def _(context):
    seen = context.seen
    assert seen.body == b"".join(context.true) and seen.complete, seen


@when("an upstream sends an event without end")
def _(context):
    head, _ = paths.true_answer()
    piece = b"x" * READ_BYTES
    begin = b"".join(head) + b"\r\n" + FIRST + b"id: 2\ndata: "

    def send(_after):
        return paths.Script([begin, *[piece] * 100], "close")

    context.seen = paths.Play([send, _sound]).run()
    context.played = [("endless", context.seen)]


@then("little of it is read and the stream goes on elsewhere")
def _(context):
    seen = context.seen
    assert seen.body == WHOLE and seen.complete, (seen.status, seen.body[:99])
    assert seen.read[0] <= MAX_READS * READ_BYTES, seen.read


@when("garbage stands between two events of a stream")
def _(context):
    context.seen = _between(resumable=True)


@then("the circuit of its upstream is charged and its connection is gone")
def _(context):
    assert context.seen.failures == ("w1",), context.seen
    first, *others = context.seen.left_open
    assert not first and all(others), context.seen


@then("the log names the request, the upstream, the reason and the bytes")
def _(context):
    rows = [r for r in context.seen.logged if r["text"] == SENTENCE]
    assert len(rows) == 1, context.seen.logged
    assert rows[0]["request"] == paths.REQUEST_ID, rows
    assert rows[0]["upstream"] == "w1" and rows[0]["detail"], rows
    assert "no answer at all" in rows[0]["bytes"], rows
