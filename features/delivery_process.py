"""Small processes for the steps of delivery.feature, one a word.

Each prints one JSON value.  They run apart from the steps, as a loop of
twisted cannot be started twice in one process.
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

LONG_BYTES = 8_000_000
SOON_S = 3.0
EARLY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """Takes connections in threads and keeps what it reads.

    Attributes:
      address: Its "ip:port".
      read: All bytes that it has read, of all connections.
      accepted: Connections that it has taken.
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
    """Answer the head of each request; read no long body."""
    while data := conn.recv(2048):
        peer.read += data
        conn.sendall(EARLY)
        if data.startswith(b"POST"):
            time.sleep(2 * SOON_S)


def _only_read(peer: Peer, conn: socket.socket) -> None:
    """Read until the connection ends."""
    try:
        while data := conn.recv(65536):
            peer.read += data
    except ConnectionResetError:
        pass


async def _two_exchanges() -> dict[str, Any]:
    """Send a long request that is answered early, then a short one."""
    peer = Peer(_answer_early)
    kept = pool.Pool(reactor=reactor, clock=clock.SystemClock())
    host = [(b"Host", b"x")]
    long = connection.Request(b"POST", b"/", host, b"x" * LONG_BYTES)
    short = connection.Request(b"GET", b"/", host)
    ask = {"reactor": reactor, "timeout_s": SOON_S}
    await fetch.fetch(kept, peer.address, long, **ask)
    try:
        await fetch.fetch(kept, peer.address, short, **ask)
    except connection.ExchangeError as lost:
        return {"code": lost.code, "accepted": peer.accepted}
    return {"code": "", "accepted": peer.accepted}


def reuse() -> None:
    """Tell what becomes of an exchange after one whose bytes are unsent."""
    found: dict[str, Any] = {}

    async def run() -> None:
        found.update(await _two_exchanges())
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()))
    reactor.run()
    print(json.dumps(found))


class Caller(protocol.Protocol):
    """A caller's connection; calls left() when it ends."""

    def __init__(self, left: Any) -> None:
        self._left = left

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Tell that the caller has gone."""
        self._left()


class Callers(protocol.Factory):
    """Serves callers; has what a listener asks of a server."""

    noisy = False
    unsent_bytes = 0

    def __init__(self, left: Any) -> None:
        self.connections: set[Any] = set()
        self._left = left

    def buildProtocol(self, address: Any) -> Caller:  # noqa: N802
        """Return the protocol of a new caller."""
        return Caller(self._left)

    def close_idle(self) -> None:
        """Do nothing: the one caller leaves by itself."""


def cancel() -> None:
    """Cancel an attempt as its caller leaves; stop in the next turn.

    Prints how often the peer has got "cancel": once to open the link, once
    for the attempt.
    """
    peer = Peer(_only_read)
    listener = process.Listener(reactor=reactor, clock=clock.SystemClock())
    to = link.Links(reactor=reactor).to(peer.address)

    def send(attempt: str) -> None:
        message = ttypes.Cancel(attempt=attempt)
        asked = defer.ensureDeferred(to.call("cancel", message, timeout_s=9))
        asked.addErrback(lambda _: None)

    async def stop() -> None:
        await listener.close_connections(within=timedelta(seconds=2))
        reactor.stop()

    def left() -> None:
        send("attempt")
        # Where the look of a stop, each 50 ms, falls into the next turn.
        reactor.callLater(0, lambda: defer.ensureDeferred(stop()))

    async def run() -> None:
        send("opens the link")
        await listener.listen("127.0.0.1:0", Callers(left))
        port = listener._ports[0].getHost().port
        caller = socket.create_connection(("127.0.0.1", port))
        reactor.callLater(0.5, caller.close)

    reactor.callWhenRunning(lambda: defer.ensureDeferred(run()))
    reactor.run()
    time.sleep(0.5)
    print(json.dumps(bytes(peer.read).count(b"cancel")))


if __name__ == "__main__":
    {"reuse": reuse, "cancel": cancel}[sys.argv[1]]()
