"""Tracks the state of upstreams and lists candidates for routing.

The list of upstreams itself is maintained by directory.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Iterable
from typing import Any

from reelscale_core import announcement, clock, routing, starts
from reelscale_core import state as states
from reelscale_wire import link

from .. import metrics
from ..adapters import base
from ..filters import call
from . import backoffs, departures, groups, rate_limits, targets, usage
from . import view as views


class Upstreams:
    """The views of all upstreams and the limits on work for each.

    Attributes:
      views_by_name: The views.
      waiting_by_target: Requests queued at this entry, by target.
      on_change: Called after a change of the views.
      rate_limits: Rate limits stated by upstreams.
      backoffs: Backoffs requested by upstreams.
      departures: Upstreams that announced in an answer that they leave.
      groups: The group of ranks of each upstream.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        usage: usage.Usage,
        links: link.Links,
        agent_port: int,
        peers: Callable[[], Iterable[str]],
        metrics: metrics.Metrics,
    ) -> None:
        """Initialize without known upstreams.

        Args:
          reactor: The reactor.
          clock: The clock.
          usage: The requests in progress at other entries.
          links: Connections to agents and other entries.
          agent_port: Port of the agents of ranks, 0 if there are none.
          peers: Returns addresses of other entries.
          metrics: Counts the backoffs that upstreams request.
        """
        self.views_by_name: dict[str, views.View] = {}
        self.waiting_by_target: dict[str, int] = {}
        self.on_change: list[Callable[[], None]] = []
        self._clock = clock
        self._usage = usage
        self._targets = targets.Targets(clock=clock)
        self.rate_limits = rate_limits.RateLimits(
            reactor=reactor,
            clock=clock,
            entries=lambda: usage.entries,
            on_update=usage.changed,
            on_free=self.notify_change,
        )
        self.backoffs = backoffs.Backoffs(
            reactor=reactor,
            clock=clock,
            metrics=metrics,
            on_expired=self.notify_change,
        )
        self.departures = departures.Departures(
            clock=clock, on_change=self.notify_change
        )
        self.groups = groups.Groups(
            reactor=reactor,
            clock=clock,
            links=links,
            ranks=self.ranks,
            agent_port=agent_port,
            place=lambda: usage.place,
            peers=peers,
        )

    def notify_change(self) -> None:
        """Notify listeners, so that queued requests are retried."""
        for listener in self.on_change:
            listener()

    def candidates(self, target: str) -> list[routing.Candidate]:
        """Return the upstreams that accept new requests for a target."""
        now = self._clock.monotonic()
        by_group: dict[str, list[routing.Candidate]] = {}
        for view in self._serving(target):
            candidate = self._candidate(view, now)
            by_group.setdefault(candidate.group, []).append(candidate)
        candidates = []
        for group, members in by_group.items():
            if routing.used(members) >= self._targets.limit(target, group):
                # At the pace limit: cap each upstream at its current use.
                members = [
                    item._replace(slots=item.local_in_flight)
                    for item in members
                ]
            candidates += members
        return candidates

    def group_of(self, name: str) -> str:
        """Return the group of an upstream, "" while it is not known."""
        view = self.views_by_name.get(name)
        return self.groups.of(view.upstream.start.key) if view else ""

    def group_names(self, target: str) -> set[str]:
        """Return the groups that serve a target."""
        serving = self._serving(target)
        return {self.groups.of(view.upstream.start.key) for view in serving}

    def ranks(self) -> list[announcement.Announcement]:
        """Return the upstreams that are ranks of groups."""
        return [
            view.upstream
            for view in self.views_by_name.values()
            if not view.gone and self._targets.has_ranks(view.upstream.target)
        ]

    def _candidate(self, view: views.View, now: float) -> routing.Candidate:
        """Return an upstream as a candidate for routing."""
        upstream = view.upstream
        start = upstream.start
        limited = self.rate_limits.blocks(start.key)
        return view.candidate(
            now,
            remote_in_flight=self._usage.others(start.key),
            waiting=self._targets.queue_capacity(
                upstream.target, upstream.slots
            ),
            avoided=limited or self.backoffs.blocks(start),
            group=self.groups.of(start.key),
        )

    def dispatch_wait_s(self, target: str, *, ahead: int) -> float:
        """Return how long upstreams hold back the next request.

        Args:
          target: Target of the request.
          ahead: Requests queued before it.

        Returns:
          Seconds; 0 if any upstream of the target accepts requests now, inf if
          this entry may send to none of them.
        """
        starts = [view.upstream.start for view in self._serving(target)]
        waits = [self._dispatch_wait_s(start, ahead=0) for start in starts]
        if not waits or min(waits) == 0:
            return 0.0
        # Requests ahead are spread evenly over the upstreams.
        each = ahead // len(starts)
        return min(
            self._dispatch_wait_s(start, ahead=each) for start in starts
        )

    def _dispatch_wait_s(
        self, start: announcement.Start, *, ahead: int
    ) -> float:
        """Return how long a start holds back a request, in seconds."""
        limit_s = self.rate_limits.wait_s(start.key, ahead=ahead)
        return max(limit_s, self.backoffs.remaining_s(start))

    def limits_per_s(self, target: str) -> list[float]:
        """Return the rate limits stated by upstreams of a target."""
        limits = (
            self.rate_limits.limit_per_s(view.upstream.start.key)
            for view in self._serving(target)
        )
        return [per_s for per_s in limits if per_s is not None]

    def _serving(self, target: str) -> list[views.View]:
        return [
            view
            for view in self.views_by_name.values()
            if view.serves(target)
            and not self.departures.leaving(view.upstream.start)
        ]

    def listed(self, start: announcement.Start) -> bool:
        """Return whether a start is listed and not leaving."""
        view = self.view_of(start)
        if view is None or view.gone or self.departures.leaving(start):
            return False
        return not view.upstream.leaving

    def restarted(self, start: announcement.Start) -> bool:
        """Return whether a later start has replaced a start."""
        view = self.views_by_name.get(start.name)
        return view is not None and starts.are_distinct(
            view.upstream.born_ms, start.born_ms
        )

    def record_sent(self, view: views.View) -> None:
        """Record that a request is sent to an upstream."""
        self.rate_limits.record_sent(view.upstream.start.key)

    def record_rate_limit(
        self, start: announcement.Start, stated: base.RateLimit
    ) -> None:
        """Record the rate limit stated in an answer."""
        if self.view_of(start) is not None:
            self.rate_limits.record_limit(start.key, stated)

    def record_backoff(
        self, start: announcement.Start, seconds: float
    ) -> None:
        """Record the backoff requested by a refusal."""
        self.backoffs.record_backoff(self._known_start(start), seconds)

    def record_leaving(self, start: announcement.Start) -> None:
        """Record that an answer announced that its upstream leaves."""
        self.departures.record_leaving(self._known_start(start))

    def refusal_reason(self, start: announcement.Start) -> str:
        """Return why a start accepts no request now, "" if it does."""
        if self.departures.leaving(start):
            return "leaving"
        return "backoff" if self.backoffs.remaining_s(start) else ""

    def _known_start(self, start: announcement.Start) -> announcement.Start:
        """Return the start to which an answer is attributed.

        An answer in flight during a restart may come from the new start,
        which serves at the same address.
        """
        view = self.views_by_name.get(start.name)
        return start if view is None else view.upstream.start

    def record_pause(self, request: call.Call, pause_s: float) -> None:
        """Record the pause between two events of a stream."""
        max_pause_s = request.route.pause_s
        if not max_pause_s or request.choice is None:
            return
        group = self.group_of(request.choice.name)
        rows = self.candidates(request.target)
        self._targets.record_pause(
            request.target,
            group,
            pause_s,
            longest_s=max_pause_s,
            used=routing.used([row for row in rows if row.group == group]),
        )

    def reachable(self, target: str) -> bool:
        """Return whether any upstream of a target is listed."""
        return bool(self.candidates(target))

    def record_demand(self, target: str) -> None:
        """Do nothing: views do not depend on demand."""

    async def refresh(self, target: str | None = None) -> None:
        """Do nothing: the list is followed continuously."""

    def view_of(self, start: announcement.Start) -> views.View | None:
        """Return the view of a start, None once it is replaced."""
        view = self.views_by_name.get(start.name)
        same = view is not None and view.upstream.start == start
        return view if same else None

    def record_load(
        self, start: announcement.Start, load: announcement.Load
    ) -> None:
        """Record the load that an upstream reported in an answer."""
        view = self.view_of(start)
        if view is None:
            return
        now = self._clock.monotonic()
        view.record_load(
            load, now, remote_in_flight=self._usage.others(start.key)
        )

    def record_refused(self, start: announcement.Start) -> None:
        """Record that an upstream refused a request without running it."""
        view = self.view_of(start)
        if view is not None:
            view.refused_at = self._clock.monotonic()

    def record_answer_time(self, target: str, seconds: float) -> None:
        """Record how long an upstream took for a complete answer."""
        self._targets.record_duration(target, seconds)

    def apply_config(self, state: states.State) -> None:
        """Apply the latency goals of the configuration."""
        self._targets.apply_config(state)

    def counts(self) -> dict[str, int]:
        """Return this entry's requests in progress by start."""
        rows = self.views_by_name.values()
        return {
            v.upstream.start.key: v.local_in_flight
            for v in rows
            if v.local_in_flight
        }
