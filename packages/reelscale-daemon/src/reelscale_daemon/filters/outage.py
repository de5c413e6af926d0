"""Filter: while a whole group refuses work, so does the entry, at once."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, outage

from . import call, parts


async def check_outage(asked: call.Call, given: parts.Parts) -> None:
    """Refuse a request whose group is out, but for one now and then.

    Raises:
      CodedError: "group-out", 503, with when to come back.
    """
    if given.outages.lets_through(asked):
        return
    raise error.CodedError(
        "group-out",
        step="outage",
        peer=asked.target,
        status=503,
        detail="all upstreams of this group refuse work",
        retry_after_s=outage.retry_after_s(given.left_s(asked)),
    )
