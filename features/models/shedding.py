"""Simulates requests of one entry to upstreams that shed load.

Runs the entry's real queue, attempts and list of upstreams over simulated
connections, upstreams and time.  Upstreams refuse requests with a Retry-After,
break streams off, leave, are listed again and restart; connections take up to
a second to open.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import itertools
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
# The platform allows requests in transit to arrive after a refusal, within
# this time and up to this number.
IN_TRANSIT_S = 0.5
MAX_IN_TRANSIT = 2
# The platform allows requests to a leaving upstream if the caller sent them
# within this time after the entry was notified.
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
FIRST_START_MS = 1


class World:
    """One entry, its upstreams and its callers."""

    def __init__(
        self, *, seed: int, count: int, slow_share: float = 0.2
    ) -> None:
        """Create the world.

        Args:
          seed: Seed of the random generator.
          count: Number of upstreams.
          slow_share: Fraction of connections that are slow to open.
        """
        self._slow_share = slow_share
        # Fraction of answers that break off.
        self.break_share = 0.2
        self._sequence = itertools.count(1)
        self.random = random.Random(seed)
        # The poll intervals of the list use the module's generator.
        random.seed(seed)
        self.listing = fakes.Listing()
        self.clock, self.reactor = self.listing.clock, self.listing.reactor
        self.upstreams: dict[str, played.Upstream] = {}
        self.ended: list[played.Upstream] = []
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

    # Upstreams.

    def start_upstream(self, name: str) -> None:
        """Start or restart an upstream."""
        born_ms = FIRST_START_MS
        if name in self.upstreams:
            old = self.upstreams[name]
            self.ended.append(old)
            born_ms = max(old.born_ms + 1, int(self.clock.wall() * 1000))
        self.upstreams[name] = played.Upstream(name=name, born_ms=born_ms)
        self.announce(name)

    def announce(self, name: str, **fields: Any) -> None:
        """Publish an upstream in the list."""
        born_ms = self.upstreams[name].born_ms
        number = int(name[1:])
        addr = f"10.0.0.{number}:80"
        data = {
            "service": TARGET,
            "addr": addr,
            "born": born_ms,
            "seq": next(self._sequence),
            **fields,
        }
        self.listing.write(name, fakes.entry(**data))

    def upstream_at(self, address: str) -> played.Upstream:
        """Return the current start of the upstream at an address."""
        return self.upstreams[f"w{address.split('.')[3].split(':')[0]}"]

    # Connections.

    async def acquire(self, address: str, **_: Any) -> played.Connection:
        """Open a connection, sometimes slowly."""
        slow = self.random.random() < self._slow_share
        await self.later(self.random.uniform(0.0, 1.1) if slow else 0.0)
        return played.Connection(self, address)

    def release(self, _used: played.Connection) -> None:
        """Keep no idle connections."""

    def close_idle(self, _address: str) -> None:
        """Do nothing; there are no idle connections."""

    def later(self, seconds: float) -> defer.Deferred:
        """Return a deferred that fires after some seconds."""
        waits = defer.Deferred()
        self.reactor.callLater(seconds, waits.callback, None)
        return waits

    # Callers.

    def ask(self, found: route.Route, *, wait_s: float = 0.5) -> call.Call:
        """Send a request of a caller."""
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
            idempotent=found.kind != route.UNSAFE,
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
        except writer.CallerDisconnectedError:
            asked.code = "disconnected"
        finally:
            self.given.release(asked)

    # Time and checks.

    def step(self) -> None:
        """Advance by one time step."""
        self.clock.advance(STEP_S)
        self.reactor.advance(STEP_S)

    def pass_time(self, seconds: float) -> None:
        """Advance by some seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def max_early_arrivals(self) -> int:
        """Return the maximum number of disallowed arrivals in a backoff."""
        worst = 0
        for item in (*self.upstreams.values(), *self.ended):
            for at, until in item.backoffs:
                early = [
                    arrival
                    for arrival in item.arrivals
                    if at + IN_TRANSIT_S < arrival < until
                ]
                worst = max(worst, len(early) - MAX_IN_TRANSIT)
        return worst

    def max_late_arrivals(self) -> int:
        """Return the maximum number of late requests to a leaving upstream."""
        return max(
            sum(at > item.notified_at + DRAIN_S for at in item.requested_at)
            for item in (*self.upstreams.values(), *self.ended)
        )


class _NoSuspects:
    """A controller without suspects."""

    def convicted_s(self, _asked: call.Call) -> float:
        """Admit every request."""
        return 0.0

    def isolate(self, _asked: call.Call, candidates: list) -> list:
        """Return all candidates."""
        return candidates

    def ignore(self, *_: Any, **__: Any) -> None:
        """Ignore events of a request."""

    def is_doubtful(self, _asked: call.Call) -> bool:
        """Allow every retry."""
        return False

    begin = end = record_answer = record_success = record_lost = ignore


SHEDDING = ("shed", "shed", "recover", "relist", "restart")
LEAVING = (*SHEDDING, "leave")


def play(seed: int, *, events: tuple[str, ...] = SHEDDING) -> World:
    """Run one generated trace of about 10 s with the given events."""
    source = random.Random(seed)
    world = World(seed=seed, count=source.choice((1, 2, 3, 6)))
    names = list(world.upstreams)
    for _ in range(int(10 / STEP_S)):
        if source.random() < 0.05:
            _apply_event(world, source.choice(events), source.choice(names))
        for _ in range(source.choice((0, 1, 1, 4))):
            found = source.choice((READ, STREAM))
            world.ask(found, wait_s=source.choice((0.1, 2.0)))
        world.step()
    world.pass_time(6.0)
    return world


def play_all(count: int, *, events: tuple[str, ...] = SHEDDING) -> list[World]:
    """Run traces and check that none raised an unexpected error."""
    worlds = [play(seed, events=events) for seed in range(count)]
    assert not any(world.faults for world in worlds)
    return worlds


def _apply_event(world: World, event: str, name: str) -> None:
    """Apply an event to an upstream."""
    upstream = world.upstreams[name]
    match event:
        case "shed":
            upstream.retry_after_s = world.random.choice((0.7, 1.5, 3.0))
        case "recover":
            upstream.retry_after_s = None
        case "relist":
            world.listing.write(name, None)
            world.reactor.callLater(
                world.random.uniform(0.1, 1.0), world.announce, name
            )
        case "leave":
            upstream.leaving = True
        case "restart":
            world.start_upstream(name)
