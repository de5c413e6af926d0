"""Last filter: sends a request to upstreams and relays the answer.

A failed attempt is retried only if it provably did not run or the request is
idempotent.  An interrupted stream resumes at another upstream after the last
event that the caller received.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, retry

from . import admit, call, containment, writer
from . import attempt as attempts
from . import context as contexts

# Maximum wait of an interrupted stream for a slot of another upstream.
RESUME_TIMEOUT_S = 20.0
# 503 states that nothing ran; if that is not proved, 502 is sent.
NOT_RUN_STATUS = 503
RAN_STATUS = 502


async def relay(request: call.Call, context: contexts.Context) -> None:
    """Run a request and write its answer.

    Raises:
      CodedError: The request failed before its answer began.
      writer.AnswerBrokenError: The answer was interrupted.
    """
    out = writer.make(request, context)
    context.budget = retry.deposit(
        context.budget, context.settings.retry_ratio
    )
    tries = 0
    ran = False
    while True:
        try:
            await containment.send(request, context, out)
            request.outcome = error.OUTCOME_RAN
            return
        except attempts.AttemptLostError as lost:
            tries += not lost.unsent
            ran = ran or not lost.not_run
            if not await _retry_or_answer(
                request, context, out, lost, tries, ran
            ):
                return


async def _retry_or_answer(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    tries: int,
    ran: bool,
) -> bool:
    """Prepare another attempt; False if the last answer was sent instead.

    If no other upstream may be tried, the caller receives the error answer
    of the last upstream, if there is one.
    """
    try:
        await _prepare_retry(request, context, out, lost, tries, ran)
    except error.CodedError:
        if lost.answer is None or out.begun:
            raise
        status, headers, body = lost.answer
        out.begin(status, headers, length=len(body))
        out.write([body])
        out.finish()
        request.outcome = error.OUTCOME_RAN
        return False
    return True


async def _prepare_retry(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    tries: int,
    ran: bool,
) -> None:
    """Prepare another attempt or raise the error that ends the request."""
    if request.parts and not lost.not_run:
        # A request that crashed the upstream would crash the next.
        await context.suspects.wait_for_check(lost.peer)
    if request.disconnected:
        raise writer.CallerDisconnectedError
    if request.idempotency_key:
        raise _failure(request, context, out, lost, ran)
    if out.begun and not out.resumable:
        raise _failure(request, context, out, lost, ran)
    now = context.clock.monotonic()
    remaining_s = min(request.deadline, request.answer_deadline) - now
    if request.route is not None:
        remaining_s = request.answer_deadline - now
    if _crashes(request, context, lost) or context.outages.out(request):
        raise _failure(request, context, out, lost, ran)
    worth = retry.may_retry(
        attempts=tries,
        not_run=lost.not_run,
        idempotent=request.idempotent,
        remaining_s=remaining_s if not out.begun else retry.MIN_REMAINING_S,
        max_attempts=request.max_attempts,
    )
    # Resuming a stream adds no load beyond that of the failed upstream, so it
    # does not use the retry budget, except on routes.
    free = lost.unsent or (out.events > 0 and request.route is None)
    budget = context.budget if free else retry.withdraw(context.budget)
    if not worth or budget is None:
        raise _failure(request, context, out, lost, ran)
    context.budget = budget
    tried = (*request.requirements.tried, lost.peer)
    request.requirements = request.requirements._replace(tried=tried)
    context.release(request)
    request.choice = context.choose(request)
    if request.choice is not None:
        context.reserve(request)
    else:
        await _wait_for_slot(request, context, out, lost, ran)


def _crashes(
    request: call.Call,
    context: contexts.Context,
    lost: attempts.AttemptLostError,
) -> bool:
    """Return whether another attempt is likely to crash an upstream."""
    if context.suspects is None:
        return False
    if context.suspects.convicted_s(request):
        return True
    return not lost.not_run and context.suspects.is_doubtful(request)


async def _wait_for_slot(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    ran: bool,
) -> None:
    """Wait for a slot; a stream has priority over new requests."""
    if out.events:
        request.priority = 0
        wait_until = context.clock.monotonic() + RESUME_TIMEOUT_S
        request.deadline = min(wait_until, request.answer_deadline)
    try:
        await admit.admit(request, context)
    except error.CodedError as refused:
        if out.begun:
            raise writer.AnswerBrokenError(
                refused.code, lost.peer
            ) from refused
        if ran:
            refused.outcome = error.OUTCOME_UNKNOWN
            refused.status = RAN_STATUS
        raise


def _failure(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    lost: attempts.AttemptLostError,
    ran: bool,
) -> Exception:
    """Return the error that ends a request, with its outcome."""
    if out.begun:
        request.outcome = error.OUTCOME_UNKNOWN
        return writer.AnswerBrokenError(lost.code, lost.peer)
    return error.CodedError(
        lost.code,
        step="relay",
        peer=lost.peer,
        status=NOT_RUN_STATUS if not ran else RAN_STATUS,
        detail="the upstream did not answer this request",
        # The Retry-After of the failed upstream does not apply to others.
        retry_after_s=context.retry_after_s(request),
        outcome=error.OUTCOME_UNKNOWN if ran else error.OUTCOME_NOT_RUN,
    )
