"""Filter that refuses requests known to crash upstreams."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call
from . import context as contexts

# Error code of the refusal.
CRASHES = "crashes-upstreams"


async def check_suspect(request: call.Call, context: contexts.Context) -> None:
    """Refuse a request that crashed the upstreams that ran it.

    Raises:
      CodedError: "crashes-upstreams", 503: this time it was not run.
    """
    seconds = context.suspects.convicted_s(request)
    if not seconds:
        return
    raise error.CodedError(
        CRASHES,
        step="suspect",
        peer=request.target,
        status=503,
        detail="upstreams that ran this request have crashed",
        retry_after_s=seconds,
    )
