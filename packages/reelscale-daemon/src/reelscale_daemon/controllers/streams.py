"""The attempts that an agent runs, and the gate that admits them.

The agent holds the chunks of an answer until the entry has pulled them;
when its buffer is full the upstream is paused, so a caller that reads
slowly costs a bounded amount of memory.
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
# A pull waits this long for something to give.
PULL_WAIT_S = 10.0
# An attempt that nobody pulls for this long, in seconds, has lost its entry;
# more than PULL_WAIT_S, for which a pull may stand.
ORPHAN_S = 15.0
# An attempt whose entry was given its end is kept this long, in seconds, in
# case that was lost: an entry asks again for 2 s (RELINK_S of attempt.py).
GIVEN_S = 5.0
# A stop waits this long, in seconds, for an entry to ask again for an end that
# was lost with its connection; it does after 0.1 s (RELINK_PAUSE_S there).
LOST_END_S = 1.0
BUSY_RETRY_MS = 200


class Stream:
    """One attempt, until its entry has all of it.

    Attributes:
      pulled_at: When its entry was last heard, or given something.
      released: Whether its entry has been given its end, or wants no more.
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
        self.kept: list[bytes] | None = None
        self._pull: tuple[defer.Deferred, ttypes.Pull] | None = None

    @property
    def ended(self) -> bool:
        """Whether the upstream has given all that it will give."""
        return self.ended_at is not None

    def acknowledge(self, from_seq: int) -> None:
        """Drop what has arrived; let the upstream go on if there is room.

        Raises:
          IndexError: As of the outbox.
        """
        self.outbox.acknowledge(from_seq)
        if self.exchange is not None and not self.outbox.full:
            self.exchange.resume()

    def ready(self, from_seq: int) -> bool:
        """Tell whether a pull would be given anything."""
        return self.ended or self.outbox.count > from_seq

    def wait(self, pull: ttypes.Pull) -> defer.Deferred:
        """Return a Deferred that fires when there is something to give.

        An older pull of the same attempt is answered at once: its
        connection has broken.
        """
        self.wake()
        waiter: defer.Deferred = defer.Deferred()
        self._pull = (waiter, pull)
        return waiter

    def wake(self) -> None:
        """Answer the pull that waits, if any."""
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

    def judge(self, request: ttypes.Submit) -> gate.Decision:
        """Ask the gate about an attempt."""
        now = self._clock.monotonic()
        return self.gate.submit(request.attempt, request.entry, now)

    def verdict(self, code: str, *, unknown: bool = False) -> ttypes.Verdict:
        """Return a refusal for the entry."""
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

    def admitted(self) -> ttypes.Verdict:
        """Return an admission for the entry."""
        return ttypes.Verdict(
            kind=ttypes.VerdictKind.ADMITTED,
            code="",
            detail="",
            retry_after_ms=0,
            incarnation=self._incarnation,
        )

    def refuse(self, attempt: str, code: str) -> ttypes.Verdict:
        """Refuse an attempt that the gate had let in."""
        self.gate.refuse(attempt, self._clock.monotonic(), code)
        return self.verdict(code)

    def start(self, request: ttypes.Submit) -> Stream:
        """Send an admitted attempt to the upstream."""
        stream = Stream(
            request=request,
            limit_bytes=self._buffer_bytes,
            now=self._clock.monotonic(),
        )
        self.by_attempt[request.attempt] = stream
        stream.kept = [] if request.once_key else None
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
        """Give a remembered answer to a repeated request."""
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
        """Give an entry the next chunks of an attempt."""
        stream = self.by_attempt.get(pull.attempt)
        if stream is None:
            return self._failed(pull, "unknown-attempt", not_run=False)
        stream.pulled_at = self._clock.monotonic()
        try:
            # Before the wait: a full outbox holds back what it waits for.
            stream.acknowledge(pull.from_seq)
            if not stream.ready(pull.from_seq):
                await self._something(stream, pull)
            return self._give(stream, pull)
        except IndexError:
            return self._failed(pull, "chunks-gone", not_run=False)

    async def _something(self, stream: Stream, pull: ttypes.Pull) -> None:
        """Wait until a pull would be given something, for so long."""
        waiter = stream.wait(pull)
        later = self._reactor.callLater(PULL_WAIT_S, stream.wake)
        await waiter
        if later.active():
            later.cancel()

    def cancel(self, attempt: str) -> ttypes.Verdict:
        """Kill an attempt; refused means it is proved not to run."""
        stream = self.by_attempt.get(attempt)
        if stream is not None:
            stream.released = True
            self._give_up(stream)
            return self.verdict("started", unknown=True)
        if self.gate.cancel(attempt, self._clock.monotonic()):
            return self.verdict("cancelled")
        return self.verdict("started", unknown=True)

    def sweep(self) -> None:
        """Forget attempts that ended, and give up those without entry.

        One that ended is not over while its entry, whose caller may read
        slowly, has yet to fetch the rest.
        """
        now = self._clock.monotonic()
        for attempt, stream in list(self.by_attempt.items()):
            silent_s = now - stream.pulled_at
            if not stream.ended:
                if silent_s > ORPHAN_S:
                    self._give_up(stream)
            elif silent_s > (GIVEN_S if stream.released else ORPHAN_S):
                del self.by_attempt[attempt]

    def unfetched(self) -> bool:
        """Tell whether a stop has to wait for an entry to fetch an answer."""
        now = self._clock.monotonic()
        return any(
            now - stream.pulled_at
            < (LOST_END_S if stream.released else ORPHAN_S)
            for stream in self.by_attempt.values()
        )

    def _give_up(self, stream: Stream) -> None:
        """Stop an attempt that nobody waits for any more.

        A request that runs at most once goes on: stopping it midway would
        leave its key without an answer.
        """
        if stream.exchange is not None and not stream.request.once_key:
            stream.exchange.stop()

    def _sink(self, stream: Stream) -> upstreams.Sink:
        def head(value: upstreams.Head) -> None:
            stream.head = value
            self._back_off(value)

        def chunk(data: bytes) -> None:
            stream.outbox.put(data)
            if stream.kept is not None:
                stream.kept.append(data)
            if stream.outbox.full and stream.exchange is not None:
                stream.exchange.pause()
            stream.wake()

        def end(code: str, not_run: bool) -> None:
            self._end(stream, code, not_run)

        return upstreams.Sink(head, chunk, end)

    def _back_off(self, head: upstreams.Head) -> None:
        """Leave the upstream alone for as long as its answer asks."""
        seconds = head.backoff_s
        if seconds is None:
            return
        self.gate.back_off(self._clock.monotonic() + seconds)
        LOG.info(
            "The upstream wants no requests for a while.",
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
        # Only the listeners need the body beside the outbox.
        stream.kept = None
        stream.wake()

    def _give(self, stream: Stream, pull: ttypes.Pull) -> ttypes.Batch:
        """Answer a pull, and note what its entry then has."""
        batch = self._batch(stream, pull)
        if batch.done:
            stream.released = True
        if batch.done or batch.chunks:
            # An entry that waited for this has not been silent meanwhile.
            stream.pulled_at = self._clock.monotonic()
        return batch

    def _batch(self, stream: Stream, pull: ttypes.Pull) -> ttypes.Batch:
        chunks = stream.outbox.read(pull.from_seq, pull.max_bytes)
        last = pull.from_seq + len(chunks) == stream.outbox.count
        done = stream.ended and last
        head = stream.head or upstreams.Head(0, ())
        whole = done and not stream.code
        return ttypes.Batch(
            attempt=pull.attempt,
            from_seq=pull.from_seq,
            chunks=chunks,
            done=done,
            count=stream.outbox.count if done else 0,
            digest=stream.outbox.digest() if whole else "",
            status=head.status,
            headers=_wire_headers(head) if pull.from_seq == 0 else [],
            code=stream.code if done else "",
            detail="",
            incarnation=self._incarnation,
            ran=_ran(stream),
        )

    def _failed(
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
