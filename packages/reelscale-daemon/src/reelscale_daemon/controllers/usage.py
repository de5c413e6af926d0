"""Exchanges the counts of requests in progress between entries.

Each entry sends its counts by upstream to all others as datagrams, shortly
after a change and periodically.  A datagram is a complete snapshot, so a lost
one is repaired by the next.  The counts are some tens of milliseconds old,
fresher than the loads reported in upstreams' answers.
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
# Delay in seconds before a change is sent, which batches further changes:
# twice the delay between halls, and a tenth of the time that a request for a
# model may wait at an entry.
SEND_DELAY_S = 0.02
# Additional delay in seconds for each other entry, so that the total traffic
# grows with the number of entries and not with its square.
SEND_DELAY_PER_PEER_S = 0.006
# Interval in seconds between datagrams without a change.
SEND_INTERVAL_S = 0.5
# Seconds without a datagram after which an entry is removed: three in a row
# were lost, or its process has ended.
PEER_TIMEOUT_S = 1.6
# Larger datagrams may be fragmented.
MAX_DATAGRAM_BYTES = 1400
MAX_HOSTS = 40
# Interval in seconds between datagrams that include the hosts of other
# entries, which with 32 entries fill half a datagram.
HOSTS_INTERVAL_S = 2.0
# Fractions of the updates beside the counts, tried until a datagram fits.
FRACTIONS = (1.0, 0.5, 0.25, 0.0)
# Seconds for which a removed entry still counts among those that share a rate
# limit, as it may be running behind a partition.
SHARE_RETENTION_S = 60.0
# Larger counts in a datagram are invalid.
MAX_REQUESTS = 100_000

# Called with an entry's address for calls and its reported offset.
OffsetListener = Callable[[str, int], None]
ConfigurationListener = Callable[[str, int, int], None]


@dataclasses.dataclass(kw_only=True)
class Peer:
    """Another entry, by its newest datagram.

    Attributes:
      name: Its name.
      incarnation: Its incarnation.
      number: Sequence number of the datagram.
      counts: Requests in progress by hash of an upstream.
      received_at: Monotonic seconds at which it was received.
      address: Its source address.
      peer: Its address for calls.
    """

    name: str
    incarnation: str
    number: int
    counts: Mapping[int, int]
    received_at: float
    address: str
    peer: str


class Updates(Protocol):
    """A source of further data in the datagrams, beside the counts."""

    def add_to(self, message: ttypes.Usage, fraction: float) -> None:
        """Add a fraction of the data to a datagram, 1.0 for the usual size."""
        ...

    def apply(self, message: ttypes.Usage) -> None:
        """Apply a datagram of another entry."""
        ...


class Usage(protocol.DatagramProtocol):
    """Sends the counts of this entry and tracks those of others.

    Attributes:
      updates: Sources of further data in the datagrams.
      on_removed: Functions called with the name of an entry that timed out.
      entries: The entries that share the rate limits of upstreams.
      on_configuration: Called with another entry's configuration offset and
        version.
      on_roster_offset: Called with another entry's offset in the list of
        upstreams.
      on_change: Called after the counts of others have changed.
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
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        """Initialize without peers; start() opens the socket.

        Args:
          reactor: The reactor.
          clock: The clock.
          name: Name of this entry.
          incarnation: Its incarnation.
          address: "ip:port" for datagrams; entries share the port.
          peers: Addresses of some other entries; their ports are ignored.
          counts: Returns this entry's requests in progress by upstream.
          peer: Address for calls of other entries to this one.
          offset: Returns the offset of the configuration in force here.
          roster_offset: Returns the offset from which this entry continues
            to read the list of upstreams, 0 while it has none.
          version: Returns the version of the configuration in force here, 0
            where configurations have none.
        """
        self.on_configuration: ConfigurationListener = _ignore
        self.on_roster_offset: OffsetListener = _ignore
        self.on_change: Callable[[], None] = lambda: None
        self.on_removed: list[Callable[[str], None]] = []
        self.updates: tuple[Updates, ...] = ()
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        hosts = {peer.rpartition(":")[0] for peer in peers}
        self._seed_hosts = sorted(hosts - {self._host})
        self._counts = counts
        self._peer = peer
        self._offset = offset
        self._roster_offset = roster_offset
        self._version = version
        self._peers: dict[str, Peer] = {}
        self._received_at_by_name: dict[str, float] = {}
        self.entries = rate_limit.Entries(name, frozenset((name,)), 1)
        self._totals: dict[int, int] = {}
        self._number = 0
        self._hosts_sent_at = float("-inf")
        self._due: Any = None
        self._loop = follower.Timer(
            reactor=reactor,
            clock=clock,
            name="usage",
            function=self._broadcast,
        )

    def start(self) -> None:
        """Open the socket and start sending the counts."""
        self._reactor.listenUDP(self._port, self, interface=self._host)
        self._loop.start(SEND_INTERVAL_S)

    def stop(self) -> None:
        """Stop sending; other entries remove this one by its time-out."""
        self._loop.stop()
        if self._due is not None and self._due.active():
            self._due.cancel()

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the sending loop."""
        return self._loop.progress

    @property
    def peers(self) -> frozenset[str]:
        """Return the addresses for calls of the entries heard lately."""
        return frozenset(peer.peer for peer in self._peers.values())

    @property
    def place(self) -> int:
        """Return the position of this entry among the live ones, by name."""
        return sum(name < self._name for name in self._peers)

    def others(self, upstream: str) -> int:
        """Return the requests of other entries in progress at an upstream."""
        return self._totals.get(short_hash.of(upstream), 0)

    def changed(self) -> None:
        """Schedule sending the counts."""
        if self._due is not None and self._due.active():
            return
        after_s = SEND_DELAY_S + SEND_DELAY_PER_PEER_S * len(self._peers)
        self._due = self._reactor.callLater(after_s, self._broadcast)

    def datagramReceived(  # noqa: N802
        self, data: bytes, address: tuple[str, int]
    ) -> None:
        """Apply a datagram of another entry."""
        message = datagram.decode(data, ttypes.Usage)
        if (
            message is None
            or not _is_valid(message)
            or message.name == self._name
        ):
            return
        old = self._peers.get(message.name)
        if old is not None and old.incarnation == message.incarnation:
            if message.number <= old.number:
                return
        if old is None:
            LOG.info(
                "Discovered an entry.", name=message.name, address=address[0]
            )
        self._peers[message.name] = Peer(
            name=message.name,
            incarnation=message.incarnation,
            number=message.number,
            counts=message.counts,
            received_at=self._clock.monotonic(),
            address=address[0],
            peer=message.peer,
        )
        self._received_at_by_name[message.name] = self._clock.monotonic()
        self._update_entries()
        for item in self.updates:
            item.apply(message)
        # Entries of an earlier release send no version.
        version = message.version or 0
        self.on_configuration(message.peer, message.offset, version)
        self.on_roster_offset(message.peer, message.roster_offset)
        self._greet(message.known)
        self._sum_up()

    def _greet(self, hosts: Iterable[str]) -> None:
        """Send the counts to entries that are known only to others."""
        known = {peer.address for peer in self._peers.values()}
        new = set(hosts) - known - {self._host} - set(self._seed_hosts)
        for host in sorted(new):
            self._send(host, self._message())

    def _broadcast(self) -> None:
        """Send the counts to all known entries."""
        self._remove_unresponsive()
        data = self._message()
        hosts = {peer.address for peer in self._peers.values()}
        for host in hosts.union(self._seed_hosts):
            self._send(host, data)

    def _message(self) -> bytes:
        """Return the datagram, with as many updates as fit."""
        self._number += 1
        message = self._counts_message()
        for fraction in FRACTIONS:
            for item in self.updates:
                item.add_to(message, fraction)
            data = datagram.encode(message)
            if len(data) <= MAX_DATAGRAM_BYTES:
                break
        return data

    def _counts_message(self) -> ttypes.Usage:
        counts = {short_hash.of(k): n for k, n in self._counts().items() if n}
        return ttypes.Usage(
            name=self._name,
            incarnation=self._incarnation,
            number=self._number,
            counts=counts,
            known=self._hosts_to_send(),
            offset=self._offset(),
            peer=self._peer,
            roster_offset=self._roster_offset(),
            version=self._version(),
        )

    def _hosts_to_send(self) -> list[str]:
        """Return the hosts to include in this datagram, usually none."""
        now = self._clock.monotonic()
        if now - self._hosts_sent_at < HOSTS_INTERVAL_S:
            return []
        self._hosts_sent_at = now
        known = sorted({peer.address for peer in self._peers.values()})
        return known[:MAX_HOSTS]

    def _send(self, host: str, data: bytes) -> None:
        if self.transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            self.transport.write(data, (host, self._port))
        except OSError as failure:
            # The next datagram repairs it; partitions show as time-outs.
            LOG.warning(
                "Failed to send counts.", host=host, reason=repr(failure)
            )

    def _remove_unresponsive(self) -> None:
        now = self._clock.monotonic()
        for peer in list(self._peers.values()):
            if now - peer.received_at > PEER_TIMEOUT_S:
                del self._peers[peer.name]
                for forget in self.on_removed:
                    forget(peer.name)
                LOG.info(
                    "Removed an unresponsive entry and its request counts.",
                    name=peer.name,
                    requests=sum(peer.counts.values()),
                )
                self._sum_up()
        self._update_entries()

    def _update_entries(self) -> None:
        """Update the reachable entries and the number known recently."""
        now = self._clock.monotonic()
        for name, received_at in list(self._received_at_by_name.items()):
            if now - received_at > SHARE_RETENTION_S:
                del self._received_at_by_name[name]
        reachable = frozenset((self._name, *self._peers))
        known = 1 + max(len(self._received_at_by_name), len(self._seed_hosts))
        if (reachable, known) != self.entries[1:]:
            self.entries = rate_limit.Entries(self._name, reachable, known)

    def _sum_up(self) -> None:
        totals: dict[int, int] = {}
        for peer in self._peers.values():
            for key, count in peer.counts.items():
                totals[key] = totals.get(key, 0) + count
        self._totals = totals
        self.on_change()


def _ignore(_peer: str, *_numbers: int) -> None:
    """Ignore what an entry has until a listener is set."""


def _is_valid(message: ttypes.Usage) -> bool:
    """Return whether a datagram is complete and valid."""
    counts_fields = (
        message.name,
        message.incarnation,
        message.number,
        message.counts,
    )
    other_fields = (
        message.known,
        message.offset,
        message.peer,
        message.roster_offset,
    )
    if None in (*counts_fields, *other_fields):
        return False
    if min(message.log_age_ms or 0, message.roster_age_ms or 0) < 0:
        return False
    valid_hosts = all(addresses.is_host(host) for host in message.known)
    valid_counts = all(0 <= n <= MAX_REQUESTS for n in message.counts.values())
    return valid_hosts and valid_counts and addresses.is_address(message.peer)
