"""One attempt sent by the entry directly to an upstream over HTTP."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import announcement, error
from twisted.internet import defer

from .. import logs
from ..exchange import connection, liveness
from . import attempt, call, direct_answer, suspect, writer
from . import context as contexts

LOG = logs.Logger("attempt")
# A request that is not idempotent is not sent on a connection that was idle
# for longer, in seconds, as the upstream may be closing it.
MAX_IDLE_AT_MOST_ONCE_S = 1.0
# Exceeds the 1 s after which TCP retransmits a lost SYN.
CONNECT_TIMEOUT_S = 1.2
# Error code of a request whose answer deadline has passed.
TIMEOUT = "timeout"


async def run(
    request: call.Call, context: contexts.Context, out: writer.Writer
) -> None:
    """Send one attempt and relay its answer.

    Raises:
      AttemptLostError: The attempt failed.
      CodedError: "timeout": the answer deadline has passed.
      CallerDisconnectedError: The caller disconnected.
    """
    upstream = context.current_view(request).upstream
    _check_suspect(request, context, upstream)
    request.attempts.append(f"{upstream.name} ({request.choice.reason})")
    context.metrics.attempts.inc({"upstream": upstream.name})
    conn = await _connect(request, context, upstream)
    try:
        _check_time(request, context, upstream)
        _check_accepted(request, context, upstream)
        _check_suspect(request, context, upstream)
    except attempt.AttemptLostError:
        context.connections.release(conn)
        raise
    active = direct_answer.ActiveAttempt(
        request=request, context=context, out=out, conn=conn, upstream=upstream
    )
    remaining_s = max(0.0, context.remaining_s(request))
    timer = context.reactor.callLater(remaining_s, active.abort_with, TIMEOUT)
    request.on_disconnect = conn.abort
    request.on_expire = active.abort_with
    context.suspects.begin(request, upstream.start)
    try:
        conn.send(_request(active), request_id=request.id)
        await direct_answer.relay(active)
    except connection.ExchangeError as lost:
        raise _lost(active, lost) from lost
    finally:
        context.suspects.end(request, upstream.start)
        _end(active, timer)


def _check_suspect(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> None:
    """Check that the request has not been convicted meanwhile.

    Raises:
      AttemptLostError: It has; nothing was sent.
    """
    if context.suspects.convicted_s(request):
        raise attempt.AttemptLostError(
            suspect.CRASHES, peer=upstream.name, not_run=True
        )


def _check_time(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> None:
    """Check that the answer deadline has not passed.

    Raises:
      AttemptLostError: It has, as after a stall or a suspension of the box.
    """
    if context.remaining_s(request) <= 0:
        raise attempt.AttemptLostError(
            TIMEOUT, peer=upstream.name, not_run=True
        )


def _check_accepted(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> None:
    """Check that the upstream still accepts requests.

    While the connection was opened, answers to other requests may have
    stated a back-off or that the upstream is leaving.

    Raises:
      AttemptLostError: "backoff" or "leaving"; nothing was sent.
    """
    code = context.membership.refusal_reason(upstream.start)
    if not code:
        return
    LOG.info(
        "An upstream stopped accepting requests before one was sent.",
        request=request.id,
        upstream=upstream.start.key,
        code=code,
        attempt=len(request.attempts),
    )
    raise attempt.AttemptLostError(
        code, peer=upstream.name, not_run=True, unsent=True
    )


async def _connect(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> connection.Connection:
    """Return an idle or a new connection to an upstream.

    Raises:
      AttemptLostError: None could be opened, or a stop cancelled it.
      CallerDisconnectedError: The caller disconnected, which cancels it.
    """
    opening = defer.ensureDeferred(_acquire(request, context, upstream))
    request.on_disconnect = opening.cancel
    request.on_expire = lambda _code: opening.cancel()
    try:
        conn = await opening
    except connection.ExchangeError as lost:
        if request.disconnected:
            raise writer.CallerDisconnectedError from lost
        # A connect cancelled by the deadline is no failure of the upstream.
        if context.remaining_s(request) > 0:
            context.record_failure(upstream.name, view=request.view)
        raise attempt.AttemptLostError(
            lost.code, peer=upstream.name, not_run=True
        ) from lost
    finally:
        request.on_disconnect = request.on_expire = None
    if request.disconnected:
        context.connections.release(conn)
        raise writer.CallerDisconnectedError
    return conn


async def _acquire(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> connection.Connection:
    """Acquire a connection from the pool within the answer deadline."""
    remaining_s = max(0.0, context.remaining_s(request))
    return await context.connections.acquire(
        upstream.address,
        max_idle_s=None if request.idempotent else MAX_IDLE_AT_MOST_ONCE_S,
        connect_timeout_s=min(remaining_s, CONNECT_TIMEOUT_S),
        request_id=request.id,
    )


def _request(active: direct_answer.ActiveAttempt) -> connection.Request:
    """Return the request in the dialect of the platform's upstreams."""
    return active.context.dialect.request(
        active.request,
        active.upstream,
        remaining_s=active.context.remaining_s(active.request),
        resume_after=active.resume_after,
    )


def _lost(
    active: direct_answer.ActiveAttempt, lost: connection.ExchangeError
) -> Exception:
    """Return the error for a failed exchange."""
    if active.request.disconnected:
        return writer.CallerDisconnectedError()
    if active.abort_code:
        return _expired(active)
    if lost.code == connection.GARBLED:
        direct_answer.log_garbled(active, lost.detail, lost.sample)
    active.context.record_failure(active.name, view=active.request.view)
    if lost.written and lost.code != liveness.UNRESPONSIVE:
        active.record_lost()
    return attempt.AttemptLostError(
        lost.code, peer=active.name, not_run=not lost.written
    )


def _expired(active: direct_answer.ActiveAttempt) -> Exception:
    """Return the error that ends a request past its deadline."""
    if active.out.begun:
        return writer.AnswerBrokenError(active.abort_code, active.name)
    return error.CodedError(
        active.abort_code,
        step="relay",
        peer=active.name,
        status=504,
        detail="the request timed out",
        outcome=error.OUTCOME_UNKNOWN,
    )


def _end(active: direct_answer.ActiveAttempt, timer: Any) -> None:
    """Cancel the timer of an attempt; release or abort its connection."""
    active.request.on_disconnect = active.request.on_expire = None
    if timer.active():
        timer.cancel()
    if active.conn.usable:
        active.context.connections.release(active.conn)
    else:
        active.conn.abort()
