"""First filter: the bearer key tells the workspace."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error, model

from . import call, parts

BEARER = "Bearer "


async def identify(asked: call.Call, given: parts.Parts) -> None:
    """Find the workspace of a request.

    Raises:
      CodedError: "unauthorized", status 401, or "not-ready", 503.
    """
    if not given.config.ready:
        raise error.CodedError(
            "not-ready",
            step="identify",
            status=503,
            detail="this entry has no configuration yet",
            retry_after_s=1,
        )
    header = asked.http.getHeader("authorization") or ""
    # The key is looked up by its digest, so the time that a comparison
    # takes tells nothing of the key.
    digest = model.digest_of_key(header.removeprefix(BEARER))
    name = given.workspace_by_digest(digest)
    if not header.startswith(BEARER) or name is None:
        raise error.CodedError(
            "unauthorized",
            step="identify",
            status=401,
            detail="the bearer key belongs to no workspace",
        )
    asked.workspace = given.config.state.workspaces_by_name[name]
