"""HTTP servers that know their connections and can close them in order.

At their limit of connections they close those that rest for longest, so that
new callers are always taken.

twisted.web forgets a request once its last piece is in the buffer of the
connection.  A stop must wait for more than that: until the bytes have left
the process, which a connection that was closed in order shows by its end.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
import resource as rlimit
from typing import Any

from reelscale_wire import closing, outgoing
from twisted.internet import error
from twisted.python import failure
from twisted.web import http, resource, server

from . import logs

LOG = logs.Logger("site")
# Of the descriptors of a process, callers' connections may take this part;
# each request in progress takes another one towards its upstream, and peers,
# the log and probes need some.
CALLERS_SHARE = 0.5
LINE_ENDS = b"\r\n"
# Below this part of the limit there is room again.
ROOMY = 0.9


def limit_of_connections(descriptors: int = 0) -> int:
    """Return how many connections callers may hold.

    Args:
      descriptors: Descriptors that the platform allows the process, 0 if it
        states none; what the system allows counts if that is less.
    """
    allowed, _ = rlimit.getrlimit(rlimit.RLIMIT_NOFILE)
    if descriptors:
        allowed = min(allowed, descriptors)
    return max(1, int(allowed * CALLERS_SHARE))


class Channel(http.HTTPChannel):
    """A connection of a caller; its site closes it when it stops.

    Attributes:
      last_id: Id of the newest request on it, empty if none was read.
      refusing: Whether what comes now crosses our close: it is refused, and
        the close follows once earlier answers were received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.last_id = ""
        self.refusing = False
        self._close: closing.StagedClose | None = None
        self._reading = False
        self._unsent_before = math.inf

    def connectionMade(self) -> None:  # noqa: N802
        """Note the connection."""
        super().connectionMade()
        self.factory.connections.add(self)
        self.factory.note_rest(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the connection; say if an answer that had ended is cut.

        No other line would: the log has the request as answered.
        """
        self.factory.connections.discard(self)
        self.factory.note_work(self)
        if self.unsent_bytes and not self.requests:
            LOG.warning(
                "A connection ended before its last answer had left.",
                request=self.last_id,
                unsent_bytes=self.unsent_bytes,
                reason=reason.getErrorMessage(),
            )
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; from the first on, a request is in progress.

        What crosses our close is dropped: the last answer said that no more
        would be taken.
        """
        if self._close is not None:
            return
        # Some callers end a body with an empty line, which begins nothing.
        if self.idle and data.strip(LINE_ENDS):
            self._reading = True
            self.factory.note_work(self)
            self.begin_reading()
        super().dataReceived(data)

    def begin_reading(self) -> None:
        """Take note that a request begins; for subclasses."""

    def allContentReceived(self) -> None:  # noqa: N802
        """Note that the request is whole."""
        self._reading = False
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """End a request; its connection as well, if the site closes."""
        self._unsent_before = math.inf
        super().requestDone(request)
        if self.idle:
            self.factory.note_rest(self)
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close a connection of a closing site once nothing is in progress.

        While its caller has not received all answers yet, it may send one
        more request, and gets an answer to that as well: a refusal.
        """
        if not self.factory.closing or not self.idle:
            return
        self.refusing = True
        if self.delivered:
            self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Close it in stages if its caller has not received everything.

        Else it is closed whole: a request that crosses that is not read.
        """
        if self._close is not None:
            return
        if outgoing.pending_bytes(self.transport) == 0:
            super().loseConnection()
            return
        # Nothing behind our close may be taken for a request.
        self.clearLineBuffer()
        self._close = closing.StagedClose(
            transport=self.transport, call_later=self.callLater
        )

    def break_off(self, request: Any) -> None:
        """End an answer that will not be whole, so that its caller can tell.

        The framing shows it where there is one, and answers before it reach
        the caller; one that ends with its connection has to be reset.
        """
        sized = request.responseHeaders.hasHeader(b"content-length")
        if sized or request.chunked:
            self.loseConnection()
        else:
            self.abort()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close a connection at rest, unless its caller still reads.

        twisted counts the time from the end of a request, and by then the
        end of a large answer may still have to leave.
        """
        unsent_bytes = self.unsent_bytes
        if 0 < unsent_bytes < self._unsent_before:
            self._unsent_before = unsent_bytes
            self.setTimeout(self.timeOut)
            return
        super().timeoutConnection()

    def abort(self) -> None:
        """Reset the connection: its caller must not take it for whole."""
        self.transport.abortConnection()

    def close_now(self) -> None:
        """Close a connection on which everything was delivered.

        A usual close gives its descriptor back in the next turn of the loop,
        too late where one turn takes many new connections.
        """
        self.transport.connectionLost(failure.Failure(error.ConnectionDone()))

    @property
    def idle(self) -> bool:
        """Whether no request, not even a part of one, is in progress."""
        return not self.requests and not self._reading

    @property
    def delivered(self) -> bool:
        """Whether the caller's side has everything, as far as can be told."""
        return not outgoing.pending_bytes(self.transport)

    @property
    def unsent_bytes(self) -> int:
        """Bytes written to the connection that have not left the process."""
        return outgoing.unsent_bytes(self.transport)


class Site(server.Site):
    """Serves resources and keeps count of the connections.

    Attributes:
      connections: The connections that are open.
      draining: Whether every answer ends its connection.
      closing: Whether connections are closed once they are idle.
      most_connections: With so many, one at rest makes room for a new one.
    """

    def __init__(
        self,
        resource: resource.Resource,
        *,
        reactor: Any = None,
        idle_timeout_s: float,
        request_class: Any = None,
        most_connections: int | None = None,
    ) -> None:
        super().__init__(resource, reactor=reactor, timeout=idle_timeout_s)
        self.connections: set[Channel] = set()
        self.most_connections = most_connections or limit_of_connections()
        # Those at rest, the one that rests for longest first.
        self._resting: dict[Channel, None] = {}
        self._crowded = False
        self.draining = False
        self.closing = False
        self.displayTracebacks = False
        self.noisy = False
        if request_class is not None:
            self.requestFactory = request_class

    def buildProtocol(self, address: Any) -> Channel:  # noqa: N802
        """Return the protocol of a new connection; make room for it."""
        if len(self.connections) >= self.most_connections:
            self._make_room()
        made = self.make_channel()
        made.factory = self
        made.site = self
        made.requestFactory = self.requestFactory
        made.timeOut = self.timeOut
        made.callLater = self.reactor.callLater
        return made

    def make_channel(self) -> Channel:
        """Return a channel that knows nothing yet."""
        return Channel()

    def note_rest(self, channel: Channel) -> None:
        """Note that nothing is in progress on a connection."""
        self._resting[channel] = None

    def note_work(self, channel: Channel) -> None:
        """Note that something is in progress on a connection, or its end."""
        self._resting.pop(channel, None)
        if len(self.connections) < self.most_connections * ROOMY:
            self._crowded = False

    def _make_room(self) -> None:
        """Close the connection that has been at rest for longest.

        Its caller opens another when it needs one; a new caller that finds
        no descriptor left would be turned away without a word.
        """
        free = (c for c in self._resting if c.delivered)
        resting = next(free, None)
        if not self._crowded:
            self._crowded = True
            LOG.warning(
                "Callers hold as many connections as they may.",
                connections=len(self.connections),
                resting=len(self._resting),
            )
        if resting is not None:
            self.note_work(resting)
            resting.close_now()

    def log(self, request: Any) -> None:
        """Write no access log; the daemon logs what it decides."""

    def drain(self) -> None:
        """End each connection with its next answer."""
        self.draining = True

    def close_idle(self) -> None:
        """Close each connection as soon as nothing is in progress on it."""
        self.draining = self.closing = True
        for channel in list(self.connections):
            channel.close_if_idle()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that have not left the process."""
        return sum(channel.unsent_bytes for channel in self.connections)
