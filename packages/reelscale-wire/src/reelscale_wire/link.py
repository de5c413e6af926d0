"""Multiplexed connection to a peer, which reconnects on demand.

Calls fail in one of two ways that a caller must distinguish: the message was
never written to a socket, or it was written and its answer is unknown.

A connection may stop delivering data without a reset, while new connections
work.  So a connection on which a call timed out and nothing else was received
in the meantime is retired: it gets no more calls, but calls in progress may
still complete.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTwisted
from twisted.internet import defer, endpoints, error, protocol
from twisted.internet.interfaces import IReactorTime

from . import closing, outgoing
from .gen import Peer

CONNECT_TIMEOUT_S = 1.0
# A connection that was idle for longer is replaced, as it may be dead.
MAX_IDLE_S = 1.0
CODEC = TCompactProtocol.TCompactProtocolAcceleratedFactory


class LinkError(Exception):
    """A call over a link failed.

    Attributes:
      peer: Address of the peer.
      step: Name of the call.
      written: False if the peer provably did not receive it.
      refused: Whether the connection was refused, as without a process.
    """

    def __init__(
        self, *, peer: str, step: str, written: bool, refused: bool = False
    ) -> None:
        super().__init__(f"{step} to {peer}, written: {written}")
        self.refused = refused
        self.peer = peer
        self.step = step
        self.written = written


class ClientProtocol(TTwisted.ThriftClientProtocol):
    """Client side of a connection.

    Attributes:
      received_at: Reactor time of the last answer, or of connecting.
      calls: Number of calls in progress.
      retired: Whether it gets no more calls.
    """

    def __init__(
        self, *, reactor: IReactorTime, closed: Callable[[], None]
    ) -> None:
        """Create a protocol that calls closed() when its connection ends."""
        super().__init__(Peer.Client, CODEC())
        self.received_at = 0.0
        self.calls = 0
        self.retired = False
        self._reactor = reactor
        self._closed = closed

    def connectionMade(self) -> None:  # noqa: N802
        """Start the client and disable Nagle's algorithm."""
        self.transport.setTcpNoDelay(True)
        self.received_at = self._reactor.seconds()
        super().connectionMade()

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Process an answer."""
        self.received_at = self._reactor.seconds()
        super().stringReceived(frame)

    async def call(
        self, method: str, argument: Any, *, timeout_s: float
    ) -> Any:
        """Call a method of the peer and return its answer.

        Raises:
          Exception: The call failed or timed out.
        """
        started_at = self._reactor.seconds()
        self.calls += 1
        try:
            answer = getattr(self.client, method)(argument)
            answer.addTimeout(timeout_s, self._reactor)
            return await answer
        except (defer.TimeoutError, defer.CancelledError):
            self.retired = self.retired or self.received_at <= started_at
            raise
        finally:
            self.calls -= 1
            self._close_if_done()

    @property
    def usable(self) -> bool:
        """Whether another call may be sent on it.

        An idle connection may have died unnoticed.
        """
        if self.retired:
            return False
        idle_s = self._reactor.seconds() - self.received_at
        return self.calls > 0 or idle_s < MAX_IDLE_S

    def retire(self) -> None:
        """Accept no more calls; close once none is in progress."""
        self.retired = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.retired and not self.calls and self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Fail all calls in progress."""
        self._closed()
        super().connectionLost(reason)


class ServerProtocol(TTwisted.ThriftServerProtocol):
    """Server side of a connection."""

    def __init__(self) -> None:
        self._calls = 0
        self._closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and register the connection."""
        self.transport.setTcpNoDelay(True)
        self.factory.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Unregister the connection."""
        self.factory.connections.discard(self)
        super().connectionLost(reason)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Process a call, unless the connection is being closed."""
        if not self._closed:
            self._calls += 1
            super().stringReceived(frame)

    def processOk(self, _: Any, tmo: Any) -> None:  # noqa: N802
        """Send an answer, unless the connection was closed."""
        self._calls -= 1
        if self.connected:
            super().processOk(_, tmo)
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if the server is closing and no call is open.

        In stages: a call that crosses the close would cause a reset, and the
        peer would lose answers that it has not read.
        """
        if self.factory.closing and not self._calls and not self._closed:
            self._closed = True
            closing.StagedClose(
                transport=self.transport,
                call_later=self.factory.reactor.callLater,
            )

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are buffered in this process."""
        return outgoing.unsent_bytes(self.transport)


class Server(TTwisted.ThriftServerFactory):
    """Serves peers by a handler with the methods of the Peer service.

    Attributes:
      connections: Open connections.
      closing: Whether connections are closed once no call is open on them.
    """

    protocol = ServerProtocol

    def __init__(self, *, handler: Any, reactor: IReactorTime) -> None:
        super().__init__(Peer.Processor(handler), CODEC())
        self.reactor = reactor
        self.noisy = False
        self.connections: set[ServerProtocol] = set()
        self.closing = False

    def close_idle(self) -> None:
        """Close each connection as soon as no call is open on it."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of answers that are buffered in this process."""
        return sum(item.unsent_bytes for item in self.connections)


class Link:
    """The connection to one peer."""

    def __init__(self, *, reactor: IReactorTime, address: str) -> None:
        """Create a link to "ip:port"; it connects on the first call."""
        self.address = address
        self.partitioned = False
        self._reactor = reactor
        self._protocol: ClientProtocol | None = None
        self._retired: set[ClientProtocol] = set()
        self._waiting: list[defer.Deferred] = []
        self._connecting = False
        self._refused = False

    @property
    def connected(self) -> bool:
        """Whether the connection is established."""
        return self._protocol is not None

    async def call(
        self, method: str, argument: Any, *, timeout_s: float
    ) -> Any:
        """Call a method of the peer.

        Args:
          method: Name of a method of the Peer service.
          argument: Its only argument.
          timeout_s: Time-out of the call, in seconds.

        Raises:
          LinkError: The call failed; see its attributes.
        """
        self._drop_unusable()
        connection = self._protocol or await self._connect(method)
        try:
            return await connection.call(method, argument, timeout_s=timeout_s)
        except Exception as lost:
            raise LinkError(
                peer=self.address, step=method, written=True
            ) from lost

    def set_partitioned(self, partitioned: bool) -> None:
        """Simulate a network partition, or end it; for fault injection."""
        self.partitioned = partitioned
        if partitioned:
            self.close()

    def close(self) -> None:
        """Close all its connections; the next call reconnects."""
        for item in (self._protocol, *self._retired):
            if item is not None and item.transport:
                item.transport.abortConnection()

    def _drop_unusable(self) -> None:
        """Retire the connection if it may be dead."""
        old = self._protocol
        if old is not None and not old.usable:
            self._protocol = None
            self._retired.add(old)
            old.retire()

    async def _connect(self, method: str) -> ClientProtocol:
        """Wait for the connection attempt in progress, or start one."""
        waiter: defer.Deferred = defer.Deferred()
        self._waiting.append(waiter)
        if not self._connecting:
            self._connecting = True
            defer.ensureDeferred(self._open())
        await waiter
        if self._protocol is None:
            raise LinkError(
                peer=self.address,
                step=method,
                written=False,
                refused=self._refused,
            )
        return self._protocol

    async def _open(self) -> None:
        host, port = self.address.rsplit(":", 1)
        point = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        opened = ClientProtocol(
            reactor=self._reactor, closed=lambda: self._closed(opened)
        )
        try:
            if self.partitioned:
                raise error.TimeoutError()
            await endpoints.connectProtocol(point, opened)
            self._protocol = opened
            self._refused = False
        except Exception as failed:
            self._refused = isinstance(failed, error.ConnectionRefusedError)
        self._connecting = False
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.callback(None)

    def _closed(self, closed: ClientProtocol) -> None:
        self._retired.discard(closed)
        if self._protocol is closed:
            self._protocol = None


class Links:
    """The links of one process, by address."""

    def __init__(self, *, reactor: IReactorTime) -> None:
        self._reactor = reactor
        self.by_address: dict[str, Link] = {}
        self._partitioned: set[str] = set()

    def to(self, address: str) -> Link:
        """Return the link to an address, created on first use."""
        link = self.by_address.get(address)
        if link is None:
            link = Link(reactor=self._reactor, address=address)
            link.partitioned = address in self._partitioned
            self.by_address[address] = link
        return link

    def partition(self, addresses: set[str]) -> None:
        """Simulate a network partition from these addresses only."""
        self._partitioned = set(addresses)
        for address, link in self.by_address.items():
            link.set_partitioned(address in addresses)
