"""Runs the filter chain for each request."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from . import call, limit
from . import context as contexts

COUNTED_AFTER = limit.limit


async def run(request: call.Call, context: contexts.Context) -> None:
    """Run the filter chain of this entry for a request.

    Raises:
      CodedError: A filter refused it, or it failed before an answer began.
      writer.AnswerBrokenError: Its answer was interrupted.
      writer.CallerDisconnectedError: Its caller disconnected.
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
