"""What entry and agent have in common: parts, servers, start and stop."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import signal
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from reelscale_core import clock, error, settings
from reelscale_wire import link
from twisted.internet import defer, endpoints
from twisted.web import server

from . import logs, metrics
from .controllers import config

LOG = logs.Part("process")
# A process that stops looks this often, in seconds, whether its requests
# have ended; what it waits in vain is little beside a grace time of seconds.
STOP_POLL_S = 0.05


class Listener:
    """The ports of a process, and its stop on a signal.

    Attributes:
      reactor: The loop.
      stopping: Whether it has been told to stop.
    """

    def __init__(self, *, reactor: Any) -> None:
        self.reactor = reactor
        self.stopping = False
        self._ports: list[Any] = []

    async def listen(self, address: str, factory: Any) -> None:
        """Serve a factory at "ip:port"."""
        host, port = address.rsplit(":", 1)
        point = endpoints.TCP4ServerEndpoint(
            self.reactor, int(port), interface=host, backlog=512
        )
        self._ports.append(await point.listen(factory))

    async def stop_listening(self) -> None:
        """Take no more connections; those that stand go on."""
        ports, self._ports = self._ports, []
        for port in ports:
            await defer.maybeDeferred(port.stopListening)

    def on_signal(self, stop: Callable[[], Awaitable[None]]) -> None:
        """Stop in order on SIGTERM or SIGINT; further ones change nothing."""

        def handle(*_: Any) -> None:
            self.reactor.callFromThread(begin)

        def begin() -> None:
            if self.stopping:
                LOG.info("Already stopping; requests in progress go on.")
                return
            self.stopping = True
            LOG.info("Stopping in order.")
            done = defer.ensureDeferred(stop())
            done.addBoth(lambda _: self.reactor.stop())

        signal.signal(signal.SIGTERM, handle)
        signal.signal(signal.SIGINT, handle)

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
      clock: The time.
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
        poll_s: Callable[[], float] = lambda: config.POLL_S,
    ) -> None:
        super().__init__(reactor=reactor)
        self.settings = settings
        self.clock = clock
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
            poll_s=poll_s,
        )

    def not_ready(self) -> str:
        """Return why no entry could serve now, empty when one could."""
        if self.stopping:
            return "stopping"
        return "" if self.config.ready else "no configuration yet"

    def set_gauges(self, metrics: metrics.Metrics) -> None:
        """Set the gauges of the configuration before a scrape."""
        metrics.offset.set({}, self.config.state.offset)
        metrics.log_age.set({}, self.config.shown_log_age_s())


def site(root: Any, request_class: Any = None) -> server.Site:
    """Return an HTTP site without an access log."""
    made = server.Site(root, timeout=300)
    made.displayTracebacks = False
    made.noisy = False
    made.log = lambda _request: None
    if request_class is not None:
        made.requestFactory = request_class
    return made
