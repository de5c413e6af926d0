"""Fourth filter: a request waits for a slot, or is refused at once."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math

from reelscale_core import admission, error, rate_limit
from twisted.internet import defer

from . import call, parts, writer

STATUS_BY_CODE = {"displaced": 429, "queue-full": 429, "deadline": 503}
BACKOFF_DETAIL = "its upstreams want no requests for a while"
LIMIT_DETAIL = "its upstreams take fewer requests than are asked"


async def admit(asked: call.Call, given: parts.Parts) -> None:
    """Give a request a slot of an upstream, in its fair turn.

    Requests with a key go to the home of the key and take no slot here;
    that upstream's gate decides.

    Raises:
      CodedError: "queue-full", "displaced", "deadline" or "no-upstream".
      CallerLeftError: The caller went while it waited.
    """
    given.membership.use(asked.target)
    if not given.reachable(asked.target):
        # Grants of a target that was idle have lapsed: ask for new ones.
        await given.membership.wake(asked.target)
    if asked.disconnected:
        # Nobody ends a wait that has not begun: it would take a slot.
        raise writer.CallerLeftError
    if asked.idempotency_key:
        return
    queue = given.queue(asked.target)
    if not len(queue):
        asked.choice = given.choose(asked)
        if asked.choice is not None:
            given.reserve(asked)
            return
    await _wait(asked, given, queue)


async def _wait(
    asked: call.Call, given: parts.Parts, queue: admission.Queue
) -> None:
    if not given.reachable(asked.target):
        raise error.CodedError(
            "no-upstream",
            step="admit",
            peer=asked.target,
            status=503,
            detail="no upstream of this target can be reached",
            retry_after_s=given.retry_after_s(asked),
        )
    _check_turn(asked, given, queue)
    entry, refusal = queue.offer(
        id=asked.id,
        workspace=asked.workspace.name,
        weight=asked.workspace.weight,
        priority=asked.priority,
        deadline=asked.deadline,
        now=given.clock.monotonic(),
        item=asked,
    )
    if refusal is not None:
        _refuse(refusal, asked)
    asked.waiting = entry
    asked.dispatched = defer.Deferred()
    left_s = asked.deadline - given.clock.monotonic()
    late = given.reactor.callLater(max(0.0, left_s), _late, asked, queue)
    given.note_queue(asked.target)
    try:
        await asked.dispatched
    finally:
        if late.active():
            late.cancel()
        queue.drop(entry)
        given.note_queue(asked.target)


def _check_turn(
    asked: call.Call, given: parts.Parts, queue: admission.Queue
) -> None:
    """Refuse at once what upstreams themselves leave no turn in time.

    Raises:
      CodedError: "upstream-limit" or "upstream-backoff", with when there is
        likely to be one.
    """
    turn_s = given.membership.turn_s(asked.target, ahead=len(queue))
    if given.clock.monotonic() + turn_s <= asked.deadline:
        return
    limits = given.membership.limits_per_s(asked.target)
    code, detail, after_s = "upstream-backoff", BACKOFF_DETAIL, turn_s
    if limits:
        code, detail = "upstream-limit", LIMIT_DETAIL
        after_s = rate_limit.retry_after_s(limits)
    raise error.CodedError(
        code,
        step="admit",
        peer=asked.target,
        status=503,
        detail=detail,
        retry_after_s=max(after_s, turn_s) if turn_s < math.inf else after_s,
    )


def _refuse(refusal: admission.Refusal, newcomer: call.Call) -> None:
    """Give a refused request its answer now."""
    problem = error.CodedError(
        refusal.code,
        step="admit",
        status=STATUS_BY_CODE[refusal.code],
        detail="more is asked than can be served in time",
        retry_after_s=refusal.retry_after_s,
    )
    asked = refusal.waiting.item
    if asked is newcomer:
        raise problem
    if asked.dispatched is not None and not asked.dispatched.called:
        asked.dispatched.errback(problem)


def _late(asked: call.Call, queue: admission.Queue) -> None:
    """End the wait of a request whose time is up."""
    if asked.dispatched is None or asked.dispatched.called:
        return
    name = asked.workspace.name
    after = queue.retry_after_s(asked.id, name, asked.priority)
    asked.dispatched.errback(
        error.CodedError(
            "deadline",
            step="admit",
            status=503,
            detail="no slot came free in time",
            retry_after_s=after,
        )
    )
