"""Last filter: sends a request to upstreams and its answer to the caller.

An attempt is followed by another only where that does no harm: it is
proved not to have run, or running it twice is allowed.  A stream that
breaks midway goes on at another upstream from the event after the last
one the caller got.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, retry

from . import admit, call, parts, writer
from . import attempt as attempts

# A stream that lost its upstream waits this long for a slot elsewhere.
RESUME_WAIT_S = 20.0
# 503 tells the caller that nothing ran; where that is not proved, the
# status must be another.
NOT_RUN_STATUS = 503
RAN_STATUS = 502


async def relay(asked: call.Call, given: parts.Parts) -> None:
    """Run a request and write its answer.

    Raises:
      CodedError: No answer could be begun; its outcome is stated.
      writer.BrokenError: The answer broke off after it had begun.
    """
    out = writer.make(asked, given)
    given.budget = retry.deposit(given.budget, given.settings.retry_ratio)
    tries = 0
    ran = False
    while True:
        try:
            await given.send(asked, given, out)
            asked.outcome = error.OUTCOME_RAN
            return
        except attempts.AttemptLostError as lost:
            tries += not lost.unsent
            ran = ran or not lost.not_run
            if not await _prepared(asked, given, out, lost, tries, ran):
                return


async def _prepared(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    tries: int,
    ran: bool,
) -> bool:
    """Prepare another attempt; False if the caller got the last answer.

    An upstream that failed a request by itself said so in an answer; where
    no other may be tried, that is what the caller gets.
    """
    try:
        await _again(asked, given, out, lost, tries, ran)
    except error.CodedError:
        if lost.answer is None or out.begun:
            raise
        status, headers, body = lost.answer
        out.begin(status, headers, length=len(body))
        out.write([body])
        out.finish()
        asked.outcome = error.OUTCOME_RAN
        return False
    return True


async def _again(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    tries: int,
    ran: bool,
) -> None:
    """Prepare another attempt, or end the request with an error."""
    if asked.disconnected:
        raise writer.CallerLeftError
    if asked.idempotency_key:
        raise _failure(asked, given, out, lost, ran)
    if out.begun and not out.resumable:
        raise _failure(asked, given, out, lost, ran)
    now = given.clock.monotonic()
    left_s = min(asked.deadline, asked.answer_deadline) - now
    if asked.route is not None:
        left_s = asked.answer_deadline - now
    convicted = given.suspects and given.suspects.convicted_s(asked)
    if convicted or given.outages.out(asked):
        raise _failure(asked, given, out, lost, ran)
    worth = retry.worth(
        attempts=tries,
        not_run=lost.not_run,
        repeatable=asked.idempotent,
        left_s=left_s if not out.begun else retry.LEAST_LEFT_S,
        most=asked.max_attempts,
    )
    # A stream that goes on elsewhere brings only the load that its lost
    # upstream has shed, and sessions must not be dropped: it is no retry,
    # except where the operators of routes count it as one.
    free = lost.unsent or (out.events > 0 and asked.route is None)
    budget = given.budget if free else retry.withdraw(given.budget)
    if not worth or budget is None:
        raise _failure(asked, given, out, lost, ran)
    given.budget = budget
    tried = (*asked.requirements.tried, lost.peer)
    asked.requirements = asked.requirements._replace(tried=tried)
    given.release(asked)
    asked.choice = given.choose(asked)
    if asked.choice is not None:
        given.reserve(asked)
    else:
        await _wait_again(asked, given, out, lost, ran)


async def _wait_again(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    ran: bool,
) -> None:
    """Wait for a slot once more; a stream goes ahead of new requests."""
    if out.events:
        asked.priority = 0
        wait_until = given.clock.monotonic() + RESUME_WAIT_S
        asked.deadline = min(wait_until, asked.answer_deadline)
    try:
        await admit.admit(asked, given)
    except error.CodedError as refused:
        if out.begun:
            raise writer.BrokenError(refused.code, lost.peer) from refused
        if ran:
            refused.outcome = error.OUTCOME_UNKNOWN
            refused.status = RAN_STATUS
        raise


def _failure(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    ran: bool,
) -> Exception:
    """Return the error that ends a request, with its true outcome."""
    if out.begun:
        asked.outcome = error.OUTCOME_UNKNOWN
        return writer.BrokenError(lost.code, lost.peer)
    return error.CodedError(
        lost.code,
        step="relay",
        peer=lost.peer,
        status=NOT_RUN_STATUS if not ran else RAN_STATUS,
        detail="the upstream did not answer this request",
        # What the lost upstream asked for is not what the others need.
        retry_after_s=given.retry_after_s(asked),
        outcome=error.OUTCOME_UNKNOWN if ran else error.OUTCOME_NOT_RUN,
    )
