"""Passes every request of a caller through a fixed chain of filters."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from . import call, limit
from . import context as contexts

COUNTED_AFTER = limit.limit


async def run(request: call.Call, context: contexts.Context) -> None:
    """Pass a request through the chain of this entry.

    Raises:
      CodedError: A filter refused it, or it failed before its answer.
      writer.BrokenError: Its answer broke off.
      writer.CallerLeftError: Its caller has gone.
    """
    counted = False
    try:
        for function in context.chain:
            await function(request, context)
            counted = counted or function is COUNTED_AFTER
    finally:
        context.release(request)
        if counted:
            context.leave(request)
