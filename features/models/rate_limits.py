"""Simulates entries that share the rate limit of one upstream.

Runs the real controllers of several entries over simulated datagrams, with
message loss, partitions, restarts and an offered load far above the limit.
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
# Window over which the limit is checked.
WINDOW_S = 4.0
# Delay after a response within which an entry must apply its limit.
APPLY_WITHIN_S = 0.5
UNREACHABLE_AFTER_S = 1.6
KNOWN_FOR_S = 60.0


class Entry:
    """One entry with its view of the limit."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.restart()

    def restart(self) -> None:
        """Restart with empty memory."""
        self.received_at: dict[str, float] = {}
        self.checked_from: float | None = None
        self.limits = rate_limits.RateLimits(
            reactor=task.Clock(),
            clock=self.world.clock,
            entries=self._entries,
            on_update=lambda: None,
            on_free=lambda: None,
        )

    def _entries(self) -> rate_limit.Entries:
        now = self.world.clock.now
        reachable = {
            n
            for n, at in self.received_at.items()
            if now - at <= UNREACHABLE_AFTER_S
        }
        known = [
            at for at in self.received_at.values() if at > now - KNOWN_FOR_S
        ]
        # Each process is configured with some peers.
        count = max(len(known), min(3, self.world.count - 1)) + 1
        return rate_limit.Entries(
            self.name, frozenset(reachable | {self.name}), count
        )

    def usage(self) -> ttypes.Usage:
        """Return its usage datagram."""
        message = ttypes.Usage(name=self.name)
        self.limits.add_to(message, 1.0)
        return message

    def receive(self, message: ttypes.Usage) -> None:
        """Process a datagram of another entry."""
        self.received_at[message.name] = self.world.clock.now
        self.limits.apply(message)

    def send(self) -> bool:
        """Send a request if allowed; the response states the limit."""
        if self.limits.blocks(START):
            return False
        self.limits.record_sent(START)
        self.world.arrived(self)
        return True


class World:
    """The entries and the upstream, of which arrivals are counted."""

    def __init__(self, *, seed: int, count: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock.FakeClock(start=1000.0)
        self.count = count
        self.limit: float | None = None
        self.stated_since: float | None = None
        self.answers: list[tuple[float, Entry, float | None]] = []
        self.counted: collections.deque[float] = collections.deque()
        self.max_excess = 0.0
        self.sent_without_limit = 0
        self.entries = [Entry(self, f"e{n}") for n in range(count)]
        self.partitioned = False

    def arrived(self, sender: Entry) -> None:
        """Count a request; its response arrives with a delay."""
        now = self.clock.now
        delay_s = self.random.uniform(0.0, 0.05)
        self.answers.append((now + delay_s, sender, self.limit))
        checked_from = sender.checked_from
        settled = self.stated_since is not None
        if settled and checked_from is not None and now >= checked_from:
            self.counted.append(now)
        if self.limit is None:
            self.sent_without_limit += 1

    def step(self, *, burst: int, loss: float) -> None:
        """Run one time step in which each entry receives a burst."""
        self.clock.advance(STEP_S)
        self._deliver()
        self._gossip(loss)
        for entry in self.random.sample(self.entries, len(self.entries)):
            for _ in range(burst):
                if not entry.send():
                    break
        self._check()

    def set_limit(self, limit: float | None) -> None:
        """Change the limit of the upstream and restart the check."""
        self.limit = limit
        self.counted.clear()
        self.stated_since = None if limit is None else self.clock.now
        for entry in self.entries:
            entry.checked_from = None

    def _deliver(self) -> None:
        now = self.clock.now
        due = [row for row in self.answers if row[0] <= now]
        self.answers = [row for row in self.answers if row[0] > now]
        for _, entry, limit in sorted(due, key=lambda row: row[0]):
            stated = base.NoRateLimit()
            if limit is not None:
                stated = base.RequestsPerSecond(limit)
            entry.limits.record_limit(START, stated)
            current = limit is not None and limit == self.limit
            if current and entry.checked_from is None:
                entry.checked_from = now + APPLY_WITHIN_S

    def _gossip(self, loss: float) -> None:
        for sender in self.entries:
            message = sender.usage()
            for other in self.entries:
                separated = self.partitioned and _half(sender) != _half(other)
                if other is sender or separated or self.random.random() < loss:
                    continue
                other.receive(message)

    def _check(self) -> None:
        """Record by how much the busiest window exceeds the bound."""
        while self.counted and self.counted[0] <= self.clock.now - WINDOW_S:
            self.counted.popleft()
        if self.limit is None:
            return
        allowed = 1.5 * self.limit * WINDOW_S + rate_limit.SLACK
        self.max_excess = max(self.max_excess, len(self.counted) - allowed)


def _half(entry: Entry) -> int:
    return int(entry.name[1:]) % 2


def play(seed: int) -> World:
    """Run one generated trace."""
    source = random.Random(seed)
    world = World(seed=seed, count=source.choice((2, 3, 5, 6, 8, 16, 32)))
    for _ in _connect(world):
        pass
    for _ in range(3):
        limit = source.choice((None, 0.0, 0.3, 1.0, 4.0, 12.5, 30.0))
        # The offered load of all entries is 10 times the limit.
        offered = 10 * (limit or 1.0) * STEP_S / world.count
        world.partitioned = source.random() < 0.5
        loss = source.choice((0.0, 0.2))
        world.set_limit(limit)
        for _ in range(90):
            if source.random() < 0.02:
                source.choice(world.entries).restart()
            # A restarted entry is not checked until it receives the limit.
            burst = int(offered) + (source.random() < offered % 1.0)
            world.step(burst=max(1, burst), loss=loss)
    return world


def _connect(world: World) -> Iterator[None]:
    """Let the entries exchange datagrams before the first limit."""
    for _ in range(20):
        world.step(burst=1, loss=0.0)
        yield
