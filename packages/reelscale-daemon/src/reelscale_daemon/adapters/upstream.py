"""Meets an upstream: a model engine or a plain service, over HTTP."""

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

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 30.0
EVENT_PREFIX = b"data:"
EVENT_END = b"[DONE]"
# A line of an event stream longer than this ends the stream.
LONGEST_EVENT = 1 << 20
# Hop-by-hop headers (RFC 9110, 7.6.1) and what the client sets itself.
NOT_PASSED = frozenset(
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
        """For how long the upstream wants no requests, in seconds, if so."""
        if self.status not in backoff.STATUSES:
            return None
        by_name = {name.lower(): value for name, value in self.headers}
        return backoff.parse_retry_after(by_name.get("retry-after", ""))


class Sink(NamedTuple):
    """Where an answer goes.

    Attributes:
      head: Called once with the Head.
      chunk: Called with each event's data, or each piece of a body.
      end: Called once: "" when whole, else a code, and whether the
        upstream is proved not to have run the request.
    """

    head: Callable[[Head], None]
    chunk: Callable[[bytes], None]
    end: Callable[[str, bool], None]


@implementer(iweb.IBodyProducer)
class Body:
    """A request body that is at hand as bytes."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: Any) -> defer.Deferred:  # noqa: N802
        """Write everything at once."""
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written."""


class Events(basic.LineOnlyReceiver):
    """Reads server-sent events and gives on the data of each."""

    delimiter = b"\n"
    MAX_LENGTH = LONGEST_EVENT

    def __init__(self, sink: Sink) -> None:
        self._sink = sink
        self._ended = False

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one line; only data lines matter."""
        if not line.startswith(EVENT_PREFIX):
            return
        data = line[len(EVENT_PREFIX) :].strip()
        if data == EVENT_END:
            self._ended = True
        else:
            self._sink.chunk(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """End: whole only if the end event was seen."""
        self._sink.end("" if self._ended else "upstream-lost", False)


class Pieces(protocol.Protocol):
    """Reads a plain body piece by piece."""

    def __init__(self, sink: Sink) -> None:
        self._sink = sink

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Give a piece on."""
        self._sink.chunk(data)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """End: whole only if the server said where the body ends."""
        whole = reason.check(client.ResponseDone, client.PotentialDataLoss)
        self._sink.end("" if whole else "upstream-lost", False)


class Exchange:
    """One request to the upstream in progress."""

    def __init__(self, asked: defer.Deferred) -> None:
        self._asked = asked
        self._body: protocol.Protocol | None = None
        self._paused = False

    def attach(self, body: protocol.Protocol) -> None:
        """Note the protocol that reads the body."""
        self._body = body
        if self._paused:
            body.transport.pauseProducing()

    def pause(self) -> None:
        """Read no more for now, so that the upstream slows down."""
        self._paused = True
        if self._body is not None and self._body.transport is not None:
            self._body.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        self._paused = False
        if self._body is not None and self._body.transport is not None:
            self._body.transport.resumeProducing()

    def stop(self) -> None:
        """Give the request up; the upstream sees its caller leave."""
        if self._body is None:
            self._asked.cancel()
        elif self._body.transport is not None:
            self._body.transport.loseConnection()


class Upstream:
    """The upstream behind one agent."""

    def __init__(self, *, reactor: Any, url: str) -> None:
        self._url = url.rstrip("/").encode()
        pool = client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 256
        # A request that may have reached the upstream is never sent again.
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
        """Send a request; its answer goes to the sink.

        Args:
          method: HTTP method.
          path: Path and query.
          headers: Headers; those of a hop are left out.
          body: Request body.
          sink: Where the answer goes.
          events: Whether an event stream is cut into its events.
        """
        asked = self._agent.request(
            method.encode(),
            self._url + path.encode(),
            _headers(headers),
            Body(body) if body else None,
        )
        exchange = Exchange(asked)

        def answered(response: Any) -> None:
            head = Head(response.code, _passed(response.headers))
            sink.head(head)
            cut = events and _is_event_stream(response.headers)
            reader = Events(sink) if cut else Pieces(sink)
            response.deliverBody(reader)
            exchange.attach(reader)

        def failed(reason: Any) -> None:
            unsent = reason.check(
                error.ConnectError, error.ConnectingCancelledError
            )
            sink.end(
                "upstream-refused" if unsent else "upstream-lost", bool(unsent)
            )

        asked.addCallbacks(answered, failed)
        return exchange

    async def fetch(self, method: str, path: str, data: Any = None) -> Any:
        """Ask for a small JSON document, as for load or an order.

        Raises:
          Exception: Of the HTTP client, or ValueError for bad JSON.
        """
        body = Body(orjson.dumps(data)) if data is not None else None
        asked = self._agent.request(
            method.encode(), self._url + path.encode(), None, body
        )
        asked.addTimeout(ORDER_TIMEOUT_S, self._reactor)
        response = await asked
        text = await client.readBody(response)
        if response.code != 200:
            raise ValueError(f"status {response.code} for {path}")
        return orjson.loads(text)


def _headers(rows: list[tuple[str, str]]) -> http_headers.Headers:
    headers = http_headers.Headers()
    for name, value in rows:
        if name.lower() not in NOT_PASSED:
            headers.addRawHeader(name, value)
    return headers


def _passed(headers: http_headers.Headers) -> tuple[tuple[str, str], ...]:
    rows = []
    for name, values in headers.getAllRawHeaders():
        text = name.decode("latin-1")
        if text.lower() in NOT_PASSED:
            continue
        rows += [(text, value.decode("latin-1")) for value in values]
    return tuple(rows)


def _is_event_stream(headers: http_headers.Headers) -> bool:
    kind = headers.getRawHeaders(b"content-type", [b""])[0]
    return kind.startswith(b"text/event-stream")
