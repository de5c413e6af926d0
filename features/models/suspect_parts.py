"""Simulates requests with a part that crashes upstreams beside sound ones.

Runs the real controllers of several entries.  Sound requests share the other
parts.  Upstreams also crash for other reasons, alone, by boxes and all at
once, lose connections, and in some traces compute in step, so that a crash
stops all of them.  Datagrams get lost, halls are cut off, and entries restart.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random
import types
from typing import Any

from reelscale_core import announcement, clock
from reelscale_daemon.controllers import crash_checks, suspects
from reelscale_daemon.filters import call
from reelscale_wire.gen import ttypes

STEP_S = 0.1
SLOTS = 4
UPSTREAMS = 12
UPSTREAMS_PER_BOX = 3
# Steps until a crashed upstream is back, and a group that stood still.
RESTART_STEPS = 25
REFORM_STEPS = (15, 40)
# Steps from the first event of an answer to its end.
ANSWER_STEPS = 5
CRASHING = "bad0"
FIRST = ("aa01", "aa02")
SECOND = ("bb01", "bb02", "bb03", "bb04", "bb05")
# Part of few sound requests.
RARE = "cc01"
CONTACT_S = 3.0
CRASHES = 5


class Upstream:
    """An upstream that comes back under a new id after a crash."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.starts = 0
        self.down_steps = 0

    @property
    def current(self) -> announcement.Announcement:
        """Return the announcement of the current start."""
        return announcement.Announcement(
            name=f"u{self.number}.{self.starts}",
            target="llm",
            address="127.0.0.1:1",
            hall="a",
            slots=SLOTS,
        )


class Entry:
    """One entry: its controller and its hall."""

    def __init__(self, world: "World", number: int) -> None:
        self.name = f"e{number}"
        self.hall = number % 2
        self.cut_until = 0.0
        self.started_at = 0.0
        self.world = world
        self.suspects = self._new_suspects()

    def restart(self) -> None:
        """Start without any records."""
        self.started_at = self.world.clock.now
        self.suspects = self._new_suspects()

    @property
    def in_touch(self) -> bool:
        """Whether it has been running and not cut off for a while."""
        since = max(self.started_at, self.cut_until)
        return self.world.clock.now > since + CONTACT_S

    def _new_suspects(self) -> suspects.Suspects:
        return suspects.Suspects(
            reactor=None,
            clock=self.world.clock,
            evidence=None,
            on_update=lambda: None,
        )

    def usage(self) -> ttypes.Usage:
        """Return its usage datagram."""
        message = ttypes.Usage(name=self.name)
        self.suspects.add_to(message, 1.0)
        return message


class Running:
    """A request at an upstream, through one entry."""

    def __init__(self, request: call.Call, entry: Entry, at: Upstream) -> None:
        self.request = request
        self.entry = entry
        self.at = at
        self.attempts = 1
        self.remaining_steps = 0
        self.answered = False

    @property
    def crashing(self) -> bool:
        """Whether it crashes the upstream that begins to answer it."""
        return CRASHING in self.request.parts


class World:
    """All entries, upstreams and requests.

    Attributes:
      crashed_at: Times at which the part crashed an upstream.
      sent_at: Times at which requests with it reached one, sent by entries
        in touch.
      refused: Sound requests that were refused as convicted.
      answered: Sound requests that were answered.
      answered_at: Times at which answers to sound requests began.
      convicted: Whether any entry has refused a request with the part.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock.FakeClock(start=1000.0)
        count = self.random.choice((1, 2, 3, 5, 8))
        self.entries = [Entry(self, number) for number in range(count)]
        self.upstreams = [Upstream(number) for number in range(UPSTREAMS)]
        self.in_step = self.random.random() < 0.4
        self.sound_per_step = self.random.choice((0.2, 0.6, 1.5))
        self.crashing_per_step = self.random.choice((0.0, 0.1, 0.15, 0.3))
        self.crashing_first = self.random.random() < 0.4
        self.begins_at = self.clock.now + self.random.uniform(1.0, 6.0)
        self.running: list[Running] = []
        self.stopped_steps = 0
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self.answered_at: list[float] = []
        self.refused = 0
        self.answered = 0
        self.convicted = False
        self._number = 0

    def step(self) -> None:
        """Run one time step."""
        self.clock.advance(STEP_S)
        self.stopped_steps = max(0, self.stopped_steps - 1)
        for upstream in self.upstreams:
            upstream.down_steps = max(0, upstream.down_steps - 1)
        self._unrelated_faults()
        self._gossip()
        self._arrive()
        self._run()

    def _unrelated_faults(self) -> None:
        draw = self.random.random()
        if draw < 0.012:
            self._crash([self.random.choice(self.upstreams)])
        elif draw < 0.016:
            box = self.random.randrange(UPSTREAMS // UPSTREAMS_PER_BOX)
            first = box * UPSTREAMS_PER_BOX
            self._crash(self.upstreams[first : first + UPSTREAMS_PER_BOX])
        elif draw < 0.02:
            self._crash(self.upstreams)
        elif draw < 0.03 and len(self.entries) > 1:
            # What all entries have forgotten at once is not known again.
            self.random.choice(self.entries).restart()
        elif draw < 0.035:
            hall = self.random.randrange(2)
            for entry in self.entries:
                if entry.hall == hall:
                    entry.cut_until = self.clock.now + 2.0

    def _gossip(self) -> None:
        messages = [(entry, entry.usage()) for entry in self.entries]
        for sender, message in messages:
            for other in self.entries:
                if other is sender or not self._in_touch(sender, other):
                    continue
                if self.random.random() < 0.8:
                    other.suspects.apply(message)

    def _in_touch(self, one: Entry, other: Entry) -> bool:
        cut = self.clock.now < max(one.cut_until, other.cut_until)
        return not cut or one.hall == other.hall

    def _arrive(self) -> None:
        for _ in range(self._draw(self.sound_per_step)):
            self._new_request(self._sound_parts())
        if self.clock.now >= self.begins_at:
            for _ in range(self._draw(self.crashing_per_step)):
                self._new_request(self._crashing_parts())

    def _draw(self, per_step: float) -> int:
        whole = int(per_step)
        return whole + (self.random.random() < per_step - whole)

    def _sound_parts(self) -> tuple[str, ...]:
        second = self.random.choice(SECOND)
        if self.random.random() < 0.02:
            second = RARE
        return (self.random.choice(FIRST), second)

    def _crashing_parts(self) -> tuple[str, ...]:
        if self.crashing_first:
            return (CRASHING, self.random.choice(SECOND))
        return (self.random.choice(FIRST), CRASHING)

    def _new_request(self, parts: tuple[str, ...]) -> None:
        self._number += 1
        workspace: Any = types.SimpleNamespace(name="acme")
        request = call.Call(
            http=None,
            id=f"r{self._number}",
            arrived_at=0.0,
            deadline=0.0,
            workspace=workspace,
            target="llm",
            method="POST",
            path="/chat",
            body=str(self._number).encode(),
            parts=parts,
        )
        self._send(request, self.random.choice(self.entries), attempts=1)

    def _send(
        self, request: call.Call, entry: Entry, *, attempts: int
    ) -> None:
        if entry.suspects.convicted_s(request):
            if CRASHING in request.parts:
                self.convicted = True
            else:
                self.refused += 1
            return
        free = [item for item in self.upstreams if not item.down_steps]
        if not free or self.stopped_steps:
            return
        sent = Running(request, entry, self.random.choice(free))
        sent.attempts = attempts
        sent.remaining_steps = self.random.randint(1, 6)
        self.running.append(sent)
        if sent.crashing and entry.in_touch:
            self.sent_at.append(self.clock.now)

    def _run(self) -> None:
        if self.stopped_steps:
            return
        for item in list(self.running):
            if item not in self.running:
                continue
            item.remaining_steps -= 1
            if item.remaining_steps > 0:
                continue
            if item.crashing:
                self.crashed_at.append(self.clock.now)
                self._crash([item.at])
            elif not item.answered:
                item.answered = True
                self.answered_at.append(self.clock.now)
                item.remaining_steps = ANSWER_STEPS
                item.entry.suspects.record_answer(item.request)
            else:
                self.answered += 1
                item.entry.suspects.record_success(item.request)
                self.running.remove(item)

    def _crash(self, upstreams: list[Upstream]) -> None:
        """Crash upstreams at the same moment, with what runs there."""
        for upstream in upstreams:
            if not upstream.down_steps:
                self._crash_one(upstream)
        if self.in_step:
            # What had begun elsewhere is cut, what had not is refused.
            self.stopped_steps = self.random.randint(*REFORM_STEPS)
            self.running.clear()

    def _crash_one(self, upstream: Upstream) -> None:
        lost = [item for item in self.running if item.at is upstream]
        start = upstream.current.start
        self.running = [r for r in self.running if r.at is not upstream]
        upstream.down_steps = RESTART_STEPS
        upstream.starts += 1
        for entry in self.entries:
            losses = [
                crash_checks.Loss(item.request, len(lost), item.answered)
                for item in lost
                if item.entry is entry
            ]
            if losses:
                entry.suspects._record_crash(start, losses)
        for item in lost:
            doubtful = item.entry.suspects.is_doubtful(item.request)
            if item.attempts == 1 and not doubtful:
                self._send(item.request, item.entry, attempts=2)


def play(seed: int, *, steps: int = 400) -> World:
    """Run one generated trace."""
    world = World(seed)
    for _ in range(steps):
        world.step()
    return world


def sent_late(world: World) -> int:
    """Return how many requests with the part reached upstreams too late."""
    if len(world.crashed_at) < CRASHES:
        return 0
    bound = world.crashed_at[CRASHES - 1] + CONTACT_S
    return sum(at > bound for at in world.sent_at)


def has_contrast(world: World) -> bool:
    """Return whether answers began between the first and the fifth crash.

    If all answers of a target fail, nothing tells a part that crashes
    upstreams from an upstream that crashes on everything.
    """
    if len(world.crashed_at) < CRASHES:
        return False
    first, fifth = world.crashed_at[0], world.crashed_at[CRASHES - 1]
    return any(first < at < fifth for at in world.answered_at)
