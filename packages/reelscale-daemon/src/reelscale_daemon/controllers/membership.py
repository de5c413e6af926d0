"""Tracks upstreams and other entries by heartbeat.

New work is sent to an upstream only on an unexpired grant of its agent, so a
stale view cannot send work to one that has departed.
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
# Number of other entries with which an entry exchanges offsets.
PEER_ENTRIES = 8
PEERS_INTERVAL_S = 5.0
BOXES_INTERVAL_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.5


class Membership:
    """Maintains the views of upstreams and the offsets of other entries."""

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
        config.listen(lambda _state: self._update_subset())

    def start(self) -> None:
        """Start exchanging heartbeats."""
        for name, every_s, function in (
            ("heartbeats", self._heartbeat_s, self._send_due_heartbeats),
            ("boxes", BOXES_INTERVAL_S, self._read_boxes),
            ("entries", PEERS_INTERVAL_S, self._exchange_offsets),
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
        """Return the progress of its loops."""
        return [timer.progress for timer in self._timers]

    def stop(self) -> None:
        """Stop the heartbeats; grants expire at the agents."""
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
        """Return whether any upstream of a target has an unexpired grant."""
        now = self._clock.monotonic()
        return any(
            now < candidate.until and candidate.slots > 0
            for candidate in self.candidates(target)
        )

    def unavailable(self, name: str) -> bool:
        """Return whether an upstream is known to accept no new requests."""
        view = self.views_by_name.get(name)
        if view is None or view.pulse is None:
            return False
        expiry_s = view.pulse.grant.lapse_ms / 1000
        expired = self._clock.monotonic() >= view.granted_at + expiry_s
        return expired or view.pulse.leaving

    def record_leaving(self, name: str) -> None:
        """Stop sending to an upstream whose agent refused as leaving."""
        view = self.views_by_name.get(name)
        if view is not None and view.pulse is not None:
            view.pulse.leaving = True

    def record_unreachable(self, name: str) -> None:
        """Stop sending to an upstream until it answers a heartbeat again.

        Its grant has not expired, but no connection to its agent could be
        opened.
        """
        view = self.views_by_name.get(name)
        if view is not None:
            view.granted_at = granted_view.NEVER

    def view(self, upstream: model.Upstream) -> granted_view.View:
        """Return the view of an upstream, even outside the subset."""
        view = self.views_by_name.get(upstream.name)
        if view is None:
            tie_breaker = rendezvous.score(self._name, upstream.name)
            view = granted_view.View(
                upstream=upstream, tie_breaker=tie_breaker
            )
            self.views_by_name[upstream.name] = view
        return view

    def _update_subset(self) -> None:
        """Apply the configuration: select the upstreams to exchange with."""
        state = self._config.state
        names_by_target: dict[str, list[str]] = {}
        for upstream in state.upstreams_by_name.values():
            names_by_target.setdefault(upstream.target, []).append(
                upstream.name
            )
        selected = set()
        for names in names_by_target.values():
            selected.update(
                rendezvous.subset(self._name, names, size=self._subset)
            )
        for name in set(self.views_by_name) - selected:
            if not self.views_by_name[name].local_in_flight:
                del self.views_by_name[name]
        for name in selected:
            upstream = state.upstreams_by_name[name]
            view = self.view(upstream)
            if view.upstream.agent != upstream.agent:
                view.pulse = None
            view.upstream = upstream
        self._send_due_heartbeats()

    def group_of(self, name: str) -> str:
        """Return "": with agents a target is a single group."""
        return ""

    def group_names(self, target: str) -> set[str]:
        """Return that one name; see group_of."""
        return {""}

    def dispatch_wait_s(self, target: str, *, ahead: int) -> float:
        """Return 0: agents grant slots, and upstreams state no rate limit."""
        return 0.0

    def limits_per_s(self, target: str) -> list[float]:
        """Return no limits; see dispatch_wait_s."""
        return []

    def record_sent(self, view: granted_view.View) -> None:
        """Do nothing; see dispatch_wait_s."""

    async def refresh(
        self, target: str | None = None, *, request_expert_load: bool = False
    ) -> None:
        """Request fresh grants of the upstreams of a target, or of all.

        Returns once each has answered or failed.

        Args:
          target: The target; None for all upstreams.
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
            self._start_heartbeat(
                view, request_expert_load=request_expert_load
            )
        await defer.DeferredList(
            [
                _fork(view.pending_heartbeat)
                for view in views
                if view.pending_heartbeat
            ]
        )

    def record_demand(self, target: str) -> None:
        """Record a request for a target, which keeps its grants fresh."""
        now = self._clock.monotonic()
        for view in self.views_by_name.values():
            if view.upstream.target == target:
                view.used_at = now

    def _send_due_heartbeats(self) -> None:
        now = self._clock.monotonic()
        for view in list(self.views_by_name.values()):
            if view.due(now):
                self._start_heartbeat(view)

    def _exchange_offsets(self) -> None:
        selected = rendezvous.subset(
            self._name, self._entries, size=PEER_ENTRIES
        )
        for name in selected:
            defer.ensureDeferred(self._exchange_offset(self._entries[name]))

    def _start_heartbeat(
        self, view: granted_view.View, *, request_expert_load: bool = False
    ) -> None:
        if view.pending_heartbeat is None:
            view.heartbeat_at = self._clock.monotonic()
            view.pending_heartbeat = defer.ensureDeferred(
                self._exchange_heartbeat(view, request_expert_load)
            )

    async def _exchange_heartbeat(
        self, view: granted_view.View, request_expert_load: bool
    ) -> None:
        """Exchange a heartbeat with one agent."""
        sent_at = self._clock.monotonic()
        local_in_flight = view.local_in_flight
        waiting = self.waiting_by_target.get(view.upstream.target, 0)
        heartbeat = self._message(
            {view.upstream.name: local_in_flight + waiting}
        )
        heartbeat.want_heat = request_expert_load
        try:
            # Yields, so that the caller has recorded the attempt.
            await task.deferLater(self._reactor, 0)
            pulse = await self._links.to(view.upstream.agent).call(
                "heartbeat", heartbeat, timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except link.LinkError:
            return
        finally:
            view.pending_heartbeat = None
        if pulse.name != view.upstream.name:
            LOG.error(
                "An agent reported a name other than configured.",
                expected=view.upstream.name,
                got=pulse.name,
            )
            return
        view.pulse = pulse
        view.expert_load = pulse.heat or view.expert_load
        view.granted_at = sent_at
        view.local_reported = local_in_flight
        self._config.record_peer_offset(pulse.peer, pulse.offset)
        for listener in self.on_change:
            listener()

    async def _exchange_offset(self, address: str) -> None:
        """Exchange offsets with another entry."""
        try:
            pulse = await self._links.to(address).call(
                "heartbeat", self._message({}), timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except link.LinkError:
            return
        self.peer_offsets_by_name[pulse.name] = pulse.offset
        self._config.record_peer_offset(address, pulse.offset)

    def _message(self, requested: dict[str, int]) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            name=self._name,
            incarnation=self._incarnation,
            hall=self._hall,
            offset=self._config.state.offset,
            wanted=requested,
            log_age_ms=self._config.log_age_ms(),
            peer=self._peer,
        )

    async def _read_boxes(self) -> None:
        """Read the platform's list, which can only remove upstreams."""
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
    """Return a Deferred that fires with another, passing on its result."""
    fork: defer.Deferred = defer.Deferred()

    def fire(value: Any) -> Any:
        fork.callback(None)
        return value

    source.addBoth(fire)
    return fork
