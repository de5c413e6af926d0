"""The agent beside a rank, on a platform with an adapter.

It is not on the way of any request: it tells of its rank, passes orders on
to it, and may hold the lease under which the group's layout is changed.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import importlib
from typing import Any

from reelscale_core import clock, settings
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, task
from twisted.web import resource
from zope.interface import implementer

from . import health, logs, metrics, process
from .adapters import base
from .controllers import (
    follower,
    group,
    lease_keeper,
    local_rank,
    members,
    rank_reports,
    reach,
    suspension,
)
from .exchange import pool

LOG = logs.Logger("agent")
# What the first two steps of a stop may take at most, as parts of what is
# left of the grace time then: of the 5.6 s that are left of a grace time of
# 6 s, 2.8 s to let go of the group (group.STOP_TIMEOUT_S and a last check),
# then 1.7 s to leave the lease (two calls at the store, each 0.75 s at most),
# so that connections have 1.1 s.
FINISH_PART = 0.5
LEAVE_PART = 0.6


@implementer(Peer.Iface)
class RankAgent:
    """One agent and its parts."""

    def __init__(self, *, reactor: Any, settings: settings.Settings) -> None:
        self.settings = settings
        self._reactor = reactor
        self._clock = clock.SystemClock()
        self._metrics = metrics.Metrics()
        self._connections = pool.Pool(reactor=reactor, clock=self._clock)
        # Whether the lease still holds is asked of the clock at each step.
        self._suspension = suspension.Watch(
            reactor=reactor,
            clock=self._clock,
            metrics=self._metrics,
            on_suspended=lambda _seconds: {
                "idle_connections": self._connections.close_all_idle()
            },
        )
        self._listener = process.Listener(reactor=reactor, clock=self._clock)
        self._adapter = self._make_adapter()
        own = reach.Member(settings.peer, _address(settings.engine))
        port_for = self._adapter.port_for
        self._local_rank = local_rank.LocalRank(port=port_for(own.upstream))
        self._members = members.Members(
            reactor=reactor,
            clock=self._clock,
            roster=self._adapter.roster,
            target=settings.target,
            local=own,
        )
        self._group = self._make_group(
            reach.Reach(
                reactor=reactor,
                clock=self._clock,
                links=link.Links(reactor=reactor),
                port_for=port_for,
            )
        )
        self._looking: defer.Deferred | None = None
        self._keeper = lease_keeper.LeaseKeeper(
            reactor=reactor,
            clock=self._clock,
            lease_for=self._adapter.lease_for,
            local_rank=self._local_rank,
            group=self._group,
            members=self._members,
        )

    def _make_adapter(self) -> base.AgentAdapter:
        """Make what the settings name as the platform's adapter."""
        module = importlib.import_module(self.settings.adapter)
        make: base.AgentAdapterFactory = module.make_agent
        return make(
            reactor=self._reactor,
            clock=self._clock,
            settings=self.settings,
            connections=self._connections,
        )

    def _make_group(self, way: reach.Reach) -> group.Group:
        """Make what looks after the group while the lease is held."""
        return group.Group(
            reactor=self._reactor,
            clock=self._clock,
            reach=way,
            ranks=rank_reports.RankReports(
                clock=self._clock, reach=way, members=self._members
            ),
            engines=self._adapter.engines,
            members=self._members,
            target=self.settings.target,
        )

    async def start(self) -> None:
        """Serve other agents and ask for the lease now and then."""
        own = self.settings
        self._listener.on_signal(self.stop)
        self._listener.on_reload(
            lambda: self.settings, role="agent", take=self._take_settings
        )
        await self._listener.listen(
            own.peer, link.Server(handler=self, reactor=self._reactor)
        )
        await self._listener.listen(own.http, self._probes())
        defer.ensureDeferred(self._members.run())
        self._looking = defer.ensureDeferred(self._group.run())
        self._keeper.start()
        self._suspension.start()
        LOG.info("Serving.", name=own.name, peer=own.peer)

    async def stop(self) -> None:
        """End a change in progress, then give the lease up to another."""
        self._group.stop()
        self._members.stop()
        if self._looking is not None:
            await self._wait(self._looking, FINISH_PART, step="the group")
        leaving = defer.ensureDeferred(self._keeper.stop())
        await self._wait(leaving, LEAVE_PART, step="the lease")
        await self._listener.stop_listening()
        within = self._listener.left_of(self.settings.grace)
        left = await self._listener.close_connections(within=within)
        LOG.info("Stopped.", **left._asdict())

    async def _wait(
        self, work: defer.Deferred, part: float, *, step: str
    ) -> None:
        """Wait for a step of the stop, but leave time for those after it."""
        left = self._listener.left_of(self.settings.grace)
        within_s = left.total_seconds() * part
        limit = task.deferLater(self._reactor, within_s)
        # Work that is given up is not cancelled: an order that was begun
        # may still be answered before the process ends.
        first = defer.DeferredList(
            [work, limit],
            fireOnOneCallback=True,
            fireOnOneErrback=True,
            consumeErrors=True,
        )
        try:
            _, number = await first
        except defer.FirstError as failed:
            reason = failed.subFailure.getTraceback()
            LOG.error("A step of the stop failed.", step=step, reason=reason)
            number = 0
        if number == 0:
            limit.cancel()
            return
        LOG.warning(
            "A step of the stop was given up.",
            step=step,
            after_s=round(within_s, 3),
        )

    def _take_settings(self, new: settings.Settings) -> None:
        """Keep new settings for the next reading; none changes this start."""
        self.settings = new

    # What peers may call, by the names of the Peer service.

    def rank(self, query: ttypes.RankQuery) -> defer.Deferred:
        """Tell of the rank beside this agent."""
        return defer.ensureDeferred(self._local_rank.answer(query))

    def order_rank(self, order: ttypes.RankOrder) -> defer.Deferred:
        """Pass an order on to the rank."""
        return defer.ensureDeferred(self._local_rank.order(order))

    def _not_ready(self) -> str:
        if self._listener.stopping:
            return "stopping"
        return health.stuck(self._progress())

    def _progress(self) -> list[follower.Progress]:
        """Return how the loops of this process get on."""
        own = [self._members.progress, self._group.progress]
        return [*own, *self._keeper.progress]

    def _probes(self) -> Any:
        root = resource.Resource()
        health.add_routes(
            root,
            ready=self._not_ready,
            metrics=self._metrics,
            refresh=lambda: self._metrics.set_progress(self._progress()),
        )
        return process.make_site(root)


def _address(url: str) -> str:
    """Return the "ip:port" of a URL."""
    return url.partition("://")[2].rstrip("/")
