"""One attempt where an entry meets the upstream itself, over HTTP."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import announcement, error
from twisted.internet import defer

from .. import logs
from ..exchange import connection
from . import attempt, call, direct_answer, suspect, writer
from . import context as contexts

LOG = logs.Logger("attempt")
# A request that must not run twice is not sent on a connection that was
# idle for longer, in seconds: an upstream may be closing it just now.
MAX_IDLE_AT_MOST_ONCE_S = 1.0
# Opening a connection may take this long, in seconds; a lost opening packet
# is sent again after one second.
CONNECT_TIMEOUT_S = 1.2
# The code of a request whose own time is up.
TIMEOUT = "timeout"


async def run(
    request: call.Call, context: contexts.Context, out: writer.Writer
) -> None:
    """Send one attempt and relay what it gives.

    Raises:
      AttemptLostError: It came to nothing, or broke midway.
      CodedError: "timeout": the time of the request is up.
      CallerLeftError: The caller has gone.
    """
    upstream = context.current_view(request).upstream
    if context.suspects.convicted_s(request):
        raise attempt.AttemptLostError(
            suspect.CRASHES, peer=upstream.name, not_run=True
        )
    request.attempts.append(f"{upstream.name} ({request.choice.reason})")
    context.metrics.attempts.inc({"upstream": upstream.name})
    conn = await _connect(request, context, upstream)
    try:
        _check_time(request, context, upstream)
        _check_accepted(request, context, upstream)
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
        conn.send(_request(active))
        await direct_answer.relay(active)
    except connection.ExchangeError as lost:
        raise _lost(active, lost) from lost
    finally:
        context.suspects.end(request, upstream.start)
        _end(active, timer)


def _check_time(
    request: call.Call,
    context: contexts.Context,
    upstream: announcement.Announcement,
) -> None:
    """See that there is time left to send a request.

    Raises:
      AttemptLostError: The process stood still, or the machine was suspended.
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
    """See that the upstream still wants a request, now that one can be sent.

    Opening a connection takes up to a second, in which answers to others may
    have told that it wants none.

    Raises:
      AttemptLostError: "backoff" or "leaving"; it got nothing.
    """
    code = context.membership.unwanted(upstream.start)
    if not code:
        return
    LOG.info(
        "An upstream no longer wants a request that was chosen for it.",
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
    """Return a connection to an upstream, an idle one if that will do.

    Raises:
      AttemptLostError: None could be opened, or a stop ended the opening.
      CallerLeftError: The caller has gone; its opening is given up at once.
    """
    opening = defer.ensureDeferred(_acquire(request, context, upstream))
    request.on_disconnect = opening.cancel
    request.on_expire = lambda _code: opening.cancel()
    try:
        conn = await opening
    except connection.ExchangeError as lost:
        if request.disconnected:
            raise writer.CallerDisconnectedError from lost
        # That an opening was given up says nothing of the upstream.
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
    """Take a connection from the pool, in the time that there is."""
    remaining_s = max(0.0, context.remaining_s(request))
    return await context.connections.acquire(
        upstream.address,
        max_idle_s=None if request.idempotent else MAX_IDLE_AT_MOST_ONCE_S,
        connect_timeout_s=min(remaining_s, CONNECT_TIMEOUT_S),
    )


def _request(active: direct_answer.ActiveAttempt) -> connection.Request:
    """Return the request as the platform's upstreams read it."""
    return active.context.dialect.request(
        active.request,
        active.upstream,
        remaining_s=active.context.remaining_s(active.request),
        resume_after=active.resume_after,
    )


def _lost(
    active: direct_answer.ActiveAttempt, lost: connection.ExchangeError
) -> Exception:
    """Return the error that a broken exchange comes to."""
    if active.request.disconnected:
        return writer.CallerDisconnectedError()
    if active.abort_code:
        return _expired(active)
    active.context.record_failure(active.name, view=active.request.view)
    if lost.written and lost.code != connection.UNRESPONSIVE:
        _record_lost(active)
    return attempt.AttemptLostError(
        lost.code, peer=active.name, not_run=not lost.written
    )


def _record_lost(active: direct_answer.ActiveAttempt) -> None:
    """Have it looked up whether the upstream has crashed."""
    candidates = active.context.membership.candidates(active.request.target)
    running = sum(
        item.running + item.queued
        for item in candidates
        if item.name == active.name
    )
    active.context.suspects.note_lost(
        active.request, active.upstream, running=running
    )


def _expired(active: direct_answer.ActiveAttempt) -> Exception:
    """Return the error that ends a request whose time is up."""
    if active.out.begun:
        return writer.AnswerBrokenError(active.abort_code, active.name)
    return error.CodedError(
        active.abort_code,
        step="relay",
        peer=active.name,
        status=504,
        detail="the time of this request is up",
        outcome=error.OUTCOME_UNKNOWN,
    )


def _end(active: direct_answer.ActiveAttempt, timer: Any) -> None:
    """Stop the clock of an attempt and keep its connection if it is good."""
    active.request.on_disconnect = active.request.on_expire = None
    if timer.active():
        timer.cancel()
    if active.conn.usable:
        active.context.connections.release(active.conn)
    else:
        active.conn.abort()
