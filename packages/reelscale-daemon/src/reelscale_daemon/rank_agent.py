"""The agent beside a rank, on a platform with an adapter.

It is not on the way of any request: it tells of its rank, passes orders on
to it, and may hold the lease under which the group's layout is changed.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import importlib
from typing import Any

from reelscale_core import clock, error, settings
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, task
from twisted.web import resource
from zope.interface import implementer

from . import health, logs, metrics, process
from .adapters import base
from .controllers import group, members, own_rank, reach
from .exchange import pool

LOG = logs.Part("agent")
# Agents of a group that ask for its lease: enough that one is left when a
# hall and some machines are gone, few enough that they cost the log little.
CANDIDATES = 4
# Seconds between two renewals of the lease, a third of its time.
RENEW_S = 0.8
# A rank that cannot be asked is asked again after this long, in seconds.
RETRY_S = 0.5


@implementer(Peer.Iface)
class RankAgent:
    """One agent and its parts."""

    def __init__(self, *, reactor: Any, settings: settings.Settings) -> None:
        self.settings = settings
        self._reactor = reactor
        self._clock = clock.SystemClock()
        self._metrics = metrics.Metrics()
        self._listener = process.Listener(reactor=reactor)
        links = link.Links(reactor=reactor)
        self._adapter = self._make_adapter()
        own = reach.Member(settings.peer, _address(settings.engine))
        port_to = self._adapter.port_to
        self._own = own_rank.OwnRank(port=port_to(own.upstream))
        self._members = members.Members(
            reactor=reactor,
            roster=self._adapter.roster,
            target=settings.target,
            own=own,
        )
        self._group = group.Group(
            reactor=reactor,
            clock=self._clock,
            reach=reach.Reach(clock=self._clock, links=links, port_to=port_to),
            engines=self._adapter.engines,
            members=self._members,
            target=settings.target,
        )

    def _make_adapter(self) -> base.AgentAdapter:
        module = importlib.import_module(self.settings.adapter)
        make: base.AgentMaker = module.make_agent
        return make(
            reactor=self._reactor,
            clock=self._clock,
            settings=self.settings,
            connections=pool.Pool(reactor=self._reactor, clock=self._clock),
        )

    async def start(self) -> None:
        """Serve other agents and ask for the lease now and then."""
        own = self.settings
        self._listener.on_signal(self.stop)
        self._listener.on_reload(
            lambda: self.settings, role="agent", take=self._take_settings
        )
        await self._listener.listen(own.peer, link.Server(handler=self))
        await self._listener.listen(own.http, self._probes())
        for running in (self._renew(), self._members.run(), self._group.run()):
            defer.ensureDeferred(running)
        LOG.info("Serving.", name=own.name, peer=own.peer)

    async def stop(self) -> None:
        """Give the lease up, so that another agent goes on."""
        self._group.stop()
        self._members.stop()
        try:
            await self._adapter.lease.leave()
        except error.CodedError as down:
            LOG.warning("The lease is left to lapse.", reason=down.detail)
        await self._listener.stop_listening()
        LOG.info("Stopped.")

    def _take_settings(self, new: settings.Settings) -> None:
        """Note new settings; all of an agent's count from its start."""
        self.settings = new

    # What peers may call, by the names of the Peer service.

    def rank(self, query: ttypes.RankQuery) -> defer.Deferred:
        """Tell of the rank beside this agent."""
        return defer.ensureDeferred(self._own.answer(query))

    def order_rank(self, order: ttypes.RankOrder) -> defer.Deferred:
        """Pass an order on to the rank."""
        return defer.ensureDeferred(self._own.order(order))

    async def _renew(self) -> None:
        """Ask for the lease, or keep it, until stopped."""
        while not self._listener.stopping:
            pause_s = RENEW_S
            try:
                if await self._is_candidate():
                    self._note(await self._adapter.lease.renew())
            except error.CodedError as lost:
                # The fence, not the time, keeps holders apart: one that
                # cannot reach the log goes on until a rank refuses it.
                LOG.warning("The lease is not renewed.", reason=lost.detail)
                pause_s = RETRY_S
            await task.deferLater(self._reactor, pause_s)

    async def _is_candidate(self) -> bool:
        if self._group.fence is not None:
            return True
        found = (await self._own.tell(counts=False, experts=False)).rank
        candidate = found.number % max(1, found.size // CANDIDATES) == 0
        # One that may hold the lease is to know the others by then: the list
        # may be out of reach just when the lease falls to it.
        self._members.following = candidate
        return candidate

    def _note(self, fence: int | None) -> None:
        """Take over what the log says of the lease."""
        before = self._group.fence
        if (before is None) != (fence is None):
            text = "Holds the lease." if before is None else "Lost the lease."
            LOG.info(text, fence=fence, before=before)
        self._group.fence = fence

    def _probes(self) -> Any:
        root = resource.Resource()
        health.add_routes(
            root,
            ready=lambda: "stopping" if self._listener.stopping else "",
            metrics=self._metrics,
            refresh=lambda: None,
        )
        return process.site(root)


def _address(url: str) -> str:
    """Return the "ip:port" of a URL."""
    return url.partition("://")[2].rstrip("/")
