"""Plays the path of an answer in one process, from an upstream's bytes on.

The real connection, parser, relay, writer and HTTP server towards the caller,
with scripted upstreams in place of sockets: what a caller receives is a
function of the bytes alone.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import logging
import math
import re
import types
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from reelscale_core import announcement, clock, retry, route, routing
from reelscale_daemon import callers, ingress
from reelscale_daemon.exchange import connection
from reelscale_daemon.filters import direct, relay, routed
from reelscale_platform import ingress as surfaces
from reelscale_platform import worker as dialects
from twisted.internet import error, task
from twisted.python import failure

from features import answer_transports as transports
from standins import garbage

REQUEST_ID = "00000000000000a1"
FAULT = "fault of ours"
TARGETS = {"chat": "llm", "read": "push", "push": "push"}
KINDS = {"chat": route.STREAM, "read": route.SAFE, "push": route.UNSAFE}
# Time of a request until its answer is due.
TIMEOUT_S = 8.0
# How long an upstream stalls.
STALL_STEPS = 40
STALL_STEP_S = 0.05


class Script(NamedTuple):
    """What an upstream sends, and how it ends.

    Attributes:
      pieces: The bytes, as they arrive.
      end: "close", "reset", "" to keep the connection for other requests or
        "stall" to keep it and send no more for a while.
    """

    pieces: Sequence[bytes]
    end: str = ""


# Returns what an upstream sends to a request that resumes after an event.
Upstream = Callable[[int], Script]


class Seen(NamedTuple):
    """What a caller received, and what the entry noted of it.

    Attributes:
      status: Status, 0 if nothing was received.
      headers: Names in lower case, and values.
      body: The body, as far as it came.
      complete: Whether the framing says that it is whole.
      resumed_after: Last-Event-Id of each attempt, 0 for none.
      failures: Upstreams whose circuit was charged, by attempt.
      left_open: Whether a connection was kept for other requests, by attempt.
      logged: Sentences and fields of the log.
      read: Bytes of each upstream that were taken before its end.
      outcome: Outcome of the request as counted.
      expired: Whether its time had to run out to end it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    complete: bool
    resumed_after: tuple[int, ...]
    failures: tuple[str, ...]
    left_open: tuple[bool, ...]
    logged: tuple[dict[str, Any], ...]
    read: tuple[int, ...]
    outcome: str
    expired: bool

    @property
    def faults(self) -> list[str]:
        """Exceptions that left the path of the request."""
        return [
            str(row.get("reason"))
            for row in self.logged
            if FAULT in row["text"]
        ]


class _Recorder(logging.Handler):
    """Keeps what the program logs."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: list[dict[str, Any]] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        line = record.args[0] if record.args else None
        fields = getattr(line, "fields", {})
        text = getattr(line, "sentence", record.getMessage())
        self.rows.append({**fields, "text": text})


class _Ignore:
    """Takes every call and does nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


class Play:
    """One request and its attempts."""

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        *,
        kind: str = "chat",
        resumable: bool = True,
        request_id: str = REQUEST_ID,
    ) -> None:
        """Create a play.

        Args:
          upstreams: What the upstreams of the attempts send, in order.
          kind: "chat", "read" or "push".
          resumable: Whether a stream may go on elsewhere.
          request_id: Id of the request.
        """
        self.reactor, self.clock = task.Clock(), clock.FakeClock()
        self.caller = transports.Transport()
        self.calls: list[Any] = []
        # The caller reads nothing any more after so many bytes.
        self.pause_caller_after = math.inf
        self._upstreams = list(upstreams)
        self._kind = kind
        self._resumable = resumable
        self._id = request_id
        self._expired = False
        self._failures: list[str] = []
        self._read = collections.Counter()
        self._pool = transports.Pool(self.reactor, self.clock)
        self._log = _Recorder()
        self.context = self._make_context()

    def run(self) -> Seen:
        """Play it to its end."""
        log = logging.getLogger("absl")
        log.addHandler(self._log)
        try:
            self._send()
            self._deliver()
            if self._is_running:
                self._expire()
        finally:
            log.removeHandler(self._log)
        return self._seen()

    def _make_context(self) -> Any:
        recorder = _Ignore()
        membership = _Ignore()
        membership.candidates = lambda _target: []
        membership.refusal_reason = lambda _start: ""
        suspects = _Ignore()
        suspects.convicted_s = lambda _request: 0.0
        suspects.is_doubtful = lambda _request: False
        suspects.wait_for_check = _return_at_once
        outages = _Ignore()
        outages.out = lambda _request: False
        return types.SimpleNamespace(
            reactor=self.reactor,
            clock=self.clock,
            budget=retry.Budget(),
            chain=(self._prepare, relay.relay),
            choose=self._choose,
            connections=self._pool,
            current_view=self._view,
            dialect=dialects.Dialect(),
            membership=membership,
            metrics=types.SimpleNamespace(
                attempts=recorder,
                requests=recorder,
                whole=recorder,
                first_byte=recorder,
                workspace=lambda name: name,
            ),
            outages=outages,
            record_decision=lambda _request: None,
            record_failure=lambda name, view=None: self._failures.append(name),
            record_success=lambda name, view=None: None,
            release=lambda _request: None,
            remaining_s=lambda request: (
                request.answer_deadline - self.clock.monotonic()
            ),
            reserve=lambda _request: None,
            retry_after_s=lambda _request: 1.0,
            send=direct.run,
            settings=types.SimpleNamespace(retry_ratio=0.2),
            suspects=suspects,
        )

    def _choose(self, _request: Any) -> routing.Choice | None:
        name = f"w{len(self._pool.conns) + 1}"
        return routing.Choice(name, "wait", 0.0, 1)

    def _view(self, request: Any) -> Any:
        number = len(self._pool.conns) + 1
        upstream = announcement.Announcement(
            name=request.choice.name,
            target=request.target,
            address=f"10.0.0.{number}:80",
            hall="a",
            slots=6,
        )
        return types.SimpleNamespace(upstream=upstream)

    async def _prepare(self, request: Any, context: Any) -> None:
        kind = KINDS[self._kind]
        request.route = route.Route(
            name="r1",
            host="h",
            prefix=f"/{self._kind}/",
            kind=kind,
            shares=(route.Share(TARGETS[self._kind]),),
            timeout_s=TIMEOUT_S,
            attempts=len(self._upstreams),
            resumable=self._resumable and kind == route.STREAM,
        )
        request.workspace = routed.PUBLIC
        request.target = TARGETS[self._kind]
        request.stream = request.is_model = kind == route.STREAM
        request.idempotent = request.route.idempotent
        request.max_attempts = request.route.attempts
        request.answer_deadline = self.clock.monotonic() + TIMEOUT_S
        request.requirements = routing.Requirements(hall="a")
        request.choice = context.choose(request)
        self.calls.append(request)

    def _send(self) -> None:
        """Have the caller send the request."""
        resource = callers.Callers(
            given=self.context, surface=surfaces.Surface()
        )
        site = ingress.Ingress(
            reactor=self.reactor,
            resource=resource,
            body_bytes=1 << 20,
            most_connections=10,
        )
        self.channel = site.buildProtocol(None)
        self.channel.makeConnection(self.caller)
        self.channel.dataReceived(
            b"POST /%b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %b\r\n"
            b"Content-Length: 4\r\n\r\nonce"
            % (self._kind.encode(), self._id.encode())
        )

    def _deliver(self) -> None:
        """Deliver what the upstreams send, one after the other."""
        done = 0
        while done < len(self._pool.conns):
            self._play_upstream(done)
            done += 1

    def _play_upstream(self, number: int) -> None:
        conn = self._pool.conns[number]
        script = self._upstreams[number](self._resumed_after(conn))
        transport = conn.transport
        for piece in filter(None, script.pieces):
            if len(self.caller.value()) > self.pause_caller_after:
                self.channel.pauseProducing()
            if transport.aborted or transport.producerState == "paused":
                break
            self._read[number] += len(piece)
            conn.dataReceived(piece)
            self.reactor.advance(0)
        if script.end == "stall":
            self._stall(transport)
        if transport.aborted or script.end == "reset":
            conn.connectionLost(failure.Failure(error.ConnectionLost()))
        elif script.end == "close":
            conn.connectionLost(failure.Failure(error.ConnectionDone()))
        self.reactor.advance(0)

    def _stall(self, transport: transports.Transport) -> None:
        """Let time pass until the upstream is given up."""
        for _ in range(STALL_STEPS):
            if transport.aborted:
                return
            self.clock.advance(STALL_STEP_S)
            self.reactor.advance(STALL_STEP_S)

    def _resumed_after(self, conn: connection.Connection) -> int:
        sent = conn.transport.value().lower()
        found = re.search(rb"last-event-id: (\d+)", sent)
        return int(found.group(1)) if found else 0

    @property
    def _is_running(self) -> bool:
        """Whether the caller waits for more."""
        return bool(self.channel.requests)

    def _expire(self) -> None:
        """Let the time of the request run out."""
        self._expired = True
        self.clock.advance(TIMEOUT_S)
        self.reactor.advance(TIMEOUT_S)

    def _seen(self) -> Seen:
        status, headers, body, complete = _parsed(self.caller.value())
        conns = self._pool.conns
        call = self.calls[0] if self.calls else None
        return Seen(
            status=status,
            headers=headers,
            body=body,
            complete=complete,
            resumed_after=tuple(self._resumed_after(c) for c in conns),
            failures=tuple(self._failures),
            left_open=tuple(not c.transport.aborted for c in conns),
            logged=tuple(self._log.rows),
            read=tuple(self._read[n] for n in range(len(conns))),
            outcome=call.outcome if call else "",
            expired=self._expired,
        )


async def _return_at_once(*_: Any) -> None:
    """Return."""


def _parsed(
    raw: bytes,
) -> tuple[int, tuple[tuple[bytes, bytes], ...], bytes, bool]:
    """Return status, headers, body and whether it is whole."""
    head, found, body = raw.partition(b"\r\n\r\n")
    if not found:
        return 0, (), b"", False
    first, *lines = head.split(b"\r\n")
    status = int(first.split(b" ")[1])
    rows = [line.partition(b":") for line in lines]
    headers = tuple((name.lower(), value.strip()) for name, _, value in rows)
    length = dict(headers).get(b"content-length")
    if length is not None:
        size = int(length)
        return status, headers, body[:size], len(body) >= size
    return status, headers, *_dechunked(body)


def _dechunked(raw: bytes) -> tuple[bytes, bool]:
    """Return a chunked body, and whether its end has come."""
    body = bytearray()
    while True:
        line, found, raw = raw.partition(b"\r\n")
        if not found:
            return bytes(body), False
        size = int(line, 16)
        if not size:
            return bytes(body), True
        if len(raw) < size + 2:
            return bytes(body) + raw[:size], False
        body += raw[:size]
        raw = raw[size + 2 :]


def true_answer(
    *,
    kind: str = "chat",
    framing: str = "chunked",
    after: int = 0,
    request_id: str = REQUEST_ID,
) -> tuple[list[bytes], list[bytes]]:
    """Return head lines and body pieces of a right answer."""
    media = {"chat": b"text/event-stream"}.get(kind, b"application/json")
    head = [
        b"HTTP/1.1 200 OK\r\n",
        b"Request-Id: %b\r\n" % request_id.encode(),
        b"Response-Stamp: stamp-w\r\n",
        b"Content-Type: %b\r\n" % media,
    ]
    if kind == "chat":
        return head, garbage.stream(after)
    return head, [b"whole answer of %b" % request_id.encode()]
