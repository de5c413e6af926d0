"""What an entry knows of upstreams and of other entries, by heartbeat.

An upstream may be sent new work only on a fresh grant of its agent, so a
wrong or old view cannot send work to one that has left.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import clock, error, model, rendezvous, routing
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from .. import logs
from ..adapters import platform
from . import config, follower, granted_view

LOG = logs.Logger("membership")
# Other entries that an entry exchanges offsets with.
PEER_ENTRIES = 8
PEERS_EVERY_S = 5.0
BOXES_EVERY_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.5


class Membership:
    """Keeps views of upstreams and offsets of other entries."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        config: config.Config,
        links: link.Links,
        platform: platform.Platform,
        name: str,
        incarnation: str,
        hall: str,
        peer: str,
        subset: int,
        heartbeat_s: float,
    ) -> None:
        self.views_by_name: dict[str, granted_view.View] = {}
        self.peer_offsets_by_name: dict[str, int] = {}
        self.waiting_by_target: dict[str, int] = {}
        self.on_change: list[Any] = []
        self._reactor = reactor
        self._clock = clock
        self._config = config
        self._links = links
        self._platform = platform
        self._name = name
        self._incarnation = incarnation
        self._hall = hall
        self._peer = peer
        self._subset = subset
        self._heartbeat_s = heartbeat_s
        self._leaving: set[str] = set()
        self._entries: dict[str, str] = {}
        self._timers: list[follower.Timer] = []
        config.listen(lambda _state: self._choose())

    def start(self) -> None:
        """Begin to exchange heartbeats."""
        for name, every_s, function in (
            ("heartbeats", self._heartbeat_s, self._beat_all),
            ("boxes", BOXES_EVERY_S, self._read_boxes),
            ("entries", PEERS_EVERY_S, self._beat_entries),
        ):
            timer = follower.Timer(
                reactor=self._reactor,
                clock=self._clock,
                name=name,
                function=function,
            )
            timer.start(every_s)
            self._timers.append(timer)

    @property
    def progress(self) -> list[follower.Progress]:
        """Return how its loops get on."""
        return [timer.progress for timer in self._timers]

    def stop(self) -> None:
        """End the heartbeats; grants lapse at the agents."""
        for timer in self._timers:
            timer.stop()

    def candidates(self, target: str) -> list[routing.Candidate]:
        """Return the upstreams that may serve a target."""
        now = self._clock.monotonic()
        return [
            view.candidate(now)
            for view in self.views_by_name.values()
            if view.upstream.target == target
            and view.upstream.name not in self._leaving
            and not view.upstream.leaving
            and view.upstream.role == "serve"
        ]

    def reachable(self, target: str) -> bool:
        """Tell whether any upstream of a target grants anything."""
        now = self._clock.monotonic()
        return any(
            now < item.until and item.slots > 0
            for item in self.candidates(target)
        )

    def unavailable(self, name: str) -> bool:
        """Tell whether an upstream is known to take nothing new now."""
        view = self.views_by_name.get(name)
        if view is None or view.pulse is None:
            return False
        lapse_s = view.pulse.grant.lapse_ms / 1000
        lapsed = self._clock.monotonic() >= view.heard_at + lapse_s
        return lapsed or view.pulse.leaving

    def record_leaving(self, name: str) -> None:
        """Send an upstream nothing more: its agent refused as leaving."""
        view = self.views_by_name.get(name)
        if view is not None and view.pulse is not None:
            view.pulse.leaving = True

    def record_unreachable(self, name: str) -> None:
        """Send an upstream nothing until it answers a heartbeat again.

        Its grant has not lapsed yet, but no connection to its agent could
        be opened, so what is sent on that grant would be lost at once.
        """
        view = self.views_by_name.get(name)
        if view is not None:
            view.heard_at = granted_view.NEVER

    def view(self, upstream: model.Upstream) -> granted_view.View:
        """Return the view of an upstream, also outside the subset."""
        found = self.views_by_name.get(upstream.name)
        if found is None:
            tie_breaker = rendezvous.score(self._name, upstream.name)
            found = granted_view.View(
                upstream=upstream, tie_breaker=tie_breaker
            )
            self.views_by_name[upstream.name] = found
        return found

    def _choose(self) -> None:
        """Follow the configuration: whom to keep in touch with."""
        state = self._config.state
        names_by_target: dict[str, list[str]] = {}
        for upstream in state.upstreams_by_name.values():
            names_by_target.setdefault(upstream.target, []).append(
                upstream.name
            )
        wanted = set()
        for names in names_by_target.values():
            wanted.update(
                rendezvous.subset(self._name, names, size=self._subset)
            )
        for name in set(self.views_by_name) - wanted:
            if not self.views_by_name[name].local_in_flight:
                del self.views_by_name[name]
        for name in wanted:
            upstream = state.upstreams_by_name[name]
            view = self.view(upstream)
            if view.upstream.agent != upstream.agent:
                view.pulse = None
            view.upstream = upstream
        self._beat_all()

    def group_of(self, name: str) -> str:
        """Return "": a target is one group here."""
        return ""

    def group_names(self, target: str) -> set[str]:
        """Return the one name, for the same reason."""
        return {""}

    def dispatch_wait_s(self, target: str, *, ahead: int) -> float:
        """Return 0: agents grant slots, and no upstream names a limit."""
        return 0.0

    def limits_per_s(self, target: str) -> list[float]:
        """Return none, for the same reason."""
        return []

    def record_sent(self, view: granted_view.View) -> None:
        """Nothing to do, for the same reason."""

    async def refresh(
        self, target: str | None = None, *, request_expert_load: bool = False
    ) -> None:
        """Ask the upstreams of a target, or all, for fresh grants.

        Returns when each has answered or failed to.

        Args:
          target: Whose upstreams; all if None.
          request_expert_load: Whether to request expert loads as well.
        """
        now = self._clock.monotonic()
        views = [
            view
            for view in self.views_by_name.values()
            if target is None or view.upstream.target == target
        ]
        for view in views:
            if target is not None:
                view.used_at = now
            self._beat_once(view, request_expert_load=request_expert_load)
        await defer.DeferredList(
            [_fork(view.beating) for view in views if view.beating]
        )

    def record_demand(self, target: str) -> None:
        """Note that a request wants a target, to keep its grants fresh."""
        now = self._clock.monotonic()
        for view in self.views_by_name.values():
            if view.upstream.target == target:
                view.used_at = now

    def _beat_all(self) -> None:
        now = self._clock.monotonic()
        for view in list(self.views_by_name.values()):
            if view.due(now):
                self._beat_once(view)

    def _beat_entries(self) -> None:
        mine = rendezvous.subset(self._name, self._entries, size=PEER_ENTRIES)
        for name in mine:
            defer.ensureDeferred(self._beat_entry(self._entries[name]))

    def _beat_once(
        self, view: granted_view.View, *, request_expert_load: bool = False
    ) -> None:
        if view.beating is None:
            view.asked_at = self._clock.monotonic()
            view.beating = defer.ensureDeferred(
                self._beat(view, request_expert_load)
            )

    async def _beat(
        self, view: granted_view.View, request_expert_load: bool
    ) -> None:
        """Exchange a heartbeat with one agent."""
        asked_at = self._clock.monotonic()
        own = view.local_in_flight
        waiting = self.waiting_by_target.get(view.upstream.target, 0)
        beat = self._message({view.upstream.name: own + waiting})
        beat.want_heat = request_expert_load
        try:
            # A turn of the loop, so that the caller has noted the attempt.
            await task.deferLater(self._reactor, 0)
            pulse = await self._links.to(view.upstream.agent).call(
                "heartbeat", beat, timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except link.LinkError:
            return
        finally:
            view.beating = None
        if pulse.name != view.upstream.name:
            LOG.error(
                "An agent answers to another name than configured.",
                expected=view.upstream.name,
                got=pulse.name,
            )
            return
        view.pulse = pulse
        view.expert_load = pulse.heat or view.expert_load
        view.heard_at = asked_at
        view.local_reported = own
        self._config.record_peer_offset(pulse.peer, pulse.offset)
        for listener in self.on_change:
            listener()

    async def _beat_entry(self, address: str) -> None:
        """Exchange offsets with another entry."""
        try:
            pulse = await self._links.to(address).call(
                "heartbeat", self._message({}), timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except link.LinkError:
            return
        self.peer_offsets_by_name[pulse.name] = pulse.offset
        self._config.record_peer_offset(address, pulse.offset)

    def _message(self, wanted: dict[str, int]) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            name=self._name,
            incarnation=self._incarnation,
            hall=self._hall,
            offset=self._config.state.offset,
            wanted=wanted,
            log_age_ms=self._config.log_age_ms(),
            peer=self._peer,
        )

    async def _read_boxes(self) -> None:
        """Read the platform's list; it only ever takes upstreams away."""
        try:
            boxes = await self._platform.boxes()
        except error.CodedError:
            return
        self._leaving = {
            box.name for box in boxes if box.role == "upstream" and box.leaving
        }
        self._entries = {
            box.name: box.peer
            for box in boxes
            if box.role == "entry" and box.name != self._name
        }
        self._config.peers.update(self._entries.values())


def _fork(source: defer.Deferred) -> defer.Deferred:
    """Return a Deferred that fires when another does, which goes on."""
    fork: defer.Deferred = defer.Deferred()

    def passed(value: Any) -> Any:
        fork.callback(None)
        return value

    source.addBoth(passed)
    return fork
