"""A pool whose connections are over loopback, and read by no reactor."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket

from reelscale_core import clock
from reelscale_daemon.exchange import connection, pool
from twisted.internet import address, defer, task

ADDRESS = "127.0.0.1:80"


class Transport:
    """A transport over loopback.

    Attributes:
      peer: The socket of the other end.
      written: What was written to it.
    """

    # Twisted's buffers of unsent bytes.
    dataBuffer, offset, _tempDataLen = b"", 0, 0  # noqa: N815

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            self._socket = socket.create_connection(server.getsockname())
            self.peer, _ = server.accept()
        self._socket.setblocking(False)
        self.written = b""

    def getHandle(self):  # noqa: N802
        """Return the local socket."""
        return self._socket

    def getHost(self):  # noqa: N802
        """Return the local end."""
        return address.IPv4Address("TCP", "127.0.0.1", 1)

    def write(self, data):
        """Record what is written."""
        self.written += data

    def abortConnection(self):  # noqa: N802
        """Close both ends."""
        self._socket.close()
        self.peer.close()

    def ignore(self, *_):
        """Do nothing."""

    setTcpNoDelay = setTcpKeepAlive = ignore  # noqa: N815
    pauseProducing = resumeProducing = ignore  # noqa: N815


class Pool(pool.Pool):
    """A pool that opens connections over loopback at once.

    Attributes:
      opened_connections: All that it has opened, in order.
    """

    def __init__(self):
        self.reactor, self.clock = task.Clock(), clock.FakeClock()
        super().__init__(reactor=self.reactor, clock=self.clock)
        self.opened_connections = []

    async def _open(self, peer, timeout_s):
        conn = connection.Connection(
            reactor=self._reactor,
            address=peer,
            monitor=self._monitor,
            on_lost=self._on_lost,
        )
        conn.makeConnection(Transport())
        self.opened_connections.append(conn)
        return conn

    def acquire_now(self, address=ADDRESS):
        """Return a connection for one exchange."""
        done = []
        defer.ensureDeferred(self.acquire(address)).addCallback(done.append)
        return done[0]
