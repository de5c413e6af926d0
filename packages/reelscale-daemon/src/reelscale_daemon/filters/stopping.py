"""Filter that refuses what a stopping process could not see to its end."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call, expiry
from . import context as contexts


async def check_stop(request: call.Call, context: contexts.Context) -> None:
    """Refuse a request whose time is not over when all requests are ended.

    Other entries can serve it at once; here it might be cut at the end.

    Raises:
      CodedError: "stopping", 503, with a Retry-After of 0.
    """
    if request.answer_deadline <= context.ends_at:
        return
    raise error.CodedError(
        expiry.STOPPING,
        step="stop",
        status=503,
        detail="this entry stops before the request's time is over",
        retry_after_s=0.0,
    )
