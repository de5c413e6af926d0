"""Transports and connections without sockets, for the path of an answer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import clock
from reelscale_daemon.exchange import connection, pool
from twisted.internet import address
from twisted.internet.testing import StringTransport


class _Handle:
    """A socket on which nothing waits."""

    def setsockopt(self, *_: Any) -> None:
        """Ignore an option."""

    def recv(self, *_: Any) -> bytes:
        """Say that nothing waits."""
        raise BlockingIOError


class Transport(StringTransport):
    """A transport of either side."""

    dataBuffer, offset, _tempDataLen = b"", 0, 0  # noqa: N815

    def __init__(self) -> None:
        super().__init__(
            hostAddress=address.IPv4Address("TCP", "127.0.0.1", 1),
            peerAddress=address.IPv4Address("TCP", "127.0.0.1", 2),
        )
        self.aborted = False

    def getHandle(self) -> _Handle:  # noqa: N802
        """Return the socket."""
        return _Handle()

    def abortConnection(self) -> None:  # noqa: N802
        """Record that the connection was reset."""
        self.aborted = True
        super().abortConnection()

    def fileno(self) -> int:
        """Have no descriptor."""
        raise OSError

    def ignore(self, *_: Any) -> None:
        """Do nothing."""

    setTcpNoDelay = setTcpKeepAlive = ignore  # noqa: N815
    loseWriteConnection = ignore  # noqa: N815


class Pool(pool.Pool):
    """A pool that opens connections to scripted upstreams."""

    def __init__(self, reactor: Any, now: clock.Clock) -> None:
        super().__init__(reactor=reactor, clock=now)
        self.conns: list[connection.Connection] = []

    async def _open(self, peer: str, _timeout_s: float) -> Any:
        conn = connection.Connection(
            reactor=self._reactor,
            address=peer,
            monitor=self._monitor,
            on_lost=self._on_lost,
        )
        conn.makeConnection(Transport())
        self.conns.append(conn)
        return conn
