"""What entries tell each other of the requests that they have in progress.

Each entry sends its counts by upstream to all others, as datagrams: soon
after a change, and now and then without one.  A datagram holds all counts,
so that a lost one is made up by the next.  Together they tell how full every
upstream is some tens of milliseconds ago, which the upstreams' own answers
tell each entry only now and then.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from reelscale_core import address as addresses
from reelscale_core import clock, rate_limit, short_hash
from reelscale_wire import datagram
from reelscale_wire.gen import ttypes
from twisted.internet import protocol

from .. import logs
from . import follower

LOG = logs.Logger("usage")
# A change is told this soon, in seconds; changes in between go together.
# Twice the delay between halls and a tenth of the time that a request for a
# model may wait at an entry.
TOLD_AFTER_S = 0.02
# With many entries each tells less often, so that what all receive grows
# with their number and not with its square: seconds for each other entry.
TOLD_AFTER_EACH_S = 0.006
# Without a change an entry tells its counts this often, in seconds.
SEND_INTERVAL_S = 0.5
# An entry that was silent for this long is taken to be gone, in seconds:
# three datagrams in a row were lost, or its process has ended.
SILENT_S = 1.6
# A datagram with more than this many bytes may be cut on its way.
LARGEST = 1400
KNOWN_TOLD = 40
# The hosts of other entries are told this often, in seconds: they change when
# an entry starts or ends, and with 32 entries they are half of a datagram.
KNOWN_EVERY_S = 2.0
# What entries tell beside their counts gets so much of its usual room in a
# datagram, until the whole fits.
FRACTIONS = (1.0, 0.5, 0.25, 0.0)
# An entry that has gone still counts among those that share an upstream's
# limit for this long, in seconds: it may live where nobody hears it.
REMEMBERED_S = 60.0
# No entry has more requests in progress at one upstream.
MOST_REQUESTS = 100_000

# Takes an entry's address for calls and the offset that it has told.
OffsetListener = Callable[[str, int], None]


@dataclasses.dataclass(kw_only=True)
class Peer:
    """Another entry, as its newest datagram told.

    Attributes:
      name: Its name.
      incarnation: Its start.
      number: Number of the datagram.
      counts: Requests in progress by hash of an upstream.
      heard_at: Monotonic seconds at which it came.
      address: Where it came from.
    """

    name: str
    incarnation: str
    number: int
    counts: Mapping[int, int]
    heard_at: float
    address: str


class Updates(Protocol):
    """What entries tell each other beside their counts."""

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a part of it to a datagram, 1.0 for as much as is usual."""
        ...

    def apply(self, message: ttypes.Usage) -> None:
        """Take what another entry tells."""
        ...


class Usage(protocol.DatagramProtocol):
    """Tells this entry's counts and keeps those of others.

    Attributes:
      updates: What goes into the datagrams beside the counts.
      on_gone: Hears the name of an entry that is no longer heard.
      entries: Who shares what upstreams can take.
      on_offset: Hears how far others are in the configuration.
      on_roster_offset: Hears how far others are in the list of upstreams.
      on_change: Called once the counts of others have changed.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        name: str,
        incarnation: str,
        address: str,
        peers: Iterable[str],
        counts: Callable[[], Mapping[str, int]],
        peer: str,
        offset: Callable[[], int],
        roster_offset: Callable[[], int],
    ) -> None:
        """Make it; start() begins to tell.

        Args:
          reactor: The loop.
          clock: The time.
          name: Name of this entry.
          incarnation: This start of it.
          address: "ip:port" for datagrams; entries share the port.
          peers: Addresses of some other entries; their ports do not count.
          counts: Gives this entry's requests in progress by upstream.
          peer: Address for calls of other entries to this one.
          offset: Gives the offset of the configuration in force here.
          roster_offset: Gives where this entry reads the list of upstreams
            on, 0 while it has none.
        """
        self.on_offset: OffsetListener = _ignore
        self.on_roster_offset: OffsetListener = _ignore
        self.on_change: Callable[[], None] = lambda: None
        self.on_gone: Callable[[str], None] = _ignore_name
        self.updates: tuple[Updates, ...] = ()
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        hosts = {peer.rpartition(":")[0] for peer in peers}
        self._told_first = sorted(hosts - {self._host})
        self._counts = counts
        self._peer = peer
        self._offset = offset
        self._roster_offset = roster_offset
        self._peers: dict[str, Peer] = {}
        self._heard_at_by_name: dict[str, float] = {}
        self.entries = rate_limit.Entries(name, frozenset((name,)), 1)
        self._totals: dict[int, int] = {}
        self._number = 0
        self._known_told_at = float("-inf")
        self._due: Any = None
        self._loop = follower.Timer(
            reactor=reactor, clock=clock, name="usage", function=self._tell
        )

    def start(self) -> None:
        """Listen, and tell the counts from now on."""
        self._reactor.listenUDP(self._port, self, interface=self._host)
        self._loop.start(SEND_INTERVAL_S)

    def stop(self) -> None:
        """Tell nothing more; others notice by the silence."""
        self._loop.stop()
        if self._due is not None and self._due.active():
            self._due.cancel()

    @property
    def progress(self) -> follower.Progress:
        """Return how the telling gets on."""
        return self._loop.progress

    @property
    def place(self) -> int:
        """Return the place of this entry among those that live, by name."""
        return sum(name < self._name for name in self._peers)

    def others(self, upstream: str) -> int:
        """Return the requests that other entries have at an upstream."""
        return self._totals.get(short_hash.of(upstream), 0)

    def changed(self) -> None:
        """Tell the counts soon."""
        if self._due is not None and self._due.active():
            return
        after_s = TOLD_AFTER_S + TOLD_AFTER_EACH_S * len(self._peers)
        self._due = self._reactor.callLater(after_s, self._tell)

    def datagramReceived(  # noqa: N802
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        """Take what another entry tells."""
        told = datagram.decode(data, ttypes.Usage)
        if told is None or not _whole(told) or told.name == self._name:
            return
        old = self._peers.get(told.name)
        if old is not None and old.incarnation == told.incarnation:
            if told.number <= old.number:
                return
        if old is None:
            LOG.info("An entry is known.", name=told.name, address=address[0])
        self._peers[told.name] = Peer(
            name=told.name,
            incarnation=told.incarnation,
            number=told.number,
            counts=told.counts,
            heard_at=self._clock.monotonic(),
            address=address[0],
        )
        self._heard_at_by_name[told.name] = self._clock.monotonic()
        self._count_entries()
        for item in self.updates:
            item.apply(told)
        self.on_offset(told.peer, told.offset)
        self.on_roster_offset(told.peer, told.roster_offset)
        self._learn(told.known)
        self._sum_up()

    def _learn(self, hosts: Iterable[str]) -> None:
        """Tell entries that others know of, too."""
        known = {peer.address for peer in self._peers.values()}
        new = set(hosts) - known - {self._host} - set(self._told_first)
        for host in sorted(new):
            self._send(host, self._message())

    def _tell(self) -> None:
        """Send the counts to all that are known."""
        self._forget_silent()
        data = self._message()
        hosts = {peer.address for peer in self._peers.values()}
        for host in hosts.union(self._told_first):
            self._send(host, data)

    def _message(self) -> bytes:
        """Return the datagram, with as much news as fits."""
        self._number += 1
        told = self._counts_told()
        for fraction in FRACTIONS:
            for item in self.updates:
                item.add_to(told, fraction)
            data = datagram.encode(told)
            if len(data) <= LARGEST:
                break
        return data

    def _counts_told(self) -> ttypes.Usage:
        counts = {short_hash.of(k): n for k, n in self._counts().items() if n}
        return ttypes.Usage(
            name=self._name,
            incarnation=self._incarnation,
            number=self._number,
            counts=counts,
            known=self._known_told(),
            offset=self._offset(),
            peer=self._peer,
            roster_offset=self._roster_offset(),
        )

    def _known_told(self) -> list[str]:
        """Return the hosts to tell in this datagram, as a rule none."""
        now = self._clock.monotonic()
        if now - self._known_told_at < KNOWN_EVERY_S:
            return []
        self._known_told_at = now
        known = sorted({peer.address for peer in self._peers.values()})
        return known[:KNOWN_TOLD]

    def _send(self, host: str, data: bytes) -> None:
        if self.transport is None or len(data) > LARGEST:
            return
        try:
            self.transport.write(data, (host, self._port))
        except OSError as failed:
            # The next datagram makes up for it; a cut shows as silence.
            LOG.warning("Cannot tell.", host=host, reason=repr(failed))

    def _forget_silent(self) -> None:
        now = self._clock.monotonic()
        for peer in list(self._peers.values()):
            if now - peer.heard_at > SILENT_S:
                del self._peers[peer.name]
                self.on_gone(peer.name)
                LOG.info(
                    "An entry is silent; its requests no longer count.",
                    name=peer.name,
                    requests=sum(peer.counts.values()),
                )
                self._sum_up()
        self._count_entries()

    def _count_entries(self) -> None:
        """Note who is heard, and how many were known lately."""
        now = self._clock.monotonic()
        for name, heard_at in list(self._heard_at_by_name.items()):
            if now - heard_at > REMEMBERED_S:
                del self._heard_at_by_name[name]
        heard = frozenset((self._name, *self._peers))
        known = 1 + max(len(self._heard_at_by_name), len(self._told_first))
        if (heard, known) != self.entries[1:]:
            self.entries = rate_limit.Entries(self._name, heard, known)

    def _sum_up(self) -> None:
        totals: dict[int, int] = {}
        for peer in self._peers.values():
            for key, count in peer.counts.items():
                totals[key] = totals.get(key, 0) + count
        self._totals = totals
        self.on_change()


def _ignore(_peer: str, _offset: int) -> None:
    """Hear an offset and do nothing, until somebody listens."""


def _ignore_name(_name: str) -> None:
    """Hear a name and do nothing, until somebody listens."""


def _whole(told: ttypes.Usage) -> bool:
    """Tell whether a datagram holds all that it should, and makes sense."""
    fields = (told.name, told.incarnation, told.number, told.counts)
    more = (told.known, told.offset, told.peer, told.roster_offset)
    if None in (*fields, *more):
        return False
    hosts = all(addresses.is_host(host) for host in told.known)
    counts = all(0 <= n <= MOST_REQUESTS for n in told.counts.values())
    return hosts and counts and addresses.is_address(told.peer)
