"""Steps on whose answer was read after a request was written."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then, when
from reelscale_core import announcement
from reelscale_daemon.adapters import base
from reelscale_wire.gen import ttypes

from features import answer_attempts as attempts

IDS = {
    "the request": attempts.REQUEST_ID,
    "another request": "r0",
    "an earlier request": attempts.EARLIER_ID,
    "no request": "",
}


def _head(status, named, **fields):
    return base.AnswerHead(
        status,
        (),
        IDS[named],
        load=announcement.Load(1, 0, 6),
        rate_limit=base.RequestsPerSecond(4.0),
        retry_after_s=2.0,
        leaving=True,
        proved=True,
        **fields,
    )


@when(
    "an entry reads a {status:d} that states not to have run {named} on "
    "exchange {exchange:d}"
)
def _(context, status, named, exchange):
    head = _head(status, named, not_run=True)
    context.played = attempts.play(head, exchanges=exchange)


@when("an entry reads a 200 that names {named}")
def _(context, named):
    head = _head(200, named, not_run=False)
    context.played = attempts.play(head, exchanges=1)


@then("the request counts as not run")
def _(context):
    assert context.played.lost.not_run, context.played


@then("the request counts as may have run")
def _(context):
    assert not context.played.lost.not_run, context.played
    assert context.played.aborted, context.played


@then("what the entry records is: {names}")
def _(context, names):
    expected = {f"record_{name}" for name in names.split(", ")}
    assert context.played.recorded == expected, context.played


@when(
    "an entry reads {count:d} refusals of an earlier request and then its own "
    "answer"
)
def _(context, count):
    refusal = _head(503, "an earlier request", not_run=True)
    own = _head(200, "the request", not_run=False)
    heads = [refusal] * count + [own]
    context.played = attempts.play(*heads, exchanges=2)


KINDS = {
    "a request that must not run twice": False,
    "an idempotent request": True,
}


@when("an entry reads a {status:d} to {kind} that states nothing")
def _(context, status, kind):
    head = _head(status, "the request", not_run=False)
    context.played = attempts.play(head, exchanges=2, idempotent=KINDS[kind])


@then("its caller gets no answer from it")
def _(context):
    assert context.played.status == 0, context.played
    assert not context.played.lost.not_run, context.played


@then("its caller gets the status {status:d}")
def _(context, status):
    assert context.played.status == status, context.played


@when("an agent answers a pull with a refusal of another attempt")
def _(context):
    refusal = ttypes.Batch(
        attempt="a0",
        from_seq=0,
        chunks=[],
        done=True,
        code="busy",
        ran=ttypes.VerdictKind.REFUSED,
    )
    context.lost = attempts.pull(refusal, attempt="a1")


@then("the attempt counts as may have run")
def _(context):
    assert not context.lost.not_run, context.lost
