"""Connections to other processes, kept and used again."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import clock
from twisted.internet import endpoints

from . import connection, liveness

# A peer in the same region that does not accept within this time, in
# seconds, is taken as out of reach; a lost opening packet costs one second.
CONNECT_TIMEOUT_S = 1.5


class Pool:
    """The connections of one process, by the address of the peer."""

    def __init__(self, *, reactor: Any, clock: clock.Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self._idle_by_address: dict[str, list[connection.Connection]] = {}
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
    ) -> connection.Connection:
        """Return a connection for one exchange, opened if none is idle.

        Args:
          address: "ip:port" of the peer.
          idle_most_s: Take no connection that was idle for longer.
          connect_timeout_s: How long opening one may take.
          watched: Whether the exchange ends when the connection seems to
            have gone silent; only for what may be sent again.  By default
            where idle_most_s is None, as callers that do not limit it say
            that a broken exchange does no harm.

        Raises:
          ExchangeError: "unreachable"; the peer got nothing.
        """
        kept = self._pop_idle(address, max_idle_s)
        if kept is not None:
            requested = max_idle_s is None if watched is None else watched
            kept.watched = requested and not self._monitor.cooling_down
            return kept
        return await self._open(address, connect_timeout_s)

    def release(self, conn: connection.Connection) -> None:
        """Give a connection back; one that is of no use is forgotten."""
        if not conn.usable:
            return
        conn.idle_since = self._clock.monotonic()
        self._idle_by_address.setdefault(conn.address, []).append(conn)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a peer, as when it leaves."""
        for item in self._idle_by_address.pop(address, []):
            item.abort()

    def close_all_idle(self) -> int:
        """Close all idle connections; return how many there were."""
        idle = [c for rows in self._idle_by_address.values() for c in rows]
        self._idle_by_address.clear()
        for item in idle:
            item.abort()
        return len(idle)

    def close_unresponsive(self, silent: connection.Connection) -> None:
        """Close the idle connections to the peer of a silent one.

        Those stay on which something came after its exchange had begun.
        """
        self._close_idle_since(silent.address, silent.started_at)

    def _close_all_idle_since(self, since: float) -> None:
        """Close the idle connections to all peers that were not heard since.

        What silenced one connection may have silenced all that were open.
        """
        for address in list(self._idle_by_address):
            self._close_idle_since(address, since)

    def _close_idle_since(self, address: str, since: float) -> None:
        for item in list(self._idle_by_address.get(address, ())):
            if item.idle_since <= since:
                item.abort()

    def _pop_idle(
        self, address: str, max_idle_s: float | None
    ) -> connection.Connection | None:
        """Return the idle connection that was used last, if one is fit."""
        idle = self._idle_by_address.get(address, [])
        now = self._clock.monotonic()
        while idle:
            found = idle.pop()
            idle_s = now - found.idle_since
            max_s = found.keep_alive_s - connection.KEEP_ALIVE_MARGIN_S
            if max_idle_s is not None:
                max_s = min(max_s, max_idle_s)
            if found.usable and idle_s < max_s:
                return found
            found.abort()
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
        """Return how many connections to a peer are open or opening."""
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
            self._monitor.forget(address)
