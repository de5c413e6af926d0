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
FAILED = 500
EVENT_STREAM = b"text/event-stream"
# An answer up to this many bytes is read whole before it goes on, so that
# one that breaks off can still be asked for again.
WHOLE_BYTES = 256 * 1024


@dataclasses.dataclass(kw_only=True)
class Sent:
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
    given_up: str = ""

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

    def give_up(self, code: str) -> None:
        """End the attempt, since the time of the request is up."""
        self.given_up = code
        self.conn.abort()
        self.out.give_up_waiting()

    def lost(self, code: str) -> attempt.AttemptLostError:
        """Return the error of an attempt that may have run."""
        return attempt.AttemptLostError(code, peer=self.name, not_run=False)


async def relay(sent: Sent) -> None:
    """Read an answer and give it to the caller.

    Raises:
      AttemptLostError: It came to nothing, or broke midway.
      ExchangeError: The connection broke.
      CallerLeftError: The caller has gone.
    """
    context = sent.context
    began = context.clock.monotonic()
    answered = context.dialect.answer(await sent.conn.head())
    if answered.load is not None:
        context.membership.note_load(sent.upstream.start, answered.load)
    if _is_own(sent, answered):
        # The rest of the answer may take seconds, and others are to know.
        context.membership.note_rate_limit(
            sent.upstream.start, answered.rate_limit
        )
        _note_backoff(sent, answered)
        if answered.leaving:
            context.membership.note_leaving(sent.upstream.start)
    if answered.not_run:
        raise await _refused(sent, answered)
    context.outages.note_progress(sent.request, sent.name)
    _check_own(sent, answered)
    if _is_stream(answered):
        await _relay_events(sent, answered)
    else:
        await _relay_whole(sent, answered)
    context.record_success(sent.name, view=sent.request.view)
    context.suspects.ended_well(sent.request)
    taken_s = context.clock.monotonic() - began
    context.membership.note_taken(sent.request.target, taken_s)


def _note_backoff(sent: Sent, answered: base.Answered) -> None:
    """Note for how long the upstream wants nothing more, if it says so."""
    if answered.status not in backoff.STATUSES:
        return
    if answered.retry_after_s is not None:
        sent.context.membership.note_backoff(
            sent.upstream.start, answered.retry_after_s
        )


async def _refused(
    sent: Sent, answered: base.Answered
) -> attempt.AttemptLostError:
    """Note that the upstream refused to run it; return the error."""
    sent.context.outages.note_refused(sent.request, sent.name)
    sent.context.membership.note_refused(sent.upstream.start)
    # The rest of the answer goes nowhere, but the connection is kept.
    while await sent.conn.chunk() is not None:
        pass
    return attempt.AttemptLostError(
        f"upstream-{answered.status}",
        peer=sent.name,
        not_run=True,
    )


def _is_own(sent: Sent, answered: base.Answered) -> bool:
    """Tell whether an answer is to this request; a refusal may name none."""
    unnamed = answered.not_run and not answered.request_id
    return unnamed or answered.request_id == sent.request.id


def _check_own(sent: Sent, answered: base.Answered) -> None:
    """See that an answer is to this request and no other.

    Raises:
      AttemptLostError: It is not; the connection is out of step.
    """
    if answered.request_id != sent.request.id:
        sent.conn.abort()
        sent.context.record_failure(sent.name, view=sent.request.view)
        raise sent.lost("foreign-answer")


def _check_time(sent: Sent) -> None:
    """See that an answer may go on.

    Raises:
      ExchangeError: Its time was up while it waited for its caller.
    """
    if sent.given_up:
        raise connection.ExchangeError(
            sent.given_up, peer=sent.name, written=True
        )


def _is_stream(answered: base.Answered) -> bool:
    return answered.status == writer.OK and any(
        key.lower() == b"content-type" and value.startswith(EVENT_STREAM)
        for key, value in answered.headers
    )


async def _relay_whole(sent: Sent, answered: base.Answered) -> None:
    """Relay an answer in one piece, or from WHOLE_BYTES on as it comes."""
    out = sent.out
    if out.begun:
        # A stream was to go on, but the upstream answers with something
        # else; what it says has no place in the answer that has begun.
        raise sent.lost(f"upstream-{answered.status}")
    body = bytearray()
    while (piece := await sent.conn.chunk()) is not None:
        if out.begun:
            await out.drained()
            _check_time(sent)
            out.write([piece])
            continue
        body += piece
        if len(body) > WHOLE_BYTES:
            out.begin(answered.status, answered.headers)
            out.write([bytes(body)])
    if not out.begun:
        _give_whole(sent, answered, bytes(body))
    out.finish()


def _give_whole(sent: Sent, answered: base.Answered, body: bytes) -> None:
    """Give an answer on in one piece, unless another upstream may do better.

    Raises:
      AttemptLostError: The upstream failed, and asking again does no harm;
        its answer is kept for the case that no other can be asked.
    """
    if answered.status >= FAILED and sent.request.idempotent:
        lost = sent.lost(f"upstream-{answered.status}")
        lost.answer = attempt.KeptAnswer(
            answered.status, answered.headers, body
        )
        raise lost
    contexts.record_first_byte(sent.request, sent.context)
    sent.out.begin(answered.status, answered.headers, length=len(body))
    sent.out.write([body])


async def _relay_events(sent: Sent, answered: base.Answered) -> None:
    """Relay a stream event by event, from the last that the caller has."""
    out = sent.out
    cutter = events.Cutter()
    last_at: float | None = None
    while (piece := await sent.conn.chunk()) is not None:
        await out.drained()
        _check_time(sent)
        whole = cutter.feed(piece)
        if not whole:
            continue
        _check_order(sent, whole)
        _give_events(sent, answered, whole)
        sent.context.outages.note_progress(sent.request, sent.name)
        last_at = _note_pause(sent, last_at)
    if cutter.rest:
        raise _garbled(sent)
    if not out.begun:
        out.begin(answered.status, answered.headers)
    out.finish()


def _check_order(sent: Sent, whole: list[events.Event]) -> None:
    """See that ids go on by one from the last that the caller has.

    Raises:
      AttemptLostError: They do not; nothing of these events is given on.
    """
    last = sent.resume_after
    for item in whole:
        wrong = item.id is None or (last is not None and item.id != last + 1)
        if wrong:
            raise _garbled(sent)
        last = item.id


def _give_events(
    sent: Sent, answered: base.Answered, whole: list[events.Event]
) -> None:
    """Give events on and note the last, where a stream may be taken up."""
    out = sent.out
    if not out.begun:
        contexts.record_first_byte(sent.request, sent.context)
        out.begin(answered.status, answered.headers)
    out.write([item.data for item in whole])
    out.events += len(whole)
    sent.request.events = out.events
    out.last_id = whole[-1].id


def _note_pause(sent: Sent, last_at: float | None) -> float:
    """Note the pause since the last events; return the time of these."""
    now = sent.context.clock.monotonic()
    if last_at is not None:
        sent.context.membership.note_pause(sent.request, now - last_at)
    return now


def _garbled(sent: Sent) -> attempt.AttemptLostError:
    """Return the error of a stream that does not go on as it should."""
    sent.conn.abort()
    return sent.lost("garbled")
