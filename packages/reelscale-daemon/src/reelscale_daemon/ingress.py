"""The HTTP server in front of callers whose protocol an adapter reads.

twisted.web does the protocol; this module adds limits that may change,
bodies in bounded memory, and a stop that cuts nothing.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import route
from twisted.web import http, resource, server

from . import callers

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class Channel(http.HTTPChannel):
    """A caller's connection, with the limits that are in force."""

    def __init__(self) -> None:
        super().__init__()
        self._reading = False
        self._head_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Note the connection and take the limits over."""
        self.take_limits()
        super().connectionMade()
        self.factory.channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the connection."""
        self._stop_head_timer()
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; from the first on, a head must be whole in time."""
        if not self._reading and not self.requests:
            self._reading = True
            timeout_s = self.factory.limits.header_timeout_s
            self._head_timer = self.callLater(
                timeout_s, self.timeoutConnection
            )
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Note that the head is whole."""
        self._stop_head_timer()
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Note that the request is whole."""
        self._reading = False
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Answer a head that is too long, instead of closing mutely."""
        self.transport.write(HEAD_TOO_LARGE)
        self.loseConnection()

    def take_limits(self) -> None:
        """Apply the limits in force, also to a connection that rests."""
        limits = self.factory.limits
        self.MAX_LENGTH = limits.header_bytes
        self.totalHeadersSize = limits.header_bytes
        self.timeOut = limits.idle_timeout_s
        if self._savedTimeOut is not None:
            self._savedTimeOut = limits.idle_timeout_s
        if self.idle and self.transport is not None:
            self.setTimeout(limits.idle_timeout_s)

    @property
    def idle(self) -> bool:
        """Whether no request, not even a part of one, is in progress."""
        return not self.requests and not self._reading

    @property
    def unsent_bytes(self) -> int:
        """Bytes written to the connection that have not left the process."""
        transport = self.transport
        if transport is None:
            return 0
        # twisted keeps them in two buffers and has no public count of them.
        buffered = len(transport.dataBuffer) - transport.offset
        return buffered + transport._tempDataLen

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class Ingress(server.Site):
    """Takes callers' connections.

    Attributes:
      channels: The connections that are open.
      draining: Whether every answer ends its connection.
    """

    def __init__(
        self, *, reactor: Any, resource: resource.Resource, body_bytes: int
    ) -> None:
        self._limits = route.Limits()
        self.channels: set[Channel] = set()
        self.draining = False
        super().__init__(resource, reactor=reactor)
        self.displayTracebacks = False
        self.noisy = False
        self.requestFactory = _request_class(self, body_bytes)

    def buildProtocol(self, address: Any) -> Channel:  # noqa: N802
        """Return the protocol of a new connection."""
        made = Channel()
        made.factory = self
        made.site = self
        made.requestFactory = self.requestFactory
        made.callLater = self.reactor.callLater
        return made

    @property
    def limits(self) -> route.Limits:
        """What callers may send; may change at any time."""
        return self._limits

    @limits.setter
    def limits(self, limits: route.Limits) -> None:
        if limits == self._limits:
            return
        self._limits = limits
        for channel in self.channels:
            channel.take_limits()

    def drain(self) -> None:
        """End each connection with its next answer."""
        self.draining = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that have not left the process."""
        return sum(channel.unsent_bytes for channel in self.channels)

    def close_idle(self) -> None:
        """Close connections on which nothing is in progress."""
        for channel in list(self.channels):
            if channel.idle:
                channel.loseConnection()


def _request_class(ingress: Ingress, body_bytes: int) -> type[server.Request]:
    """Return a class of requests whose answers heed a stop."""

    class Request(callers.request_class(body_bytes)):
        """A request of a caller."""

        defaultContentType = None  # noqa: N815

        def requestReceived(  # noqa: N802
            self, command: bytes, path: bytes, version: bytes
        ) -> None:
            """Pass the request on; its body is not looked into."""
            self.content.seek(0, 0)
            self.method, self.uri, self.clientproto = command, path, version
            self.path = path.partition(b"?")[0]
            self.client = self.channel.getPeer()
            self.process()

        def process(self) -> None:
            """Give the request to the one resource, whatever its path."""
            self.site = ingress
            ingress.resource.render(self)

        def write(self, data: bytes) -> None:
            """Write a piece; the first one says whether more may follow."""
            if not self.startedWriting and ingress.draining:
                self.setHeader(b"connection", b"close")
                self.channel.persistent = False
            super().write(data)

    return Request
