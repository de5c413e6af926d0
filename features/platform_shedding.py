"""Upstreams that shed load or leave, as a played connection meets them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
import math
from typing import Any

from reelscale_daemon.exchange import connection
from twisted.web import http_headers

# Events of a whole stream.
EVENTS = 5


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """One start of an upstream, and what it has seen.

    Attributes:
      name: Its id.
      born_ms: When it started.
      retry_after_s: It refuses all, and asks for so long without requests.
      asks: When each refusal reached the entry, and until when it counts.
      arrivals: When requests arrived.
      leaving: Whether its answers say that it is about to end.
      told_at: When the first of those reached the entry.
      asked_at: When the callers of the requests that arrived had asked.
    """

    name: str
    born_ms: int
    retry_after_s: float | None = None
    asks: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    arrivals: list[float] = dataclasses.field(default_factory=list)
    leaving: bool = False
    told_at: float = math.inf
    asked_at: list[float] = dataclasses.field(default_factory=list)


class Http:
    """A caller's side of a request."""

    def __init__(self) -> None:
        self.responseHeaders = http_headers.Headers()
        self.status = 0

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        """Note the status."""
        self.status = status

    def ignore(self, *_: Any) -> None:
        """Take what an answer consists of."""

    registerProducer = unregisterProducer = setHeader = ignore  # noqa: N815
    write = finish = ignore


class Connection:
    """A connection to one start of an upstream."""

    def __init__(self, world: Any, address: str) -> None:
        self.address = address
        self.usable = True
        self._world = world
        self._pieces: list[bytes] = []
        self._breaks = False
        self._head: connection.Head | None = None

    def send(self, request: connection.Request) -> None:
        """Have the upstream take a request."""
        world, by_name = self._world, dict(request.headers)
        self._upstream = found = world.upstream_at(self.address)
        found.arrivals.append(world.clock.now)
        asked = world.calls[int(by_name[b"Request-Id"], 16)]
        found.asked_at.append(asked.arrived_at)
        first = int(by_name.get(b"Last-Event-Id", b"0")) + 1
        rows = [(b"Request-Id", by_name[b"Request-Id"])]
        if found.leaving:
            rows += [(b"Server-Leaving", b"1")]
        if found.retry_after_s is not None:
            rows += [(b"Not-Executed", b"1")]
            rows += [(b"Retry-After", b"%g" % found.retry_after_s)]
            self._head = connection.Head(503, rows)
            return
        rows += [(b"Content-Type", b"text/event-stream")]
        self._head = connection.Head(200, rows)
        self._breaks = world.random.random() < 0.2
        last = EVENTS // 2 if self._breaks else EVENTS
        self._pieces = [
            b"id: %d\ndata: x\n\n" % number
            for number in range(first, last + 1)
        ]

    async def head(self) -> connection.Head:
        """Wait for the answer to begin."""
        await self._world.later(self._world.random.uniform(0.0, 0.1))
        now, upstream = self._world.clock.now, self._upstream
        if self._head.get(b"Server-Leaving"):
            upstream.told_at = min(upstream.told_at, now)
        if self._head.status == 503:
            until = now + float(self._head.get(b"Retry-After"))
            upstream.asks.append((now, until))
        return self._head

    async def chunk(self) -> bytes | None:
        """Wait for the next piece of the answer; None at its end."""
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
        """Be of no use any more."""
        self.usable = False
