"""An entry that meets upstreams itself, on a platform with an adapter."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import importlib
from datetime import timedelta
from typing import Any

from reelscale_core import clock, confirmation, position, settings
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, task
from twisted.web import resource
from zope.interface import implementer

from . import callers, health, ingress, logs, metrics, process, site
from .adapters import base
from .controllers import (
    crash_evidence,
    directory,
    follower,
    freshness,
    peer_lists,
    suspects,
    suspension,
    usage,
)
from .exchange import pool
from .filters import (
    admit,
    direct,
    expiry,
    limit,
    outage,
    relay,
    routed,
    stopping,
    suspect,
)
from .filters import (
    context as contexts,
)

LOG = logs.Logger("entry")
CHAIN = (
    routed.find_route,
    stopping.check_stop,
    suspect.check_suspect,
    limit.limit,
    outage.check_outage,
    admit.admit,
    relay.relay,
)
# Requests that are still in progress this long before a stop must be over are
# ended, so that their answers can leave: some round trips to a caller far
# away, at 50 ms each.
LAST_ANSWERS = timedelta(seconds=0.3)
# A peer that is ahead in the configuration for this long, in seconds, is
# asked for it; entries that read the same record differ by some 0.05 s.
PEER_LEAD_S = 0.3


@implementer(Peer.Iface)
class Front:
    """One entry and its parts."""

    def __init__(self, *, reactor: Any, settings: settings.Settings) -> None:
        self.settings = settings
        self._reactor = reactor
        self._clock = clock.SystemClock()
        self._metrics = metrics.Metrics()
        self._connections = pool.Pool(reactor=reactor, clock=self._clock)
        self._adapter = self._make_adapter()
        self._configuration_reads = freshness.Freshness(
            reactor=reactor,
            clock=self._clock,
            name=settings.name,
            source="configuration",
            reached=self._configuration_reached,
        )
        self._roster_reads = freshness.Freshness(
            reactor=reactor,
            clock=self._clock,
            name=settings.name,
            source="list",
            reached=lambda: confirmation.Reached(self._directory.offset),
        )
        self._base = process.Base(
            reactor=reactor,
            settings=settings,
            platform=self._adapter.source,
            clock=self._clock,
            peer_lead_s=PEER_LEAD_S,
            reads=self._configuration_reads,
        )
        self._ages = freshness.AgeUpdates(
            configuration=self._configuration_reads, roster=self._roster_reads
        )
        self._usage = self._make_usage()
        self._directory = directory.Directory(
            reactor=reactor,
            clock=self._clock,
            roster=self._adapter.roster,
            connections=self._connections,
            usage=self._usage,
            lists=peer_lists.PeerLists(
                links=self._base.links, peers=lambda: self._base.config.peers
            ),
            links=self._base.links,
            agent_port=settings.agent_port,
            peers=self._known_peers,
            freshness=self._roster_reads,
            name=settings.name,
            metrics=self._metrics,
        )
        self._suspects = suspects.Suspects(
            reactor=reactor,
            clock=self._clock,
            evidence=crash_evidence.CrashEvidence(
                reactor=reactor,
                upstreams=self._directory,
                open_connections=self._connections.count,
            ),
            on_update=self._usage.changed,
        )
        self._parts = self._make_parts()
        self._suspension = suspension.Watch(
            reactor=reactor,
            clock=self._clock,
            metrics=self._metrics,
            on_suspended=self._doubt,
        )
        self._ingress = ingress.Ingress(
            reactor=reactor,
            resource=callers.Callers(
                given=self._parts, surface=self._adapter.surface
            ),
            body_bytes=settings.body_bytes,
            most_connections=site.limit_of_connections(settings.descriptors),
        )
        self._connect()

    def _make_adapter(self) -> base.Adapter:
        """Make the adapter that the settings name."""
        module = importlib.import_module(self.settings.adapter)
        make: base.AdapterFactory = module.make
        return make(
            reactor=self._reactor,
            clock=self._clock,
            settings=self.settings,
            connections=self._connections,
        )

    def _configuration_reached(self) -> confirmation.Reached:
        """Return what this entry has read of the log."""
        state = self._base.config.state
        return confirmation.Reached(state.offset, state.version)

    def _known_peers(self) -> frozenset[str]:
        """Return the entries of the settings and those heard lately."""
        return self._usage.peers.union(self._base.config.peers)

    def _make_usage(self) -> usage.Usage:
        own = self.settings
        return usage.Usage(
            reactor=self._reactor,
            clock=self._clock,
            name=own.name,
            incarnation=self._base.incarnation,
            address=own.usage,
            peers=own.peers,
            counts=lambda: self._directory.counts(),
            peer=own.peer,
            offset=lambda: self._base.config.state.offset,
            version=lambda: self._base.config.state.version,
            roster_offset=lambda: self._directory.update_offset,
        )

    def _make_parts(self) -> contexts.Context:
        return contexts.Context(
            reactor=self._reactor,
            clock=self._clock,
            settings=self.settings,
            config=self._base.config,
            links=self._base.links,
            membership=self._directory,
            metrics=self._metrics,
            incarnation=self._base.incarnation,
            chain=CHAIN,
            send=direct.run,
            connections=self._connections,
            dialect=self._adapter.dialect,
            suspects=self._suspects,
        )

    def _connect(self) -> None:
        """Have the parts tell each other what has changed."""
        self._base.config.listen(self._follow)
        self._base.config.listen(self._directory.apply_config)
        self._parts.on_local_change = self._usage.changed
        self._usage.on_change = self._parts.pump
        self._configuration_reads.on_answer = self._usage.changed
        self._roster_reads.on_answer = self._usage.changed
        self._usage.on_removed.append(self._suspects.forget)
        self._usage.on_removed.append(self._ages.forget)
        self._suspects.on_convicted.append(
            lambda: suspect.refuse_waiting(self._parts)
        )
        self._usage.updates = (
            self._ages,
            self._directory.rate_limits,
            self._suspects,
        )
        self._usage.on_configuration = self._base.config.record_peer_offset
        self._usage.on_roster_offset = self._directory.on_peer_offset

    async def start(self) -> None:
        """Serve callers, peers and probes."""
        own = self._base
        own.on_signal(self.stop)
        own.on_reload(
            lambda: self.settings, role="entry", take=self._take_settings
        )
        await own.listen(
            own.settings.peer, link.Server(handler=self, reactor=self._reactor)
        )
        await own.listen(own.settings.health, self._probes())
        await own.listen(own.settings.http, self._ingress)
        self._usage.start()
        self._suspension.start()
        defer.ensureDeferred(own.config.run())
        defer.ensureDeferred(self._directory.run())
        defer.ensureDeferred(self._directory.groups.run())
        LOG.info(
            "Serving.",
            name=own.settings.name,
            http=own.settings.http,
            incarnation=own.incarnation,
        )

    async def stop(self) -> None:
        """Say not ready, let requests end, then go within the grace time."""
        own = self._base
        self._ingress.drain()
        stop_wait_s = own.settings.stop_wait.total_seconds()
        await task.deferLater(self._reactor, stop_wait_s)
        # A balancer that finds too few ready sends new callers to all; they
        # find another entry at once when nobody listens here.
        await own.stop_listening()
        left = own.left_of(own.settings.grace) - LAST_ANSWERS
        self._parts.ends_at = self._clock.monotonic() + left.total_seconds()
        broken_off, left = await self._end_connections()
        self._usage.stop()
        self._suspension.stop()
        self._directory.stop()
        own.config.stop()
        LOG.info("Stopped.", broken_off=broken_off, **left._asdict())

    async def _end_connections(self) -> tuple[int, process.Unfinished]:
        """Wait for the requests in progress, then end what is left of them.

        Returns:
          The number of requests that had to be ended, and what of the
          connections is open all the same.
        """
        own = self._base
        within = own.left_of(own.settings.grace)
        left = await own.close_connections(within=within - LAST_ANSWERS)
        broken_off = expiry.expire_all(self._parts)
        if left.connections:
            within = own.left_of(own.settings.grace)
            left = await own.close_connections(within=within)
        return broken_off, left

    # What peers may call, by the names of the Peer service.

    def state(self, request: ttypes.StateRequest) -> defer.Deferred:
        """Give the configuration to a peer that cannot reach the log."""
        return defer.ensureDeferred(
            self._base.config.answer(request.have_offset, request.have_version)
        )

    def roster(self, query: ttypes.RosterQuery) -> ttypes.RosterReply:
        """Give the list of upstreams to a peer that cannot read it."""
        return self._directory.answer(query.have_offset)

    def groups(self, query: ttypes.GroupQuery) -> ttypes.GroupReply:
        """Tell a peer which group each upstream is in."""
        return self._directory.groups.answer()

    def _probes(self) -> site.Site:
        """Return the site for readiness and metrics."""
        root = resource.Resource()
        health.add_routes(
            root,
            ready=self._not_ready,
            metrics=self._metrics,
            refresh=self._refresh,
            ready_path=self._adapter.surface.ready_path,
        )
        return process.make_site(root)

    def _not_ready(self) -> str:
        if reason := self._base.not_ready():
            return reason
        if not self._directory.ready:
            return "no list of upstreams yet"
        return health.stuck(self._progress())

    def _progress(self) -> list[follower.Progress]:
        """Return how the loops of this process get on."""
        parts = (
            self._base.config,
            self._directory,
            self._directory.groups,
            self._usage,
            self._suspension,
        )
        return [part.progress for part in parts]

    def _follow(self, state: Any) -> None:
        """Apply the limits of a new configuration."""
        self._ingress.limits = state.limits
        LOG.info(
            "A configuration is in force.",
            version=state.version,
            **position.decode(state.offset)._asdict(),
            routes=len(state.routes_by_name),
            workspaces=len(state.workspaces_by_name),
        )

    def _doubt(self, _seconds: float) -> dict[str, Any]:
        """Drop what may no longer hold after a suspension; tell what."""
        idle = self._connections.close_all_idle()
        self._base.config.require_confirmation()
        self._usage.changed()
        return {"idle_connections": idle, "requests": self._parts.running}

    def _take_settings(self, new: settings.Settings) -> None:
        """Go by new settings, but for the addresses of the start."""
        self.settings = self._base.settings = self._parts.settings = new

    def _refresh(self) -> None:
        """Set the gauges before a scrape."""
        self._base.set_gauges(self._metrics)
        self._metrics.backing_off.set({}, self._directory.backoffs.count())
        self._metrics.set_progress(self._progress())
        self._metrics.set_freshness(
            (self._configuration_reads, self._roster_reads)
        )
        self._parts.set_gauges()
