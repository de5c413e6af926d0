"""The attempts that an agent runs, and the gate that admits them.

The agent buffers the chunks of an answer until the entry has pulled them, and
pauses the upstream while the buffer is full, which bounds the memory used for
a slow caller.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import answer, clock, gate
from reelscale_wire.gen import ttypes
from twisted.internet import defer

from .. import logs, metrics
from ..adapters import upstream as upstreams

LOG = logs.Logger("streams")
# Seconds for which a pull waits for data.
PULL_WAIT_S = 10.0
# Seconds without a pull after which an attempt is orphaned; must exceed
# PULL_WAIT_S.
ORPHAN_S = 15.0
# Seconds for which a delivered attempt is kept, in case its last batch was
# lost; must exceed the retries of an entry (RELINK_S of attempt.py).
DELIVERED_RETENTION_S = 5.0
# Seconds for which a stop waits for an entry to retry a lost last batch; must
# exceed its pause between retries (RELINK_PAUSE_S of attempt.py).
FINAL_RETRY_S = 1.0
BUSY_RETRY_MS = 200


class Stream:
    """One attempt, until its entry has received the complete answer.

    Attributes:
      pulled_at: Monotonic seconds of the last pull or delivery.
      released: Whether its last batch was sent, or it was cancelled.
    """

    def __init__(
        self, *, request: ttypes.Submit, limit_bytes: int, now: float
    ) -> None:
        self.request = request
        self.outbox = answer.Outbox(limit_bytes=limit_bytes)
        self.head: upstreams.Head | None = None
        self.code = ""
        self.not_run = False
        self.exchange: upstreams.Exchange | None = None
        self.pulled_at = now
        self.ended_at: float | None = None
        self.released = False
        self.body_chunks: list[bytes] | None = None
        self._pull: tuple[defer.Deferred, ttypes.Pull] | None = None

    @property
    def ended(self) -> bool:
        """Whether the upstream's answer has ended."""
        return self.ended_at is not None

    def acknowledge(self, from_seq: int) -> None:
        """Drop acknowledged chunks; resume the upstream if there is capacity.

        Raises:
          IndexError: The outbox no longer has those chunks.
        """
        self.outbox.acknowledge(from_seq)
        if self.exchange is not None and not self.outbox.full:
            self.exchange.resume()

    def ready(self, from_seq: int) -> bool:
        """Return whether a pull can be answered now."""
        return self.ended or self.outbox.count > from_seq

    def wait(self, pull: ttypes.Pull) -> defer.Deferred:
        """Return a Deferred that fires when the pull can be answered.

        A pending pull of the same attempt is answered at once, as its
        connection has broken.
        """
        self.wake()
        waiter: defer.Deferred = defer.Deferred()
        self._pull = (waiter, pull)
        return waiter

    def wake(self) -> None:
        """Answer the pending pull, if any."""
        if self._pull is not None:
            waiter, _ = self._pull
            self._pull = None
            if not waiter.called:
                waiter.callback(None)


class Streams:
    """All attempts of one agent."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        upstream: upstreams.Upstream,
        metrics: metrics.Metrics,
        capacity: int,
        buffer_bytes: int,
        incarnation: str,
    ) -> None:
        self.gate = gate.Gate(capacity=capacity)
        self.by_attempt: dict[str, Stream] = {}
        self.on_end: list[Any] = []
        self._reactor = reactor
        self._clock = clock
        self._upstream = upstream
        self._metrics = metrics
        self._buffer_bytes = buffer_bytes
        self._incarnation = incarnation

    def decide(self, request: ttypes.Submit) -> gate.Decision:
        """Return the gate's decision on an attempt."""
        now = self._clock.monotonic()
        return self.gate.submit(request.attempt, request.entry, now)

    def refusal(self, code: str, *, unknown: bool = False) -> ttypes.Verdict:
        """Return a refusal to send to the entry."""
        self._metrics.refused.inc({"code": code})
        kind = ttypes.VerdictKind.REFUSED
        if unknown:
            kind = ttypes.VerdictKind.UNKNOWN
        return ttypes.Verdict(
            kind=kind,
            code=code,
            detail="",
            retry_after_ms=BUSY_RETRY_MS,
            incarnation=self._incarnation,
        )

    def admission(self) -> ttypes.Verdict:
        """Return an admission to send to the entry."""
        return ttypes.Verdict(
            kind=ttypes.VerdictKind.ADMITTED,
            code="",
            detail="",
            retry_after_ms=0,
            incarnation=self._incarnation,
        )

    def refuse(self, attempt: str, code: str) -> ttypes.Verdict:
        """Refuse an attempt that the gate has admitted."""
        self.gate.refuse(attempt, self._clock.monotonic(), code)
        return self.refusal(code)

    def start(self, request: ttypes.Submit) -> Stream:
        """Send an admitted attempt to the upstream."""
        stream = Stream(
            request=request,
            limit_bytes=self._buffer_bytes,
            now=self._clock.monotonic(),
        )
        self.by_attempt[request.attempt] = stream
        stream.body_chunks = [] if request.once_key else None
        headers = [(row.name, row.value) for row in request.headers]
        headers.append(("X-Request-Id", request.attempt))
        headers.append(("X-Workspace", request.workspace))
        if request.resume_from:
            headers.append(("X-Resume-From", str(request.resume_from)))
        stream.exchange = self._upstream.ask(
            request.method,
            request.path,
            headers,
            request.body,
            self._sink(stream),
            events=request.stream,
        )
        return stream

    def replay(
        self, request: ttypes.Submit, head: upstreams.Head, body: bytes
    ) -> None:
        """Answer a repeated request with a stored answer."""
        stream = Stream(
            request=request,
            limit_bytes=self._buffer_bytes,
            now=self._clock.monotonic(),
        )
        stream.head = head
        if body:
            stream.outbox.put(body)
        self.by_attempt[request.attempt] = stream
        self._end(stream, "", False)

    async def pull(self, pull: ttypes.Pull) -> ttypes.Batch:
        """Return the next chunks of an attempt."""
        stream = self.by_attempt.get(pull.attempt)
        if stream is None:
            return self._failed_batch(pull, "unknown-attempt", not_run=False)
        stream.pulled_at = self._clock.monotonic()
        try:
            # Must precede the wait: a full outbox keeps the upstream paused.
            stream.acknowledge(pull.from_seq)
            if not stream.ready(pull.from_seq):
                await self._wait_ready(stream, pull)
            return self._next_batch(stream, pull)
        except IndexError:
            return self._failed_batch(pull, "chunks-gone", not_run=False)

    async def _wait_ready(self, stream: Stream, pull: ttypes.Pull) -> None:
        """Wait until a pull can be answered, for at most PULL_WAIT_S."""
        waiter = stream.wait(pull)
        timeout = self._reactor.callLater(PULL_WAIT_S, stream.wake)
        await waiter
        if timeout.active():
            timeout.cancel()

    def cancel(self, attempt: str) -> ttypes.Verdict:
        """Cancel an attempt; a refusal proves that it does not run."""
        stream = self.by_attempt.get(attempt)
        if stream is not None:
            stream.released = True
            self._abort(stream)
            return self.refusal("started", unknown=True)
        if self.gate.cancel(attempt, self._clock.monotonic()):
            return self.refusal("cancelled")
        return self.refusal("started", unknown=True)

    def sweep(self) -> None:
        """Drop delivered attempts and abort orphaned ones.

        An attempt that has ended is kept while its entry, whose caller may
        read slowly, has yet to pull the rest.
        """
        now = self._clock.monotonic()
        for attempt, stream in list(self.by_attempt.items()):
            idle_s = now - stream.pulled_at
            if not stream.ended:
                if idle_s > ORPHAN_S:
                    self._abort(stream)
            elif idle_s > (
                DELIVERED_RETENTION_S if stream.released else ORPHAN_S
            ):
                del self.by_attempt[attempt]

    def unfetched(self) -> bool:
        """Return whether a stop has to wait for an entry to pull an answer."""
        now = self._clock.monotonic()
        return any(
            now - stream.pulled_at
            < (FINAL_RETRY_S if stream.released else ORPHAN_S)
            for stream in self.by_attempt.values()
        )

    def _abort(self, stream: Stream) -> None:
        """Stop an attempt that no entry waits for.

        An at-most-once request continues, as stopping it would leave its key
        without an answer.
        """
        if stream.exchange is not None and not stream.request.once_key:
            stream.exchange.stop()

    def _sink(self, stream: Stream) -> upstreams.Sink:
        def head(value: upstreams.Head) -> None:
            stream.head = value
            self._back_off(value)

        def chunk(data: bytes) -> None:
            stream.outbox.put(data)
            if stream.body_chunks is not None:
                stream.body_chunks.append(data)
            if stream.outbox.full and stream.exchange is not None:
                stream.exchange.pause()
            stream.wake()

        def end(code: str, not_run: bool) -> None:
            self._end(stream, code, not_run)

        return upstreams.Sink(head, chunk, end)

    def _back_off(self, head: upstreams.Head) -> None:
        """Apply the backoff requested by an answer."""
        seconds = head.backoff_s
        if seconds is None:
            return
        self.gate.back_off(self._clock.monotonic() + seconds)
        LOG.info(
            "The upstream requested a backoff.",
            status=head.status,
            seconds=seconds,
        )

    def _end(self, stream: Stream, code: str, not_run: bool) -> None:
        if stream.ended:
            return
        now = self._clock.monotonic()
        stream.code = code
        stream.not_run = not_run
        stream.ended_at = now
        stream.outbox.finish()
        attempt = stream.request.attempt
        if not_run:
            self.gate.refuse(attempt, now, code)
        else:
            self.gate.finish(attempt, now)
        for listener in self.on_end:
            listener(stream)
        # Only the listeners need the body after the end.
        stream.body_chunks = None
        stream.wake()

    def _next_batch(self, stream: Stream, pull: ttypes.Pull) -> ttypes.Batch:
        """Return the batch for a pull, and record its delivery."""
        batch = self._batch(stream, pull)
        if batch.done:
            stream.released = True
        if batch.done or batch.chunks:
            # An entry that waited for this batch was not idle meanwhile.
            stream.pulled_at = self._clock.monotonic()
        return batch

    def _batch(self, stream: Stream, pull: ttypes.Pull) -> ttypes.Batch:
        chunks = stream.outbox.read(pull.from_seq, pull.max_bytes)
        last = pull.from_seq + len(chunks) == stream.outbox.count
        done = stream.ended and last
        head = stream.head or upstreams.Head(0, ())
        complete = done and not stream.code
        return ttypes.Batch(
            attempt=pull.attempt,
            from_seq=pull.from_seq,
            chunks=chunks,
            done=done,
            count=stream.outbox.count if done else 0,
            digest=stream.outbox.digest() if complete else "",
            status=head.status,
            headers=_wire_headers(head) if pull.from_seq == 0 else [],
            code=stream.code if done else "",
            detail="",
            incarnation=self._incarnation,
            ran=_ran(stream),
        )

    def _failed_batch(
        self, pull: ttypes.Pull, code: str, *, not_run: bool
    ) -> ttypes.Batch:
        kinds = ttypes.VerdictKind
        return ttypes.Batch(
            attempt=pull.attempt,
            from_seq=pull.from_seq,
            chunks=[],
            done=True,
            count=0,
            digest="",
            status=0,
            headers=[],
            code=code,
            detail="",
            incarnation=self._incarnation,
            ran=kinds.REFUSED if not_run else kinds.UNKNOWN,
        )


def _ran(stream: Stream) -> int:
    kinds = ttypes.VerdictKind
    if stream.not_run:
        return kinds.REFUSED
    return kinds.UNKNOWN if stream.code else kinds.ADMITTED


def _wire_headers(head: upstreams.Head) -> list[ttypes.Header]:
    return [
        ttypes.Header(name=name, value=value) for name, value in head.headers
    ]
