"""Steps on rate limits in answers of the platform's workers."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from behave import then
from reelscale_core import number
from reelscale_daemon.adapters import base
from reelscale_daemon.exchange import connection
from reelscale_platform import worker as platform_worker

from features import answer_attempts as attempts


@then('a limit stated as "{text}" is {meaning}')
def _(context, text, meaning):
    dialect = platform_worker.Dialect()
    headers = [(b"Request-Id", b"1"), (b"Server-Limit", text.encode())]
    limit = dialect.answer(connection.Head(200, headers)).rate_limit
    if meaning == "unreadable":
        assert limit == base.UnreadableRateLimit(text), limit
        return
    per_s = number.decimal(meaning.split()[0])
    assert limit == base.RequestsPerSecond(per_s), limit


LIMIT = base.RequestsPerSecond(4.0)
ANSWERS = {
    "an answer with the request's id": (200, "r1", False),
    "a refusal that names no request": (503, "", True),
    "an answer that names no request": (200, "", False),
    "an answer with another request's id": (503, "r2", True),
}


@then("the limit of {answer} counts")
@then("the limit of {answer} does not count")
def _(context, answer):
    status, request_id, not_run = ANSWERS[answer]
    head = base.AnswerHead(
        status, (), request_id, not_run, proved=True, rate_limit=LIMIT
    )
    # A refusal counts on the first exchange of a connection and on others.
    for exchanges in (1, 2):
        stated = attempts.limits_recorded(head, exchanges)
        assert stated == ([LIMIT] if answer in COUNTED else []), stated


COUNTED = (
    "an answer with the request's id",
    "a refusal that names no request",
)
