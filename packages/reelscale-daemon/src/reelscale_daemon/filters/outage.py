"""Filter that fails fast while all upstreams of a group refuse requests."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, outage

from . import call
from . import context as contexts


async def check_outage(request: call.Call, context: contexts.Context) -> None:
    """Refuse a request whose group is out, except for occasional probes.

    Raises:
      CodedError: "group-out", 503, with Retry-After.
    """
    if context.outages.allows(request):
        return
    raise error.CodedError(
        "group-out",
        step="outage",
        peer=request.target,
        status=503,
        detail="all upstreams of this group refuse requests",
        retry_after_s=outage.retry_after_s(context.remaining_s(request)),
    )
