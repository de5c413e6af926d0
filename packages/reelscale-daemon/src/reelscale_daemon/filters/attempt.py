"""One attempt by way of an agent: submits a request and pulls its answer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Sequence
from typing import Any, NamedTuple

from reelscale_core import answer, idempotency
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from .. import logs
from . import call, writer
from . import context as contexts

LOG = logs.Logger("attempt")
SUBMIT_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 15.0
# Pulls are retried for this long after the connection to an agent broke.
RECONNECT_TIMEOUT_S = 2.0
RECONNECT_INTERVAL_S = 0.1
PULL_BYTES = 65536
KINDS = ttypes.VerdictKind
# Code with which a stopping agent refuses new requests.
LEAVING = "leaving"


class BufferedAnswer(NamedTuple):
    """A complete answer that has not been sent to the caller.

    Attributes:
      status: HTTP status.
      headers: Headers to forward.
      body: The body.
    """

    status: int
    headers: Sequence[Any]
    body: bytes


class AttemptLostError(Exception):
    """An attempt failed without an answer or during one.

    Attributes:
      code: Error code.
      peer: Name of the upstream.
      not_run: Whether the upstream provably did not run the request.
      unsent: Whether nothing was sent because the chosen upstream no longer
        accepts requests; this neither counts as an attempt nor uses the
        retry budget.
      answer: Error answer of the upstream, sent to the caller if no other
        upstream is tried.
    """

    def __init__(
        self,
        code: str,
        *,
        peer: str,
        not_run: bool,
        unsent: bool = False,
        answer: BufferedAnswer | None = None,
    ) -> None:
        super().__init__(code)
        self.code = code
        self.peer = peer
        self.not_run = not_run
        self.unsent = unsent
        self.answer = answer


async def run(
    request: call.Call, context: contexts.Context, out: writer.Writer
) -> None:
    """Send one attempt and relay its answer."""
    name, reason, address = _destination(request, context)
    attempt = context.next_id()
    request.attempts.append(f"{name} ({reason})")
    context.metrics.attempts.inc({"upstream": name})
    to = context.links.to(address)
    request.on_disconnect = lambda: defer.ensureDeferred(_stop(to, attempt))
    await _submit(request, context, out, attempt, name, to)
    try:
        await _pull_all(request, context, out, attempt, name, to)
    except writer.CallerDisconnectedError:
        request.on_disconnect()
        raise
    except AttemptLostError as lost:
        if not lost.not_run:
            defer.ensureDeferred(_stop(to, attempt))
        raise


def _destination(
    request: call.Call, context: contexts.Context
) -> tuple[str, str, str]:
    """Return the name, the reason and the address of the upstream."""
    if request.idempotency_key:
        members = states.members(context.config.state, request.target)
        name = idempotency.owner_of(_scoped_key(request), members) or ""
        reason = "key"
        if context.membership.unavailable(name):
            raise AttemptLostError("home-away", peer=name, not_run=True)
    else:
        name, reason = request.choice.name, request.choice.reason
    upstream = context.upstream(name)
    if upstream is None:
        raise AttemptLostError("no-upstream", peer=name, not_run=True)
    return name, reason, upstream.agent


def _scoped_key(request: call.Call) -> str:
    """Return the idempotency key, prefixed with the workspace."""
    return f"{request.workspace.name}/{request.idempotency_key}"


async def _submit(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    attempt: str,
    name: str,
    to: link.Link,
) -> None:
    """Submit an attempt to an agent.

    Raises:
      AttemptLostError: The agent refused it, or its admission is unknown.
    """
    message = _message(request, context, out, attempt)
    view = context.membership.views_by_name.get(name)
    known = view.pulse.incarnation if view and view.pulse else ""
    try:
        verdict = await to.call("submit", message, timeout_s=SUBMIT_TIMEOUT_S)
    except link.LinkError as lost:
        _record_lost(context, name, lost)
        if not lost.written:
            raise AttemptLostError(
                "unreachable", peer=name, not_run=True
            ) from lost
        await _settle(context, to, attempt, name, known)
        return
    if verdict.kind == KINDS.ADMITTED:
        return
    if verdict.code == LEAVING:
        # Requests grants from other agents if this was the only upstream.
        context.membership.record_leaving(name)
    raise AttemptLostError(
        verdict.code,
        peer=name,
        not_run=verdict.kind == KINDS.REFUSED,
    )


def _record_lost(
    context: contexts.Context, name: str, lost: link.LinkError
) -> None:
    """Record the failure of an upstream whose agent did not answer."""
    context.record_failure(name)
    _record_unreachable(context, name, lost)


def _record_unreachable(
    context: contexts.Context, name: str, lost: link.LinkError
) -> None:
    """Stop sending to an upstream to which no connection could be opened.

    Otherwise the next attempt could choose it again and fail immediately
    instead of waiting for a slot of another upstream.
    """
    if not lost.written:
        context.membership.record_unreachable(name)


async def _settle(
    context: contexts.Context,
    to: link.Link,
    attempt: str,
    name: str,
    known: str,
) -> None:
    """Cancel an attempt whose submission got no answer; raise its outcome.

    Only the same incarnation of the agent can prove that the attempt did not
    run; a restarted agent has lost the record of earlier attempts.
    """
    try:
        verdict = await _cancel(to, attempt)
    except link.LinkError as lost:
        _record_unreachable(context, name, lost)
        raise AttemptLostError(
            "agent-lost", peer=name, not_run=False
        ) from lost
    same = bool(known) and verdict.incarnation == known
    proved = same and verdict.kind == KINDS.REFUSED
    raise AttemptLostError("agent-lost", peer=name, not_run=proved)


async def _cancel(to: link.Link, attempt: str) -> ttypes.Verdict:
    return await to.call(
        "cancel",
        ttypes.Cancel(attempt=attempt),
        timeout_s=CANCEL_TIMEOUT_S,
    )


async def _stop(to: link.Link, attempt: str) -> None:
    """Cancel an attempt that nobody waits for, on a best-effort basis."""
    try:
        await _cancel(to, attempt)
    except link.LinkError as lost:
        # The agent ends an attempt that has not been pulled for a while.
        LOG.info("A cancel got no answer.", attempt=attempt, reason=lost)


def _message(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    attempt: str,
) -> ttypes.Submit:
    remaining_s = request.deadline - context.clock.monotonic()
    return ttypes.Submit(
        attempt=attempt,
        workspace=request.workspace.name,
        target=request.target,
        method=request.method,
        path=request.path,
        headers=[ttypes.Header(name=n, value=v) for n, v in request.headers],
        body=request.body,
        resume_from=out.events,
        deadline_ms=int(max(0.0, remaining_s) * 1000),
        priority=request.priority,
        once_key=_scoped_key(request) if request.idempotency_key else "",
        offset=context.config.state.offset,
        entry=context.settings.name,
        stream=request.is_model,
        max_events=0,
    )


async def _pull_all(
    request: call.Call,
    context: contexts.Context,
    out: writer.Writer,
    attempt: str,
    name: str,
    to: link.Link,
) -> None:
    """Pull the chunks of an attempt at the rate at which the caller reads."""
    assembly = answer.Assembly(attempt=attempt)
    while True:
        await out.drained()
        batch = await _pull(context, attempt, name, to, assembly.seq)
        if batch.attempt != attempt:
            context.record_failure(name)
            raise AttemptLostError("foreign-answer", peer=name, not_run=False)
        fragment = answer.Fragment(
            attempt=batch.attempt,
            from_seq=batch.from_seq,
            chunks=batch.chunks,
            count=batch.count if batch.done and not batch.code else None,
            digest=batch.digest,
        )
        dropped = assembly.dropped
        chunks = assembly.add(fragment)
        if assembly.dropped > dropped:
            context.metrics.dropped.add({}, assembly.dropped - dropped)
        if batch.status and not out.begun and not (batch.done and batch.code):
            out.begin(batch.status, batch.headers)
        if chunks:
            contexts.record_first_byte(request, context)
            out.write(chunks)
        if assembly.complete:
            context.record_success(name)
            out.finish()
            return
        if batch.done:
            context.record_failure(name)
            raise AttemptLostError(
                batch.code or "not-whole",
                peer=name,
                not_run=batch.ran == KINDS.REFUSED,
            )


async def _pull(
    context: contexts.Context, attempt: str, name: str, to: link.Link, seq: int
) -> Any:
    """Pull once; after a broken connection, retry from the same sequence."""
    message = ttypes.Pull(attempt=attempt, from_seq=seq, max_bytes=PULL_BYTES)
    started = context.clock.monotonic()
    while True:
        try:
            return await to.call("pull", message, timeout_s=PULL_TIMEOUT_S)
        except link.LinkError as lost:
            late = context.clock.monotonic() > started + RECONNECT_TIMEOUT_S
            if lost.refused or late:
                _record_lost(context, name, lost)
                raise AttemptLostError(
                    "agent-lost", peer=name, not_run=False
                ) from lost
        await task.deferLater(context.reactor, RECONNECT_INTERVAL_S)
