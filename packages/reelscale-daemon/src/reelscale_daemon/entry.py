"""The entry: the process on each entry box, between callers and agents."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import settings
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, task
from twisted.web import resource
from zope.interface import implementer

from . import callers, health, logs, metrics, operators, process
from .adapters import platform
from .controllers import follower, intents, membership
from .filters import admit, attempt, classify, identify, limit, relay
from .filters import context as contexts

LOG = logs.Logger("entry")
CHAIN = (
    identify.identify,
    classify.classify,
    limit.limit,
    admit.admit,
    relay.relay,
)


@implementer(Peer.Iface)
class Entry:
    """One entry and its parts."""

    def __init__(self, *, reactor: Any, settings: settings.Settings) -> None:
        self.settings = settings
        self._base = platform.make_base(reactor=reactor, settings=settings)
        base = self._base
        self._metrics = metrics.Metrics()
        self._membership = membership.Membership(
            reactor=reactor,
            clock=base.clock,
            config=base.config,
            links=base.links,
            platform=base.platform,
            name=settings.name,
            incarnation=base.incarnation,
            hall=settings.hall,
            peer=settings.peer,
            subset=settings.subset,
            heartbeat_s=settings.heartbeat.total_seconds(),
        )
        self._parts = contexts.Context(
            reactor=reactor,
            clock=base.clock,
            settings=settings,
            config=base.config,
            links=base.links,
            membership=self._membership,
            metrics=self._metrics,
            incarnation=base.incarnation,
            chain=CHAIN,
            send=attempt.run,
        )
        self._intents = intents.Intents(
            reactor=reactor,
            config=base.config,
            platform=base.platform,
            membership=self._membership,
        )

    async def start(self) -> None:
        """Serve callers, operators and peers."""
        base = self._base
        await base.listen(
            base.settings.peer, link.Server(handler=self, reactor=base.reactor)
        )
        request_class = callers.request_class(base.settings.body_bytes)
        self._site = process.make_site(self._root(), request_class)
        await base.listen(base.settings.http, self._site)
        defer.ensureDeferred(base.config.run())
        self._membership.start()
        base.on_signal(self.stop)
        base.on_reload(
            lambda: self.settings, role="entry", take=self._take_settings
        )
        LOG.info("Serving.", name=base.settings.name, http=base.settings.http)

    def _take_settings(self, new: settings.Settings) -> None:
        """Go by new settings, but for the addresses of the start."""
        self.settings = self._base.settings = new

    async def stop(self) -> None:
        """Say not ready, take no more, let requests end, then go."""
        base = self._base
        self._site.drain()
        # The platform's balancer needs time to see that we are not ready.
        await task.deferLater(
            base.reactor, base.settings.stop_wait.total_seconds()
        )
        await base.stop_listening()
        while self._parts.running:
            await task.deferLater(base.reactor, process.STOP_POLL_S)
        left = await base.close_connections(within=base.settings.grace)
        self._membership.stop()
        base.config.stop()
        LOG.info("Stopped.", **left._asdict())

    # What peers may call, by the names of the Peer service.

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.Pulse:
        """Exchange offsets with another entry."""
        base = self._base
        base.config.record_peer_offset(beat.peer, beat.offset)
        self._membership.peer_offsets_by_name[beat.name] = beat.offset
        return ttypes.Pulse(
            name=base.settings.name,
            incarnation=base.incarnation,
            hall=base.settings.hall,
            offset=base.config.state.offset,
            log_age_ms=base.config.log_age_ms(),
            peer=base.settings.peer,
        )

    def state(self, request: ttypes.StateRequest) -> defer.Deferred:
        """Give the configuration to a peer that cannot reach the log."""
        return defer.ensureDeferred(
            self._base.config.answer(request.have_offset, request.have_version)
        )

    def _root(self) -> resource.Resource:
        base = self._base
        root = resource.Resource()
        own = callers.OwnSurface(settings=self.settings, given=self._parts)
        asked = callers.Callers(given=self._parts, surface=own)
        root.putChild(b"v1", asked)
        root.putChild(b"services", asked)
        root.putChild(b"operator", self._operators())
        health.add_routes(
            root,
            ready=self._not_ready,
            metrics=self._metrics,
            refresh=self._refresh,
        )
        if base.settings.test_controls:
            test = resource.Resource()
            root.putChild(b"test", test)
            cut = health.Cut(links=base.links, platform=base.platform)
            test.putChild(b"cut", cut)
        return root

    def _operators(self) -> operators.Operators:
        return operators.Operators(
            settings=self._base.settings,
            config=self._base.config,
            membership=self._membership,
            intents=self._intents,
            given=self._parts,
        )

    def _not_ready(self) -> str:
        return self._base.not_ready() or health.stuck(self._progress())

    def _progress(self) -> list[follower.Progress]:
        """Return how the loops of this process get on."""
        return [self._base.config.progress, *self._membership.progress]

    def _refresh(self) -> None:
        """Set the gauges before a scrape."""
        self._base.set_gauges(self._metrics)
        self._metrics.set_progress(self._progress())
        self._parts.set_gauges()
