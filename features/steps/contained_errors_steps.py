"""Steps on errors that no check foresaw."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when
from twisted.internet import error
from twisted.python import failure

from features import answer_paths as paths
from standins import garbage

KINDS = {
    "a stream": "chat",
    "a stream that may not be resumed": "chat",
    "a request that may run twice": "read",
    "a request that must not run twice": "push",
}
SENTENCE = "An attempt ended by a fault of ours."
REASON = "no check foresaw this"


def _sound(kind):
    def send(after):
        head, body = paths.true_answer(kind=kind, after=after)
        spoilt = garbage.Spoilt("", "chunked", b"")
        # An event at a time.
        data = garbage.answer(spoilt, head, body)
        lines = data.splitlines(keepends=True)
        return paths.Script(lines)

    return send


def _failing(function, number):
    """Return a function that fails at one of its calls."""
    count = 0

    def call(*arguments, **options):
        nonlocal count
        count += 1
        if count == number:
            raise RuntimeError(REASON)
        return function(*arguments, **options)

    return call


@when(
    "an error that no check foresaw occurs while the {part} is read of "
    "{request}"
)
def _(context, part, request):
    kind = KINDS[request]
    context.kind = kind
    play = paths.Play(
        [_sound(kind), _sound(kind)],
        kind=kind,
        resumable="not be resumed" not in request,
    )
    given = play.context
    match part:
        case "head":
            given.dialect.answer = _failing(given.dialect.answer, 1)
        case "third event":
            # Progress is recorded with the head, then with each event.
            outages = given.outages
            outages.record_progress = _failing(lambda *_: None, 4)
        case "end":
            given.record_success = _failing(given.record_success, 1)
    context.seen = play.run()


def _answer(kind):
    _, body = paths.true_answer(kind=kind)
    return b"".join(body)


@then("its caller receives the whole answer")
def _(context):
    seen = context.seen
    assert seen.status == 200 and seen.complete, seen
    assert seen.body == _answer(context.kind), seen


@then("its caller receives three events, seen to break off")
def _(context):
    assert context.seen.body == b"".join(garbage.stream()[:3]), context.seen
    assert not context.seen.complete, context.seen


@then("its caller receives a 502 that promises nothing")
def _(context):
    assert context.seen.status == 502, context.seen


@then("the circuit of its upstream is charged and the log has the traceback")
def _(context):
    assert context.seen.failures == ("w1",), context.seen
    _check_log(context)


@then("the log has the traceback")
def _check_log(context):
    rows = [r for r in context.seen.logged if r["text"] == SENTENCE]
    assert len(rows) == 1 and REASON in rows[0]["reason"], context.seen.logged


@when("a caller goes while its answer is finished")
def _(context):
    play = paths.Play([_whole], kind="read")

    def leave(*_):
        play.channel.connectionLost(failure.Failure(error.ConnectionLost()))

    play.context.outages.record_progress = leave
    context.seen = play.run()
    context.played = [("gone", context.seen)]


def _whole(_after):
    head, body = paths.true_answer(kind="read")
    spoilt = garbage.Spoilt("", "sized", b"")
    return paths.Script([garbage.answer(spoilt, head, body)])
