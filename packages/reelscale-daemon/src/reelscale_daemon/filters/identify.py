"""Filter that identifies the workspace by the bearer key."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, model

from . import call
from . import context as contexts

BEARER = "Bearer "


async def identify(request: call.Call, context: contexts.Context) -> None:
    """Find the workspace of a request.

    Raises:
      CodedError: "unauthorized", status 401, or "not-ready", 503.
    """
    if not context.config.ready:
        raise error.CodedError(
            "not-ready",
            step="identify",
            status=503,
            detail="this entry has no configuration yet",
            retry_after_s=1,
        )
    header = request.http.getHeader("authorization") or ""
    # Lookup by digest: the time of a comparison reveals nothing of the key.
    digest = model.digest_of_key(header.removeprefix(BEARER))
    name = context.workspace_by_digest(digest)
    if not header.startswith(BEARER) or name is None:
        raise error.CodedError(
            "unauthorized",
            step="identify",
            status=401,
            detail="no workspace has this bearer key",
        )
    request.workspace = context.config.state.workspaces_by_name[name]
