"""Passes every request of a caller through a fixed chain of filters."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from . import call, limit, parts

COUNTED_AFTER = limit.limit


async def run(asked: call.Call, given: parts.Parts) -> None:
    """Pass a request through the chain of this entry.

    Raises:
      CodedError: A filter refused it, or it failed before its answer.
      writer.BrokenError: Its answer broke off.
      writer.CallerLeftError: Its caller has gone.
    """
    counted = False
    try:
        for function in given.chain:
            await function(asked, given)
            counted = counted or function is COUNTED_AFTER
    finally:
        given.release(asked)
        if counted:
            given.leave(asked)
