"""Filter that admits a request: it gets a slot, waits or is refused."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math

from reelscale_core import admission, error, rate_limit
from twisted.internet import defer

from . import call, writer
from . import context as contexts

STATUS_BY_CODE = {"displaced": 429, "queue-full": 429, "deadline": 503}
BACKOFF_DETAIL = "all upstreams of this target have asked for a back-off"
LIMIT_DETAIL = "the rate limits of this target's upstreams are exhausted"


async def admit(request: call.Call, context: contexts.Context) -> None:
    """Take a slot of an upstream for a request, queueing it if necessary.

    Requests with an idempotency key are sent to the owner of the key and
    take no slot here; the admission control of that upstream decides.

    Raises:
      CodedError: "queue-full", "displaced", "deadline" or "no-upstream".
      CallerDisconnectedError: The caller disconnected while it waited.
    """
    context.membership.record_demand(request.target)
    if not context.reachable(request.target):
        # Grants of an idle target expire; request new ones.
        await context.membership.refresh(request.target)
    if request.disconnected:
        # Without this check the request of a caller that is gone takes a slot.
        raise writer.CallerDisconnectedError
    if request.idempotency_key:
        return
    queue = context.queue(request.target)
    if not len(queue):
        request.choice = context.choose(request)
        if request.choice is not None:
            context.reserve(request)
            return
    await _wait(request, context, queue)


async def _wait(
    request: call.Call, context: contexts.Context, queue: admission.Queue
) -> None:
    if not context.reachable(request.target):
        raise error.CodedError(
            "no-upstream",
            step="admit",
            peer=request.target,
            status=503,
            detail="no upstream of this target can be reached",
            retry_after_s=context.retry_after_s(request),
        )
    _check_dispatch_wait(request, context, queue)
    entry, refusal = queue.offer(
        id=request.id,
        workspace=request.workspace.name,
        weight=request.workspace.weight,
        priority=request.priority,
        deadline=request.deadline,
        now=context.clock.monotonic(),
        item=request,
    )
    if refusal is not None:
        _refuse(refusal, request)
    request.waiting = entry
    request.dispatched = defer.Deferred()
    remaining_s = request.deadline - context.clock.monotonic()
    timer = context.reactor.callLater(
        max(0.0, remaining_s), _expire, request, queue
    )
    context.report_queue_length(request.target)
    try:
        await request.dispatched
    finally:
        if timer.active():
            timer.cancel()
        queue.drop(entry)
        context.report_queue_length(request.target)


def _check_dispatch_wait(
    request: call.Call, context: contexts.Context, queue: admission.Queue
) -> None:
    """Refuse a request that limits or back-offs would hold past its deadline.

    Raises:
      CodedError: "upstream-limit" or "upstream-backoff", with the expected
        wait as Retry-After.
    """
    dispatch_wait_s = context.membership.dispatch_wait_s(
        request.target, ahead=len(queue)
    )
    if context.clock.monotonic() + dispatch_wait_s <= request.deadline:
        return
    limits = context.membership.limits_per_s(request.target)
    code, detail, after_s = "upstream-backoff", BACKOFF_DETAIL, dispatch_wait_s
    if limits:
        code, detail = "upstream-limit", LIMIT_DETAIL
        after_s = rate_limit.retry_after_s(limits)
    raise error.CodedError(
        code,
        step="admit",
        peer=request.target,
        status=503,
        detail=detail,
        retry_after_s=max(after_s, dispatch_wait_s)
        if dispatch_wait_s < math.inf
        else after_s,
    )


def _refuse(refusal: admission.Refusal, newcomer: call.Call) -> None:
    """Fail the request that the queue refused or displaced."""
    problem = error.CodedError(
        refusal.code,
        step="admit",
        status=STATUS_BY_CODE[refusal.code],
        detail="this target is overloaded",
        retry_after_s=refusal.retry_after_s,
    )
    request = refusal.request.item
    if request is newcomer:
        raise problem
    if request.dispatched is not None and not request.dispatched.called:
        request.dispatched.errback(problem)


def _expire(request: call.Call, queue: admission.Queue) -> None:
    """Fail a queued request whose deadline has passed."""
    if request.dispatched is None or request.dispatched.called:
        return
    name = request.workspace.name
    after = queue.retry_after_s(request.id, name, request.priority)
    request.dispatched.errback(
        error.CodedError(
            "deadline",
            step="admit",
            status=503,
            detail="no slot became free before the deadline",
            retry_after_s=after,
        )
    )
