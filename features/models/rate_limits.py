"""Replays entries that share the limit of one upstream.

Real controllers of several entries, with their datagrams carried by hand:
some are lost, halves of the entries are cut off from each other, entries
restart, and each is asked for far more than its part.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import random
from collections.abc import Iterator

from reelscale_core import clock, rate_limit
from reelscale_daemon.adapters import base
from reelscale_daemon.controllers import rate_limits
from reelscale_wire.gen import ttypes
from twisted.internet import task

START = "i-1"
STEP_S = 0.1
# The window of the promise, in seconds, and how late an entry may heed an
# answer that it has passed on.
WINDOW_S = 4.0
HEEDED_S = 0.5
SILENT_S = 1.6
REMEMBERED_S = 60.0


class Entry:
    """One entry: what it believes, and when it first heard a limit."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.restart()

    def restart(self) -> None:
        """Forget everything."""
        self.heard_at: dict[str, float] = {}
        self.counts_from: float | None = None
        self.limits = rate_limits.RateLimits(
            reactor=task.Clock(),
            clock=self.world.clock,
            entries=self._entries,
            on_update=lambda: None,
            on_free=lambda: None,
        )

    def _entries(self) -> rate_limit.Entries:
        now = self.world.clock.now
        heard = {n for n, at in self.heard_at.items() if now - at <= SILENT_S}
        known = [
            at for at in self.heard_at.values() if at > now - REMEMBERED_S
        ]
        # The platform tells each process some others from the start.
        count = max(len(known), min(3, self.world.count - 1)) + 1
        return rate_limit.Entries(
            self.name, frozenset(heard | {self.name}), count
        )

    def tell(self) -> ttypes.Usage:
        """Return its datagram."""
        told = ttypes.Usage(name=self.name)
        self.limits.add_to(told, 1.0)
        return told

    def hear(self, told: ttypes.Usage) -> None:
        """Take another's datagram."""
        self.heard_at[told.name] = self.world.clock.now
        self.limits.apply(told)

    def send(self) -> bool:
        """Send a request if that is allowed; the answer tells the limit."""
        if self.limits.blocks(START):
            return False
        self.limits.record_sent(START)
        self.world.arrived(self)
        return True


class World:
    """All entries and the upstream, whose arrivals are counted."""

    def __init__(self, *, seed: int, count: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock.FakeClock(start=1000.0)
        self.count = count
        self.limit: float | None = None
        self.named_since: float | None = None
        self.answers: list[tuple[float, Entry, float | None]] = []
        self.counted: collections.deque[float] = collections.deque()
        self.worst = 0.0
        self.sent_while_free = 0
        self.entries = [Entry(self, f"e{n}") for n in range(count)]
        self.parted = False

    def arrived(self, sender: Entry) -> None:
        """Count a request; its answer comes back a little later."""
        now = self.clock.now
        delay_s = self.random.uniform(0.0, 0.05)
        self.answers.append((now + delay_s, sender, self.limit))
        knew = sender.counts_from
        settled = self.named_since is not None
        if settled and knew is not None and now >= knew:
            self.counted.append(now)
        if self.limit is None:
            self.sent_while_free += 1

    def step(self, *, burst: int, loss: float) -> None:
        """Let some time pass, with everybody asked for a burst."""
        self.clock.advance(STEP_S)
        self._deliver()
        self._gossip(loss)
        for entry in self.random.sample(self.entries, len(self.entries)):
            for _ in range(burst):
                if not entry.send():
                    break
        self._check()

    def name(self, limit: float | None) -> None:
        """Have the upstream name another limit; what it allows begins anew."""
        self.limit = limit
        self.counted.clear()
        self.named_since = None if limit is None else self.clock.now
        for entry in self.entries:
            entry.counts_from = None

    def _deliver(self) -> None:
        now = self.clock.now
        due = [row for row in self.answers if row[0] <= now]
        self.answers = [row for row in self.answers if row[0] > now]
        for _, entry, limit in sorted(due, key=lambda row: row[0]):
            stated = base.NoRateLimit()
            if limit is not None:
                stated = base.RequestsPerSecond(limit)
            entry.limits.record_limit(START, stated)
            named = limit is not None and limit == self.limit
            if named and entry.counts_from is None:
                entry.counts_from = now + HEEDED_S

    def _gossip(self, loss: float) -> None:
        for sender in self.entries:
            told = sender.tell()
            for other in self.entries:
                apart = self.parted and _half(sender) != _half(other)
                if other is sender or apart or self.random.random() < loss:
                    continue
                other.hear(told)

    def _check(self) -> None:
        """Note by how much the busiest window exceeds what is allowed."""
        while self.counted and self.counted[0] <= self.clock.now - WINDOW_S:
            self.counted.popleft()
        if self.limit is None:
            return
        allowed = 1.5 * self.limit * WINDOW_S + rate_limit.SLACK
        self.worst = max(self.worst, len(self.counted) - allowed)


def _half(entry: Entry) -> int:
    return int(entry.name[1:]) % 2


def play(seed: int) -> World:
    """Play one generated trace."""
    made = random.Random(seed)
    world = World(seed=seed, count=made.choice((2, 3, 5, 6, 8, 16, 32)))
    for _ in _warm(world):
        pass
    for _ in range(3):
        limit = made.choice((None, 0.0, 0.3, 1.0, 4.0, 12.5, 30.0))
        # Some 10 times the limit is asked for, over all entries.
        wanted = 10 * (limit or 1.0) * STEP_S / world.count
        world.parted = made.random() < 0.5
        loss = made.choice((0.0, 0.2))
        world.name(limit)
        for _ in range(90):
            if made.random() < 0.02:
                made.choice(world.entries).restart()
            # A restart excuses an entry for the time until it is in touch.
            burst = int(wanted) + (made.random() < wanted % 1.0)
            world.step(burst=max(1, burst), loss=loss)
    return world


def _warm(world: World) -> Iterator[None]:
    """Let the entries hear each other before the first limit."""
    for _ in range(20):
        world.step(burst=1, loss=0.0)
        yield
