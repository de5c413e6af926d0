"""Plays every way in which the probe of an upstream's circuit can end."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import circuit, route
from reelscale_daemon.exchange import connection
from reelscale_daemon.filters import call
from twisted.internet import defer

from features import platform_shedding as played

from . import shedding

NAME = "w1"
# Not idempotent, so that each request is one attempt.
ONCE = shedding.READ._replace(kind=route.UNSAFE, attempts=1)
ROUTES = {"a request": ONCE, "an idempotent request": shedding.READ}
# How long a probe may take, and the pause after it, in seconds.
PROBE_S = 5.0
PAUSE_S = 1.5


class World(shedding.World):
    """One entry and one upstream whose circuit is open.

    Attributes:
      way: How the probe is to end, "" for a complete answer.
    """

    def __init__(self) -> None:
        super().__init__(seed=1, count=1, slow_share=0.0)
        self.way = ""
        self.fail_upstream()
        self.pass_time(circuit.INITIAL_OPEN_S + 0.1)

    def fail_upstream(self) -> None:
        """Open the circuit of the upstream."""
        self.given.record_success(NAME)
        for _ in range(circuit.FAILURES_TO_OPEN):
            self.given.record_failure(NAME)

    async def acquire(self, address: str, **_: Any) -> "Connection":
        """Open a connection, unless the probe ends before."""
        asked = self.calls[-1]
        match self.way:
            case "its caller disconnects while it connects":
                self.reactor.callLater(0.1, disconnect, asked)
                await self._cancellable()
            case "its deadline passes while it connects":
                await self._cancellable(asked.answer_deadline)
            case "its upstream asks for a back-off while it connects":
                start = self.listing.directory.views_by_name[NAME]
                self.listing.directory.record_backoff(
                    start.upstream.start, 0.5
                )
        return Connection(self, address, asked)

    async def _cancellable(self, until: float | None = None) -> None:
        """Wait as an opening does that is cancelled or never succeeds."""
        waits = defer.Deferred()
        if until is not None:
            left_s = until - self.clock.now + shedding.STEP_S
            self.reactor.callLater(left_s, waits.callback, None)
        try:
            await waits
        except defer.CancelledError:
            pass
        raise connection.ExchangeError("unreachable", peer=NAME, written=False)

    def play(self, way: str, kind: str) -> call.Call:
        """End a probe in a way; return a later request of the same kind."""
        self.way = way
        self.ask(ROUTES[kind])
        self.pass_time(PROBE_S)
        self.way = ""
        self.pass_time(PAUSE_S)
        later = self.ask(ROUTES[kind])
        self.pass_time(2.0)
        return later


class Connection(played.Connection):
    """A connection on which the probe ends as the world says."""

    label, age_s = "here-there", 1.0

    def __init__(self, world: World, address: str, asked: call.Call) -> None:
        super().__init__(world, address)
        self._asked = asked
        # Fails when the exchange is broken off, if anything waits for it.
        self._broken: defer.Deferred | None = None

    def send(self, request: connection.Request, **_: Any) -> None:
        """Send a request to the upstream, which answers it completely."""
        super().send(request)
        self._breaks = False

    async def head(self) -> connection.Head:
        """Wait for the head of the answer, if there is one."""
        rows = [(b"Request-Id", self._asked.id.encode())]
        match self._world.way:
            case "it is refused":
                return connection.Head(503, [*rows, (b"Not-Executed", b"1")])
            case "its upstream fails it":
                return connection.Head(500, rows)
            case "its deadline passes":
                await self._wait()
            case "its caller disconnects":
                self._world.reactor.callLater(0.1, disconnect, self._asked)
                await self._wait()
            case "a refusal without an id comes":
                self.used = 2
                return connection.Head(503, [(b"Not-Executed", b"1")])
        return await super().head()

    def _wait(self) -> defer.Deferred:
        """Wait until the exchange is broken off."""
        self._broken = defer.Deferred()
        return self._broken

    async def chunk(self) -> bytes | None:
        """Return the end of an answer without events."""
        if self._world.way:
            return None
        return await super().chunk()

    def abort(self) -> None:
        """Break the exchange off."""
        super().abort()
        if self._broken is not None and not self._broken.called:
            lost = connection.ExchangeError(
                "lost", peer=self.address, written=True
            )
            self._broken.errback(lost)


def disconnect(asked: call.Call) -> None:
    """Have the caller of a request leave."""
    asked.disconnected = True
    if asked.on_disconnect is not None:
        asked.on_disconnect()
