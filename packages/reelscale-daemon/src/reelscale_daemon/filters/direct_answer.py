"""Relays the answer of an upstream that an entry meets itself.

A stream goes on event by event, so that another upstream can take it up
where one breaks; any other answer is read whole first, if it is not too
large, so that one that breaks off can be asked for again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses

from reelscale_core import announcement, backoff, events

from ..adapters import base
from ..exchange import connection
from . import attempt, call, writer
from . import context as contexts

# An upstream's answer from this status on is a failure of its own.
MIN_FAILURE_STATUS = 500
EVENT_STREAM = b"text/event-stream"
# An answer up to this many bytes is read whole before it goes on, so that
# one that breaks off can still be asked for again.
MAX_BUFFERED_BYTES = 256 * 1024


@dataclasses.dataclass(kw_only=True)
class ActiveAttempt:
    """One attempt that has a connection to its upstream.

    Attributes:
      asked: The caller's request.
      given: What the filters share.
      out: Where the answer goes.
      conn: The connection, this attempt's alone until it ends.
      upstream: Where the request goes.
      given_up: Code of the reason why it was ended, empty if it was not.
    """

    request: call.Call
    context: contexts.Context
    out: writer.Writer
    conn: connection.Connection
    upstream: announcement.Announcement
    abort_code: str = ""

    @property
    def name(self) -> str:
        """Return the name of the upstream."""
        return self.upstream.name

    @property
    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller has, if any."""
        if self.out.last_id is None:
            return self.request.resume_after
        return self.out.last_id

    def abort_with(self, code: str) -> None:
        """End the attempt, since the time of the request is up."""
        self.abort_code = code
        self.conn.abort()
        self.out.stop_waiting()

    def lost(self, code: str) -> attempt.AttemptLostError:
        """Return the error of an attempt that may have run."""
        return attempt.AttemptLostError(code, peer=self.name, not_run=False)


async def relay(active: ActiveAttempt) -> None:
    """Read an answer and give it to the caller.

    Raises:
      AttemptLostError: It came to nothing, or broke midway.
      ExchangeError: The connection broke.
      CallerLeftError: The caller has gone.
    """
    context = active.context
    began = context.clock.monotonic()
    head = context.dialect.answer(await active.conn.head())
    if head.load is not None:
        context.membership.note_load(active.upstream.start, head.load)
    if _answers_request(active, head):
        # The rest of the answer may take seconds, and others are to know.
        context.membership.note_rate_limit(
            active.upstream.start, head.rate_limit
        )
        _record_backoff(active, head)
        if head.leaving:
            context.membership.note_leaving(active.upstream.start)
    if head.not_run:
        raise await _refused(active, head)
    context.outages.note_progress(active.request, active.name)
    _check_request_id(active, head)
    if _is_stream(head):
        await _relay_events(active, head)
    else:
        await _relay_body(active, head)
    context.record_success(active.name, view=active.request.view)
    context.suspects.ended_well(active.request)
    taken_s = context.clock.monotonic() - began
    context.membership.note_taken(active.request.target, taken_s)


def _record_backoff(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """Note for how long the upstream wants nothing more, if it says so."""
    if head.status not in backoff.STATUSES:
        return
    if head.retry_after_s is not None:
        active.context.membership.note_backoff(
            active.upstream.start, head.retry_after_s
        )


async def _refused(
    active: ActiveAttempt, head: base.AnswerHead
) -> attempt.AttemptLostError:
    """Note that the upstream refused to run it; return the error."""
    active.context.outages.note_refused(active.request, active.name)
    active.context.membership.note_refused(active.upstream.start)
    # The rest of the answer goes nowhere, but the connection is kept.
    while await active.conn.chunk() is not None:
        pass
    return attempt.AttemptLostError(
        f"upstream-{head.status}",
        peer=active.name,
        not_run=True,
    )


def _answers_request(active: ActiveAttempt, head: base.AnswerHead) -> bool:
    """Tell whether an answer is to this request; a refusal may name none."""
    unnamed = head.not_run and not head.request_id
    return unnamed or head.request_id == active.request.id


def _check_request_id(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """See that an answer is to this request and no other.

    Raises:
      AttemptLostError: It is not; the connection is out of step.
    """
    if head.request_id != active.request.id:
        active.conn.abort()
        active.context.record_failure(active.name, view=active.request.view)
        raise active.lost("foreign-answer")


def _check_time(active: ActiveAttempt) -> None:
    """See that an answer may go on.

    Raises:
      ExchangeError: Its time was up while it waited for its caller.
    """
    if active.abort_code:
        raise connection.ExchangeError(
            active.abort_code, peer=active.name, written=True
        )


def _is_stream(head: base.AnswerHead) -> bool:
    return head.status == writer.OK and any(
        key.lower() == b"content-type" and value.startswith(EVENT_STREAM)
        for key, value in head.headers
    )


async def _relay_body(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """Relay an answer in one piece, or from WHOLE_BYTES on as it comes."""
    out = active.out
    if out.begun:
        # A stream was to go on, but the upstream answers with something
        # else; what it says has no place in the answer that has begun.
        raise active.lost(f"upstream-{head.status}")
    body = bytearray()
    while (piece := await active.conn.chunk()) is not None:
        if out.begun:
            await out.drained()
            _check_time(active)
            out.write([piece])
            continue
        body += piece
        if len(body) > MAX_BUFFERED_BYTES:
            out.begin(head.status, head.headers)
            out.write([bytes(body)])
    if not out.begun:
        _send_body(active, head, bytes(body))
    out.finish()


def _send_body(
    active: ActiveAttempt, head: base.AnswerHead, body: bytes
) -> None:
    """Give an answer on in one piece, unless another upstream may do better.

    Raises:
      AttemptLostError: The upstream failed, and asking again does no harm;
        its answer is kept for the case that no other can be asked.
    """
    if head.status >= MIN_FAILURE_STATUS and active.request.idempotent:
        lost = active.lost(f"upstream-{head.status}")
        lost.answer = attempt.BufferedAnswer(head.status, head.headers, body)
        raise lost
    contexts.record_first_byte(active.request, active.context)
    active.out.begin(head.status, head.headers, length=len(body))
    active.out.write([body])


async def _relay_events(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """Relay a stream event by event, from the last that the caller has."""
    out = active.out
    cutter = events.EventParser()
    last_at: float | None = None
    while (piece := await active.conn.chunk()) is not None:
        await out.drained()
        _check_time(active)
        complete = cutter.feed(piece)
        if not complete:
            continue
        _check_order(active, complete)
        _send_events(active, head, complete)
        active.context.outages.note_progress(active.request, active.name)
        last_at = _record_pause(active, last_at)
    if cutter.rest:
        raise _garbled(active)
    if not out.begun:
        out.begin(head.status, head.headers)
    out.finish()


def _check_order(active: ActiveAttempt, complete: list[events.Event]) -> None:
    """See that ids go on by one from the last that the caller has.

    Raises:
      AttemptLostError: They do not; nothing of these events is given on.
    """
    last = active.resume_after
    for item in complete:
        wrong = item.id is None or (last is not None and item.id != last + 1)
        if wrong:
            raise _garbled(active)
        last = item.id


def _send_events(
    active: ActiveAttempt, head: base.AnswerHead, complete: list[events.Event]
) -> None:
    """Give events on and note the last, where a stream may be taken up."""
    out = active.out
    if not out.begun:
        contexts.record_first_byte(active.request, active.context)
        out.begin(head.status, head.headers)
    out.write([item.data for item in complete])
    out.events += len(complete)
    active.request.events = out.events
    out.last_id = complete[-1].id


def _record_pause(active: ActiveAttempt, last_at: float | None) -> float:
    """Note the pause since the last events; return the time of these."""
    now = active.context.clock.monotonic()
    if last_at is not None:
        active.context.membership.note_pause(active.request, now - last_at)
    return now


def _garbled(active: ActiveAttempt) -> attempt.AttemptLostError:
    """Return the error of a stream that does not go on as it should."""
    active.conn.abort()
    return active.lost("garbled")
