"""Ends the requests that a stopping process can wait for no longer.

Each gets an answer, which a connection that just closes would not be: the
promise that it has not run where that is so, else that its end is unknown.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call
from . import context as contexts

# The code of requests that are ended so.
STOPPING = "stopping"


def expire_all(context: contexts.Context) -> int:
    """End the time of all requests in progress; return their number."""
    expired = list(context.calls)
    for request in expired:
        _expire(request, context)
    return len(expired)


def _expire(request: call.Call, context: contexts.Context) -> None:
    """End one request; no other attempt follows, as its time is up."""
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
    """Return the refusal of a request that waits for a slot."""
    return error.CodedError(
        STOPPING,
        step="admit",
        status=503,
        detail="this entry stops before a slot comes free",
        retry_after_s=context.retry_after_s(request),
    )
