"""Ends the remaining requests when a process stops.

Each caller gets an error instead of a closed connection, stating whether its
request has not run or its outcome is unknown.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call
from . import context as contexts

# Error code of requests that are ended by a stop.
STOPPING = "stopping"


def expire_all(context: contexts.Context) -> int:
    """Expire all requests in progress; return their number."""
    expired = list(context.calls)
    for request in expired:
        _expire(request, context)
    return len(expired)


def _expire(request: call.Call, context: contexts.Context) -> None:
    """Expire one request; past its deadline it is not retried."""
    now = context.clock.monotonic()
    request.answer_deadline = min(request.answer_deadline, now)
    request.deadline = min(request.deadline, now)
    if request.dispatched is not None and not request.dispatched.called:
        request.dispatched.errback(_refusal(request, context))
    elif request.on_expire is not None:
        request.on_expire(STOPPING)


def _refusal(
    request: call.Call, context: contexts.Context
) -> error.CodedError:
    """Return the error for a request that waits for a slot."""
    return error.CodedError(
        STOPPING,
        step="admit",
        status=503,
        detail="this entry is stopping; no slot became free",
        retry_after_s=context.retry_after_s(request),
    )
