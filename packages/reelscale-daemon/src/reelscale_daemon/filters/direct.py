"""One attempt where an entry meets the upstream itself, over HTTP."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import error, events

from ..adapters import base
from ..exchange import connection
from . import attempt, call, parts, writer

# An upstream's answer from this status on is a failure of its own.
FAILED = 500
EVENT_STREAM = b"text/event-stream"
# An answer up to this many bytes is read whole before it goes on, so that
# one that breaks off can still be asked for again.
WHOLE_BYTES = 256 * 1024
# A request that must not run twice is not sent on a connection that was
# idle for longer, in seconds: an upstream may be closing it just now.
ONCE_IDLE_S = 1.0
# Opening a connection may take this long, in seconds; a lost opening packet
# is sent again after one second.
CONNECT_MOST_S = 1.2


async def run(
    asked: call.Call, given: parts.Parts, out: writer.Writer
) -> None:
    """Send one attempt and relay what it gives.

    Raises:
      AttemptLostError: It came to nothing, or broke midway.
      CodedError: "timeout": the time of the request is up.
      CallerLeftError: The caller has gone.
    """
    view = given.membership.views_by_name[asked.choice.name]
    name = view.upstream.name
    asked.attempts.append(f"{name} ({asked.choice.reason})")
    given.metrics.attempts.inc({"upstream": name})
    conn = await _connect(asked, given, view.upstream)
    late: list[bool] = []

    def give_up() -> None:
        late.append(True)
        conn.abort()

    left_s = asked.end_by - given.clock.monotonic()
    timer = given.reactor.callLater(max(0.0, left_s), give_up)
    asked.on_left = conn.abort
    try:
        conn.send(_request(asked, given, view.upstream, out))
        await _relay(asked, given, out, conn, name)
    except connection.ExchangeError as lost:
        raise _lost(asked, given, out, name, lost, bool(late)) from lost
    finally:
        asked.on_left = None
        if timer.active():
            timer.cancel()
        if conn.usable:
            given.connections.release(conn)
        else:
            conn.abort()


async def _connect(
    asked: call.Call, given: parts.Parts, upstream: Any
) -> connection.Connection:
    left_s = asked.end_by - given.clock.monotonic()
    try:
        conn = await given.connections.acquire(
            upstream.address,
            idle_most_s=None if asked.repeatable else ONCE_IDLE_S,
            connect_timeout_s=max(0.0, min(left_s, CONNECT_MOST_S)),
        )
    except connection.ExchangeError as lost:
        given.note_failure(upstream.name)
        raise attempt.AttemptLostError(
            lost.code, peer=upstream.name, not_run=True
        ) from lost
    if asked.left:
        given.connections.release(conn)
        raise writer.CallerLeftError
    return conn


def _request(
    asked: call.Call, given: parts.Parts, upstream: Any, out: writer.Writer
) -> connection.Request:
    after = asked.resume_after if out.last_id is None else out.last_id
    left_s = asked.end_by - given.clock.monotonic()
    return given.dialect.request(
        asked, upstream, left_s=left_s, resume_after=after
    )


def _lost(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    name: str,
    lost: connection.ExchangeError,
    late: bool,
) -> Exception:
    """Return the error that a broken exchange comes to."""
    if asked.left:
        return writer.CallerLeftError()
    if late and out.begun:
        return writer.BrokenError("timeout", name)
    if late:
        return error.CodedError(
            "timeout",
            step="relay",
            peer=name,
            status=504,
            detail="the time of this request is up",
            outcome=error.OUTCOME_UNKNOWN,
        )
    given.note_failure(name)
    return attempt.AttemptLostError(
        lost.code, peer=name, not_run=not lost.written
    )


async def _relay(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    conn: connection.Connection,
    name: str,
) -> None:
    began = given.clock.monotonic()
    answered = given.dialect.answer(await conn.head())
    if answered.load is not None:
        given.membership.note_load(name, answered.load)
    if not answered.not_run:
        given.note_answered(asked)
    if answered.not_run:
        given.note_refused(asked, name)
        given.membership.note_refused(name)
        await _drain(conn)
        raise attempt.AttemptLostError(
            f"upstream-{answered.status}",
            peer=name,
            not_run=True,
            retry_after_s=answered.retry_after_s,
        )
    if answered.request_id != asked.id:
        conn.abort()
        given.note_failure(name)
        raise attempt.AttemptLostError(
            "foreign-answer", peer=name, not_run=False
        )
    if _is_stream(answered):
        await _relay_events(asked, given, out, conn, answered, name)
    else:
        await _relay_whole(asked, given, out, conn, answered, name)
    given.note_success(name)
    given.membership.note_taken(asked.target, given.clock.monotonic() - began)


def _is_stream(answered: base.Answered) -> bool:
    return answered.status == writer.OK and any(
        key.lower() == b"content-type" and value.startswith(EVENT_STREAM)
        for key, value in answered.headers
    )


async def _drain(conn: connection.Connection) -> None:
    """Read the rest of a small answer that goes nowhere."""
    while await conn.chunk() is not None:
        pass


async def _relay_whole(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    conn: connection.Connection,
    answered: base.Answered,
    name: str,
) -> None:
    """Relay an answer in one piece, or from WHOLE_BYTES on as it comes."""
    if out.begun:
        # A stream was to go on, but the upstream answers with something
        # else; what it says has no place in the answer that has begun.
        raise attempt.AttemptLostError(
            f"upstream-{answered.status}", peer=name, not_run=False
        )
    body = bytearray()
    while (piece := await conn.chunk()) is not None:
        if out.begun:
            await out.drained()
            out.write([piece])
            continue
        body += piece
        if len(body) > WHOLE_BYTES:
            out.begin(answered.status, answered.headers)
            out.write([bytes(body)])
    if not out.begun and answered.status >= FAILED and asked.repeatable:
        raise attempt.AttemptLostError(
            f"upstream-{answered.status}",
            peer=name,
            not_run=False,
            answer=attempt.KeptAnswer(
                answered.status, answered.headers, bytes(body)
            ),
        )
    if not out.begun:
        parts.note_first_byte(asked, given)
        out.begin(answered.status, answered.headers, length=len(body))
        out.write([bytes(body)])
    out.finish()


async def _relay_events(
    asked: call.Call,
    given: parts.Parts,
    out: writer.Writer,
    conn: connection.Connection,
    answered: base.Answered,
    name: str,
) -> None:
    """Relay a stream event by event, from the last that the caller has."""
    cutter = events.Cutter()
    last_at: float | None = None
    while (piece := await conn.chunk()) is not None:
        await out.drained()
        whole = cutter.feed(piece)
        if not whole:
            continue
        _check_order(asked, out, whole, conn, name)
        if not out.begun:
            parts.note_first_byte(asked, given)
            out.begin(answered.status, answered.headers)
        out.write([item.data for item in whole])
        now = given.clock.monotonic()
        if last_at is not None:
            given.membership.note_pause(asked, now - last_at)
        last_at = now
        out.events += len(whole)
        asked.events = out.events
        out.last_id = whole[-1].id
    if cutter.rest:
        raise _garbled(conn, name)
    if not out.begun:
        out.begin(answered.status, answered.headers)
    out.finish()


def _check_order(
    asked: call.Call,
    out: writer.Writer,
    whole: list[events.Event],
    conn: connection.Connection,
    name: str,
) -> None:
    """See that ids go on by one from the last that the caller has.

    Raises:
      AttemptLostError: They do not; nothing of these events is given on.
    """
    last = asked.resume_after if out.last_id is None else out.last_id
    for item in whole:
        wrong = item.id is None or (last is not None and item.id != last + 1)
        if wrong:
            raise _garbled(conn, name)
        last = item.id


def _garbled(
    conn: connection.Connection, name: str
) -> attempt.AttemptLostError:
    conn.abort()
    return attempt.AttemptLostError("garbled", peer=name, not_run=False)
