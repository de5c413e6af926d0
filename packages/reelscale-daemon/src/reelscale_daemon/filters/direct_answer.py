"""Relays the answer of an upstream to which an entry sends directly.

Streams are relayed event by event, so that they can resume at another
upstream.  Other answers are buffered up to a limit, so that an interrupted
one can be retried.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses

from reelscale_core import announcement, events

from .. import logs
from ..adapters import base
from ..exchange import connection
from . import answer_facts, answer_origin, attempt, call, success, writer
from . import context as contexts

LOG = logs.Logger("attempt")
# Answers with this status or above are failures of the upstream.
MIN_FAILURE_STATUS = 500
# Callers take these for the promise that a request has not run.
PROMISES = frozenset((408, 421, 429, 503))
# The own answer is awaited behind this many answers to earlier requests.
MAX_SURPLUS_ANSWERS = 2
# A longer answer is forwarded while it is read and can't be retried.
MAX_BUFFERED_BYTES = 256 * 1024


@dataclasses.dataclass(kw_only=True)
class ActiveAttempt:
    """An attempt with a connection to its upstream.

    Attributes:
      request: The caller's request.
      context: The state that the filters share.
      out: Writer of the answer.
      conn: The connection, used by this attempt only until it ends.
      upstream: The upstream.
      abort_code: Error code with which it was aborted, empty if it was not.
      answered: Whether the upstream has proved to live on after it began to
        answer: by an event after the first, or by the whole of an answer
        whose framing shows its end.
    """

    request: call.Call
    context: contexts.Context
    out: writer.Writer
    conn: connection.Connection
    upstream: announcement.Announcement
    abort_code: str = ""
    answered: bool = False

    @property
    def name(self) -> str:
        """Return the name of the upstream."""
        return self.upstream.name

    @property
    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller received."""
        if self.out.last_id is None:
            return self.request.resume_after
        return self.out.last_id

    def abort_with(self, code: str) -> None:
        """Abort the attempt with an error code."""
        self.abort_code = code
        self.conn.abort()
        self.out.stop_waiting()

    def record_answer(self) -> None:
        """Record that the upstream has begun to answer."""
        if not self.answered:
            self.answered = True
            self.context.suspects.record_answer(self.request)

    def record_lost(self) -> None:
        """Report the loss, so that a crash of the upstream is detected."""
        candidates = self.context.membership.candidates(self.request.target)
        running = sum(
            item.running + item.queued
            for item in candidates
            if item.name == self.name
        )
        self.context.suspects.record_lost(
            self.request,
            self.upstream,
            running=running,
            answered=self.answered,
        )

    def lost(self, code: str) -> attempt.AttemptLostError:
        """Return the error for an attempt that may have run."""
        return attempt.AttemptLostError(code, peer=self.name, not_run=False)


async def relay(active: ActiveAttempt) -> None:
    """Read an answer and relay it to the caller.

    Raises:
      AttemptLostError: The attempt failed.
      ExchangeError: The connection failed.
      CallerDisconnectedError: The caller disconnected.
    """
    context = active.context
    began = context.clock.monotonic()
    head = await _own_head(active)
    # Recorded before the body, which may take seconds to arrive.
    answer_facts.record(context.membership, active.upstream.start, head)
    if head.not_run:
        raise await _refused(active, head)
    context.outages.record_progress(active.request, active.name)
    if _may_mislead(active, head):
        raise await _unstated(active, head)
    if flaw := success.flaw(active.request, head):
        raise active.conn.garbled(flaw, repr(head.headers).encode())
    if active.request.stream and head.status == writer.OK:
        await _relay_events(active, head)
    else:
        await _relay_body(active, head)
    context.record_success(active.name, view=active.request.view)
    if active.conn.ended_by_close:
        # The end of the connection may also be that of the upstream.
        active.record_lost()
    else:
        active.record_answer()
        context.suspects.record_success(active.request)
    taken_s = context.clock.monotonic() - began
    context.membership.record_answer_time(active.request.target, taken_s)


async def _refused(
    active: ActiveAttempt, head: base.AnswerHead
) -> attempt.AttemptLostError:
    """Record the refusal of the upstream; return the error."""
    active.context.outages.record_refused(active.request, active.name)
    active.context.membership.record_refused(active.upstream.start)
    await _drain(active)
    return attempt.AttemptLostError(
        f"upstream-{head.status}",
        peer=active.name,
        not_run=True,
    )


def _may_mislead(active: ActiveAttempt, head: base.AnswerHead) -> bool:
    """Return whether an answer promises what its upstream does not state.

    Only the statement of not having run shows that a request has not run; the
    caller of a request that must not run twice would send it again.
    """
    return head.status in PROMISES and not active.request.idempotent


async def _unstated(
    active: ActiveAttempt, head: base.AnswerHead
) -> attempt.AttemptLostError:
    """Drain an answer that is not forwarded; return the error."""
    LOG.warning(
        "An answer does not state whether its request has run.",
        request=active.request.id,
        upstream=active.upstream.start.key,
        status=head.status,
    )
    await _drain(active)
    return active.lost(f"upstream-{head.status}")


async def _drain(active: ActiveAttempt) -> None:
    """Drain an answer that is not forwarded, to reuse its connection."""
    lost = await active.conn.drain()
    if lost is not None and lost.code == connection.GARBLED:
        log_garbled(active, lost.detail, lost.sample)
        active.context.record_failure(active.name, view=active.request.view)


async def _own_head(active: ActiveAttempt) -> base.AnswerHead:
    """Read the head of the answer to this request.

    Raises:
      AttemptLostError: There is none; this request may have run, and the
        connection is aborted.
      ExchangeError: The connection failed.
    """
    for _ in range(1 + MAX_SURPLUS_ANSWERS):
        head = active.context.dialect.answer(await active.conn.head())
        origin = answer_origin.of(
            head, request_id=active.request.id, conn=active.conn
        )
        if origin is answer_origin.Origin.OWN:
            return head
        _log_other_id(active, head, origin)
        if origin is not answer_origin.Origin.SURPLUS:
            break
        await active.conn.skip_answer()
    active.conn.abort()
    if origin is answer_origin.Origin.UNNAMED_REFUSAL:
        answer_facts.record_restrictions(
            active.context.membership, active.upstream.start, head
        )
    else:
        active.context.record_failure(active.name, view=active.request.view)
    raise active.lost(origin.value)


def _log_other_id(
    active: ActiveAttempt,
    head: base.AnswerHead,
    origin: answer_origin.Origin,
) -> None:
    """Log an answer that does not have the id of the request."""
    LOG.warning(
        "An answer does not have the id of the request.",
        request=active.request.id,
        answered=head.request_id,
        upstream=active.upstream.start.key,
        origin=origin.value,
        status=head.status,
        not_run=head.not_run,
        connection=active.conn.label,
        connection_age_s=round(active.conn.age_s, 3),
        exchanges=active.conn.used,
    )


def _check_time(active: ActiveAttempt) -> None:
    """Check that the attempt was not aborted while the caller was slow.

    Raises:
      ExchangeError: It was aborted.
    """
    if active.abort_code:
        raise connection.ExchangeError(
            active.abort_code, peer=active.name, written=True
        )


async def _relay_body(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """Relay an answer; above MAX_BUFFERED_BYTES, while it is read."""
    out = active.out
    if out.begun:
        # A stream was to be resumed, but this answer is no stream.
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
            if head.status not in success.STATUSES:
                raise active.conn.garbled("an error without end", piece)
            out.begin(head.status, head.headers)
            out.write([bytes(body)])
    if not out.begun:
        if not body and _may_be_cut(active, head):
            raise _broken_off(active)
        _send_body(active, head, bytes(body))
    out.finish()


def _may_be_cut(active: ActiveAttempt, head: base.AnswerHead) -> bool:
    """Return whether a success without a body may have lost it.

    An upstream that stops behind its head looks the same where the end of
    the connection ends the answer.
    """
    return head.status in success.STATUSES and active.conn.ended_by_close


def _send_body(
    active: ActiveAttempt, head: base.AnswerHead, body: bytes
) -> None:
    """Send a buffered answer, unless the request may be retried.

    Raises:
      AttemptLostError: The upstream failed and the request is idempotent;
        the error has the answer, in case no other upstream is tried.
    """
    if head.status >= MIN_FAILURE_STATUS and active.request.idempotent:
        lost = active.lost(f"upstream-{head.status}")
        lost.answer = attempt.BufferedAnswer(head.status, head.headers, body)
        raise lost
    contexts.record_first_byte(active.request, active.context)
    active.out.begin(head.status, head.headers, length=len(body))
    active.out.write([body])


async def _relay_events(active: ActiveAttempt, head: base.AnswerHead) -> None:
    """Relay a stream event by event, after the last one received.

    Raises:
      ExchangeError: What came is not the stream; the events before that have
        been forwarded.
    """
    out = active.out
    parser = events.EventParser(
        last_id=active.resume_after,
        leading_fields=active.context.dialect.event_fields,
    )
    last_at: float | None = None
    while (piece := await active.conn.chunk()) is not None:
        await out.drained()
        _check_time(active)
        if complete := parser.feed(piece):
            if last_at is not None:
                active.record_answer()
            _send_events(active, head, complete)
            last_at = _record_pause(active, last_at)
        if parser.rejected is not None:
            raise active.conn.garbled(*parser.rejected)
    if parser.pending:
        LOG.info(
            "A stream ended inside an event.",
            request=active.request.id,
            upstream=active.upstream.start.key,
            events=out.events,
            bytes=len(parser.pending),
        )
        raise _broken_off(active)
    if active.conn.ended_by_close and last_at is None:
        # A stream without an event is no answer; its upstream has ended.
        raise _broken_off(active)
    if not out.begun:
        out.begin(head.status, head.headers)
    out.finish()


def _send_events(
    active: ActiveAttempt, head: base.AnswerHead, complete: list[events.Event]
) -> None:
    """Forward events and record the last id, for resumption."""
    out = active.out
    if not out.begun:
        contexts.record_first_byte(active.request, active.context)
        out.begin(head.status, head.headers)
    out.write([item.data for item in complete])
    out.events += len(complete)
    active.request.events = out.events
    out.last_id = complete[-1].id
    active.context.outages.record_progress(active.request, active.name)


def _record_pause(active: ActiveAttempt, last_at: float | None) -> float:
    """Record the pause since the last events; return the current time."""
    now = active.context.clock.monotonic()
    if last_at is not None:
        active.context.membership.record_pause(active.request, now - last_at)
    return now


def _broken_off(active: ActiveAttempt) -> connection.ExchangeError:
    """Abort the connection; return the error of an unfinished stream."""
    active.conn.abort()
    return connection.ExchangeError(
        connection.LOST, peer=active.upstream.address, written=True
    )


def log_garbled(active: ActiveAttempt, detail: str, sample: bytes) -> None:
    """Log bytes of an upstream that are no answer."""
    LOG.warning(
        "An upstream sent bytes that are no answer.",
        request=active.request.id,
        upstream=active.upstream.start.key,
        detail=detail,
        bytes=repr(sample),
        events=active.out.events,
        connection=active.conn.label,
        exchanges=active.conn.used,
    )
