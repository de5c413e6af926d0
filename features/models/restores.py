"""Model of entries that follow a store which comes back from older copies.

Guards against an entry that goes back to an older version, passes new versions
over, or sends requests again to an upstream that it knows to be leaving.  The
entries run the real controllers over a store in this process.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import types
from typing import Any, NamedTuple

from reelscale_core import clock, error
from reelscale_daemon import metrics
from reelscale_daemon.controllers import config as configs
from reelscale_daemon.controllers import directory, peer_lists
from reelscale_platform import config as sources
from reelscale_platform import roster
from reelscale_platform import store as stores
from reelscale_wire import link
from twisted.internet import defer, task

from features import platform_directory
from standins import partition
from standins import store as standin

from .chooser import Chooser

ENTRIES = ("f0", "f1", "f2")
UPSTREAMS = ("w0", "w1", "w2")
STEP_S = 0.1
HEARTBEAT_S = 1.2
PEER_LEAD_S = 0.3
# Until what was lost is written again, in seconds; None if it never is.
REWRITE_S = (0.0, 0.6, 2.0, None)
# In this time after all faults every entry has what was written last.
SETTLE_S = 6.0
# Reads a second by one entry, of which a following entry needs about five.
MAX_READS_PER_S = 20


class RestoreError(AssertionError):
    """An entry broke an invariant."""


class Rules(NamedTuple):
    """The rules as built, or without one of them.

    Attributes:
      named: Whether the store's answers name its incarnation.
    """

    named: bool = True


RULES = {
    "as built": Rules,
    "without the incarnation": lambda: Rules(named=False),
}


class Log:
    """The store: partitions, which may be restored, and an incarnation."""

    def __init__(self, reactor: task.Clock) -> None:
        self.parts = {
            sources.TOPIC: partition.Partition(),
            roster.TOPIC: partition.Partition(),
        }
        self.incarnation = 1
        self.down = False
        self.reads = 0
        self._reactor = reactor

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with a key."""
        self.add(topic, standin.keyed(key, value))

    def add(self, topic: str, record: bytes) -> None:
        """Append a record."""
        now = self._reactor.seconds()
        self.parts[topic].add(record, has_key=True, at=now)

    def restore(self, behind_s: float, rewrite_s: float | None) -> None:
        """Come back from a copy that is so old."""
        at = self._reactor.seconds() - behind_s
        for topic, part in self.parts.items():
            lost = part.newest_after(at)
            self.parts[topic] = part.as_of(at, has_key=True)
            if rewrite_s is not None:
                self._reactor.callLater(rewrite_s, self._rewrite, topic, lost)
        self.incarnation += 1

    def _rewrite(self, topic: str, lost: list[bytes]) -> None:
        for record in lost:
            self.add(topic, record)


class View:
    """The store as one entry reaches it."""

    def __init__(self, log: Log, reactor: task.Clock, rules: Rules) -> None:
        self.cut = False
        self._log = log
        self._reactor = reactor
        self._rules = rules

    @property
    def _incarnation(self) -> int:
        return self._log.incarnation if self._rules.named else 0

    def _part(self, topic: str) -> partition.Partition:
        self._log.reads += 1
        if self.cut or self._log.down:
            raise error.CodedError("log-down", step="read")
        return self._log.parts[topic]

    async def newest(self, topic: str, part: int = 0) -> stores.Newest:
        """Return the newest record of each key."""
        found = self._part(topic)
        rows = [
            (offset, stores.Keyed(key, value))
            for key, (offset, value) in found.newest.items()
        ]
        rows.sort(key=lambda row: row[0])
        return stores.Newest(rows, found.end, self._incarnation)

    async def read(
        self, topic: str, part: int, from_offset: int, *, wait_s: float
    ) -> stores.Records:
        """Return records from an offset on, waiting for the first."""
        until = self._reactor.seconds() + wait_s
        while True:
            found = self._part(topic)
            if from_offset > found.end:
                raise stores.GoneError(found.first)
            rows = found.between(from_offset, found.end)
            if rows or self._reactor.seconds() >= until:
                break
            await task.deferLater(self._reactor, STEP_S)
        return stores.Records(found.end, found.first, rows, self._incarnation)


class Links:
    """Calls between entries, by name; a missing peer does not answer."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def to(self, peer: str) -> "Peer":
        """Return the connection to a peer."""
        return Peer(self._world.entries[peer])


class Peer(NamedTuple):
    """A connection to one entry."""

    entry: "Entry"

    async def call(self, name: str, request: Any, *, timeout_s: float) -> Any:
        """Call the entry; LinkError if it is isolated."""
        if self.entry.isolated:
            raise link.LinkError(
                peer=self.entry.name, step=name, written=False
            )
        if name == "state":
            return await self.entry.config.answer(
                request.have_offset, request.have_version
            )
        return self.entry.directory.answer(request.have_offset)


class Entry:
    """One entry, from its start on."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.isolated = False
        self.version = 0
        self.left: set[str] = set()
        self.view = View(world.log, world.reactor, world.rules)
        self._world = world
        links = Links(world)
        peers = tuple(other for other in ENTRIES if other != name)
        self.config = configs.Config(
            reactor=world.reactor,
            clock=world.clock,
            platform=sources.Source(store=self.view),
            links=links,
            peers=peers,
            snapshot_every=1 << 60,
            peer_lead_s=PEER_LEAD_S,
        )
        self.directory = _directory(world, self, links, peers)
        self.config.listen(lambda state: self.check_version(state.version))
        defer.ensureDeferred(self.config.run())
        defer.ensureDeferred(self.directory.run())

    def stop(self) -> None:
        """End the entry."""
        self.config.stop()
        self.directory.stop()

    def check_version(self, version: int) -> None:
        """Check that the version in force has not gone back."""
        if version < self.version:
            found = f"{self.name}: {self.version}, then {version}"
            self._world.broken.append(f"version went back at {found}")
        self.version = version

    def check_leaving(self) -> None:
        """Check that no upstream is used after it said that it leaves."""
        for name, view in self.directory.views_by_name.items():
            used = not view.gone and not view.upstream.leaving
            if used and name in self.left:
                self._world.broken.append(f"{self.name} uses {name} again")
            if view.upstream.leaving:
                self.left.add(name)


class World:
    """A store, its writers, and entries that follow it."""

    def __init__(self, *, rules: Rules) -> None:
        self.rules = rules
        self.reactor = task.Clock()
        self.clock = clock.FakeClock()
        self.log = Log(self.reactor)
        self.broken: list[str] = []
        self.version = 0
        self.sequence = 0
        self.leaving: set[str] = set()
        self.entries: dict[str, Entry] = {}
        self.write_version()
        self.heartbeats()
        self.entries.update({n: Entry(self, n) for n in ENTRIES})
        self.pass_time(1.0)

    def act(self, chooser: Chooser) -> None:
        """Carry out one random action, and let some time pass."""
        actions = [
            *[self.pause] * 4,
            *[self.write_version] * 4,
            self.outage,
            self.restart,
            self.cut,
            self.isolate,
            self.leave,
        ]
        action = chooser.pick([*actions, self.restore, self.restore])
        if action in (self.restart, self.cut, self.isolate):
            action(self.entries[chooser.pick(ENTRIES)])
        elif action == self.restore:
            self.restore(chooser)
        elif action == self.leave:
            self.leave(chooser.pick(UPSTREAMS))
        else:
            action()
        self.pass_time(chooser.pick((0.1, 0.3, 1.0)))
        self.raise_broken()

    def pause(self) -> None:
        """Do nothing for a while."""
        self.pass_time(1.0)

    def write_version(self) -> None:
        """Have the operator write the next version."""
        if self.log.down:
            return
        self.version += 3
        data = {"version": self.version, "routes": [], "services": []}
        value = json.dumps(data).encode()
        self.log.write(sources.TOPIC, sources.KEY, value)

    def restore(self, chooser: Chooser) -> None:
        """Restore the store, in an outage if there is one."""
        behind_s = chooser.pick((0.5, 2.0, 5.0))
        self.log.restore(behind_s, chooser.pick(REWRITE_S))

    def outage(self) -> None:
        """Take the store down, or up again."""
        self.log.down = not self.log.down

    def restart(self, entry: Entry) -> None:
        """Kill an entry and start it anew."""
        entry.stop()
        self.entries[entry.name] = Entry(self, entry.name)

    def cut(self, entry: Entry) -> None:
        """Cut an entry off from the store, or join it again."""
        entry.view.cut = not entry.view.cut

    def isolate(self, entry: Entry) -> None:
        """Cut an entry off from its peers, or join it again."""
        entry.isolated = not entry.isolated

    def leave(self, upstream: str) -> None:
        """Have an upstream announce that it leaves."""
        if self.log.down or len(self.leaving) == len(UPSTREAMS) - 1:
            return
        self.leaving.add(upstream)
        self.announce(upstream)

    def announce(self, upstream: str) -> None:
        """Write an upstream's announcement."""
        self.sequence += 1
        entry = platform_directory.entry(
            addr=f"10.0.0.{1 + UPSTREAMS.index(upstream)}:80",
            state="draining" if upstream in self.leaving else "ready",
            seq=self.sequence,
        )
        self.log.write(roster.TOPIC, upstream, entry)

    def heartbeats(self) -> None:
        """Have all upstreams announce themselves, now and ever again."""
        if not self.log.down:
            for name in UPSTREAMS:
                self.announce(name)
        self.reactor.callLater(HEARTBEAT_S, self.heartbeats)

    def pass_time(self, seconds: float) -> None:
        """Advance the clocks; entries send each other what they have."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.reactor.advance(STEP_S)
            self.exchange()
            for entry in self.entries.values():
                entry.check_leaving()

    def exchange(self) -> None:
        """Tell every entry what its peers have."""
        joined = [e for e in self.entries.values() if not e.isolated]
        for entry in joined:
            for peer in joined:
                if peer is not entry:
                    _tell(entry, peer)

    def check(self) -> None:
        """Check that all entries agree once faults have ceased."""
        self.log.down = False
        for entry in self.entries.values():
            entry.view.cut = entry.isolated = False
        self.write_version()
        self.pass_time(SETTLE_S)
        self.raise_broken()
        for entry in self.entries.values():
            if entry.config.state.version != self.version:
                raise RestoreError(
                    f"{entry.name} is at {entry.config.state.version} of "
                    f"{self.version}"
                )
            listed = set(entry.directory.views_by_name)
            if listed != set(UPSTREAMS):
                raise RestoreError(f"{entry.name} lists {listed}")
        self.check_reads()

    def check_reads(self) -> None:
        """Check that entries do not read in a loop without a pause."""
        before = self.log.reads
        self.pass_time(SETTLE_S)
        rate = (self.log.reads - before) / SETTLE_S / len(ENTRIES)
        if rate > MAX_READS_PER_S:
            raise RestoreError(f"{rate} reads a second by an entry")

    def raise_broken(self) -> None:
        """Raise an error if an invariant was broken."""
        if self.broken:
            raise RestoreError(self.broken[0])


def _tell(entry: Entry, peer: Entry) -> None:
    """Tell an entry which configuration and list a peer has."""
    state = peer.config.state
    entry.config.record_peer_offset(peer.name, state.offset, state.version)
    entry.directory.on_peer_offset(peer.name, peer.directory.update_offset)


def _directory(
    world: World, entry: Entry, links: Links, peers: tuple[str, ...]
) -> directory.Directory:
    """Return the list of upstreams of an entry."""
    return directory.Directory(
        reactor=world.reactor,
        clock=world.clock,
        roster=roster.Roster(store=entry.view),
        connections=types.SimpleNamespace(close_idle=lambda _: None),
        usage=platform_directory.make_usage(world.reactor, world.clock),
        lists=peer_lists.PeerLists(links=links, peers=lambda: peers),
        links=None,
        agent_port=0,
        peers=tuple,
        freshness=platform_directory.make_freshness(
            world.reactor, world.clock, entry.name
        ),
        name=entry.name,
        metrics=metrics.Metrics(),
    )
