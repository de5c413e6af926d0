"""Confines an unforeseen error to the attempt in which it occurs.

Whatever an upstream sends may raise an error that no check foresaw.  The
request must keep what any other lost attempt leaves it: a retry where that is
allowed, the rest of its stream from another upstream, and an outcome that
does not promise that nothing ran.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import error
from twisted.python import failure

from .. import logs
from . import attempt, call, writer
from . import context as contexts

LOG = logs.Logger("attempt")
# Error code of an attempt that ended by an unforeseen error.
INTERNAL = "internal"
FORESEEN = (
    attempt.AttemptLostError,
    error.CodedError,
    writer.AnswerBrokenError,
    writer.CallerDisconnectedError,
)


async def send(
    request: call.Call, context: contexts.Context, out: writer.Writer
) -> None:
    """Send one attempt and relay its answer.

    Raises:
      AttemptLostError: The attempt failed, perhaps by an unforeseen error.
      CodedError: The request failed before its answer began.
      AnswerBrokenError: The answer was interrupted.
      CallerDisconnectedError: The caller disconnected.
    """
    try:
        await context.send(request, context, out)
    except FORESEEN:
        raise
    except Exception as fault:
        if request.disconnected:
            raise writer.CallerDisconnectedError from fault
        name = request.choice.name if request.choice else ""
        _log(request, name)
        if out.finished:
            return
        if name:
            context.record_failure(name, view=request.view)
        raise attempt.AttemptLostError(
            INTERNAL, peer=name, not_run=False
        ) from fault


def _log(request: call.Call, name: str) -> None:
    """Log the error that is being handled."""
    LOG.error(
        "An attempt ended by a fault of ours.",
        request=request.id,
        upstream=name,
        attempt=len(request.attempts),
        reason=failure.Failure().getTraceback(),
    )
