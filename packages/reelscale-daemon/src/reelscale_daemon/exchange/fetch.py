"""Requests of this process itself, each with a complete answer."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from twisted.internet import defer

from . import connection, pool

# In bytes; a page of the log is 1 MB.
MAX_ANSWER_BYTES = 8 << 20


class Response(NamedTuple):
    """A complete answer.

    Attributes:
      head: Status and headers.
      body: The body.
    """

    head: connection.Head
    body: bytes


async def fetch(
    connections: pool.Pool,
    address: str,
    request: connection.Request,
    *,
    reactor: Any,
    timeout_s: float,
    new_connection: bool = False,
) -> Response:
    """Send a request and read its complete answer.

    A request on a reused connection that breaks without an answer is not
    retried, since only the caller knows whether it is idempotent.  If no byte
    of an answer was received before the time-out, the connection may be dead,
    and so may the other connections to the peer that were idle in the
    meantime: they are closed.

    Args:
      connections: The pool.
      address: "ip:port" of the peer.
      request: The request.
      reactor: The Twisted reactor.
      timeout_s: Time-out of the whole exchange, in seconds.
      new_connection: Whether to open a connection for it.

    Raises:
      ExchangeError: No complete answer; "timeout" after timeout_s.
    """
    used: list[connection.Connection] = []

    async def run() -> Response:
        conn = await connections.acquire(
            address, max_idle_s=0.0 if new_connection else None, watched=False
        )
        used.append(conn)
        conn.send(request)
        head = await conn.head()
        body = bytearray()
        while (piece := await conn.chunk()) is not None:
            body += piece
            if len(body) > MAX_ANSWER_BYTES:
                raise connection.ExchangeError(
                    "too-large", peer=address, written=True
                )
        connections.release(conn)
        return Response(head, bytes(body))

    pending = defer.ensureDeferred(run())
    pending.addTimeout(timeout_s, reactor)
    try:
        return await pending
    except (defer.TimeoutError, defer.CancelledError) as late:
        for conn in used:
            if not conn.answer_started:
                connections.close_unresponsive(conn)
        raise connection.ExchangeError(
            "timeout", peer=address, written=bool(used)
        ) from late
    finally:
        for conn in used:
            if not conn.usable:
                conn.abort()
