"""The fixed chain that every request of a caller passes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Awaitable, Callable

from . import admit, call, classify, identify, limit, parts, relay

Filter = Callable[[call.Call, parts.Parts], Awaitable[None]]

CHAIN: tuple[Filter, ...] = (
    identify.identify,
    classify.classify,
    limit.limit,
    admit.admit,
    relay.relay,
)
COUNTED_AFTER = limit.limit


async def run(asked: call.Call, given: parts.Parts) -> None:
    """Pass a request through the chain.

    Raises:
      CodedError: A filter refused it, or it failed before its answer.
      writer.BrokenError: Its answer broke off.
      writer.CallerLeftError: Its caller has gone.
    """
    counted = False
    try:
        for function in CHAIN:
            await function(asked, given)
            counted = counted or function is COUNTED_AFTER
    finally:
        given.release(asked)
        if counted:
            given.leave(asked)
