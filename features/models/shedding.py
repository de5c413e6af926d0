"""Replays the requests of one entry to upstreams that shed load.

The entry's own chain from the queue on, its list and its attempts are the
real ones; connections, upstreams and time are played.  Upstreams refuse all
that arrives for some seconds and name a backoff, break streams off, leave,
are listed anew and start again; connections take up to a second to open.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import types
from typing import Any

from reelscale_core import error, route, routing
from reelscale_daemon.filters import (
    admit,
    call,
    direct,
    outage,
    relay,
    routed,
    writer,
)
from reelscale_daemon.filters import (
    context as contexts,
)
from reelscale_platform import worker
from twisted.internet import defer

from features import platform_directory as fakes
from features import platform_shedding as played

STEP_S = 0.05
TARGET = "read"
# What was on its way when an upstream asked may still arrive, by the
# platform's statement: this late, in seconds, and so many requests.
ON_ITS_WAY_S = 0.5
ON_ITS_WAY = 2
# A request may go to an upstream that leaves if its caller sent it no later
# than this after the entry was told, by the platform's statement, in seconds.
DRAIN_S = 2.0
READ = route.Route(
    name="r1",
    host="h",
    prefix="/",
    kind=route.SAFE,
    shares=(route.Share(TARGET),),
    timeout_s=4.0,
    attempts=2,
)
STREAM = READ._replace(name="r2", kind=route.STREAM, resumable=True)
FIRST_BORN_MS = 1


class World:
    """One entry, its upstreams and its callers."""

    def __init__(
        self, *, seed: int, count: int, slow_share: float = 0.2
    ) -> None:
        """Make it.

        Args:
          seed: Of all that happens by chance.
          count: Number of upstreams.
          slow_share: The part of connections that take long to open.
        """
        self._slow_share = slow_share
        self.random = random.Random(seed)
        # The list's pauses are drawn from the module's own generator.
        random.seed(seed)
        self.listing = fakes.Listing()
        self.clock, self.reactor = self.listing.clock, self.listing.reactor
        self.upstreams: dict[str, played.Upstream] = {}
        self.over: list[played.Upstream] = []
        self.calls: list[call.Call] = []
        self.refusals: list[error.CodedError] = []
        self.faults: list[Any] = []
        self.given = self._make_parts()
        for number in range(count):
            self.start_upstream(f"w{number + 1}")
        self.listing.pass_time(1.0)

    def _make_parts(self) -> contexts.Context:
        state = types.SimpleNamespace(
            workspaces_by_name={}, routes_by_name={}, upstreams_by_name={}
        )
        return contexts.Context(
            reactor=self.reactor,
            clock=self.clock,
            settings=types.SimpleNamespace(
                name="f1", hall="a", queue=100, retry_ratio=0.2
            ),
            config=types.SimpleNamespace(
                listen=lambda function: function(state), state=state
            ),
            links=None,
            membership=self.listing.directory,
            metrics=self.listing.metrics,
            incarnation="i1",
            chain=(admit.admit, relay.relay),
            send=direct.run,
            connections=self,
            dialect=worker.Dialect(),
            suspects=_NoSuspects(),
        )

    # The upstreams.

    def start_upstream(self, name: str) -> None:
        """Start an upstream, maybe again under its id."""
        born_ms = FIRST_BORN_MS
        if name in self.upstreams:
            old = self.upstreams[name]
            self.over.append(old)
            born_ms = max(old.born_ms + 1, int(self.clock.wall() * 1000))
        self.upstreams[name] = played.Upstream(name=name, born_ms=born_ms)
        self.announce(name)

    def announce(self, name: str, **fields: Any) -> None:
        """List an upstream as it is."""
        born_ms = self.upstreams[name].born_ms
        number = int(name[1:])
        addr = f"10.0.0.{number}:80"
        data = {"service": TARGET, "addr": addr, "born": born_ms, **fields}
        self.listing.write(name, fakes.entry(**data))

    def upstream_at(self, address: str) -> played.Upstream:
        """Return the start of an upstream that listens at an address."""
        return self.upstreams[f"w{address.split('.')[3].split(':')[0]}"]

    # The entry's connections.

    async def acquire(self, address: str, **_: Any) -> played.Connection:
        """Open a connection, at times slowly."""
        slow = self.random.random() < self._slow_share
        await self.later(self.random.uniform(0.0, 1.1) if slow else 0.0)
        return played.Connection(self, address)

    def release(self, _used: played.Connection) -> None:
        """Keep none."""

    def close_idle(self, _address: str) -> None:
        """Have none to close."""

    def later(self, seconds: float) -> defer.Deferred:
        """Return what fires after some seconds."""
        waits = defer.Deferred()
        self.reactor.callLater(seconds, waits.callback, None)
        return waits

    # The callers.

    def ask(self, found: route.Route, *, wait_s: float = 0.5) -> call.Call:
        """Have a caller ask."""
        now = self.clock.now
        number = f"{len(self.calls):016x}"
        asked = call.Call(
            http=played.Http(),
            id=number,
            arrived_at=now,
            deadline=now + wait_s,
            answer_deadline=now + found.timeout_s,
            route=found,
            max_attempts=found.attempts,
            workspace=routed.PUBLIC,
            target=TARGET,
            is_model=found.kind == route.STREAM,
            stream=found.kind == route.STREAM,
            method="GET",
            path="/x",
            headers=[("Request-Id", number)],
            requirements=routing.Requirements(hall="a"),
        )
        self.calls.append(asked)
        done = defer.ensureDeferred(self._serve(asked))
        done.addErrback(self.faults.append)
        return asked

    async def _serve(self, asked: call.Call) -> None:
        try:
            await outage.check_outage(asked, self.given)
            await admit.admit(asked, self.given)
            await relay.relay(asked, self.given)
        except error.CodedError as refused:
            asked.code = refused.code
            self.refusals.append(refused)
        except writer.AnswerBrokenError as broken:
            asked.code = broken.code
        finally:
            self.given.release(asked)

    # Time, and what is checked.

    def step(self) -> None:
        """Let a little time pass."""
        self.clock.advance(STEP_S)
        self.reactor.advance(STEP_S)

    def pass_time(self, seconds: float) -> None:
        """Let some time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def unwanted(self) -> int:
        """Return the most arrivals beyond what was on its way, of any ask."""
        worst = 0
        for item in (*self.upstreams.values(), *self.over):
            for at, until in item.asks:
                early = [
                    arrival
                    for arrival in item.arrivals
                    if at + ON_ITS_WAY_S < arrival < until
                ]
                worst = max(worst, len(early) - ON_ITS_WAY)
        return worst

    def after_leaving(self) -> int:
        """Return the most requests to an upstream known to be leaving."""
        return max(
            sum(at > item.told_at + DRAIN_S for at in item.asked_at)
            for item in (*self.upstreams.values(), *self.over)
        )


class _NoSuspects:
    """Suspects nobody."""

    def convicted_s(self, _asked: call.Call) -> float:
        """Clear every request."""
        return 0.0

    def isolate(self, _asked: call.Call, candidates: list) -> list:
        """Leave the choice as it is."""
        return candidates

    def ignore(self, *_: Any, **__: Any) -> None:
        """Take what happens to a request."""

    begin = end = record_success = record_lost = ignore


SHEDDING = ("shed", "shed", "recover", "relist", "restart")
LEAVING = (*SHEDDING, "leave")


def play(seed: int, *, events: tuple[str, ...] = SHEDDING) -> World:
    """Play one generated trace of some 10 s, in which such events happen."""
    made = random.Random(seed)
    world = World(seed=seed, count=made.choice((1, 2, 3, 6)))
    names = list(world.upstreams)
    for _ in range(int(10 / STEP_S)):
        if made.random() < 0.05:
            _happen(world, made.choice(events), made.choice(names))
        for _ in range(made.choice((0, 1, 1, 4))):
            found = made.choice((READ, STREAM))
            world.ask(found, wait_s=made.choice((0.1, 2.0)))
        world.step()
    world.pass_time(6.0)
    return world


def play_all(count: int, *, events: tuple[str, ...] = SHEDDING) -> list[World]:
    """Play so many traces, none of which ends by a fault of ours."""
    worlds = [play(seed, events=events) for seed in range(count)]
    assert not any(world.faults for world in worlds)
    return worlds


def _happen(world: World, event: str, name: str) -> None:
    """Have something happen to an upstream."""
    found = world.upstreams[name]
    match event:
        case "shed":
            found.retry_after_s = world.random.choice((0.7, 1.5, 3.0))
        case "recover":
            found.retry_after_s = None
        case "relist":
            world.listing.write(name, None)
            world.reactor.callLater(
                world.random.uniform(0.1, 1.0), world.announce, name
            )
        case "leave":
            found.leaving = True
        case "restart":
            world.start_upstream(name)
