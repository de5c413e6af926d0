"""One HTTP/1.1 connection to another process, one request at a time.

Framing is h11's; what this module adds is what a balancer must know of a
broken exchange: whether anything was written, and whether an answer that
ended was whole.  A connection on which anything unexpected arrives is never
used again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import re
import socket
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import h11
from reelscale_wire import outgoing
from twisted.internet import defer, error, protocol

from . import liveness

Headers = Sequence[tuple[bytes, bytes]]

# An answer that is read slower than it comes is held up to this many bytes
# before the sender is paused.
MAX_BUFFERED_BYTES = 64 * 1024
# A peer that says nothing of how long it keeps an idle connection is taken
# to keep it this long, in seconds; engines commonly keep them 5 s or more.
DEFAULT_KEEP_ALIVE_S = 4.0
# An idle connection is not used in the last part of the time its peer keeps
# it, in seconds: the peer's close may already be on its way.
KEEP_ALIVE_MARGIN_S = 0.5
# Bytes that were sent and not acknowledged for this many milliseconds end
# the connection, so that a peer without power is noticed.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Probes of a silent connection: after this many seconds, this often.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# The code of an exchange that ended because its connection was silent.
UNRESPONSIVE = "silent"
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Request(NamedTuple):
    """A request to send.

    Attributes:
      method: HTTP method.
      path: Path and query, as bytes on the wire.
      headers: Without those of the connection; "Host" must be among them.
      body: The whole body.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes = b""


class Head(NamedTuple):
    """Status and headers of an answer.

    Attributes:
      status: HTTP status.
      headers: Names as the peer spelled them, with their values.
    """

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None if there is none."""
        name_lower = name.lower()
        for found, value in self.headers:
            if found.lower() == name_lower:
                return value
        return None


class ExchangeError(Exception):
    """An exchange failed.

    Attributes:
      code: "unreachable", "lost", "garbled" or "silent".
      peer: Address of the peer.
      written: False if it is proved that the peer got nothing of it.
    """

    def __init__(self, code: str, *, peer: str, written: bool) -> None:
        super().__init__(f"{code} at {peer}, written: {written}")
        self.code = code
        self.peer = peer
        self.written = written


class Connection(protocol.Protocol):
    """A connection; made by a pool, used by one exchange at a time.

    Attributes:
      address: "ip:port" of the peer.
      opened_at: Monotonic seconds at which it was begun to be opened.
      idle_since: Monotonic seconds at which it was last given back.
      kept_s: How long the peer keeps it when idle, in seconds.
      used: Exchanges that were begun on it.
      watched: Whether an exchange ends if it is judged to be silent.
      begun_at: Monotonic seconds at which the exchange began.
      answering: Whether any byte has come since the exchange began.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        monitor: liveness.Monitor,
        on_lost: Callable[["Connection"], None],
    ) -> None:
        self.address = address
        self.opened_at = monitor.now()
        self.started_at = self.opened_at
        self.watched = False
        self.answer_started = False
        self.idle_since = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.used = 0
        self._reactor = reactor
        self._monitor = monitor
        self._watch: Any = None
        self._on_lost = on_lost
        self._http = h11.Connection(h11.CLIENT)
        self._busy = False
        self._lost: ExchangeError | None = None
        self._events: collections.deque[Any] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._waiter: defer.Deferred | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send without delay, and notice a peer without power."""
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        handle = self.transport.getHandle()
        for option, value in (
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin on it.

        Not while a part of the last request is still to be sent, as when its
        answer came early: the next one would wait behind it.
        """
        if self._busy or self._lost is not None:
            return False
        return not outgoing.unsent_bytes(self.transport)

    def send(self, request: Request) -> None:
        """Write a request; its answer is read by head() and chunk()."""
        self._busy = True
        self.used += 1
        self.answer_started = False
        self.started_at = self._monitor.now()
        if self.watched:
            self._start_watch()
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD"):
            size = b"%d" % len(request.body)
            headers.append((b"Content-Length", size))
        head = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    async def head(self) -> Head:
        """Read the head of the answer.

        Raises:
          ExchangeError: There is none, or it is none of HTTP.
        """
        event = await self._next()
        if not isinstance(event, h11.Response):
            raise self._garbled()
        found = Head(event.status_code, event.headers.raw_items())
        self._read_keep_alive(found)
        return found

    async def chunk(self) -> bytes | None:
        """Read the next piece of the answer's body; None at its end.

        Raises:
          ExchangeError: It ended before it was whole.
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            self._consume(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise self._garbled()

    def abort(self, code: str = "lost") -> None:
        """Close at once; the peer sees that its caller has gone."""
        if self._lost is None:
            self._fail(code)
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those that nothing asked for end the connection."""
        if self._lost is not None:
            return
        if not self._busy:
            self.abort()
            return
        if not self.answer_started:
            self.answer_started = True
            self._stop_watch()
            self._monitor.record_first_byte(self)
        self._feed(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Note the end; a clean one may end an answer without length."""
        if self._lost is None and reason.check(error.ConnectionDone):
            self._feed(b"")
        if self._lost is None:
            self._fail("lost")
        self._on_lost(self)

    def _start_watch(self) -> None:
        """Judge after the allowance whether the exchange is silent."""
        first_byte_timeout_s = self._monitor.first_byte_timeout_s(self.address)
        self._watch = self._reactor.callLater(
            first_byte_timeout_s, self._schedule_check
        )

    def _schedule_check(self) -> None:
        """Let the loop read what has come before the exchange is judged.

        A process that stood still runs its timers first, with the answer
        still unread.
        """
        self._watch = self._reactor.callLater(0, self._check_liveness)

    def _check_liveness(self) -> None:
        self._watch = None
        if self._monitor.should_abort(self):
            self.abort(UNRESPONSIVE)
        else:
            self._start_watch()

    def _stop_watch(self) -> None:
        timer, self._watch = self._watch, None
        if timer is not None and timer.active():
            timer.cancel()

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail("garbled")
            if self.transport is not None:
                self.transport.abortConnection()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                break
            if isinstance(event, h11.ConnectionClosed):
                break
            if isinstance(event, h11.InformationalResponse):
                continue
            self._events.append(event)
            if isinstance(event, h11.Data):
                self._buffered += len(event.data)
            if isinstance(event, h11.EndOfMessage):
                break
        if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pauseProducing()
        self._wake()

    def _consume(self, size: int) -> None:
        self._buffered -= size
        if self._paused and self._buffered <= MAX_BUFFERED_BYTES // 2:
            self._paused = False
            self.transport.resumeProducing()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    async def _next(self) -> Any:
        while not self._events:
            if self._lost is not None:
                raise self._lost
            self._waiter = defer.Deferred()
            await self._waiter
        return self._events.popleft()

    def _finish(self) -> None:
        """Get ready for another exchange, or close."""
        self._busy = False
        surplus, closed = self._http.trailing_data
        done = self._http.their_state is h11.DONE
        done = done and self._http.our_state is h11.DONE
        if not done or surplus or closed or self._lost is not None:
            self.abort()
            return
        self._http.start_next_cycle()

    def _read_keep_alive(self, head: Head) -> None:
        header = head.get(b"keep-alive")
        found = _TIMEOUT.search(header) if header else None
        if found:
            self.keep_alive_s = float(found.group(1))

    def _fail(self, code: str) -> None:
        self._stop_watch()
        self._lost = ExchangeError(code, peer=self.address, written=self._busy)
        self._wake()

    def _garbled(self) -> ExchangeError:
        self.abort()
        return ExchangeError("garbled", peer=self.address, written=True)
