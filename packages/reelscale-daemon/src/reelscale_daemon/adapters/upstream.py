"""HTTP client of an upstream: a model engine or a plain service."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any, NamedTuple

import orjson
from reelscale_core import backoff
from twisted.internet import defer, error, protocol
from twisted.protocols import basic
from twisted.web import client, http_headers, iweb
from zope.interface import implementer

from .. import logs
from ..exchange import message
from . import bounded_body

LOG = logs.Logger("upstream")
CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 30.0
EVENT_PREFIX = b"data:"
EVENT_END = b"[DONE]"
COMMENT_PREFIX = b":"
# Bytes of an invalid line that the log shows.
SAMPLE_BYTES = 80
# A longer line ends the stream.
MAX_EVENT_BYTES = 1 << 20
# Hop-by-hop headers (RFC 9110, 7.6.1) and those set by the client.
DROPPED_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Head(NamedTuple):
    """Status and headers of an upstream's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]

    @property
    def backoff_s(self) -> float | None:
        """The back-off that the upstream asks for, in seconds, if any."""
        if self.status not in backoff.STATUSES:
            return None
        by_name = {name.lower(): value for name, value in self.headers}
        return backoff.parse_retry_after(by_name.get("retry-after", ""))


class Sink(NamedTuple):
    """Callbacks that receive an answer.

    Attributes:
      head: Called once with the Head.
      chunk: Called with the data of each event, or each chunk of a body.
      end: Called once with a code, "" for a complete answer, and whether the
        upstream provably did not run the request.
    """

    head: Callable[[Head], None]
    chunk: Callable[[bytes], None]
    end: Callable[[str, bool], None]


@implementer(iweb.IBodyProducer)
class Body:
    """A request body in memory."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: Any) -> defer.Deferred:  # noqa: N802
        """Write the complete body."""
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""


class Events(basic.LineOnlyReceiver):
    """Parses server-sent events and forwards the data of each.

    The data of an event is a JSON object, and the last event is EVENT_END.
    Comments, which keep connections alive, are dropped; any other line ends
    the answer as "upstream-garbled".
    """

    delimiter = b"\n"
    MAX_LENGTH = MAX_EVENT_BYTES

    def __init__(self, sink: Sink) -> None:
        self._sink = sink
        self._ended = False
        self._garbled = False

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Process one line."""
        line = line.removesuffix(b"\r")
        if self._garbled or not line or line.startswith(COMMENT_PREFIX):
            return
        data = line.removeprefix(EVENT_PREFIX).strip()
        if self._ended or not line.startswith(EVENT_PREFIX):
            self._reject(line)
        elif data == EVENT_END:
            self._ended = True
        elif _is_object(data):
            self._sink.chunk(data)
        else:
            self._reject(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """End an answer with a line that has no end."""
        self._reject(line)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """End the answer; it is complete after the end event only."""
        if self._garbled:
            self._sink.end("upstream-garbled", False)
            return
        self._sink.end("" if self._ended else "upstream-lost", False)

    def _reject(self, line: bytes) -> None:
        """Read no more: the upstream has sent what is no event."""
        LOG.warning(
            "An upstream sent bytes that are no event.",
            bytes=repr(line[:SAMPLE_BYTES]),
        )
        self._garbled = True
        self.transport.loseConnection()


class _Unread(protocol.Protocol):
    """Ends the connection of an answer instead of reading its body."""

    def connectionMade(self) -> None:  # noqa: N802
        """End the connection."""
        self.transport.loseConnection()


class RawBody(protocol.Protocol):
    """Forwards a plain body chunk by chunk."""

    def __init__(self, sink: Sink) -> None:
        self._sink = sink

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward a chunk."""
        self._sink.chunk(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """End the answer; the server must have delimited the body."""
        complete = reason.check(client.ResponseDone, client.PotentialDataLoss)
        self._sink.end("" if complete else "upstream-lost", False)


class Exchange:
    """A request to the upstream in progress."""

    def __init__(self, pending: defer.Deferred) -> None:
        self._pending = pending
        self._body: protocol.Protocol | None = None
        self._paused = False

    def attach(self, body: protocol.Protocol) -> None:
        """Set the protocol that reads the body."""
        self._body = body
        if self._paused:
            body.transport.pauseProducing()

    def pause(self) -> None:
        """Pause reading, which applies back-pressure to the upstream."""
        self._paused = True
        if self._body is not None and self._body.transport is not None:
            self._body.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        self._paused = False
        if self._body is not None and self._body.transport is not None:
            self._body.transport.resumeProducing()

    def stop(self) -> None:
        """Cancel the request by closing its connection."""
        if self._body is None:
            self._pending.cancel()
        elif self._body.transport is not None:
            self._body.transport.loseConnection()


class Upstream:
    """The upstream behind one agent."""

    def __init__(self, *, reactor: Any, url: str) -> None:
        self._url = url.rstrip("/").encode()
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 256
        # A retry could run a request twice.
        pool.retryAutomatically = False
        self._reactor = reactor
        self._agent = client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )

    def ask(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: Sink,
        *,
        events: bool,
    ) -> Exchange:
        """Send a request; the sink receives its answer.

        Args:
          method: HTTP method.
          path: Path and query.
          headers: Headers; hop-by-hop headers are dropped.
          body: Request body.
          sink: Receives the answer.
          events: Whether to split event streams into events.
        """
        pending = self._agent.request(
            method.encode(),
            self._url + path.encode(),
            _headers(headers),
            Body(body) if body else None,
        )
        exchange = Exchange(pending)

        def on_response(response: Any) -> None:
            if response.code not in message.FINAL_STATUSES:
                _reject_status(response)
                sink.end("upstream-garbled", False)
                return
            head = Head(response.code, _forwarded(response.headers))
            sink.head(head)
            split = events and _is_event_stream(response.headers)
            reader = Events(sink) if split else RawBody(sink)
            response.deliverBody(reader)
            exchange.attach(reader)

        def on_failure(reason: Any) -> None:
            unsent = reason.check(
                error.ConnectError, error.ConnectingCancelledError
            )
            sink.end(
                "upstream-refused" if unsent else "upstream-lost", bool(unsent)
            )

        pending.addCallbacks(on_response, on_failure)
        return exchange

    async def fetch(self, method: str, path: str, data: Any = None) -> Any:
        """Send a request and return its JSON answer.

        Raises:
          Exception: Of the HTTP client, BodyError, or ValueError for invalid
            JSON.
        """
        pending = defer.ensureDeferred(self._fetch(method, path, data))
        pending.addTimeout(ORDER_TIMEOUT_S, self._reactor)
        return await pending

    async def _fetch(self, method: str, path: str, data: Any) -> Any:
        body = Body(orjson.dumps(data)) if data is not None else None
        response = await self._agent.request(
            method.encode(), self._url + path.encode(), None, body
        )
        text = await bounded_body.read(response)
        if response.code != 200:
            raise ValueError(f"status {response.code} for {path}")
        return orjson.loads(text)


def _reject_status(response: Any) -> None:
    """Read nothing of an answer whose status is none; end its connection."""
    LOG.warning(
        "An upstream answered with what is no status.", status=response.code
    )
    # The connection goes with whoever reads the body.
    response.deliverBody(_Unread())


def _is_object(data: bytes) -> bool:
    """Return whether bytes are a JSON object."""
    try:
        return isinstance(orjson.loads(data), dict)
    except orjson.JSONDecodeError:
        return False


def _headers(rows: list[tuple[str, str]]) -> http_headers.Headers:
    headers = http_headers.Headers()
    for name, value in rows:
        if name.lower() not in DROPPED_HEADERS:
            headers.addRawHeader(name, value)
    return headers


def _forwarded(headers: http_headers.Headers) -> tuple[tuple[str, str], ...]:
    rows = []
    for name, values in headers.getAllRawHeaders():
        text = name.decode("latin-1")
        if text.lower() in DROPPED_HEADERS:
            continue
        rows += [(text, value.decode("latin-1")) for value in values]
    return tuple(rows)


def _is_event_stream(headers: http_headers.Headers) -> bool:
    kind = headers.getRawHeaders(b"content-type", [b""])[0]
    return kind.startswith(b"text/event-stream")
