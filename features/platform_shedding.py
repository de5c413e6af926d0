"""Simulated upstreams that shed load or leave, and their connections."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
import math
from typing import Any

from reelscale_daemon.exchange import connection
from twisted.web import http_headers

# Events of a complete stream.
EVENTS = 5


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """One start of an upstream and its received requests.

    Attributes:
      name: Its id.
      born_ms: Unix time of its start in milliseconds.
      retry_after_s: If set, it refuses all requests with this Retry-After.
      backoffs: Start and end of the backoff of each refusal.
      arrivals: Arrival times of requests.
      leaving: Whether its responses announce its departure.
      notified_at: When the first such response reached the entry.
      requested_at: When the callers had sent the requests that arrived.
    """

    name: str
    born_ms: int
    retry_after_s: float | None = None
    backoffs: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    arrivals: list[float] = dataclasses.field(default_factory=list)
    leaving: bool = False
    notified_at: float = math.inf
    requested_at: list[float] = dataclasses.field(default_factory=list)


class Http:
    """HTTP request object of a caller."""

    def __init__(self) -> None:
        self.responseHeaders = http_headers.Headers()
        self.status = 0

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        """Record the status."""
        self.status = status

    def ignore(self, *_: Any) -> None:
        """Ignore the answer."""

    registerProducer = unregisterProducer = setHeader = ignore  # noqa: N815
    write = finish = ignore


class Connection:
    """A connection to one start of an upstream."""

    def __init__(self, world: Any, address: str) -> None:
        self.address = address
        self.usable = True
        self.ended_by_close = False
        # Each carries one request.
        self.used = 1
        self._world = world
        self._pieces: list[bytes] = []
        self._breaks = False
        self._head: connection.Head | None = None

    def send(self, request: connection.Request, **_: Any) -> None:
        """Send a request to the upstream."""
        world, by_name = self._world, dict(request.headers)
        self._upstream = upstream = world.upstream_at(self.address)
        upstream.arrivals.append(world.clock.now)
        asked = world.calls[int(by_name[b"Request-Id"], 16)]
        upstream.requested_at.append(asked.arrived_at)
        first = int(by_name.get(b"Last-Event-Id", b"0")) + 1
        rows = [(b"Request-Id", by_name[b"Request-Id"])]
        if upstream.leaving:
            rows += [(b"Server-Leaving", b"1")]
        if upstream.retry_after_s is not None:
            rows += [(b"Not-Executed", b"1")]
            rows += [(b"Retry-After", b"%g" % upstream.retry_after_s)]
            self._head = connection.Head(503, rows)
            return
        rows += [(b"Response-Stamp", self.address.encode())]
        self._breaks = world.random.random() < world.break_share
        if not asked.stream:
            self._head = connection.Head(200, rows)
            self._pieces = [b"x"]
            return
        rows += [(b"Content-Type", b"text/event-stream")]
        self._head = connection.Head(200, rows)
        last = EVENTS // 2 if self._breaks else EVENTS
        self._pieces = [
            b"id: %d\ndata: x\n\n" % number
            for number in range(first, last + 1)
        ]

    async def head(self) -> connection.Head:
        """Wait for the head of the response."""
        await self._world.later(self._world.random.uniform(0.0, 0.1))
        now, upstream = self._world.clock.now, self._upstream
        if self._head.get(b"Server-Leaving"):
            upstream.notified_at = min(upstream.notified_at, now)
        if self._head.status == 503:
            until = now + float(self._head.get(b"Retry-After"))
            upstream.backoffs.append((now, until))
        return self._head

    async def drain(self) -> None:
        """Read over a refusal, which has no body."""

    def garbled(self, detail: str, sample: bytes = b"") -> Exception:
        """Return the error of an answer that is none."""
        self.usable = False
        return connection.ExchangeError(
            connection.GARBLED,
            peer=self.address,
            written=True,
            detail=detail,
            sample=sample,
        )

    async def chunk(self) -> bytes | None:
        """Wait for the next chunk of the response; None at its end."""
        if self._head.status == 503:
            return None
        await self._world.later(self._world.random.uniform(0.0, 0.3))
        if self._pieces:
            return self._pieces.pop(0)
        if self._breaks:
            self.usable = False
            raise connection.ExchangeError(
                "lost", peer=self.address, written=True
            )
        return None

    def abort(self) -> None:
        """Close the connection."""
        self.usable = False
