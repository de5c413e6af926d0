"""One HTTP/1.1 connection to another process, one request at a time.

h11 does the framing.  This module adds what a load balancer has to know of a
failed exchange: whether the request was written and whether the answer was
complete.  A connection that receives unexpected data is never reused.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import re
from collections.abc import Callable
from typing import Any

import h11
from reelscale_wire import outgoing
from twisted.internet import defer, error, protocol

from . import liveness, tcp
from .message import (
    FINAL_STATUSES,
    ExchangeError,
    Head,
    Headers,
    Request,
)

__all__ = ["Connection", "ExchangeError", "Head", "Headers", "Request"]

# Reading from the peer pauses when more of an answer is buffered.
MAX_BUFFERED_BYTES = 64 * 1024
# Assumed idle time-out of peers without a Keep-Alive header; engines commonly
# use 5 s or more.
DEFAULT_KEEP_ALIVE_S = 4.0
# An idle connection is not reused this close to the peer's idle time-out,
# since the peer may already be closing it.
KEEP_ALIVE_MARGIN_S = 0.5
# Error code of an exchange whose connection ended before its answer did.
LOST = "lost"
# Error code of an exchange in which the peer sent bytes that are no answer.
GARBLED = "garbled"
# A connection is closed after it has carried this many named requests, which
# bounds the memory for their ids.
MAX_REQUEST_IDS = 1000
# Bounds of an answer that is only read so that the connection can be reused.
MAX_DRAINED_BYTES = 64 * 1024
DRAIN_TIMEOUT_S = 0.1
# A surplus answer was sent at once, but a lost packet of it is sent again.
SKIP_TIMEOUT_S = 1.0
# More heads before that of the answer are no protocol's.
MAX_INTERIM_HEADS = 8
_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class Connection(protocol.Protocol):
    """A pooled connection, used by one exchange at a time.

    Attributes:
      address: "ip:port" of the peer.
      label: Both ends, to find the connection in logs of either side.
      opened_at: Monotonic seconds at which connecting began.
      idle_since: Monotonic seconds at which it was last released.
      keep_alive_s: Idle time-out of the peer, in seconds.
      used: Number of exchanges begun on it.
      watched: Whether the monitor may abort an unresponsive exchange.
      started_at: Monotonic seconds at which the exchange began.
      answer_started: Whether any byte of the answer was received.
      ended_by_close: Whether the answer has neither a length nor chunks, so
        that the end of the connection ends it.
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
        self.label = address
        self.opened_at = monitor.now()
        self.started_at = self.opened_at
        self.watched = False
        self.answer_started = False
        self.ended_by_close = False
        self.idle_since = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.used = 0
        self._request_ids: set[str] = set()
        self._method = b""
        self._interim_heads = 0
        # Whether answers came on it that no request was waiting for.
        self._has_surplus = False
        self._reactor = reactor
        self._monitor = monitor
        self._watch = liveness.Watch(
            reactor=reactor, monitor=monitor, watched=self
        )
        self._on_lost = on_lost
        self._http = h11.Connection(h11.CLIENT)
        self._busy = False
        self._lost: ExchangeError | None = None
        self._events: collections.deque[Any] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._waiter: defer.Deferred | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options."""
        tcp.set_options(self.transport)
        # Not known any more once the connection is closed.
        local = self.transport.getHost()
        self.label = f"{local.host}:{local.port}-{self.address}"

    @property
    def age_s(self) -> float:
        """Seconds since connecting began."""
        return self._monitor.now() - self.opened_at

    @property
    def usable(self) -> bool:
        """Whether another exchange may begin on it.

        Not while unsent bytes remain of the last request, as after an early
        answer: the next request would be delayed by them.
        """
        if self._busy or self._lost is not None:
            return False
        if self._has_surplus or len(self._request_ids) >= MAX_REQUEST_IDS:
            return False
        return not outgoing.unsent_bytes(self.transport)

    def is_silent(self) -> bool:
        """Return whether neither bytes nor a close wait to be read.

        The peer may have sent them while this process was busy or stopped;
        they would be read as the answer to the next request.
        """
        return tcp.is_silent(self.transport)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with an id was sent on it before.

        A second answer to that request could not be told from the answer to
        a request that has the same id.
        """
        return request_id in self._request_ids

    def send(self, request: Request, *, request_id: str = "") -> None:
        """Write a request; head() and chunk() read its answer.

        Args:
          request: The request.
          request_id: The id that its answer repeats, if any.
        """
        if request_id:
            self._request_ids.add(request_id)
        self._busy = True
        self.used += 1
        self.answer_started = False
        self.started_at = self._monitor.now()
        if self.watched:
            self._watch.start()
        self._method = request.method
        self._interim_heads = 0
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
          ExchangeError: The connection failed, or the head is not valid HTTP.
        """
        event = await self._next()
        if not isinstance(event, h11.Response):
            raise self.garbled("no head where one is due")
        if event.status_code not in FINAL_STATUSES:
            raise self.garbled(f"no status: {event.status_code}")
        head = Head(event.status_code, event.headers.raw_items())
        if head.has_two_framings:
            raise self.garbled("both a length and chunks")
        self.ended_by_close = self._method != b"HEAD" and head.is_unframed
        self._read_keep_alive(head)
        return head

    async def chunk(self) -> bytes | None:
        """Read the next piece of the answer's body; None at its end.

        Raises:
          ExchangeError: The answer is incomplete or malformed.
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            self._consume(len(event.data))
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise self.garbled("no body where one is due")

    async def drain(self) -> ExchangeError | None:
        """Read over the rest of an answer that nobody needs.

        Returns:
          Why the connection was reset instead, if it was: the rest is too
          long, malformed or does not come in time.
        """
        try:
            await self._read_over(DRAIN_TIMEOUT_S)
        except ExchangeError as lost:
            self.abort()
            return lost
        self._finish()
        return None

    async def skip_answer(self) -> None:
        """Read over an answer to an earlier request; head() reads the next.

        The connection is not reused after this exchange.

        Raises:
          ExchangeError: The answer is incomplete, malformed or too long.
        """
        if self.ended_by_close:
            raise self.garbled("a surplus answer that ends by the close")
        await self._read_over(SKIP_TIMEOUT_S)
        self._has_surplus = True
        rest, closed = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        # The parser reads an answer only after a request; the peer has it.
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"")]
        )
        self._http.send(request)
        self._http.send(h11.EndOfMessage())
        self._resume()
        if rest:
            self._feed(rest)
        if closed:
            self._feed(b"", code=LOST)

    async def _read_over(self, timeout_s: float) -> None:
        """Read the rest of a body and drop it.

        Raises:
          ExchangeError: It is incomplete, malformed, too long or too late.
        """
        timer = self._reactor.callLater(timeout_s, self.abort)
        size = 0
        try:
            while not isinstance(
                event := await self._next(), h11.EndOfMessage
            ):
                self._consume(len(event.data))
                size += len(event.data)
                if size > MAX_DRAINED_BYTES:
                    raise self.garbled("an answer without end", event.data)
        finally:
            if timer.active():
                timer.cancel()

    def abort(self, code: str = LOST) -> None:
        """Reset the connection; fail the exchange with a code."""
        if self._lost is None:
            self._fail(code)
        if self.transport is not None:
            self.transport.abortConnection()

    def garbled(self, detail: str, sample: bytes = b"") -> ExchangeError:
        """Reset the connection, whose peer sent what is no answer.

        Args:
          detail: What is wrong.
          sample: The bytes.

        Returns:
          The error that ends the exchange.
        """
        self.abort(GARBLED)
        return ExchangeError(
            GARBLED,
            peer=self.address,
            written=True,
            detail=detail,
            sample=sample,
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes; abort if no exchange is in progress."""
        if self._lost is not None:
            return
        if not self._busy:
            self.abort()
            return
        if not self.answer_started:
            self.answer_started = True
            self._watch.stop()
            self._monitor.record_first_byte(self)
        self._feed(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Handle the close; a clean one ends an answer without a length."""
        if self._lost is None and reason.check(error.ConnectionDone):
            self._feed(b"", code=LOST)
        if self._lost is None:
            self._fail(LOST)
        self._on_lost(self)

    def _feed(self, data: bytes, code: str = GARBLED) -> None:
        """Parse bytes; fail with the code if they are no valid HTTP."""
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as invalid:
            self._fail(code, detail=str(invalid), sample=data)
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
                self._count_interim_head()
                continue
            self._events.append(event)
            if isinstance(event, h11.Data):
                self._buffered += len(event.data)
            if isinstance(event, h11.EndOfMessage):
                break
        if self._buffered > MAX_BUFFERED_BYTES or self._has_bytes_behind():
            self._pause()
        self._wake()

    def _has_bytes_behind(self) -> bool:
        """Return whether bytes follow an answer that is read to its end.

        Its reader may wait for a slow caller; the parser would keep them all.
        """
        is_over = self._http.their_state is h11.DONE
        return is_over and bool(self._http.trailing_data[0])

    def _pause(self) -> None:
        """Read no more from the peer for now."""
        if not self._paused and self.transport is not None:
            self._paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        """Read on after a pause."""
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _count_interim_head(self) -> None:
        """Count a head before that of the answer; too many are no protocol."""
        self._interim_heads += 1
        if self._interim_heads > MAX_INTERIM_HEADS:
            raise h11.RemoteProtocolError("too many interim heads")

    def _consume(self, size: int) -> None:
        self._buffered -= size
        is_low = self._buffered <= MAX_BUFFERED_BYTES // 2
        if is_low and not self._has_bytes_behind():
            self._resume()

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
        """Prepare for another exchange, or abort the connection."""
        self._busy = False
        surplus, closed = self._http.trailing_data
        done = self._http.their_state is h11.DONE
        done = done and self._http.our_state is h11.DONE
        if not done or surplus or closed or self._lost is not None:
            self.abort()
            return
        self._resume()
        self._http.start_next_cycle()

    def _read_keep_alive(self, head: Head) -> None:
        header = head.get(b"keep-alive")
        match = _TIMEOUT.search(header) if header else None
        if match:
            self.keep_alive_s = float(match.group(1))

    def _fail(
        self, code: str, *, detail: str = "", sample: bytes = b""
    ) -> None:
        self._watch.stop()
        self._lost = ExchangeError(
            code,
            peer=self.address,
            written=self._busy,
            detail=detail,
            sample=sample,
        )
        self._wake()
