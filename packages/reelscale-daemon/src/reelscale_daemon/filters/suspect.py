"""Filter that refuses requests known to crash upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from .. import logs
from . import call
from . import context as contexts

LOG = logs.Logger("suspects")
# Error code of the refusal.
CRASHES = "crashes-upstreams"


async def check_suspect(request: call.Call, context: contexts.Context) -> None:
    """Refuse a request that crashed the upstreams that ran it.

    Raises:
      CodedError: "crashes-upstreams", 503: this time it was not run.
    """
    problem = refusal(request, context)
    if problem is not None:
        raise problem


def refuse_waiting(context: contexts.Context) -> None:
    """Refuse the queued requests that have just been convicted."""
    for request in list(context.calls):
        waiting = request.dispatched
        if waiting is None or waiting.called:
            continue
        problem = refusal(request, context)
        if problem is not None:
            waiting.errback(problem)


def refusal(
    request: call.Call, context: contexts.Context
) -> error.CodedError | None:
    """Return the error of a convicted request, None if it is not."""
    seconds = context.suspects.convicted_s(request)
    if not seconds:
        return None
    LOG.info(
        "Refused a request that crashes upstreams.",
        request=request.id,
        part=context.suspects.convicted_part(request),
        left_s=seconds,
    )
    return error.CodedError(
        CRASHES,
        step="suspect",
        peer=request.target,
        status=503,
        detail="upstreams that ran this request have crashed",
        retry_after_s=seconds,
    )
