"""Pool of connections to other processes."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import Any

from reelscale_core import clock
from twisted.internet import endpoints

from . import connection, liveness

# For peers in the same region; includes one retransmission of a lost SYN,
# which takes 1 s.
CONNECT_TIMEOUT_S = 1.5


class Pool:
    """The connections of one process, by peer address."""

    def __init__(self, *, reactor: Any, clock: clock.Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self._idle_by_address: dict[str, list[connection.Connection]] = {}
        self._retired_at_by_address: dict[str, float] = {}
        self.open_by_address: dict[str, int] = {}
        self.opened = 0
        self._monitor = liveness.Monitor(
            clock=clock, on_unresponsive=self._close_all_idle_since
        )

    async def acquire(
        self,
        address: str,
        *,
        max_idle_s: float | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        watched: bool | None = None,
        request_id: str = "",
    ) -> connection.Connection:
        """Return an idle or a new connection for one exchange.

        Args:
          address: "ip:port" of the peer.
          max_idle_s: Maximum idle time of a reused connection.
          connect_timeout_s: Time-out for opening one.
          watched: Whether the exchange is aborted if the connection seems
            dead; only for idempotent requests.  True by default if max_idle_s
            is None, which implies that the request may be retried.
          request_id: Id of the request, if its answer repeats it; a
            connection that has carried this id is not reused.

        Raises:
          ExchangeError: "unreachable"; the peer received nothing.
        """
        conn = self._pop_idle(address, max_idle_s, request_id)
        if conn is not None:
            watch = max_idle_s is None if watched is None else watched
            conn.watched = watch and not self._monitor.cooling_down
            return conn
        return await self._open(address, connect_timeout_s)

    def release(self, conn: connection.Connection) -> None:
        """Return a connection to the pool if it is usable."""
        if not conn.usable:
            return
        if conn.opened_at < self._retired_at_by_address.get(
            conn.address, -math.inf
        ):
            conn.abort()
            return
        conn.idle_since = self._clock.monotonic()
        self._idle_by_address.setdefault(conn.address, []).append(conn)

    def retire(self, address: str) -> None:
        """Reuse no connection to a peer that was opened before now.

        Nothing that is read on later ones can be older.
        """
        self._retired_at_by_address[address] = self._clock.monotonic()
        self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a peer."""
        for item in self._idle_by_address.pop(address, []):
            item.abort()

    def close_all_idle(self) -> int:
        """Close all idle connections; return their number."""
        idle = [c for rows in self._idle_by_address.values() for c in rows]
        self._idle_by_address.clear()
        for item in idle:
            item.abort()
        return len(idle)

    def close_unresponsive(self, dead: connection.Connection) -> None:
        """Close the idle connections to the peer of a dead connection.

        Connections that received data after its exchange began are kept.
        """
        self._close_idle_since(dead.address, dead.started_at)

    def _close_all_idle_since(self, since: float) -> None:
        """Close all connections that have been idle since a time.

        The cause that broke one connection may have broken all of them.
        """
        for address in list(self._idle_by_address):
            self._close_idle_since(address, since)

    def _close_idle_since(self, address: str, since: float) -> None:
        for item in list(self._idle_by_address.get(address, ())):
            if item.idle_since <= since:
                item.abort()

    def _pop_idle(
        self, address: str, max_idle_s: float | None, request_id: str
    ) -> connection.Connection | None:
        """Return the most recently used idle connection that is usable."""
        idle = self._idle_by_address.get(address, [])
        now = self._clock.monotonic()
        for conn in reversed(list(idle)):
            if conn.has_carried(request_id):
                continue
            idle.remove(conn)
            idle_s = now - conn.idle_since
            max_s = conn.keep_alive_s - connection.KEEP_ALIVE_MARGIN_S
            if max_idle_s is not None:
                max_s = min(max_s, max_idle_s)
            if conn.usable and idle_s < max_s and conn.is_silent():
                return conn
            conn.abort()
        return None

    async def _open(
        self, address: str, timeout_s: float
    ) -> connection.Connection:
        host, port = address.rsplit(":", 1)
        point = endpoints.TCP4ClientEndpoint(
            self._reactor, host, int(port), timeout=timeout_s
        )
        conn = connection.Connection(
            reactor=self._reactor,
            address=address,
            monitor=self._monitor,
            on_lost=self._on_lost,
        )
        self.open_by_address[address] = self.count(address) + 1
        try:
            await endpoints.connectProtocol(point, conn)
        except Exception as failed:
            self._decrement(address)
            raise connection.ExchangeError(
                "unreachable", peer=address, written=False
            ) from failed
        self.opened += 1
        return conn

    def count(self, address: str) -> int:
        """Return the number of open or opening connections to a peer."""
        return self.open_by_address.get(address, 0)

    def _on_lost(self, closed: connection.Connection) -> None:
        self._decrement(closed.address)
        idle = self._idle_by_address.get(closed.address, [])
        if closed in idle:
            idle.remove(closed)

    def _decrement(self, address: str) -> None:
        remaining = self.count(address) - 1
        if remaining > 0:
            self.open_by_address[address] = remaining
        else:
            self.open_by_address.pop(address, None)
            self._retired_at_by_address.pop(address, None)
            self._monitor.forget(address)
