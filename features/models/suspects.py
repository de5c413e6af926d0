"""Simulates requests that crash upstreams beside innocent ones.

Runs the real controllers of several entries.  Callers retry at any entry, both
those of crashing requests and those of innocent requests that were running
beside them.  Upstreams also crash and lose connections for other reasons.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import types
from typing import Any

from reelscale_core import announcement, clock, routing, suspicion
from reelscale_daemon.controllers import crash_checks, suspects
from reelscale_daemon.filters import call
from reelscale_wire.gen import ttypes

SLOTS = 3
STEP_S = 0.1
# Steps that a request takes if nothing fails.
REQUEST_STEPS = 6
# Steps that an upstream takes to restart.
RESTART_STEPS = 20


class Caller:
    """A caller that retries one request until it is answered.

    Attributes:
      crashing: Whether the request crashes upstreams.
      crashed_at: Times at which it crashed an upstream.
      reached: Times at which it reached an upstream.
      refused: Number of refusals as convicted.
      done: Whether it was answered.
    """

    def __init__(self, number: int, *, crashing: bool) -> None:
        self.number = number
        self.crashing = crashing
        self.crashed_at: list[float] = []
        self.reached: list[float] = []
        self.refused = 0
        self.done = False
        self.running: Running | None = None
        self.next_attempt_at = 0.0

    def call(self) -> call.Call:
        """Return its request as seen by an entry."""
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
        self.request = caller.call()
        self.remaining_steps = REQUEST_STEPS


class Upstream:
    """An upstream that restarts after each crash."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.starts = 0
        self.down_steps = 0

    @property
    def current(self) -> announcement.Announcement:
        """Return the announcement of the current start."""
        return announcement.Announcement(
            name=f"u{self.number}",
            target="llm",
            address="127.0.0.1:1",
            hall="a",
            slots=SLOTS,
            born_ms=self.starts,
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

    def usage(self) -> ttypes.Usage:
        """Return its usage datagram."""
        message = ttypes.Usage(name=self.name)
        self.suspects.add_to(message, 1.0)
        return message


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
            Caller(n, crashing=n < self.random.choice((1, 1, 2)))
            for n in range(30)
        ]
        for caller in self.callers:
            caller.next_attempt_at = self.clock.now + self.random.uniform(0, 3)

    def step(self) -> None:
        """Run one time step of callers, upstreams and gossip."""
        self.clock.advance(STEP_S)
        for upstream in self.upstreams:
            upstream.down_steps = max(0, upstream.down_steps - 1)
        self._unrelated_faults()
        self._gossip()
        for caller in self.callers:
            if self._is_due(caller):
                self._send(caller)
        self._run()

    def _is_due(self, caller: Caller) -> bool:
        free = not caller.done and caller.running is None
        return free and caller.next_attempt_at <= self.clock.now

    def _unrelated_faults(self) -> None:
        """Crash or disconnect an upstream at random."""
        if self.random.random() < 0.01:
            self._crash(self.random.choice(self.upstreams))
        if self.random.random() < 0.02:
            disconnected = self.random.choice(self.upstreams)
            for item in [r for r in self.running if r.at is disconnected]:
                self._lose(item)

    def _gossip(self) -> None:
        messages = [(entry, entry.usage()) for entry in self.entries]
        for sender, message in messages:
            for other in self.entries:
                if other is not sender and self.random.random() < 0.9:
                    other.suspects.apply(message)

    def _send(self, caller: Caller) -> None:
        entry = self.random.choice(self.entries)
        asked = caller.call()
        caller.next_attempt_at = self.clock.now + 1.0
        if entry.suspects.convicted_s(asked):
            caller.refused += 1
            return
        candidates = entry.suspects.isolate(asked, self._candidates())
        free = [
            item for item in candidates if item.local_in_flight < item.slots
        ]
        if not free:
            return
        # Candidates that recently refused come last, as in routing.
        free.sort(key=lambda item: (item.refused, self.random.random()))
        upstream = self.upstreams[int(free[0].name[1:])]
        sent = Running(caller, entry, upstream)
        self.running.append(sent)
        caller.running = sent
        caller.reached.append(self.clock.now)
        entry.suspects.begin(sent.request, upstream.current.start)

    def _candidates(self) -> list[routing.Candidate]:
        return [
            routing.Candidate(
                name=item.current.name,
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
                start=item.current.start.key,
            )
            for item in self.upstreams
            if not item.down_steps
        ]

    def _run(self) -> None:
        for item in list(self.running):
            if item not in self.running:
                continue
            item.remaining_steps -= 1
            if (
                item.caller.crashing
                and item.remaining_steps <= REQUEST_STEPS // 2
            ):
                item.caller.crashed_at.append(self.clock.now)
                self._crash(item.at)
            elif item.remaining_steps <= 0:
                item.caller.done = True
                item.entry.suspects.record_success(item.request)
                self._end(item)

    def _crash(self, upstream: Upstream) -> None:
        """Crash the current start with its requests."""
        if upstream.down_steps:
            return
        running = [item for item in self.running if item.at is upstream]
        start = upstream.current.start
        for item in running:
            self._end(item)
        for entry in self.entries:
            losses = [
                crash_checks.Loss(item.request, len(running))
                for item in running
                if item.entry is entry
            ]
            if losses:
                entry.suspects._record_crash(start, losses)
        upstream.down_steps = RESTART_STEPS
        upstream.starts += 1

    def _lose(self, item: Running) -> None:
        """Lose a request to a broken connection, which is not a crash."""
        self._end(item)

    def _end(self, item: Running) -> None:
        item.entry.suspects.end(item.request, item.at.current.start)
        item.caller.running = None
        item.caller.next_attempt_at = self.clock.now + self.random.uniform(
            0.1, 0.6
        )
        if item in self.running:
            self.running.remove(item)


def play(seed: int, *, steps: int = 500) -> World:
    """Run one generated trace."""
    world = World(seed)
    for _ in range(steps):
        world.step()
    return world


def reached_after_third_crash(caller: Caller) -> int:
    """Return how often a request reached upstreams after its third crash."""
    if len(caller.crashed_at) < suspicion.CONVICTED_AFTER:
        return 0
    third = caller.crashed_at[suspicion.CONVICTED_AFTER - 1]
    return sum(at > third for at in caller.reached)
