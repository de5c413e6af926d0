"""What entry and agent have in common: parts, servers, start and stop."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
import signal
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from reelscale_core import clock, error, position, settings
from reelscale_wire import link
from twisted.internet import defer, endpoints, task
from twisted.python import failure

from . import logs, metrics, site
from .controllers import config, freshness

LOG = logs.Logger("process")
# A process that stops looks this often, in seconds, whether its requests
# have ended; what it waits in vain is little beside a grace time of seconds.
STOP_POLL_S = 0.05
# A stop is over this long before the end of the grace time, in seconds, so
# that the process ends by itself: two looks, the last closes and the end of
# the interpreter, which took 0.3 s on a machine with more work than cores.
STOP_MARGIN_S = 0.6
# A stop that failed, or whose time is over, still gives connections this long
# to end in order; it is part of the margin above.
LAST_CLOSES = timedelta(seconds=0.1)
# Peers and probes may leave a connection at rest for so many seconds.
IDLE_TIMEOUT_S = 300.0


class Connection(Protocol):
    """A connection that is open."""

    def abort(self) -> None:
        """Reset it."""
        ...


class Served(Protocol):
    """A server that can close its connections in order.

    Attributes:
      connections: Those that are open; bytes that were written to one may
        still be in the process.
    """

    connections: set[Connection]

    @property
    def unsent_bytes(self) -> int:
        """Bytes written to connections that have not left the process."""
        ...

    def close_idle(self) -> None:
        """Close each connection as soon as nothing is in progress on it."""
        ...


class Unfinished(NamedTuple):
    """What a stop leaves behind.

    Attributes:
      connections: Connections that are still open.
      unsent_bytes: Bytes written to them that have not left the process.
    """

    connections: int
    unsent_bytes: int


class Listener:
    """The ports of a process, and its stop on a signal.

    Attributes:
      reactor: The loop.
      clock: The time.
      stopping: Whether it has been told to stop.
    """

    def __init__(self, *, reactor: Any, clock: clock.Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.stopping = False
        self._ports: list[Any] = []
        self._served: list[Served] = []
        self._stopping_since = math.inf

    async def listen(self, address: str, factory: Served) -> None:
        """Serve a factory at "ip:port"."""
        host, port = address.rsplit(":", 1)
        point = endpoints.TCP4ServerEndpoint(
            self.reactor, int(port), interface=host, backlog=512
        )
        self._ports.append(await point.listen(factory))
        self._served.append(factory)

    async def stop_listening(self) -> None:
        """Take no more connections; those that stand go on."""
        ports, self._ports = self._ports, []
        for port in ports:
            await defer.maybeDeferred(port.stopListening)

    async def close_connections(self, *, within: timedelta) -> Unfinished:
        """Close every connection once nothing is in progress on it.

        A process must not end before: what it has written to a connection
        may still be in its own memory, and goes with it.  A connection that
        was closed in order ends only when its bytes have left.

        Args:
          within: Connections that take longer are left as they are.
        """
        end_by = self.clock.monotonic() + within.total_seconds()
        self._close_idle()
        while self._open() and self.clock.monotonic() < end_by:
            await task.deferLater(self.reactor, STOP_POLL_S)
            # What others have received meanwhile shows only by a look.
            self._close_idle()
        # What the end of the last one made us send to others, such as the
        # cancel of an attempt, leaves in the next turns of the loop.
        await task.deferLater(self.reactor, STOP_POLL_S)
        unsent_bytes = sum(served.unsent_bytes for served in self._served)
        return Unfinished(self._open(), unsent_bytes)

    def left_of(self, grace: timedelta) -> timedelta:
        """Return what a stop that has begun may still take.

        Args:
          grace: From the signal to the end of the process by force.
        """
        taken_s = self.clock.monotonic() - self._stopping_since
        left = grace - timedelta(seconds=taken_s + STOP_MARGIN_S)
        return max(left, timedelta())

    def _close_idle(self) -> None:
        """Close the connections on which nothing is in progress."""
        for served in self._served:
            served.close_idle()

    def _open(self) -> int:
        """Return the number of connections that are open."""
        return sum(len(served.connections) for served in self._served)

    def on_signal(self, stop: Callable[[], Awaitable[None]]) -> None:
        """Stop in order on SIGTERM or SIGINT; further ones change nothing."""

        def handle(*_: Any) -> None:
            self.reactor.callFromThread(begin)

        def begin() -> None:
            if self.stopping:
                LOG.info("Already stopping; requests in progress go on.")
                return
            self.stopping = True
            self._stopping_since = self.clock.monotonic()
            LOG.info("Stopping in order.")
            done = defer.ensureDeferred(stop())
            done.addErrback(_log_stop_failure)
            done.addBoth(lambda _: defer.ensureDeferred(self._end()))
            done.addBoth(lambda _: self.reactor.stop())

        signal.signal(signal.SIGTERM, handle)
        signal.signal(signal.SIGINT, handle)

    async def _end(self) -> None:
        """Close or reset what a stop has left open, however it ended."""
        if self._open():
            await self.close_connections(within=LAST_CLOSES)
        for served in self._served:
            for connection in list(served.connections):
                connection.abort()
        await task.deferLater(self.reactor, 0)

    def on_reload(
        self,
        current: Callable[[], settings.Settings],
        *,
        role: str,
        take: Callable[[settings.Settings], None],
    ) -> None:
        """Read the settings again on SIGHUP; what can change then does.

        Args:
          current: Returns the settings in force.
          role: Role that the file is checked for.
          take: Called with new settings that are good; addresses count from
            the next start only.
        """

        def read_again() -> None:
            old = current()
            try:
                new = settings.read(old.path, role=role)
            except error.CodedError as bad:
                LOG.error(
                    "The settings are kept: the file is bad.", reason=bad
                )
                return
            rows = new._asdict().items()
            changed = [n for n, value in rows if value != getattr(old, n)]
            LOG.info("Read the settings again.", changed=changed)
            take(new)

        def handle(*_: Any) -> None:
            self.reactor.callFromThread(read_again)

        signal.signal(signal.SIGHUP, handle)


class Base(Listener):
    """The parts that every process has that follows the configuration.

    Attributes:
      settings: What the process was told.
      incarnation: Tells this start of the process from all others.
      links: Connections to peers.
      platform: The platform's log.
      config: The configuration in force.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        settings: settings.Settings,
        platform: Any,
        clock: clock.Clock,
        peer_lead_s: float | None = None,
        reads: freshness.Reads | None = None,
    ) -> None:
        super().__init__(reactor=reactor, clock=clock)
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.links = link.Links(reactor=reactor)
        self.platform = platform
        self.config = config.Config(
            reactor=reactor,
            clock=self.clock,
            platform=self.platform,
            links=self.links,
            peers=settings.peers,
            snapshot_every=settings.snapshot_every,
            peer_lead_s=peer_lead_s,
            reads=reads,
        )

    def not_ready(self) -> str:
        """Return why no entry could serve now, empty when one could."""
        if self.stopping:
            return "stopping"
        return "" if self.config.ready else "no configuration yet"

    def set_gauges(self, metrics: metrics.Metrics) -> None:
        """Set the gauges of the configuration before a scrape."""
        at = position.decode(self.config.state.offset)
        metrics.offset.set({}, at.offset)
        metrics.log_incarnation.set({}, at.incarnation)
        metrics.log_age.set({}, self.config.reported_log_age_s())


def make_site(root: Any, request_class: Any = None) -> site.Site:
    """Return an HTTP site for probes, operators and own callers."""
    return site.Site(
        root, idle_timeout_s=IDLE_TIMEOUT_S, request_class=request_class
    )


def _log_stop_failure(reason: failure.Failure) -> None:
    """Log why a stop ended early; the process ends all the same."""
    LOG.error("The stop failed.", reason=reason.getTraceback())
