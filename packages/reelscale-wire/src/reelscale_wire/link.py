"""One multiplexed connection to a peer, opened again when it breaks.

Calls fail in one of two ways that a caller must tell apart: the message
was never written to a socket, or it was and its answer is unknown.

A connection may go silent for good without a reset, while new ones work.  So
one on which a call had no answer, and nothing else was heard meanwhile, gets
no more calls; what is in progress on it may still end.
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
# A connection on which nothing was sent or heard for longer than this many
# seconds may have gone silent meanwhile; opening another takes some ms.
MAX_IDLE_S = 1.0
CODEC = TCompactProtocol.TCompactProtocolAcceleratedFactory


class LinkError(Exception):
    """A call over a link failed.

    Attributes:
      peer: Address of the peer.
      step: Name of the call.
      written: False if it is proved that the peer cannot have seen it.
      refused: Whether nobody listens there: the peer's process is gone.
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
    """The calling side; sends small frames at once.

    Attributes:
      heard_at: Time of the reactor at which an answer came last, or at which
        the connection was made.
      calls: Calls in progress on it.
      retired: Whether it gets no more calls.
    """

    def __init__(
        self, *, reactor: IReactorTime, closed: Callable[[], None]
    ) -> None:
        """Make a protocol that calls closed() when its connection ends."""
        super().__init__(Peer.Client, CODEC())
        self.received_at = 0.0
        self.calls = 0
        self.retired = False
        self._reactor = reactor
        self._closed = closed

    def connectionMade(self) -> None:  # noqa: N802
        """Start the client and send without delay."""
        self.transport.setTcpNoDelay(True)
        self.received_at = self._reactor.seconds()
        super().connectionMade()

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Take an answer."""
        self.received_at = self._reactor.seconds()
        super().stringReceived(frame)

    async def call(
        self, method: str, argument: Any, *, timeout_s: float
    ) -> Any:
        """Call a method of the peer and return what it answers.

        Raises:
          Exception: No answer came.
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

        One that carries no call may have gone silent unnoticed.
        """
        if self.retired:
            return False
        idle_s = self._reactor.seconds() - self.received_at
        return self.calls > 0 or idle_s < MAX_IDLE_S

    def retire(self) -> None:
        """Take no more calls; close once none is in progress."""
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
    """The answering side; sends small frames at once."""

    def __init__(self) -> None:
        self._calls = 0
        self._closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send without delay and keep track of the connection."""
        self.transport.setTcpNoDelay(True)
        self.factory.connections.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Forget the connection."""
        self.factory.connections.discard(self)
        super().connectionLost(reason)

    def stringReceived(self, frame: bytes) -> None:  # noqa: N802
        """Begin a call, unless the connection is being closed."""
        if not self._closed:
            self._calls += 1
            super().stringReceived(frame)

    def processOk(self, _: Any, tmo: Any) -> None:  # noqa: N802
        """Send an answer, unless the connection has gone meanwhile."""
        self._calls -= 1
        if self.connected:
            super().processOk(_, tmo)
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close a connection of a closing server once no call is open.

        In stages: a call of the peer that crosses the close would make a
        reset of it, and the peer would lose answers that it has not read.
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
        """Bytes written to the connection that have not left the process."""
        return outgoing.unsent_bytes(self.transport)


class Server(TTwisted.ThriftServerFactory):
    """Answers peers by way of a handler with the methods of Peer.

    Attributes:
      connections: The connections that are open.
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
        """Bytes of answers that have not left the process."""
        return sum(item.unsent_bytes for item in self.connections)


class Link:
    """The connection to one peer."""

    def __init__(self, *, reactor: IReactorTime, address: str) -> None:
        """Make a link to "ip:port"; it connects at the first call."""
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
        """Whether the connection stands."""
        return self._protocol is not None

    async def call(
        self, method: str, argument: Any, *, timeout_s: float
    ) -> Any:
        """Call a method of the peer.

        Args:
          method: Name of a method of the Peer service.
          argument: Its one argument.
          timeout_s: Seconds after which the answer counts as lost.

        Raises:
          LinkError: No answer came; written tells what that means.
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
        """Cut the connection, or mend it; for tests of failures."""
        self.partitioned = partitioned
        if partitioned:
            self.close()

    def close(self) -> None:
        """Close all its connections; the next call opens another."""
        for item in (self._protocol, *self._retired):
            if item is not None and item.transport:
                item.transport.abortConnection()

    def _drop_unusable(self) -> None:
        """Let go of a connection that may be silent."""
        old = self._protocol
        if old is not None and not old.usable:
            self._protocol = None
            self._retired.add(old)
            old.retire()

    async def _connect(self, method: str) -> ClientProtocol:
        """Join the attempt to connect in progress, or start one."""
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
        """Return the link to an address, made when first asked for."""
        link = self.by_address.get(address)
        if link is None:
            link = Link(reactor=self._reactor, address=address)
            link.partitioned = address in self._partitioned
            self.by_address[address] = link
        return link

    def partition(self, addresses: set[str]) -> None:
        """Cut the links to these addresses and mend all others."""
        self._partitioned = set(addresses)
        for address, link in self.by_address.items():
            link.set_partitioned(address in addresses)
