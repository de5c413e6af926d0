"""Model of entries whose reads of a log wait on connections that go silent.

Guards against an entry that learns of a change late because others, which it
relies on, are gone.  The entries run the real controller over a log in this
process, each with a reactor of its own, which stands still while it is frozen.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from reelscale_core import clock, confirmation, error
from reelscale_daemon.controllers import config as configs
from reelscale_daemon.controllers import freshness, usage
from reelscale_platform import config as sources
from reelscale_platform import store as stores
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from standins import partition
from standins import store as standin

from .chooser import Chooser

STEP_S = 0.05
# Entries of a trace.
COUNT = 5
PEER_LEAD_S = 0.3
# From the end of an impairment until an entry is bound again, in seconds.
CONTACT_S = 3.0
# From an acknowledgement until a version is in force, in seconds.
APPLY_S = 2.0
# Waits of two entries, and of all others, that only their names decide.
NAMED_WAIT_S = 2.2
OTHER_WAIT_S = 12.0
PEER_TIMEOUT_S = 1.6


class LateError(AssertionError):
    """A version was not in force in time."""


class NamedReads:
    """Reads whose wait only names decide, and that are never given up."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry

    def wait_s(self) -> float:
        """Return how long the next read waits at the store."""
        is_first = self._entry.place() < freshness.READERS
        return NAMED_WAIT_S if is_first else OTHER_WAIT_S

    async def run(self, read: Any) -> Any:
        """Await a read."""
        return await read

    def record_answer(self, *, asked_at: float, wait_s: float) -> None:
        """Record nothing."""


class Rules(NamedTuple):
    """The rules as built, or another way.

    Attributes:
      reads: Returns how an entry reads; the rules as built if None.
    """

    reads: Callable[["Entry"], freshness.Reads] | None = None


RULES = {
    "as built": Rules,
    "without confirmations": lambda: Rules(reads=NamedReads),
}


class Log:
    """The log, its writer, and the calls to it."""

    def __init__(self) -> None:
        self.part = partition.Partition()
        self.calls = 0
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []

    def write_version(self, at: float) -> None:
        """Append the next version."""
        self.version += 1
        data = {"version": self.version, "routes": [], "services": []}
        value = json.dumps(data).encode()
        record = standin.keyed(sources.KEY, value)
        self.part.add(record, has_key=True, at=at)
        self.acknowledged.append((at, self.version))

    def due(self, before: float) -> int:
        """Return the newest version that was acknowledged before a time."""
        rows = [number for at, number in self.acknowledged if at <= before]
        return rows[-1] if rows else 0


class Connection:
    """One entry's connections to the log, all of which may go silent."""

    def __init__(self, log: Log, reactor: task.Clock) -> None:
        self.is_cut = False
        self.silences = 0
        self._log = log
        self._reactor = reactor

    def go_silent(self) -> None:
        """Silence what is open; what is opened later works."""
        self.silences += 1

    async def newest(self, topic: str, part: int = 0) -> stores.Newest:
        """Return the newest version."""
        await self._answer(self.silences)
        found = self._log.part.newest
        rows = [
            (offset, stores.Keyed(key, value))
            for key, (offset, value) in found.items()
        ]
        return stores.Newest(rows, self._log.part.end, 1)

    async def read(
        self, topic: str, part: int, from_offset: int, *, wait_s: float
    ) -> stores.Records:
        """Return records from an offset on, as the store's client does."""
        opened = self.silences
        self._log.calls += 1
        if wait_s and not await self._wait(opened, from_offset, wait_s):
            self._log.calls += 1
            opened = self.silences
        await self._answer(opened)
        part_ = self._log.part
        rows = part_.between(from_offset, part_.end)
        return stores.Records(part_.end, part_.first, rows, 1)

    async def _wait(self, opened: int, at: int, wait_s: float) -> bool:
        """Wait for a record; return whether the log has answered."""
        end = self._reactor.seconds() + wait_s
        try:
            while True:
                heard = opened == self.silences and not self.is_cut
                over = self._reactor.seconds() >= end
                if heard and (over or self._log.part.end > at):
                    return True
                if self._reactor.seconds() >= end + stores.WAITED_TIMEOUT_S:
                    return False
                await task.deferLater(self._reactor, STEP_S)
        except defer.CancelledError:
            return False

    async def _answer(self, opened: int) -> None:
        """Return at once, or fail after the time-out of a call."""
        if opened == self.silences and not self.is_cut:
            return
        await task.deferLater(self._reactor, stores.TIMEOUT_S)
        raise error.CodedError("log-down", step="read")


class Links:
    """Calls between entries, by name."""

    def __init__(self, world: "World", caller: "Entry") -> None:
        self._world = world
        self._caller = caller

    def to(self, peer: str) -> "Peer":
        """Return the connection to a peer."""
        return Peer(self._caller, self._world.entries.get(peer))


class Peer(NamedTuple):
    """A connection from one entry to another."""

    caller: "Entry"
    entry: "Entry | None"

    async def call(self, name: str, request: Any, *, timeout_s: float) -> Any:
        """Call the entry; LinkError after the time-out if it is away."""
        deaf = self.entry is None or self.entry.is_deaf
        if deaf or self.caller.is_isolated:
            await task.deferLater(self.caller.reactor, timeout_s)
            raise link.LinkError(peer="", step=name, written=True)
        return await self.entry.config.answer(
            request.have_offset, request.have_version
        )


class Entry:
    """One entry, from its start on."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.impaired_at = world.now
        self.is_frozen = False
        self.is_isolated = False
        self.is_gone = False
        self.reactor = task.Clock()
        self.reactor.advance(world.now)
        self.connection = Connection(world.log, self.reactor)
        self._heard_at: dict[str, float] = {}
        self._world = world
        self.freshness = freshness.Freshness(
            reactor=self.reactor,
            clock=world.clock,
            name=name,
            source="configuration",
            reached=self._reached,
        )
        reads = world.rules.reads
        self.config = configs.Config(
            reactor=self.reactor,
            clock=world.clock,
            platform=sources.Source(store=self.connection),
            links=Links(world, self),
            peers=(),
            snapshot_every=1 << 60,
            peer_lead_s=PEER_LEAD_S,
            reads=reads(self) if reads else self.freshness,
        )
        self.freshness.on_answer = self._tell_soon
        self._told_at = world.now
        defer.ensureDeferred(self.config.run())

    def _reached(self) -> confirmation.Reached:
        state = self.config.state
        return confirmation.Reached(state.offset, state.version)

    @property
    def is_deaf(self) -> bool:
        """Whether it neither hears its peers nor answers them."""
        return self.is_frozen or self.is_isolated or self.is_gone

    def place(self) -> int:
        """Return its position by name among the entries heard lately."""
        since = self._world.now - PEER_TIMEOUT_S
        return sum(
            name < self.name and at > since
            for name, at in self._heard_at.items()
        )

    def hear(self, message: ttypes.Usage) -> None:
        """Take a datagram of a peer."""
        self._heard_at[message.name] = self._world.now
        self.freshness.record_peer(
            message.name,
            confirmation.Reached(message.offset, message.version),
            message.log_age_ms,
        )
        self.config.record_peer_offset(
            message.name, message.offset, message.version
        )

    def tell_if_due(self) -> None:
        """Send the datagram that goes out without a change."""
        if self._world.now - self._told_at >= usage.SEND_INTERVAL_S:
            self._tell()

    def _tell_soon(self) -> None:
        peers = len(self._world.entries) - 1
        delay_s = usage.SEND_DELAY_S + usage.SEND_DELAY_PER_PEER_S * peers
        self.reactor.callLater(delay_s, self._tell)

    def _tell(self) -> None:
        self._told_at = self._world.now
        state = self.config.state
        message = ttypes.Usage(
            name=self.name,
            offset=state.offset,
            version=state.version,
            log_age_ms=self.freshness.own_age_ms,
        )
        self._world.deliver(self, message)

    def in_touch(self) -> bool:
        """Return whether a bound on time holds for it now."""
        impaired = self.is_frozen or self.connection.is_cut or self.is_gone
        return not impaired and self._world.now >= self.impaired_at + CONTACT_S


class World:
    """A log, and entries that follow it."""

    def __init__(
        self, *, rules: Rules, count: int = COUNT, checks: bool = True
    ) -> None:
        """Start entries that know nothing of each other.

        Args:
          rules: How they read.
          count: Their number.
          checks: Whether a late version is an error.
        """
        # The controllers draw jitter from it.
        random.seed(1)
        self.rules = rules
        self._checks = checks
        self.clock = clock.FakeClock()
        self.log = Log()
        self.log.write_version(self.now)
        self.lost_share = 0.0
        # Which datagrams are lost is no part of a trace.
        self._source = random.Random(1)
        self.entries: dict[str, Entry] = {}
        for number in range(count):
            name = f"f{number:03}"
            self.entries[name] = Entry(self, name)
        self.pass_time(1.0)

    @property
    def now(self) -> float:
        """The time in seconds."""
        return self.clock.monotonic()

    def act(self, chooser: Chooser) -> None:
        """Carry out one random action, and let some time pass."""
        act = chooser.pick(
            [
                *[self.write_version] * 5,
                *[self.silence] * 3,
                self.lose_datagrams,
                self.restart,
                self.freeze,
                self.cut,
                self.isolate,
                self.take_first_away,
                self.take_first_away,
            ]
        )
        if act in (self.restart, self.freeze, self.cut, self.isolate):
            act(self.entries[chooser.pick(sorted(self.entries))])
        else:
            act()
        self.pass_time(chooser.pick((0.05, 0.3, 1.0, 2.5, 4.0)))

    def write_version(self) -> None:
        """Have the operator write the next version."""
        self.log.write_version(self.now)

    def silence(self) -> None:
        """Silence the connections of all entries to the log."""
        for entry in self.entries.values():
            entry.connection.go_silent()
            entry.impaired_at = self.now

    def lose_datagrams(self) -> None:
        """Lose a share of all datagrams, or none again."""
        self.lost_share = 0.0 if self.lost_share else 0.3

    def restart(self, entry: Entry) -> None:
        """Kill an entry and start it anew."""
        self.remove(entry)
        self.entries[entry.name] = Entry(self, entry.name)

    def remove(self, entry: Entry) -> None:
        """Kill an entry for good."""
        entry.is_gone = True
        entry.config.stop()
        del self.entries[entry.name]

    def freeze(self, entry: Entry) -> None:
        """Freeze an entry, or let it go on."""
        entry.is_frozen = not entry.is_frozen
        entry.impaired_at = self.now
        if not entry.is_frozen:
            missed_s = self.now - entry.reactor.seconds()
            entry.reactor.advance(missed_s)

    def cut(self, entry: Entry) -> None:
        """Cut an entry off from the log, or join it again."""
        entry.connection.is_cut = not entry.connection.is_cut
        entry.connection.go_silent()
        entry.impaired_at = self.now

    def isolate(self, entry: Entry) -> None:
        """Cut an entry off from its peers, or join it again."""
        entry.is_isolated = not entry.is_isolated

    def take_first_away(self) -> None:
        """Cut the first entries off from the log, where they are not yet."""
        for name in sorted(self.entries)[: freshness.READERS]:
            if not self.entries[name].connection.is_cut:
                self.cut(self.entries[name])

    def deliver(self, sender: Entry, message: ttypes.Usage) -> None:
        """Deliver a datagram to all that hear it."""
        if sender.is_deaf:
            return
        for entry in list(self.entries.values()):
            lost = self.lost_share and self._source.random() < self.lost_share
            if entry is not sender and not entry.is_deaf and not lost:
                entry.hear(message)

    def pass_time(self, seconds: float) -> None:
        """Advance the clocks, and check every entry that is in touch."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for entry in list(self.entries.values()):
                if not entry.is_frozen:
                    entry.reactor.advance(STEP_S)
                    entry.tell_if_due()
            if self._checks:
                self._check()

    def _check(self) -> None:
        # What happens at the bound itself takes a step.
        due = self.log.due(self.now - APPLY_S - STEP_S)
        for entry in self.entries.values():
            if entry.in_touch() and entry.config.state.version < due:
                raise LateError(
                    f"{entry.name} is at {entry.config.state.version} of "
                    f"{due} at {self.now:.2f}"
                )
