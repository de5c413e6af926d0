"""Filter that limits the requests in progress of a workspace."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error

from . import call
from . import context as contexts


async def limit(request: call.Call, context: contexts.Context) -> None:
    """Count a request against its workspace.

    Raises:
      CodedError: "too-many-running", status 429.
    """
    workspace = request.workspace
    running = context.running_by_workspace.get(workspace.name, 0)
    if running >= workspace.max_running:
        raise error.CodedError(
            "too-many-running",
            step="limit",
            status=429,
            detail=f"{running} requests of this workspace are in progress",
            retry_after_s=context.retry_after_s(request),
        )
    context.enter(request)
