"""Ends the requests that a stopping process can wait for no longer.

Each gets an answer, which a connection that just closes would not be: the
promise that it has not run where that is so, else that its end is unknown.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call, parts

# The code of requests that are ended so.
STOPPING = "stopping"


def expire_all(given: parts.Parts) -> int:
    """End the time of all requests in progress; return their number."""
    expired = list(given.calls)
    for asked in expired:
        _expire(asked, given)
    return len(expired)


def _expire(asked: call.Call, given: parts.Parts) -> None:
    """End one request; no other attempt follows, as its time is up."""
    now = given.clock.monotonic()
    asked.answer_deadline = min(asked.answer_deadline, now)
    asked.deadline = min(asked.deadline, now)
    if asked.dispatched is not None and not asked.dispatched.called:
        asked.dispatched.errback(_refusal(asked, given))
    elif asked.on_expire is not None:
        asked.on_expire(STOPPING)


def _refusal(asked: call.Call, given: parts.Parts) -> error.CodedError:
    """Return the refusal of a request that waits for a slot."""
    return error.CodedError(
        STOPPING,
        step="admit",
        status=503,
        detail="this entry stops before a slot comes free",
        retry_after_s=given.retry_after_s(asked),
    )
