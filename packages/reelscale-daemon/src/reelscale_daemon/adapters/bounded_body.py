"""Reads the body of an answer of Twisted's HTTP client, up to a size."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from twisted.internet import defer, protocol
from twisted.web import client

# A page of a log is 1 MB.
MAX_BYTES = 8 << 20


class BodyError(Exception):
    """A body is too large or incomplete."""


class _Collector(protocol.Protocol):
    """Collects a body until it ends or is too large."""

    def __init__(self) -> None:
        self.body: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._data = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Add a piece."""
        if self.body.called:
            return
        self._data += data
        if len(self._data) > MAX_BYTES:
            self._fail(f"a body of more than {MAX_BYTES} bytes")

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """End the body; the server must have delimited it."""
        if self.body.called:
            return
        if reason.check(client.ResponseDone, client.PotentialDataLoss):
            self.body.callback(bytes(self._data))
        else:
            self._fail("an incomplete body")

    def _fail(self, detail: str) -> None:
        self.body.errback(BodyError(detail))
        self._cancel()

    def _cancel(self, _: Any = None) -> None:
        """Read no more: end the connection."""
        self._data.clear()
        if self.transport is not None:
            self.transport.loseConnection()


async def read(response: Any) -> bytes:
    """Return the body of a response.

    Cancelling it ends the connection.

    Args:
      response: The response of an agent of twisted.web.client.

    Raises:
      BodyError: It is too large or incomplete.
    """
    collector = _Collector()
    response.deliverBody(collector)
    return await collector.body
