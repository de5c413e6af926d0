"""Replays requests that crash upstreams, beside innocent ones.

Real controllers of several entries and a world in which some requests crash
whatever begins to run them.  Their callers come again, at any entry, as do
those of the innocent requests that were there.  Upstreams also crash and are
cut off for reasons of their own.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import types
from typing import Any

from reelscale_core import announcement, clock, routing, suspicion
from reelscale_daemon.controllers import suspects
from reelscale_daemon.filters import call
from reelscale_wire.gen import ttypes

SLOTS = 3
STEP_S = 0.1
# A request that nothing happens to takes so many steps.
TAKES = 6
# Steps for which an upstream that crashed is away.
AWAY = 20


class Caller:
    """A caller who sends one request again until it is answered.

    Attributes:
      guilty: Whether the request crashes what runs it.
      crashed_at: Times at which it crashed an upstream.
      reached: Times at which it reached one.
      refused: How often it was refused as convicted.
      done: Whether it was answered.
    """

    def __init__(self, number: int, *, guilty: bool) -> None:
        self.number = number
        self.guilty = guilty
        self.crashed_at: list[float] = []
        self.reached: list[float] = []
        self.refused = 0
        self.done = False
        self.running: Running | None = None
        self.comes_at = 0.0

    def call(self) -> call.Call:
        """Return its request as an entry sees it."""
        workspace: Any = types.SimpleNamespace(name="acme")
        return call.Call(
            http=None,
            id=f"r{self.number}",
            arrived_at=0.0,
            deadline=0.0,
            workspace=workspace,
            method="POST",
            path=f"/chat/{self.number}",
            body=b"same each time",
        )


class Running:
    """A request at an upstream, through one entry."""

    def __init__(self, caller: Caller, entry: "Entry", at: "Upstream") -> None:
        self.caller = caller
        self.entry = entry
        self.at = at
        self.asked = caller.call()
        self.left = TAKES


class Upstream:
    """One place where upstreams start, one start after the other."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.born = 0
        self.away = 0

    @property
    def item(self) -> announcement.Announcement:
        """Return what the start that is there announces."""
        return announcement.Announcement(
            name=f"u{self.number}",
            target="llm",
            address="127.0.0.1:1",
            hall="a",
            slots=SLOTS,
            born_ms=self.born,
        )


class Entry:
    """One entry: its controller and what runs through it."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.suspects = suspects.Suspects(
            reactor=None,
            clock=world.clock,
            evidence=None,
            on_update=lambda: None,
        )

    def tell(self) -> ttypes.Usage:
        """Return its datagram."""
        told = ttypes.Usage(name=self.name)
        self.suspects.add_to(told, 1.0)
        return told


class World:
    """All entries, upstreams and callers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock.FakeClock(start=1000.0)
        count = self.random.choice((1, 2, 3, 5, 8))
        self.entries = [Entry(self, f"e{n}") for n in range(count)]
        self.upstreams = [Upstream(n) for n in range(12)]
        self.running: list[Running] = []
        self.callers = [
            Caller(n, guilty=n < self.random.choice((1, 1, 2)))
            for n in range(30)
        ]
        for caller in self.callers:
            caller.comes_at = self.clock.now + self.random.uniform(0, 3)

    def step(self) -> None:
        """Let callers come, requests run, and entries hear each other."""
        self.clock.advance(STEP_S)
        for upstream in self.upstreams:
            upstream.away = max(0, upstream.away - 1)
        self._own_faults()
        self._gossip()
        for caller in self.callers:
            if self._wants(caller):
                self._send(caller)
        self._run()

    def _wants(self, caller: Caller) -> bool:
        free = not caller.done and caller.running is None
        return free and caller.comes_at <= self.clock.now

    def _own_faults(self) -> None:
        """Have an upstream crash or be cut off now and then by itself."""
        if self.random.random() < 0.01:
            self._crash(self.random.choice(self.upstreams))
        if self.random.random() < 0.02:
            cut = self.random.choice(self.upstreams)
            for item in [r for r in self.running if r.at is cut]:
                self._lose(item)

    def _gossip(self) -> None:
        told = [(entry, entry.tell()) for entry in self.entries]
        for sender, message in told:
            for other in self.entries:
                if other is not sender and self.random.random() < 0.9:
                    other.suspects.apply(message)

    def _send(self, caller: Caller) -> None:
        entry = self.random.choice(self.entries)
        asked = caller.call()
        caller.comes_at = self.clock.now + 1.0
        if entry.suspects.convicted_s(asked):
            caller.refused += 1
            return
        candidates = entry.suspects.isolate(asked, self._candidates())
        free = [
            item for item in candidates if item.local_in_flight < item.slots
        ]
        if not free:
            return
        # Those that were refused lately come last, as in routing.
        free.sort(key=lambda item: (item.refused, self.random.random()))
        upstream = self.upstreams[int(free[0].name[1:])]
        sent = Running(caller, entry, upstream)
        self.running.append(sent)
        caller.running = sent
        caller.reached.append(self.clock.now)
        entry.suspects.begin(sent.asked, upstream.item.start)

    def _candidates(self) -> list[routing.Candidate]:
        return [
            routing.Candidate(
                name=item.item.name,
                hall="a",
                slots=SLOTS,
                until=0.0,
                local_in_flight=sum(r.at is item for r in self.running),
                local_reported=0,
                running=0,
                queued=0,
                capacity=SLOTS,
                step_ms=0.0,
                reported_at=0.0,
                start=item.item.start.key,
            )
            for item in self.upstreams
            if not item.away
        ]

    def _run(self) -> None:
        for item in list(self.running):
            if item not in self.running:
                continue
            item.left -= 1
            if item.caller.guilty and item.left <= TAKES // 2:
                item.caller.crashed_at.append(self.clock.now)
                self._crash(item.at)
            elif item.left <= 0:
                item.caller.done = True
                item.entry.suspects.record_success(item.asked)
                self._end(item)

    def _crash(self, upstream: Upstream) -> None:
        """End a start with all that runs there."""
        if upstream.away:
            return
        here = [item for item in self.running if item.at is upstream]
        start = upstream.item.start
        for item in here:
            self._end(item)
        for entry in self.entries:
            losses = [
                suspects.Loss(item.asked, len(here))
                for item in here
                if item.entry is entry
            ]
            if losses:
                entry.suspects._record_crash(start, losses)
        upstream.away = AWAY
        upstream.born += 1

    def _lose(self, item: Running) -> None:
        """Lose a request to a cut, which is no crash."""
        self._end(item)

    def _end(self, item: Running) -> None:
        item.entry.suspects.end(item.asked, item.at.item.start)
        item.caller.running = None
        item.caller.comes_at = self.clock.now + self.random.uniform(0.1, 0.6)
        if item in self.running:
            self.running.remove(item)


def play(seed: int, *, steps: int = 500) -> World:
    """Play one generated trace."""
    world = World(seed)
    for _ in range(steps):
        world.step()
    return world


def retries_after_third(caller: Caller) -> int:
    """Return how often a request reached upstreams after its third crash."""
    if len(caller.crashed_at) < suspicion.CONVICTED_AFTER:
        return 0
    third = caller.crashed_at[suspicion.CONVICTED_AFTER - 1]
    return sum(at > third for at in caller.reached)
