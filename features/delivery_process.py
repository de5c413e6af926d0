"""Processes for the steps of delivery.feature, selected by an argument.

Each prints one JSON value.  They are separate processes since a Twisted
reactor can't be started twice.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import socket
import sys
import threading
import time
from datetime import timedelta
from typing import Any

from reelscale_core import clock
from reelscale_daemon import process
from reelscale_daemon.exchange import connection, fetch, pool
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, protocol, reactor

LARGE_BYTES = 8_000_000
TIMEOUT_S = 3.0
EARLY_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """Accepts connections in threads and stores what it reads.

    Attributes:
      address: Its "ip:port".
      read: All bytes read on all connections.
      accepted: Number of accepted connections.
    """

    def __init__(self, serve: Any) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self.read = bytearray()
        self.accepted = 0
        self._serve = serve
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            conn, _ = self._sock.accept()
            self.accepted += 1
            args = (self, conn)
            threading.Thread(
                target=self._serve, args=args, daemon=True
            ).start()


def _answer_early(peer: Peer, conn: socket.socket) -> None:
    """Answer each request after its head, without reading a large body."""
    while data := conn.recv(2048):
        peer.read += data
        conn.sendall(EARLY_ANSWER)
        if data.startswith(b"POST"):
            time.sleep(2 * TIMEOUT_S)


def _only_read(peer: Peer, conn: socket.socket) -> None:
    """Read until the connection closes."""
    try:
        while data := conn.recv(65536):
            peer.read += data
    except ConnectionResetError:
        pass


async def _two_exchanges() -> dict[str, Any]:
    """Send a large request that is answered early, then a small one."""
    peer = Peer(_answer_early)
    kept_connections = pool.Pool(reactor=reactor, clock=clock.SystemClock())
    host = [(b"Host", b"x")]
    large = connection.Request(b"POST", b"/", host, b"x" * LARGE_BYTES)
    small = connection.Request(b"GET", b"/", host)
    options = {"reactor": reactor, "timeout_s": TIMEOUT_S}
    await fetch.fetch(kept_connections, peer.address, large, **options)
    try:
        await fetch.fetch(kept_connections, peer.address, small, **options)
    except connection.ExchangeError as lost:
        return {"code": lost.code, "accepted": peer.accepted}
    return {"code": "", "accepted": peer.accepted}


def reuse() -> None:
    """Print the result of an exchange after one with unsent bytes."""
    result: dict[str, Any] = {}

    async def run() -> None:
        result.update(await _two_exchanges())
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()))
    reactor.run()
    print(json.dumps(result))


class Caller(protocol.Protocol):
    """A caller's connection; calls on_disconnect() when it closes."""

    def __init__(self, on_disconnect: Any) -> None:
        self._on_disconnect = on_disconnect

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Report that the caller has disconnected."""
        self._on_disconnect()


class Callers(protocol.Factory):
    """Server for callers, with the attributes that a listener needs."""

    noisy = False
    unsent_bytes = 0

    def __init__(self, on_disconnect: Any) -> None:
        self.connections: set[Any] = set()
        self._on_disconnect = on_disconnect

    def buildProtocol(self, address: Any) -> Caller:  # noqa: N802
        """Return the protocol of a new caller."""
        return Caller(self._on_disconnect)

    def close_idle(self) -> None:
        """Do nothing: the only caller disconnects by itself."""


def cancel() -> None:
    """Cancel an attempt when its caller disconnects, then stop at once.

    Prints how many times the peer received "cancel": once to open the link,
    once for the attempt.
    """
    peer = Peer(_only_read)
    listener = process.Listener(reactor=reactor, clock=clock.SystemClock())
    to = link.Links(reactor=reactor).to(peer.address)

    def send(attempt: str) -> None:
        message = ttypes.Cancel(attempt=attempt)
        pending = defer.ensureDeferred(to.call("cancel", message, timeout_s=9))
        pending.addErrback(lambda _: None)

    async def stop() -> None:
        await listener.close_connections(within=timedelta(seconds=2))
        reactor.stop()

    def on_disconnect() -> None:
        send("attempt")
        # The stop begins in the next iteration of the event loop.
        reactor.callLater(0, lambda: defer.ensureDeferred(stop()))

    async def run() -> None:
        send("opens the link")
        await listener.listen("127.0.0.1:0", Callers(on_disconnect))
        port = listener._ports[0].getHost().port
        caller = socket.create_connection(("127.0.0.1", port))
        reactor.callLater(0.5, caller.close)

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()))
    reactor.run()
    time.sleep(0.5)
    print(json.dumps(bytes(peer.read).count(b"cancel")))


if __name__ == "__main__":
    {"reuse": reuse, "cancel": cancel}[sys.argv[1]]()
