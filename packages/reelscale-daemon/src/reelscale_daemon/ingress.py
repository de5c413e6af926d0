"""The HTTP server in front of callers whose protocol an adapter reads.

twisted.web does the protocol; this module adds limits that may change,
and bodies in bounded memory.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import route
from twisted.web import resource, server

from . import callers, site

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class Channel(site.Channel):
    """A caller's connection, with the limits that are in force."""

    def __init__(self) -> None:
        super().__init__()
        self._head_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Take the limits over."""
        self.take_limits()
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """End the wait for a head."""
        self._stop_head_timer()
        super().connectionLost(reason)

    def begin_reading(self) -> None:
        """See that the head of a request is whole in time."""
        timeout_s = self.factory.limits.header_timeout_s
        self._head_timer = self.callLater(timeout_s, self.loseConnection)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Note that the head is whole."""
        self._stop_head_timer()
        super().allHeadersReceived()

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

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class Ingress(site.Site):
    """Takes callers' connections."""

    def __init__(
        self,
        *,
        reactor: Any,
        resource: resource.Resource,
        body_bytes: int,
        most_connections: int,
    ) -> None:
        self._limits = route.Limits()
        super().__init__(
            resource,
            reactor=reactor,
            idle_timeout_s=self._limits.idle_timeout_s,
            request_class=_request_class(self, body_bytes),
            most_connections=most_connections,
        )

    def make_channel(self) -> Channel:
        """Return a channel that heeds the limits in force."""
        return Channel()

    @property
    def limits(self) -> route.Limits:
        """What callers may send; may change at any time."""
        return self._limits

    @limits.setter
    def limits(self, limits: route.Limits) -> None:
        if limits == self._limits:
            return
        self._limits = limits
        for channel in self.connections:
            channel.take_limits()


def _request_class(ingress: Ingress, body_bytes: int) -> type[server.Request]:
    """Return a class of requests that are for the one resource."""

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

    return Request
